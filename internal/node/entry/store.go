package entry

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

const (
	// readers is how many VMs read the store for all. Two, so that one can be lost.
	readers = 2
	// watchWait is how long the store may hold a watch without changes. Each answer
	// also proves that the picture is current.
	watchWait = time.Second
	// serversPause gathers the changes of the servers' heartbeats. With the time of
	// a read and of spreading it stays far below the 2 s in which a leaving server
	// must get no more work.
	serversPause = 350 * time.Millisecond
	// overdue is the age from which a VM that is no reader reads for itself, and
	// overduePerDoubling what is added for each doubling of the VMs: what is known
	// passes from VM to VM. With 64 VMs it is 2.2 s, below the bound of 3 s there.
	overdue            = time.Second
	overduePerDoubling = 200 * time.Millisecond
	// startPatience is how long after joinLimit a VM that starts, and is no reader, waits
	// for what the readers tell. Without it 295 VMs that start together would all read.
	startPatience = 150 * time.Millisecond
	// overduePerRank spreads the VMs that notice it at once, up to the rank overdueRanks, or
	// overdueRanksOfCells in a fleet of several cells: while the store is away, pictures get
	// old everywhere, and a few VMs that ask are enough. One that hears no peer asks sooner.
	overduePerRank      = 60 * time.Millisecond
	overdueRanks        = 10
	overdueRanksOfCells = 100
	// lostLook is how often a VM of such a fleet that is no reader looks whether a store
	// that did not answer it is back.
	lostLook = 4 * time.Second
	// isolatedAfter is how long no peer may answer until a VM reads for itself.
	isolatedAfter = 900 * time.Millisecond
	// joinLimit is how long a VM that starts waits for a peer that knows all, and joinPoll
	// how often it looks whether peers have answered that know nothing either.
	joinLimit = 60 * time.Millisecond
	// aloneLimit is the same until a seed has answered: when 295 VMs start, each seed is
	// asked by a hundred.
	aloneLimit = 120 * time.Millisecond
	joinPoll   = 5 * time.Millisecond
	// settleLimit is until when after its start a VM leaves it at what it has read, and has
	// no row: until it knows of its peers it takes itself for a reader. 295 VMs that start
	// within 0.3 s hear of others some 0.4 s after their start.
	settleLimit = 400 * time.Millisecond
	// idlePause bounds the time until a VM that doesn't read looks again whether it
	// has become one of the readers.
	idlePause = 200 * time.Millisecond
	// startRetry is the pause after a failed call while requests wait for this VM's start.
	startRetry = 30 * time.Millisecond
	// firstRetry is doubled with each failed call in a row, up to lastRetry.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// watcher keeps one table's picture current while this VM is a reader.
type watcher struct {
	name  string
	vm    *VM
	table Table
	pause time.Duration
	age   func(*spread.Snapshot) time.Time
	// found reports whether anything of the table is known.
	found func(*spread.Snapshot) bool
	// peerHeardAt is when a peer answered this VM last.
	peerHeardAt func() time.Time
	learn       func(ctx context.Context, rows Rows, full bool, at time.Time)
	since       uint64
	known       bool
	failing     bool
	failedAt    time.Time // When it last failed.
	retry       time.Duration
}

// String names the service in the supervisor's messages.
func (w *watcher) String() string {
	return "watch of " + w.name
}

// Serve watches until the context ends.
func (w *watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := w.dueAt(w.vm.spread.Snapshot()).Sub(w.vm.Now()); wait > 0 {
			w.known = false // The peers' picture goes on without this VM.
			pause(ctx, min(wait, w.lookAgain()))
			continue
		}
		if err := w.once(ctx); err != nil {
			w.failed(ctx, err)
			continue
		}
		w.succeeded(ctx)
		wait := w.pause
		if w.found(w.vm.spread.Snapshot()) {
			wait = max(wait, w.vm.started.Add(settleLimit).Sub(w.vm.Now()))
		}
		pause(ctx, wait)
	}
	return ctx.Err()
}

// dueAt is when this VM has to read: at once (zero) if it is one of the readers or has
// to learn whether the store is back, else when the picture it gets from them is too
// old.
func (w *watcher) dueAt(snapshot *spread.Snapshot) time.Time {
	alone := len(snapshot.Live) == 1
	if asked := w.vm.started.Add(aloneLimit); alone && w.vm.Now().Before(asked) {
		return asked
	}
	if joined := w.vm.started.Add(joinLimit); (alone || snapshot.Fetching) && w.vm.Now().Before(joined) {
		return joined
	}
	rank := w.vm.rank(snapshot)
	if rank < readers || (w.failing && snapshot.Cells <= 1) {
		return time.Time{}
	}
	ranks := overdueRanks
	if snapshot.Cells > 1 {
		ranks = overdueRanksOfCells
	}
	patience := time.Duration(min(rank, ranks)) * overduePerRank
	if w.age(snapshot).IsZero() && !alone {
		return w.vm.started.Add(joinLimit + startPatience + min(patience, overdueRanks*overduePerRank))
	}
	limit := overdue + time.Duration(math.Log2(float64(len(snapshot.Live)))*float64(overduePerDoubling))
	due := w.age(snapshot).Add(limit + patience)
	if isolated := w.peerHeardAt().Add(isolatedAfter); isolated.Before(due) {
		return isolated
	}
	if look := w.failedAt.Add(lostLook); w.failing && look.After(due) {
		return look
	}
	return due
}

// awaitPeers waits until this VM knows of others, for so long after its start at most.
func (v *VM) awaitPeers(ctx context.Context, limit time.Duration) {
	for ctx.Err() == nil && v.Now().Before(v.started.Add(limit)) && len(v.spread.Snapshot().Live) == 1 {
		pause(ctx, joinPoll)
	}
}

// lookAgain is after how long it is looked again whether this VM has to read.
func (w *watcher) lookAgain() time.Duration {
	if w.vm.Now().Before(w.vm.started.Add(aloneLimit)) {
		return joinPoll
	}
	return idlePause
}

// rankCache is this VM's rank among the same live VMs. Each is looked at several times a
// second and ranking 300 VMs takes a while.
type rankCache struct {
	mu   sync.Mutex
	live []spread.Member
	rank int
}

// rank is this VM's place in the order of readers.
func (v *VM) rank(snapshot *spread.Snapshot) int {
	v.ranked.mu.Lock()
	defer v.ranked.mu.Unlock()
	if !snapshot.SharesLive(v.ranked.live) {
		v.ranked.live = snapshot.Live
		v.ranked.rank = rankOf(snapshot.Self, snapshot.Live)
	}
	return v.ranked.rank
}

// rankOf orders the live VMs for reading, those in different failure domains first and
// those last that the store does not answer.
func rankOf(self spread.Member, live []spread.Member) int {
	seen := map[string]int{}
	type ranked struct {
		lost bool
		turn int
		id   string
	}
	order := []ranked{}
	for _, m := range live {
		if m.Leaving {
			continue
		}
		if m.StoreUnreachable {
			order = append(order, ranked{lost: true, id: m.ID})
			continue
		}
		order = append(order, ranked{turn: seen[m.FailureDomain], id: m.ID})
		seen[m.FailureDomain]++
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.lost != b.lost {
			if b.lost {
				return -1
			}
			return 1
		}
		if a.turn != b.turn {
			return a.turn - b.turn
		}
		return strings.Compare(a.id, b.id)
	})
	for rank, entry := range order {
		if entry.id == self.ID {
			return rank
		}
	}
	return len(order)
}

func (w *watcher) once(ctx context.Context) error {
	if !w.known {
		rows, err := w.table.Read(ctx)
		if err != nil {
			return err
		}
		w.learn(ctx, rows, true, w.vm.Now())
		w.since, w.known = rows.Version, true
		return nil
	}
	rows, err := w.table.Watch(ctx, w.since, watchWait)
	if errors.Is(err, ErrHistoryGone) {
		w.known = false
		return nil
	}
	if err != nil {
		return err
	}
	w.learn(ctx, rows, false, w.vm.Now())
	w.since = max(w.since, rows.Version)
	return nil
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.failing {
		event.StoreLost.Warn(w.vm.logger, "table", w.name, "error", err)
		w.vm.countLost(ctx, 1)
	}
	w.failing, w.failedAt = true, w.vm.Now()
	if w.vm.Now().Before(w.vm.started.Add(startHold)) {
		pause(ctx, startRetry)
		return
	}
	w.retry = min(max(2*w.retry, firstRetry), lastRetry)
	pause(ctx, w.retry+time.Duration(rand.Int64N(int64(firstRetry))))
}

func (w *watcher) succeeded(ctx context.Context) {
	if w.failing {
		event.StoreRegained.Info(w.vm.logger, "table", w.name)
		w.vm.countLost(ctx, -1)
	}
	w.failing = false
	w.retry = 0
}

func pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// learnConfiguration takes in the operator's row.
func (v *VM) learnConfiguration(ctx context.Context, rows Rows, _ bool, at time.Time) {
	var raw []byte
	for _, row := range rows.Rows {
		if row.Key == v.options.ConfigurationKey && !row.Deleted {
			raw = row.Value
		}
	}
	v.spread.ApplyConfiguration(ctx, raw, at)
}

// learnServers takes in rows of backend servers.
func (v *VM) learnServers(ctx context.Context, rows Rows, full bool, at time.Time) {
	told := spread.StoreRows{Version: rows.Version, Full: full}
	for _, row := range rows.Rows {
		server, ok := v.options.DecodeServer(row.Key, row.Value)
		if row.Deleted || !ok {
			server = pool.Server{ID: row.Key}
		}
		told.Rows = append(told.Rows, spread.ServerRow{Server: server, Changed: row.Version, Deleted: row.Deleted || !ok})
	}
	v.spread.ApplyServers(ctx, told, at)
}

// announcement is a VM's row for VMs whose seeds are gone.
type announcement struct {
	PeerAddress string `json:"peerAddress"`
}

// discovery keeps this VM's row in the store and learns the others' rows.
type discovery struct {
	vm *VM
}

const (
	// announcers is how many VMs have a row: those whose turn it would be to read. A VM
	// that starts needs to reach one of them.
	announcers = 12
	// announceAfter is when, after its start, a VM that knows others first has a row.
	announceAfter = time.Second
	// announceLook is how often a VM without a row looks whether it needs one.
	announceLook = time.Second
	// discoverEvery is how often the readers look for VMs that nobody knows.
	discoverEvery = 10 * time.Second
	// announceRetry is the pause after a failed try to write the row.
	announceRetry = 500 * time.Millisecond
)

// String names the service in the supervisor's messages.
func (d *discovery) String() string {
	return "discovery"
}

// Serve runs until the context ends.
func (d *discovery) Serve(ctx context.Context) error {
	d.vm.awaitPeers(ctx, settleLimit)
	if len(d.vm.spread.Snapshot().Live) > 1 {
		pause(ctx, d.vm.started.Add(announceAfter).Sub(d.vm.Now())) // It doesn't know yet how many VMs there are.
	}
	lookAt := time.Time{}
	for ctx.Err() == nil {
		snapshot := d.vm.spread.Snapshot()
		alone := len(snapshot.Live) == 1
		rank := d.vm.rank(snapshot)
		if rank < announcers {
			d.announce(ctx)
		}
		if (alone || rank < readers) && !d.vm.Now().Before(lookAt) {
			d.look(ctx)
			lookAt = d.vm.Now().Add(discoverEvery)
		}
		if alone || (rank < announcers && !d.vm.announced.Load()) {
			lookAt = time.Time{}
			pause(ctx, announceRetry)
			continue
		}
		pause(ctx, announceLook)
	}
	return ctx.Err()
}

func (d *discovery) announce(ctx context.Context) {
	if d.vm.announced.Load() {
		return
	}
	address := d.vm.settings.Load().PeerAddress
	value, err := json.Marshal(announcement{PeerAddress: address})
	if err != nil {
		return // A text always has JSON.
	}
	if err = d.vm.options.VMs.Put(ctx, address, value); err != nil {
		d.vm.logger.Debug("this VM could not be announced", "error", err)
		return
	}
	d.vm.announced.Store(true)
}

func (d *discovery) look(ctx context.Context) {
	rows, err := d.vm.options.VMs.Read(ctx)
	if err != nil {
		d.vm.logger.Debug("VMs could not be read", "error", err)
		return
	}
	addresses := slices.Clone(d.vm.settings.Load().Seeds)
	for _, row := range rows.Rows {
		told := announcement{}
		if err = json.Unmarshal(row.Value, &told); err == nil && !slices.Contains(addresses, told.PeerAddress) {
			addresses = append(addresses, told.PeerAddress)
		}
	}
	d.vm.spread.SetSeeds(ctx, addresses)
}

package entry

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
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
	// overduePerRank spreads the VMs that notice it at once.
	overduePerRank = 60 * time.Millisecond
	// isolatedAfter is how long no peer may answer until a VM reads for itself.
	isolatedAfter = 900 * time.Millisecond
	// joinLimit is how long a VM that starts waits for a peer that knows all.
	joinLimit = 60 * time.Millisecond
	// idlePause bounds the time until a VM that doesn't read looks again whether it
	// has become one of the readers.
	idlePause = 200 * time.Millisecond
	// firstRetry is doubled with each failed call in a row, up to lastRetry.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// lapsePart is the part of all servers that, gone at once, is taken as lapsed
	// and not as left.
	lapsePart = 0.5
)

// watcher keeps one table's picture current while this VM is a reader.
type watcher struct {
	name    string
	vm      *VM
	table   Table
	pause   time.Duration
	age     func(*spread.Snapshot) time.Time
	learn   func(ctx context.Context, rows Rows, full bool, at time.Time)
	since   uint64
	known   bool
	failing bool
	retry   time.Duration
}

// String names the service in the supervisor's messages.
func (w *watcher) String() string {
	return "watch of " + w.name
}

// Serve watches until the context ends.
func (w *watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := w.dueAt().Sub(w.vm.Now()); wait > 0 {
			w.known = false // The peers' picture goes on without this VM.
			pause(ctx, min(wait, idlePause))
			continue
		}
		if err := w.once(ctx); err != nil {
			w.failed(ctx, err)
			continue
		}
		w.succeeded(ctx)
		pause(ctx, w.pause)
	}
	return ctx.Err()
}

// dueAt is when this VM has to read: at once (zero) if it is one of the readers or has
// to learn whether the store is back, else when the picture it gets from them is too
// old.
func (w *watcher) dueAt() time.Time {
	snapshot := w.vm.spread.Snapshot()
	if joined := w.vm.started.Add(joinLimit); len(snapshot.Live) == 1 && w.vm.Now().Before(joined) {
		return joined
	}
	rank := rankOf(snapshot.Self, snapshot.Live)
	if rank < readers || w.failing {
		return time.Time{}
	}
	limit := overdue + time.Duration(math.Log2(float64(len(snapshot.Live)))*float64(overduePerDoubling))
	old := w.age(snapshot).Add(limit + time.Duration(min(rank, 10))*overduePerRank)
	isolated := w.vm.spread.PeerHeardAt().Add(isolatedAfter)
	if isolated.Before(old) {
		return isolated
	}
	return old
}

// rankOf orders the live VMs for reading, those in different failure domains first.
func rankOf(self spread.Member, live []spread.Member) int {
	seen := map[string]int{}
	type ranked struct {
		turn int
		id   string
	}
	order := []ranked{}
	for _, m := range live {
		if m.Leaving || m.StoreLost {
			continue
		}
		order = append(order, ranked{turn: seen[m.FailureDomain], id: m.ID})
		seen[m.FailureDomain]++
	}
	slices.SortFunc(order, func(a, b ranked) int {
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
	w.vm.storeFailedAt.Store(w.vm.Now().UnixNano())
	w.vm.setStoreLost(ctx, true)
	if !w.failing {
		event.StoreLost.Warn(w.vm.logger, "table", w.name, "error", err)
	}
	w.failing = true
	w.retry = min(max(2*w.retry, firstRetry), lastRetry)
	pause(ctx, w.retry+time.Duration(rand.Int64N(int64(firstRetry))))
}

func (w *watcher) succeeded(ctx context.Context) {
	if w.failing {
		event.StoreRegained.Info(w.vm.logger, "table", w.name)
	}
	w.vm.setStoreLost(ctx, false)
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
		if row.Key == v.options.ConfigurationKey && !row.Gone {
			raw = row.Value
		}
	}
	v.spread.LearnConfiguration(ctx, raw, at)
}

// serverList turns the store's rows into changes for the VMs. It is used by one
// goroutine.
type serverList struct {
	vm      *VM
	rows    map[string]spread.ServerRow
	version uint64
	missing map[string]time.Time // Until when a lapsed server may come back.
	// learnedAt is when rows were last taken in, and graceUntil the end of the grace
	// after the last outage.
	learnedAt  time.Time
	graceUntil time.Time
}

// learn takes in rows. Heartbeats that change nothing are not passed on.
func (l *serverList) learn(ctx context.Context, rows Rows, full bool, at time.Time) {
	if full {
		l.adoptSpread()
	}
	l.noteReturn(at)
	base := l.version
	seen := map[string]bool{}
	changed := []spread.ServerRow{}
	gone := []spread.ServerRow{}
	for _, row := range rows.Rows {
		seen[row.Key] = true
		server, ok := l.vm.options.DecodeServer(row.Key, row.Value)
		if row.Gone || !ok {
			gone = append(gone, l.mark(row.Key, row.Version))
			continue
		}
		delete(l.missing, row.Key)
		known, found := l.rows[row.Key]
		if found && (row.Version <= known.Changed || !known.Gone && known.Server == server) {
			continue
		}
		changed = append(changed, spread.ServerRow{Server: server, Changed: max(row.Version, base+1)})
	}
	if full {
		for id, known := range l.rows {
			if !known.Gone && !seen[id] {
				gone = append(gone, l.mark(id, rows.Version))
			}
		}
	}
	changed = append(changed, l.confirm(gone, rows.Version, at)...)
	for _, row := range changed {
		l.rows[row.Server.ID] = row
	}
	l.version = max(l.version, rows.Version)
	l.vm.spread.LearnServers(ctx, spread.ServerChanges{Base: base, Version: l.version, Rows: changed}, at)
}

// adoptSpread starts from what the VMs know, which may be more than this VM read.
func (l *serverList) adoptSpread() {
	snapshot := l.vm.spread.Snapshot()
	l.rows = map[string]spread.ServerRow{}
	l.version = snapshot.ServersVersion
	for _, server := range snapshot.Servers {
		l.rows[server.ID] = spread.ServerRow{Server: server, Changed: snapshot.ServersVersion}
	}
}

func (l *serverList) mark(id string, version uint64) spread.ServerRow {
	return spread.ServerRow{Server: pool.Server{ID: id}, Changed: version, Gone: true}
}

// confirm gives the marks of servers that have left, now or in the grace after
// an outage of the store in which their entries may have lapsed.
func (l *serverList) confirm(gone []spread.ServerRow, version uint64, at time.Time) []spread.ServerRow {
	confirmed := []spread.ServerRow{}
	until, lapsed := l.grace(gone, at)
	for _, mark := range gone {
		known, found := l.rows[mark.Server.ID]
		if !found || known.Gone {
			continue
		}
		if _, waiting := l.missing[mark.Server.ID]; waiting {
			continue
		}
		if lapsed && !known.Server.Leaving {
			l.missing[mark.Server.ID] = until
			continue
		}
		confirmed = append(confirmed, mark)
	}
	for id, until := range l.missing {
		if at.After(until) {
			delete(l.missing, id)
			confirmed = append(confirmed, l.mark(id, version))
		}
	}
	return confirmed
}

// noteReturn begins the grace with the first rows after an outage.
func (l *serverList) noteReturn(at time.Time) {
	failedAt := time.Unix(0, l.vm.storeFailedAt.Load())
	if !failedAt.Before(l.learnedAt) && at.Sub(failedAt) < pool.LapseGrace {
		l.graceUntil = at.Add(pool.LapseGrace)
	}
	l.learnedAt = at
}

// grace gives until when entries that are gone may come back, if they may have lapsed:
// after an outage, or because so many are gone at once that there must have been one.
func (l *serverList) grace(gone []spread.ServerRow, at time.Time) (until time.Time, lapsed bool) {
	if at.Before(l.graceUntil) {
		return l.graceUntil, true
	}
	if float64(len(gone)) > lapsePart*float64(len(l.rows)) && len(gone) > 1 {
		return at.Add(pool.LapseGrace), true
	}
	return time.Time{}, false
}

// announcement is a VM's row for VMs whose seeds are gone.
type announcement struct {
	PeerAddress string `json:"peerAddress"`
}

// discovery keeps this VM's row in the store and learns the others' rows.
type discovery struct {
	vm        *VM
	announced bool
}

const (
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
	for ctx.Err() == nil {
		d.announce(ctx)
		snapshot := d.vm.spread.Snapshot()
		if len(snapshot.Live) == 1 || rankOf(snapshot.Self, snapshot.Live) < readers {
			d.look(ctx)
		}
		if !d.announced || len(snapshot.Live) == 1 {
			pause(ctx, announceRetry)
			continue
		}
		pause(ctx, discoverEvery)
	}
	return ctx.Err()
}

func (d *discovery) announce(ctx context.Context) {
	if d.announced {
		return
	}
	address := d.vm.settings.PeerAddress
	value, err := json.Marshal(announcement{PeerAddress: address})
	if err != nil {
		return // A text always has JSON.
	}
	if err = d.vm.options.VMs.Put(ctx, address, value); err != nil {
		d.vm.logger.Debug("this VM could not be announced", "error", err)
		return
	}
	d.announced = true
}

func (d *discovery) look(ctx context.Context) {
	rows, err := d.vm.options.VMs.Read(ctx)
	if err != nil {
		d.vm.logger.Debug("VMs could not be read", "error", err)
		return
	}
	addresses := slices.Clone(d.vm.settings.Seeds)
	for _, row := range rows.Rows {
		told := announcement{}
		if err = json.Unmarshal(row.Value, &told); err == nil && !slices.Contains(addresses, told.PeerAddress) {
			addresses = append(addresses, told.PeerAddress)
		}
	}
	d.vm.spread.LearnMembers(ctx, addresses)
}

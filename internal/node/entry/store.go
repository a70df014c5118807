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
	// storeReaders is the number of VMs that read the store on behalf of all. Two, so that
	// one can fail.
	storeReaders = 2
	// watchTimeout is how long the store may hold a watch request without changes. Each
	// response also confirms that the local copy of the table is current.
	watchTimeout = time.Second
	// serversBatchDelay batches the changes that server heartbeats make. Together with a
	// read and its propagation it stays far below the 2 s after which a leaving server
	// must get no more work.
	serversBatchDelay = 350 * time.Millisecond
	// staleAfter is the age of the data at which a VM that is not a reader reads the store
	// itself. staleAfterPerDoubling is added for each doubling of the number of VMs, since
	// data is gossiped from VM to VM. With 64 VMs the sum is 2.2 s, below the bound of 3 s
	// for that size.
	staleAfter            = time.Second
	staleAfterPerDoubling = 200 * time.Millisecond
	// startReadDelay is how long after joinTimeout a starting VM that is not a reader waits
	// for data from the readers. Without it, 295 VMs that start together would all read.
	startReadDelay = 150 * time.Millisecond
	// readDelayPerRank staggers the reads of VMs whose data becomes stale at the same time.
	// The delay grows up to the rank maxDelayedRank, or maxDelayedRankWithCells in a fleet
	// of several cells: during a store outage data is stale on all VMs, and reads by a few
	// of them suffice. A VM that hears from no peer reads sooner.
	readDelayPerRank        = 60 * time.Millisecond
	maxDelayedRank          = 10
	maxDelayedRankWithCells = 100
	// readMargin is how long before the limit for applying configurations a VM reads in any case: it can't tell
	// an outage of the store from readers that alone are partitioned from it.
	readMargin = 300 * time.Millisecond
	// storeCheckInterval is how often a VM of a fleet of several cells that is not a reader
	// checks whether a store that did not answer it is available again.
	storeCheckInterval = 4 * time.Second
	// isolatedAfter is the time without an answer from any peer after which a VM reads the
	// store itself.
	isolatedAfter = 900 * time.Millisecond
	// joinTimeout is how long a starting VM waits for a peer that has the full state. It
	// polls at joinPollInterval whether the peers that answered have no state either.
	joinTimeout = 60 * time.Millisecond
	// seedTimeout replaces joinTimeout until a seed has answered: when 295 VMs start, each
	// seed receives requests from about a hundred.
	seedTimeout      = 120 * time.Millisecond
	joinPollInterval = 5 * time.Millisecond
	// settleTime is the time after its start during which a VM does not read again and
	// writes no row: before it has learned of its peers it would rank itself as a reader.
	// 295 VMs that start within 0.3 s learn of others about 0.4 s after their start.
	settleTime = 400 * time.Millisecond
	// idlePollInterval bounds the time after which a VM that does not read checks again
	// whether it has become a reader.
	idlePollInterval = 200 * time.Millisecond
	// startRetryDelay is the delay after a failed call while requests are held for this
	// VM's start.
	startRetryDelay = 30 * time.Millisecond
	// minRetryDelay is doubled with each consecutive failure, up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// watcher keeps the local copy of one table current while this VM is a reader.
type watcher struct {
	name      string
	vm        *VM
	table     Table
	interval  time.Duration
	currentAt func(*spread.Snapshot) time.Time
	// hasRows reports whether any row of the table is known.
	hasRows func(*spread.Snapshot) bool
	// lastPeerReplyAt is when a peer last answered this VM.
	lastPeerReplyAt func() time.Time
	apply           func(ctx context.Context, rows Rows, full bool, at time.Time)
	since           spread.StoreVersion
	synced          bool
	failing         bool
	failedAt        time.Time // Time of the last failure.
	retryDelay      time.Duration
}

// String names the service in the supervisor's messages.
func (w *watcher) String() string {
	return "watch of " + w.name
}

// Serve watches until the context ends.
func (w *watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := w.dueAt(w.vm.spread.Snapshot()).Sub(w.vm.Now()); wait > 0 {
			w.synced = false // Peers apply changes that this VM does not read.
			sleep(ctx, min(wait, w.pollInterval()))
			continue
		}
		if err := w.poll(ctx); err != nil {
			w.onFailure(ctx, err)
			continue
		}
		w.onSuccess(ctx)
		wait := w.interval
		if w.hasRows(w.vm.spread.Snapshot()) {
			wait = max(wait, w.vm.started.Add(settleTime).Sub(w.vm.Now()))
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// dueAt returns when this VM has to read: immediately (zero) if it is a reader or has to
// find out whether the store is available again, else when the data it gets from the
// readers is stale.
func (w *watcher) dueAt(snapshot *spread.Snapshot) time.Time {
	alone := len(snapshot.Live) == 1
	if seedDeadline := w.vm.started.Add(seedTimeout); alone && w.vm.Now().Before(seedDeadline) {
		return seedDeadline
	}
	if joinDeadline := w.vm.started.Add(joinTimeout); (alone || snapshot.Fetching) && w.vm.Now().Before(joinDeadline) {
		return joinDeadline
	}
	rank := w.vm.rank(snapshot)
	if rank < storeReaders || (w.failing && snapshot.Cells <= 1) {
		return time.Time{}
	}
	maxRank := maxDelayedRank
	if snapshot.Cells > 1 {
		maxRank = maxDelayedRankWithCells
	}
	delay := time.Duration(min(rank, maxRank)) * readDelayPerRank
	if w.currentAt(snapshot).IsZero() && !alone {
		return w.vm.started.Add(joinTimeout + startReadDelay + min(delay, maxDelayedRank*readDelayPerRank))
	}
	limit := staleAfter + time.Duration(math.Log2(float64(len(snapshot.Live)))*float64(staleAfterPerDoubling))
	age := limit + delay
	if applyLimit := w.vm.settings.Load().ConfigApplyLimit; applyLimit > 0 {
		age = min(age, applyLimit-readMargin)
	}
	due := w.currentAt(snapshot).Add(age)
	if isolatedAt := w.lastPeerReplyAt().Add(isolatedAfter); isolatedAt.Before(due) {
		return isolatedAt
	}
	if checkAt := w.failedAt.Add(storeCheckInterval); w.failing && checkAt.After(due) {
		return checkAt
	}
	return due
}

// awaitPeers waits until this VM knows of others, at most until limit after its start.
func (v *VM) awaitPeers(ctx context.Context, limit time.Duration) {
	for ctx.Err() == nil && v.Now().Before(v.started.Add(limit)) && len(v.spread.Snapshot().Live) == 1 {
		sleep(ctx, joinPollInterval)
	}
}

// pollInterval returns how long to wait before checking again whether this VM has to read.
func (w *watcher) pollInterval() time.Duration {
	if w.vm.Now().Before(w.vm.started.Add(seedTimeout)) {
		return joinPollInterval
	}
	return idlePollInterval
}

// rankCache holds this VM's rank for one set of live VMs. The rank is used several times a
// second, and ranking 300 VMs is expensive.
type rankCache struct {
	mu   sync.Mutex
	live []spread.Member
	rank int
}

// rank returns this VM's position in the order of readers.
func (v *VM) rank(snapshot *spread.Snapshot) int {
	v.ranked.mu.Lock()
	defer v.ranked.mu.Unlock()
	if !snapshot.SharesLive(v.ranked.live) {
		v.ranked.live = snapshot.Live
		v.ranked.rank = rankOf(snapshot.Self, snapshot.Live)
	}
	return v.ranked.rank
}

// rankOf returns the position of self in the order in which live VMs read the store. The
// order alternates between failure domains; VMs that the store does not answer come last.
func rankOf(self spread.Member, live []spread.Member) int {
	seen := map[string]int{}
	type ranked struct {
		lost  bool
		index int // Among the VMs of its failure domain.
		id    string
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
		order = append(order, ranked{index: seen[m.FailureDomain], id: m.ID})
		seen[m.FailureDomain]++
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.lost != b.lost {
			if b.lost {
				return -1
			}
			return 1
		}
		if a.index != b.index {
			return a.index - b.index
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

func (w *watcher) poll(ctx context.Context) error {
	if !w.synced || w.since.Era != w.vm.storeEra.Load() {
		return w.read(ctx)
	}
	requestedAt := w.vm.Now()
	rows, err := w.table.Watch(ctx, w.since.Rev, watchTimeout)
	if errors.Is(err, ErrHistoryGone) {
		w.synced = false
		return nil
	}
	if err == nil {
		err = w.vm.checkEra(rows.Version.Era)
	}
	if err != nil {
		return err
	}
	if rows.Version.Era != w.since.Era {
		w.synced = false // The store was restored: what has changed is not known.
		return nil
	}
	// This process may have been paused since the store answered, which it did within watchTimeout.
	answeredAt := requestedAt.Add(watchTimeout)
	if now := w.vm.Now(); now.Before(answeredAt) {
		answeredAt = now
	}
	w.apply(ctx, rows, false, answeredAt)
	w.since.Rev = max(w.since.Rev, rows.Version.Rev)
	return nil
}

// read reads and applies the whole table.
func (w *watcher) read(ctx context.Context) error {
	requestedAt := w.vm.Now()
	rows, err := w.table.Read(ctx)
	if err == nil {
		err = w.vm.checkEra(rows.Version.Era)
	}
	if err != nil {
		return err
	}
	w.apply(ctx, rows, true, requestedAt)
	w.since, w.synced = rows.Version, true
	return nil
}

func (w *watcher) onFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.failing {
		event.StoreLost.Warn(w.vm.logger, "table", w.name, "error", err)
		w.vm.countUnreachableTables(ctx, 1)
	}
	w.failing, w.failedAt = true, w.vm.Now()
	if w.vm.Now().Before(w.vm.started.Add(startHold)) {
		sleep(ctx, startRetryDelay)
		return
	}
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	sleep(ctx, w.retryDelay+time.Duration(rand.Int64N(int64(minRetryDelay))))
}

func (w *watcher) onSuccess(ctx context.Context) {
	if w.failing {
		event.StoreRegained.Info(w.vm.logger, "table", w.name)
		w.vm.countUnreachableTables(ctx, -1)
	}
	w.failing = false
	w.retryDelay = 0
}

func sleep(ctx context.Context, length time.Duration) {
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

// applyConfiguration applies the operator's rows: the configuration and the orders of roll-outs.
func (v *VM) applyConfiguration(ctx context.Context, rows Rows, full bool, at time.Time) {
	var raw []byte
	for _, row := range rows.Rows {
		if row.Key == v.options.ConfigurationKey && !row.Deleted {
			raw = row.Value
		}
	}
	if v.settings.Load().Rollouts {
		v.rollouts.applyRows(rows, full, at) // First: with a configuration the VM may be ready.
	}
	v.spread.ApplyConfiguration(ctx, raw, at)
}

// applyServers applies rows of backend servers.
func (v *VM) applyServers(ctx context.Context, rows Rows, full bool, at time.Time) {
	changes := spread.StoreRows{Version: rows.Version, Full: full}
	for _, row := range rows.Rows {
		server, ok := v.options.DecodeServer(row.Key, row.Value)
		if row.Deleted || !ok {
			server = pool.Server{ID: row.Key}
		}
		changes.Rows = append(changes.Rows, spread.ServerRow{Server: server, Changed: row.Version, Deleted: row.Deleted || !ok})
	}
	v.spread.ApplyServers(ctx, changes, at)
}

// announcement is a VM's row in the store, read by VMs whose seeds do not answer.
type announcement struct {
	PeerAddress string `json:"peerAddress"`
}

// discovery writes this VM's row to the store and reads the rows of other VMs.
type discovery struct {
	vm *VM
}

const (
	// announcers is the number of VMs with a row: the first in the order of readers. A
	// starting VM needs to reach one of them.
	announcers = 12
	// announceAfter is how long after its start a VM that knows others may write its row.
	announceAfter = time.Second
	// announcePollInterval is how often a VM without a row checks whether it needs one.
	announcePollInterval = time.Second
	// discoverInterval is how often the readers look for VMs that no peer has reported.
	discoverInterval = 10 * time.Second
	// announceRetryDelay is the delay after a failed write of the row.
	announceRetryDelay = 500 * time.Millisecond
)

// String names the service in the supervisor's messages.
func (d *discovery) String() string {
	return "discovery"
}

// Serve runs until the context ends.
func (d *discovery) Serve(ctx context.Context) error {
	d.vm.awaitPeers(ctx, settleTime)
	if len(d.vm.spread.Snapshot().Live) > 1 {
		sleep(ctx, d.vm.started.Add(announceAfter).Sub(d.vm.Now())) // The number of VMs is not known yet.
	}
	discoverAt := time.Time{}
	for ctx.Err() == nil {
		snapshot := d.vm.spread.Snapshot()
		alone := len(snapshot.Live) == 1
		rank := d.vm.rank(snapshot)
		if rank < announcers {
			d.announce(ctx)
		}
		if (alone || rank < storeReaders) && !d.vm.Now().Before(discoverAt) {
			d.discover(ctx)
			discoverAt = d.vm.Now().Add(discoverInterval)
		}
		if alone || (rank < announcers && !d.vm.written.has(d.vm.settings.Load().PeerAddress)) {
			discoverAt = time.Time{}
			sleep(ctx, announceRetryDelay)
			continue
		}
		sleep(ctx, announcePollInterval)
	}
	return ctx.Err()
}

func (d *discovery) announce(ctx context.Context) {
	address := d.vm.settings.Load().PeerAddress
	if d.vm.written.has(address) || d.vm.IsLeaving() {
		return
	}
	value, err := json.Marshal(announcement{PeerAddress: address})
	if err != nil {
		return // A string can always be encoded as JSON.
	}
	if err = d.vm.written.put(ctx, d.vm.options.VMs, address, value); err != nil {
		d.vm.logger.Debug("this VM's row could not be written", "error", err)
	}
}

func (d *discovery) discover(ctx context.Context) {
	rows, err := d.vm.options.VMs.Read(ctx)
	if err != nil {
		d.vm.logger.Debug("VMs could not be read", "error", err)
		return
	}
	addresses := slices.Clone(d.vm.settings.Load().Seeds)
	for _, row := range rows.Rows {
		found := announcement{}
		if err = json.Unmarshal(row.Value, &found); err == nil && !slices.Contains(addresses, found.PeerAddress) {
			addresses = append(addresses, found.PeerAddress)
		}
	}
	d.vm.spread.SetSeeds(ctx, addresses)
}

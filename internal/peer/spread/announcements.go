package spread

import (
	"bytes"
	"context"
	"slices"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// VMs announce once, without acknowledgement: their loads on servers, the locations of copies,
// losses, crashes, departures and limits of servers, and changes of roll-outs. An announcement is an optimisation: a VM that
// misses one finds out by itself, so announcements may be lost.

// announcement is one item to send once. Exactly one of the pointers is set. Group is the group
// of servers that it concerns; only the watchers of the group announce it to all VMs.
type announcement struct {
	copyLocation *CopyLocation
	crashReport  *crash.Report
	loss         *LossReport
	departure    *pool.Departure
	limit        *pool.ServerLimit
	backoff      *pool.Backoff
	rollouts     *RolloutNews
	group        string
}

// enqueue queues an announcement, or drops it if the queue is full.
func (s *Spread) enqueue(a announcement) {
	select {
	case s.announcements <- a:
		if a.copyLocation != nil && !a.copyLocation.Withdrawn {
			s.AnnounceLoadsLater() // Peers need it only after this VM is lost.
		} else {
			s.AnnounceLoads()
		}
	default:
		s.options.Logger.Warn("announcement to peers dropped: queue is full")
	}
}

// AnnounceCopy announces to the cell peers where a stream's memory is copied to.
func (s *Spread) AnnounceCopy(location CopyLocation) {
	s.enqueue(announcement{copyLocation: &location})
}

// FlushAnnouncements sends what has been queued, and returns once it was written to the connections to the
// peers, or after flushTimeout.
func (s *Spread) FlushAnnouncements(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	s.do(ctx, func(st *state) {
		if len(s.announcements) > 0 {
			s.sendLoads(st)
		}
	})
	s.options.Flush(ctx)
}

// AnnounceCrash announces to all VMs the servers that terminated while they ran a content.
func (s *Spread) AnnounceCrash(report crash.Report) {
	s.enqueue(announcement{crashReport: &report})
}

// AnnounceLoss reports a server of a group that is down, or up again: to all VMs if this VM
// watches the group, otherwise to the watchers of the group.
func (s *Spread) AnnounceLoss(group string, report LossReport) {
	s.enqueue(announcement{loss: &report, group: group})
}

// ApplyLossReports updates the pool with the loss reports of peers.
func ApplyLossReports(servers *pool.Pool, reports []LossReport) {
	for _, report := range reports {
		switch {
		case report.SuccessorID != "":
			servers.ApplyPeerSuccessor(report.ServerID, report.SuccessorID)
		case report.Up:
			servers.ApplyPeerUp(report.ServerID)
		default:
			servers.ApplyPeerLoss(report.ServerID, report.Terminated)
		}
	}
}

// AnnounceDeparture reports a server that is leaving, to the same VMs as AnnounceLoss.
func (s *Spread) AnnounceDeparture(group string, departure pool.Departure) {
	s.enqueue(announcement{departure: &departure, group: group})
}

// AnnounceLimit reports the limit that a server named, to the same VMs as AnnounceLoss.
func (s *Spread) AnnounceLimit(group string, limit pool.ServerLimit) {
	s.enqueue(announcement{limit: &limit, group: group})
}

// AnnounceBackoff tells all VMs for how long a server asked for no requests.
func (s *Spread) AnnounceBackoff(backoff pool.Backoff) {
	s.enqueue(announcement{backoff: &backoff})
}

// areLoadsDue reports whether this VM's loads have to be sent again although nothing changed,
// since they expire at the peers. In a fleet of several cells a VM without loads sends none.
func (s *Spread) areLoadsDue(st *state) bool {
	since := s.options.Now().Sub(st.loadsSentAt)
	if !st.members.hasSeveralCells() {
		return since >= pool.LoadReportInterval
	}
	if since < pool.LoadReportIntervalInCells {
		return false
	}
	loads := s.loadsMessage(st)
	return len(loads.Loads) > 0 || !bytes.Equal(loads.encode(), st.loadsSent)
}

// loadsMessage returns a message with this VM's current loads and service usage.
func (s *Spread) loadsMessage(st *state) message {
	return message{From: st.members.self.ID, HasLoads: true, Loads: s.options.Loads(), ServiceUsage: s.options.ServiceUsage(), Admission: s.options.Admission()}
}

// sendLoads sends this VM's loads to its cell peers, and the queued announcements to the VMs
// that need them.
func (s *Spread) sendLoads(st *state) {
	st.loadsSentAt = s.options.Now()
	loads := s.loadsMessage(st)
	st.loadsSent = loads.encode()
	toAll := message{From: st.members.self.ID}
	reports := map[string]*message{} // By the watcher's ID.
	receivers := map[string]Member{}
	for _, a := range s.takeAnnouncements() {
		switch {
		case a.copyLocation != nil:
			loads.Copies = append(loads.Copies, *a.copyLocation)
		case a.group == "" || s.Watches(a.group):
			toAll.add(a)
		default:
			for _, watcher := range s.Watchers(a.group) {
				if reports[watcher.ID] == nil {
					reports[watcher.ID] = &message{From: st.members.self.ID}
					receivers[watcher.ID] = watcher
				}
				reports[watcher.ID].add(a)
			}
		}
	}
	loads.Crashes, loads.Losses, loads.Departures, loads.Limits = toAll.Crashes, toAll.Losses, toAll.Departures, toAll.Limits
	loads.Rollouts, loads.Backoffs = toAll.Rollouts, toAll.Backoffs
	cellPeers, forwarders := st.members.cellAndForwarders()
	s.post(cellPeers, &loads)
	if toAll.hasAnnouncements() {
		toAll.Forward = true
		s.post(forwarders, &toAll)
	}
	for id, report := range reports {
		s.post([]Member{receivers[id]}, report)
	}
}

// add appends an announcement to a message.
func (m *message) add(a announcement) {
	switch {
	case a.copyLocation != nil:
		m.Copies = append(m.Copies, *a.copyLocation)
	case a.crashReport != nil:
		m.Crashes = append(m.Crashes, *a.crashReport)
	case a.loss != nil:
		m.Losses = append(m.Losses, *a.loss)
	case a.departure != nil:
		m.Departures = append(m.Departures, *a.departure)
	case a.limit != nil:
		m.Limits = append(m.Limits, *a.limit)
	case a.backoff != nil:
		m.Backoffs = append(m.Backoffs, *a.backoff)
	case a.rollouts != nil:
		if m.Rollouts == nil {
			m.Rollouts = &RolloutNews{}
		}
		m.Rollouts.Orders = append(m.Rollouts.Orders, a.rollouts.Orders...)
		m.Rollouts.States = append(m.Rollouts.States, a.rollouts.States...)
		m.Rollouts.NowMillis, m.Rollouts.Era = a.rollouts.NowMillis, a.rollouts.Era
	}
}

// takeAnnouncements empties the queue.
func (s *Spread) takeAnnouncements() []announcement {
	taken := []announcement{}
	for {
		select {
		case a := <-s.announcements:
			taken = append(taken, a)
		default:
			return taken
		}
	}
}

func (s *Spread) post(peers []Member, m *message) {
	body := m.encode()
	for _, peer := range peers {
		s.options.Post(peer.ID, peer.PeerAddress, body)
	}
}

// forward sends the cell peers a message that a VM of another cell announces to all.
func (s *Spread) forward(received message) {
	received.Forward = false
	s.post(s.Snapshot().CellPeers, &received)
}

// announceToNewCellPeers sends VMs that are new in this VM's cell the locations of its streams'
// copies and the departures and limits of servers, which were announced before they were in the cell. They
// have joined, or cells were reassigned after other VMs joined or were lost.
func (s *Spread) announceToNewCellPeers(st *state) {
	cellPeers, _ := st.members.cellAndForwarders()
	known := make(map[string]bool, len(cellPeers))
	newPeers := []Member{}
	for _, peer := range cellPeers {
		known[peer.ID] = true
		if !st.cellPeersSeen[peer.ID] {
			newPeers = append(newPeers, peer)
		}
	}
	st.cellPeersSeen = known
	if len(newPeers) == 0 {
		return
	}
	m := message{From: st.members.self.ID, Copies: s.options.Copies(), Departures: s.options.Departures(), Limits: s.options.Limits()}
	if m.hasAnnouncements() {
		s.post(newPeers, &m)
	}
}

// LocateCopies queries the copy index VMs of all cells for runs. If in some cell none answers, equal
// requests may run there: othersAnswered is about the other cells, and ownAnswered about this VM's own,
// whose runs it mostly knows itself.
func (s *Spread) LocateCopies(ctx context.Context, wanted CopyQuery) (locations []CopyLocation, ownAnswered, othersAnswered bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	query := message{From: s.options.Self.ID, WantCopies: []CopyQuery{wanted}}
	body := query.encode()
	snapshot := s.Snapshot()
	type answer struct {
		cell     int
		copies   []CopyLocation
		answered bool
	}
	answers := make(chan answer, len(snapshot.CopyIndexVMs))
	open, hasOthers := 0, false  // Whether the own cell has another index VM.
	unanswered := map[int]bool{} // By cell.
	for i, indexVM := range snapshot.CopyIndexVMs {
		cell := snapshot.CopyIndexCells[i]
		unanswered[cell] = true
		if indexVM.ID == s.options.Self.ID {
			continue
		}
		hasOthers = hasOthers || cell == snapshot.Cell
		open++
		rescue.Go(s.options.Logger, "locating a copy", func() {
			reply, err := s.options.Call(ctx, indexVM.ID, indexVM.PeerAddress, body)
			if err != nil {
				answers <- answer{cell: cell} // The others are queried too.
				return
			}
			received, err := decode(reply)
			if err != nil {
				s.options.Logger.Warn("cannot decode a peer's reply", "peer", indexVM.ID, "error", err)
			}
			if received.Versions != nil {
				s.options.OnVersions(received.Versions)
			}
			answers <- answer{cell: cell, copies: received.Copies, answered: err == nil}
		})
	}
	for ; open > 0; open-- {
		select {
		case a := <-answers:
			locations = append(locations, a.copies...)
			if a.answered {
				delete(unanswered, a.cell)
			}
		case <-ctx.Done():
			open = 1
		}
		if len(unanswered) == 0 {
			break
		}
	}
	ownAnswered = !unanswered[snapshot.Cell] || !hasOthers
	delete(unanswered, snapshot.Cell)
	return locations, ownAnswered, len(unanswered) == 0
}

// AskForVersions asks the other copy index VMs for the versions of servers, and reports whether all of them
// answered. Options.OnVersions receives the versions that are known.
func (s *Spread) AskForVersions(ctx context.Context) (allAnswered bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	query := message{From: s.options.Self.ID, WantCopies: []CopyQuery{{}}}
	body := query.encode()
	others := slices.DeleteFunc(slices.Clone(s.Snapshot().CopyIndexVMs), func(m Member) bool { return m.ID == s.options.Self.ID })
	answered := make(chan struct{}, len(others))
	for _, indexVM := range others {
		rescue.Go(s.options.Logger, "asking for versions", func() {
			reply, err := s.options.Call(ctx, indexVM.ID, indexVM.PeerAddress, body)
			if err != nil {
				return
			}
			received, err := decode(reply)
			if err != nil {
				return // It has just started too, and does not know yet.
			}
			if received.Versions != nil {
				s.options.OnVersions(received.Versions)
			}
			answered <- struct{}{}
		})
	}
	for range others {
		select {
		case <-answered:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

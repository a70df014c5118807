package spread

import (
	"bytes"
	"context"
	"slices"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// What VMs tell each other once: their work on servers, where copies are, and losses,
// crashes and departures of servers. Each only saves work that the others can also do
// without it, so notes may be lost.

// note is one thing to tell once. One of the pointers is set. Group names the servers that
// it is about: only their watchers tell all.
type note struct {
	copied  *CopyLocation
	crashed *crash.Report
	lost    *LossReport
	left    *pool.Departure
	group   string
}

// tell queues a note. When too many wait it is dropped.
func (s *Spread) tell(n note) {
	select {
	case s.notes <- n:
		if n.copied != nil {
			s.AnnounceLoadsLater() // It is needed once this VM is lost.
		} else {
			s.AnnounceLoads()
		}
	default:
		s.options.Logger.Warn("a note to the peers was dropped: too many wait")
	}
}

// AnnounceCopy tells the VMs of the cell where a stream's memory is copied to.
func (s *Spread) AnnounceCopy(copied CopyLocation) {
	s.tell(note{copied: &copied})
}

// AnnounceCrash tells all of servers that ended under a content.
func (s *Spread) AnnounceCrash(crashed crash.Report) {
	s.tell(note{crashed: &crashed})
}

// AnnounceLoss tells of a server of a group that is down, or up again: all VMs if this VM
// watches the group, and else its watchers.
func (s *Spread) AnnounceLoss(group string, lost LossReport) {
	s.tell(note{lost: &lost, group: group})
}

// ApplyLossReports takes in what peers told of servers.
func ApplyLossReports(servers *pool.Pool, notes []LossReport) {
	for _, note := range notes {
		switch {
		case note.SuccessorID != "":
			servers.ApplyPeerSuccessor(note.ServerID, note.SuccessorID)
		case note.Up:
			servers.ApplyPeerUp(note.ServerID)
		default:
			servers.ApplyPeerLoss(note.ServerID, note.Terminated)
		}
	}
}

// AnnounceDeparture tells in the same way of a server that said it is leaving.
func (s *Spread) AnnounceDeparture(group string, left pool.Departure) {
	s.tell(note{left: &left, group: group})
}

// isWorkDue reports whether this VM's work has to be told again although nothing changed:
// peers forget it after a while. In a fleet of several cells a VM without any is silent.
func (s *Spread) isWorkDue(st *state) bool {
	since := s.options.Now().Sub(st.workToldAt)
	if !st.members.isSplit() {
		return since >= pool.LoadReportInterval
	}
	if since < pool.LoadReportIntervalInCells {
		return false
	}
	work := s.currentWork(st)
	return len(work.Loads) > 0 || !bytes.Equal(work.encode(), st.workTold)
}

// currentWork is what this VM tells of its work.
func (s *Spread) currentWork(st *state) message {
	return message{From: st.members.self.ID, HasLoads: true, Loads: s.options.Loads(), Uses: s.options.ServiceUsage()}
}

// tellWork sends this VM's work to the VMs of its cell, and the notes that wait to those
// that need them.
func (s *Spread) tellWork(st *state) {
	st.workToldAt = s.options.Now()
	work := s.currentWork(st)
	st.workTold = work.encode()
	toAll := message{From: st.members.self.ID}
	reports := map[string]*message{} // To watchers, by their ID.
	receivers := map[string]Member{}
	for _, n := range s.takeNotes() {
		switch {
		case n.copied != nil:
			work.Copies = append(work.Copies, *n.copied)
		case n.group == "" || s.Watches(n.group):
			toAll.add(n)
		default:
			for _, watcher := range s.Watchers(n.group) {
				if reports[watcher.ID] == nil {
					reports[watcher.ID] = &message{From: st.members.self.ID}
					receivers[watcher.ID] = watcher
				}
				reports[watcher.ID].add(n)
			}
		}
	}
	work.Crashes, work.Losses, work.Departures = toAll.Crashes, toAll.Losses, toAll.Departures
	mates, leads := st.members.inCell()
	s.post(mates, &work)
	if toAll.hasNotes() {
		toAll.PassOn = true
		s.post(leads, &toAll)
	}
	for id, report := range reports {
		s.post([]Member{receivers[id]}, report)
	}
}

// add puts a note into a message.
func (m *message) add(n note) {
	switch {
	case n.copied != nil:
		m.Copies = append(m.Copies, *n.copied)
	case n.crashed != nil:
		m.Crashes = append(m.Crashes, *n.crashed)
	case n.lost != nil:
		m.Losses = append(m.Losses, *n.lost)
	case n.left != nil:
		m.Departures = append(m.Departures, *n.left)
	}
}

// takeNotes gives the notes that wait.
func (s *Spread) takeNotes() []note {
	waiting := []note{}
	for {
		select {
		case n := <-s.notes:
			waiting = append(waiting, n)
		default:
			return waiting
		}
	}
}

func (s *Spread) post(peers []Member, m *message) {
	body := m.encode()
	for _, peer := range peers {
		s.options.Post(peer.ID, peer.PeerAddress, body)
	}
}

// passOn tells the mates what a VM of another cell tells all.
func (s *Spread) passOn(told message) {
	told.PassOn = false
	s.post(s.Snapshot().CellPeers, &told)
}

// tellNewMates tells VMs that are new in this VM's cell where the copies of its streams are,
// and which servers said they are leaving: they were not in the cell when that was told.
// They have joined, or the fleet has been split anew since others joined or were lost.
func (s *Spread) tellNewMates(st *state) {
	mates, _ := st.members.inCell()
	known := make(map[string]bool, len(mates))
	newMates := []Member{}
	for _, mate := range mates {
		known[mate.ID] = true
		if !st.matesKnown[mate.ID] {
			newMates = append(newMates, mate)
		}
	}
	st.matesKnown = known
	if len(newMates) == 0 {
		return
	}
	m := message{From: st.members.self.ID, Copies: s.options.Copies(), Departures: s.options.Departures()}
	if m.hasNotes() {
		s.post(newMates, &m)
	}
}

// LocateCopy asks the keepers of all cells where a copy is. The first answer counts.
func (s *Spread) LocateCopy(ctx context.Context, key string) (copied CopyLocation, found bool) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	m := message{From: s.options.Self.ID, WantCopies: []string{key}}
	body := m.encode()
	keepers := slices.DeleteFunc(slices.Clone(s.Snapshot().CopyIndexVMs), func(k Member) bool { return k.ID == s.options.Self.ID })
	answers := make(chan []CopyLocation, len(keepers))
	for _, keeper := range keepers {
		rescue.Go(s.options.Logger, "question for a copy", func() {
			reply, err := s.options.Call(ctx, keeper.ID, keeper.PeerAddress, body)
			if err != nil {
				answers <- nil // The others are asked too.
				return
			}
			told, err := decode(reply)
			if err != nil {
				s.options.Logger.Warn("a peer's answer could not be read", "peer", keeper.ID, "error", err)
			}
			answers <- told.Copies
		})
	}
	for range keepers {
		select {
		case notes := <-answers:
			if len(notes) > 0 {
				return notes[0], true
			}
		case <-ctx.Done():
			return CopyLocation{}, false
		}
	}
	return CopyLocation{}, false
}

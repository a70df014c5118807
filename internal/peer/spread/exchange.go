package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// tick asks a few peers what they have.
func (s *Spread) tick(ctx context.Context, st *state) {
	st.members.forget(s.options.Now())
	st.ticks++
	peers := st.members.neighbours()
	for _, peer := range some(peers, exchangesPerTick) {
		s.exchange(ctx, st, peer.ID, peer.PeerAddress, 1)
	}
	if s.isWorkDue(st) {
		s.tellWork(st)
	}
	switch {
	case st.ticks == 1:
		s.askSeeds(ctx, st, 1) // Many VMs may start together and have the same three.
	case len(peers) == 0 || st.ticks%seedTicks == 0 || (st.ticks < seedTicks && st.isSeed()):
		s.askSeeds(ctx, st, len(st.seeds))
	}
	if down, found := st.members.oneDown(); found && (!st.members.isSplit() || st.ticks%downTicks == 0) {
		s.exchange(ctx, st, down.ID, down.PeerAddress, 0) // It may only have been cut off.
	}
	s.publish(st)
}

// isSeed reports whether this VM is one of the seeds. When many VMs start together each asks
// one seed, and the seeds have to find each other, or as many fleets as seeds begin.
func (st *state) isSeed() bool {
	return slices.Contains(st.seeds, st.members.self.PeerAddress)
}

// askSeeds asks up to so many seeds that are not known as members.
func (s *Spread) askSeeds(ctx context.Context, st *state, most int) {
	known := map[string]bool{}
	for _, m := range st.members.up() {
		known[m.PeerAddress] = true
	}
	unknown := slices.DeleteFunc(slices.Clone(st.seeds), func(address string) bool { return known[address] })
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, address := range unknown[:min(most, len(unknown))] {
		s.exchange(ctx, st, "seed "+address, address, 0)
	}
}

func (s *Spread) summary(st *state) *summary {
	now := s.options.Now()
	return &summary{
		ConfigVersion:  st.configVersion(),
		ConfigAge:      ageOf(st.configAt, now),
		ServersVersion: st.servers.version,
		ServersAge:     ageOf(st.servers.currentAt, now),
		MembersHash:    st.members.hash(),
		ServersSum:     st.servers.sum,
		CrashesSum:     s.options.CrashesHash(),
	}
}

// introduce begins a message with who this VM is and what it has.
func (s *Spread) introduce(st *state) message {
	self := st.members.self
	return message{From: self.ID, Address: self.PeerAddress, Summary: s.summary(st)}
}

// exchange sends a summary and takes in the answer later. Retries is how often a
// peer is asked again before it is taken as down.
func (s *Spread) exchange(ctx context.Context, st *state, peer, address string, retries int) {
	m := s.introduce(st)
	m.Members = []Member{st.members.self.Member}
	if known := st.members.others[peer]; known != nil && known.Down {
		m.Members = append(m.Members, known.Member) // So that it can refute it.
	}
	body := m.encode()
	rescue.Go(s.options.Logger, "exchange with a peer", func() {
		for try := 0; ; try++ {
			if s.ask(ctx, peer, address, body, callLimit) {
				return
			}
			if try >= retries || ctx.Err() != nil {
				break
			}
		}
		if retries > 0 {
			s.do(ctx, func(st *state) { s.lost(st, peer) })
		}
	})
}

// ask makes one call and takes in its answer.
func (s *Spread) ask(ctx context.Context, peer, address string, body []byte, limit time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := s.options.Call(callCtx, peer, address, body)
	if err != nil {
		if callCtx.Err() != nil {
			s.options.Disconnect(peer) // The connection may have gone silent.
		}
		return false
	}
	s.heardAt.Store(s.options.Now().UnixNano())
	told, err := decode(reply)
	if err != nil {
		s.options.Logger.Warn("a peer's answer could not be read", "peer", peer, "error", err)
		return false
	}
	if len(told.Crashes) > 0 {
		s.options.OnCrashes(told.Crashes)
	}
	s.do(ctx, func(st *state) { s.learn(ctx, st, told) })
	return true
}

// lost marks a peer that did not answer, unless no other answers either: then
// this VM may be the one that is cut off.
func (s *Spread) lost(st *state, peer string) {
	isolated := s.options.Now().Sub(s.LastPeerReplyAt()) > isolatedAfter
	if isolated && len(st.members.up()) > 2 {
		return
	}
	if !st.members.lost(peer, s.options.Now()) {
		return
	}
	event.PeerDown.Warn(s.options.Logger, "peer", peer, "up", len(st.members.up()))
	st.hintDue = true
	s.tellNewMates(st)
	s.publish(st)
}

// hint tells a few peers what this VM has, and which entries of VMs changed.
func (s *Spread) hint(st *state) {
	if !st.hintDue && !st.membersDue {
		return // An earlier hint has told all.
	}
	news := st.hintDue
	st.hintDue, st.membersDue = false, false
	m := s.introduce(st)
	m.NoAnswer = true
	m.Members = st.members.takeChanged()
	body := m.encode()
	fanout := hintFanout
	if !news && st.members.isSplit() {
		fanout = membersFanout
	}
	for _, peer := range some(st.members.neighbours(), fanout) {
		s.options.Post(peer.ID, peer.PeerAddress, body)
	}
}

// OnMessage takes in a peer's message and gives the answer.
func (s *Spread) OnMessage(body []byte) []byte {
	told, err := decode(body)
	if err != nil {
		s.options.Logger.Warn("a peer's message could not be read", "error", err)
		return nil
	}
	s.learnWork(told)
	if len(told.WantCopies) > 0 {
		found := message{From: s.options.Self.ID, Copies: s.options.FindCopies(told.WantCopies)}
		return found.encode()
	}
	if told.Summary == nil && told.Want == nil && told.WantMembers == nil && len(told.Members) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	answers := make(chan message, 1)
	s.do(ctx, func(st *state) {
		s.learn(context.WithoutCancel(ctx), st, told)
		if !told.NoAnswer {
			answers <- s.answer(st, told)
		}
	})
	select {
	case answer := <-answers:
		return answer.encode()
	default:
		return nil // The loop is behind; the peer asks again.
	}
}

// answer gives what a message asks for.
func (s *Spread) answer(st *state, told message) message {
	m := s.introduce(st)
	if told.Summary != nil && told.Summary.MembersHash != m.Summary.MembersHash {
		m.Digests = st.members.digests()
	}
	if told.Summary != nil && told.Summary.CrashesSum != m.Summary.CrashesSum {
		m.Crashes = s.options.Crashes()
	}
	m.Members = st.members.named(told.WantMembers)
	if known := st.members.others[told.From]; known != nil && known.Down {
		m.Members = append(slices.Clone(m.Members), known.Member) // So that it can refute it.
	}
	if told.Want != nil && told.Want.Config && st.configVersion() > told.Want.ConfigVersion {
		m.Config = st.packed
	}
	if told.Want != nil && told.Want.Servers && st.servers.version > told.Want.ServersVersion {
		m.Servers = st.servers.changesSince(told.Want.ServersVersion)
	}
	return m
}

// learn takes in what a message tells, and fetches from its sender what this VM lacks.
func (s *Spread) learn(ctx context.Context, st *state, told message) {
	now := s.options.Now()
	if st.members.hear(told.Members, now) {
		st.membersDue = true
		s.tellNewMates(st)
	}
	if told.Digests != nil {
		s.reconcile(ctx, st, told)
	}
	if told.Config != nil {
		s.unpack(st, told)
	}
	if told.Servers != nil {
		st.serversFetch = time.Time{}
		s.applyServers(st, told, now)
	}
	if told.Summary != nil {
		s.learnSum(st, told.Summary, now)
		s.learnAges(st, told.Summary, now)
		s.fetch(ctx, st, told, now)
	}
	s.publish(st)
}

// reconcile gives a peer the entries of members that it lacks, and asks it for those that
// this VM lacks.
func (s *Spread) reconcile(ctx context.Context, st *state, told message) {
	lacking, wanted := st.members.compare(told.Digests)
	if len(lacking)+len(wanted) == 0 {
		return
	}
	m := message{From: st.members.self.ID, Members: lacking, WantMembers: wanted}
	m.NoAnswer = len(wanted) == 0
	body := m.encode()
	if m.NoAnswer {
		s.options.Post(told.From, told.Address, body)
		return
	}
	rescue.Go(s.options.Logger, "members from a peer", func() { s.ask(ctx, told.From, told.Address, body, callLimit) })
}

// learnSum takes over a peer's newer version if its list has the same servers as this
// VM's: most versions are servers' heartbeats.
func (s *Spread) learnSum(st *state, told *summary, now time.Time) {
	if st.servers.version == 0 || told.ServersVersion <= st.servers.version || told.ServersSum != st.servers.sum {
		return
	}
	st.servers.noteReturn(momentOf(told.ServersAge, now))
	st.servers.apply(&ServerChanges{Base: st.servers.version, Version: told.ServersVersion, Sum: told.ServersSum}, now)
}

func (s *Spread) unpack(st *state, told message) {
	st.configFetch = time.Time{}
	raw, err := decompress(told.Config)
	if err != nil {
		event.ConfigUnreadable.Warn(s.options.Logger, "from", told.From, "error", err)
		return
	}
	s.adopt(st, raw, told.From)
}

// applyServers takes in a peer's changes of the list of servers.
func (s *Spread) applyServers(st *state, told message, now time.Time) {
	if told.Summary != nil && told.Servers.Version > st.servers.version {
		st.servers.noteReturn(momentOf(told.Summary.ServersAge, now))
	}
	if st.servers.apply(told.Servers, now) {
		s.serversChanged(st, told.From, len(told.Servers.Rows))
		st.hintDue = true
	}
}

// learnAges takes over how current a peer knows a version to be that this VM has too.
func (s *Spread) learnAges(st *state, told *summary, now time.Time) {
	if at := momentOf(told.ConfigAge, now); told.ConfigVersion == st.configVersion() && at.After(st.configAt) {
		st.configAt = at
	}
	if told.ServersVersion == st.servers.version {
		st.servers.noteCurrent(momentOf(told.ServersAge, now))
	}
}

// fetch asks the sender for what it has and this VM lacks, unless a fetch of
// that runs already.
func (s *Spread) fetch(ctx context.Context, st *state, told message, now time.Time) {
	w := want{ConfigVersion: st.configVersion(), ServersVersion: st.servers.base()}
	w.Config = told.Summary.ConfigVersion > w.ConfigVersion && now.After(st.configFetch)
	w.Servers = told.Summary.ServersVersion > st.servers.version && now.After(st.serversFetch)
	if !w.Config && !w.Servers {
		return
	}
	until := now.Add(fetchLimit)
	if w.Config {
		st.configFetch = until
	}
	if w.Servers {
		st.serversFetch = until
	}
	m := message{From: st.members.self.ID, Want: &w}
	body := m.encode()
	rescue.Go(s.options.Logger, "fetch from a peer", func() {
		if s.ask(ctx, told.From, told.Address, body, fetchLimit) {
			return
		}
		s.do(ctx, func(st *state) { s.fetchFailed(st, w) })
	})
}

// fetchFailed lets the next hint start another fetch.
func (s *Spread) fetchFailed(st *state, w want) {
	if w.Config {
		st.configFetch = time.Time{}
	}
	if w.Servers {
		st.serversFetch = time.Time{}
	}
}

// learnWork takes in the parts of a message that the loop does not own.
func (s *Spread) learnWork(told message) {
	if told.PassOn {
		s.passOn(told)
	}
	if told.HasLoads {
		s.options.OnLoads(told.From, told.Loads)
	}
	if len(told.Uses) > 0 {
		s.options.OnServiceUsage(told.From, told.Uses)
	}
	if len(told.Copies) > 0 {
		s.options.OnCopies(told.Copies)
	}
	if len(told.Crashes) > 0 {
		s.options.OnCrashes(told.Crashes)
	}
	if len(told.Departures) > 0 {
		s.options.OnDepartures(told.Departures)
	}
	if len(told.Losses) > 0 {
		s.options.OnLosses(told.Losses)
	}
}

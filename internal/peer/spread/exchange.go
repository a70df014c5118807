package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// tick runs one round of anti-entropy: it exchanges summaries with a few random peers.
func (s *Spread) tick(ctx context.Context, st *state) {
	st.members.removeExpired(s.options.Now())
	st.ticks++
	peers := st.members.neighbours()
	for _, peer := range sample(peers, exchangesPerTick) {
		s.exchange(ctx, st, peer.ID, peer.PeerAddress, 1)
	}
	if s.areLoadsDue(st) {
		s.sendLoads(st)
	}
	switch {
	case st.ticks == 1:
		s.exchangeWithSeeds(ctx, st, 1) // Only one: many VMs may start together with the same three seeds.
	case len(peers) == 0 || st.ticks%seedTicks == 0 || (st.ticks < seedTicks && st.isSeed()):
		s.exchangeWithSeeds(ctx, st, len(st.seeds))
	}
	if down, found := st.members.anyDown(); found && (!st.members.hasSeveralCells() || st.ticks%downTicks == 0) {
		s.exchange(ctx, st, down.ID, down.PeerAddress, 0) // It may only have been partitioned.
	}
	s.publish(st)
}

// isSeed reports whether this VM is one of the seeds. When many VMs start together, each contacts
// one seed. The seeds have to contact each other, or a separate fleet forms around each seed.
func (st *state) isSeed() bool {
	return slices.Contains(st.seeds, st.members.self.PeerAddress)
}

// exchangeWithSeeds exchanges with at most limit random seeds that are not known as members.
func (s *Spread) exchangeWithSeeds(ctx context.Context, st *state, limit int) {
	known := map[string]bool{}
	for _, m := range st.members.up() {
		known[m.PeerAddress] = true
	}
	unknown := slices.DeleteFunc(slices.Clone(st.seeds), func(address string) bool { return known[address] })
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, address := range unknown[:min(limit, len(unknown))] {
		s.exchange(ctx, st, "seed "+address, address, 0)
	}
}

func (s *Spread) summary(st *state) *summary {
	now := s.options.Now()
	return &summary{
		ConfigVersion:  st.configVersion(),
		ConfigAge:      ageMillis(st.configAt, now),
		ServersVersion: st.servers.version.Rev,
		ServersEra:     st.servers.version.Era,
		ServersAge:     ageMillis(st.servers.currentAt, now),
		MembersHash:    st.members.hash(),
		ServersHash:    st.servers.hash,
		CrashesHash:    s.options.CrashesHash(),
		RolloutsHash:   s.options.Rollouts.Digest(),
	}
}

// newMessage returns a message with the sender's ID, address and summary.
func (s *Spread) newMessage(st *state) message {
	self := st.members.self
	return message{From: self.ID, Address: self.PeerAddress, Summary: s.summary(st)}
}

// exchange sends a summary and merges the reply asynchronously. The peer is marked as down
// when the call and that many retries fail; with retries 0 it is not marked.
func (s *Spread) exchange(ctx context.Context, st *state, peer, address string, retries int) {
	m := s.newMessage(st)
	m.Members = []Member{st.members.self.Member}
	if known := st.members.others[peer]; known != nil && known.Down {
		m.Members = append(m.Members, known.Member) // Lets the peer refute it.
	}
	body := m.encode()
	rescue.Go(s.options.Logger, "exchange with a peer", func() {
		for try := 0; ; try++ {
			if s.callPeer(ctx, peer, address, body, callTimeout) {
				return
			}
			if try >= retries || ctx.Err() != nil {
				break
			}
		}
		if retries > 0 {
			s.do(ctx, func(st *state) { s.markDown(st, peer) })
		}
	})
}

// callPeer makes one call, merges the reply and reports whether there was one.
func (s *Spread) callPeer(ctx context.Context, peer, address string, body []byte, limit time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := s.options.Call(callCtx, peer, address, body)
	if err != nil {
		if callCtx.Err() != nil {
			s.options.Disconnect(peer) // The connection may be dead without an error.
		}
		return false
	}
	s.lastReplyAt.Store(s.options.Now().UnixNano())
	received, err := decode(reply)
	if err != nil {
		s.options.Logger.Warn("cannot decode a peer's reply", "peer", peer, "error", err)
		return false
	}
	if len(received.Crashes) > 0 {
		s.options.OnCrashes(received.Crashes)
	}
	if len(received.Departures) > 0 {
		s.options.OnDepartures(received.Departures)
	}
	s.applyRollouts(received)
	s.do(ctx, func(st *state) {
		s.merge(ctx, st, received)
		if len(received.Limits) > 0 {
			s.options.OnLimits(received.Limits) // After the servers that they are of.
		}
	})
	return true
}

// markDown marks a peer that did not answer as down. With more than two VMs up it does nothing
// if no other peer has answered lately either: then this VM itself may be partitioned.
func (s *Spread) markDown(st *state, peer string) {
	partitioned := s.options.Now().Sub(s.LastPeerReplyAt()) > partitionedAfter
	if partitioned && len(st.members.up()) > 2 {
		return
	}
	if !st.members.markDown(peer, s.options.Now()) {
		return
	}
	event.PeerDown.Warn(s.options.Logger, "peer", peer, "up", len(st.members.up()))
	st.hintDue = true
	s.announceToNewCellPeers(st)
	s.publish(st)
}

// sendHint sends a few peers the summary of this VM and the member entries that changed.
func (s *Spread) sendHint(st *state) {
	if !st.hintDue && !st.membersDue {
		return // An earlier hint has covered everything.
	}
	isNews := st.hintDue
	st.hintDue, st.membersDue = false, false
	m := s.newMessage(st)
	m.NoReply = true
	m.Members = st.members.takeChanged()
	body := m.encode()
	fanout := hintFanout
	if !isNews && st.members.hasSeveralCells() {
		fanout = membersFanout
	}
	for _, peer := range sample(st.members.neighbours(), fanout) {
		s.options.Post(peer.ID, peer.PeerAddress, body)
	}
}

// OnMessage handles a message of a peer and returns the reply; nil for none.
func (s *Spread) OnMessage(body []byte) []byte {
	received, err := decode(body)
	if err != nil {
		s.options.Logger.Warn("cannot decode a peer's message", "error", err)
		return nil
	}
	s.applyAnnouncements(received)
	if received.Permit != nil {
		reply := s.issuePermit(*received.Permit)
		answer := message{From: s.options.Self.ID, PermitReply: &reply}
		return answer.encode()
	}
	if received.Credit != nil {
		reply := s.grantCredit(*received.Credit)
		answer := message{From: s.options.Self.ID, CreditReply: &reply}
		return answer.encode()
	}
	if len(received.WantCopies) > 0 {
		copies, known := s.options.FindCopies(received.WantCopies)
		if !known {
			return nil // The peer takes this as no answer.
		}
		found := message{From: s.options.Self.ID, Copies: copies, Versions: s.options.Versions()}
		return found.encode()
	}
	if received.Summary == nil && received.Fetch == nil && received.WantMembers == nil && len(received.Members) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answers := make(chan message, 1)
	s.do(ctx, func(st *state) {
		s.merge(context.WithoutCancel(ctx), st, received)
		if !received.NoReply {
			answers <- s.answer(st, received)
		}
	})
	select {
	case answer := <-answers:
		return answer.encode()
	default:
		return nil // The event loop is overloaded; the peer retries.
	}
}

// answer returns the reply to a message.
func (s *Spread) answer(st *state, received message) message {
	m := s.newMessage(st)
	if received.Summary != nil && received.Summary.MembersHash != m.Summary.MembersHash {
		m.Digests = st.members.digests()
	}
	if received.Summary != nil && received.Summary.CrashesHash != m.Summary.CrashesHash {
		m.Crashes = s.options.Crashes()
	}
	if received.Summary != nil && received.Summary.RolloutsHash != m.Summary.RolloutsHash {
		if news := s.options.Rollouts.News(); !news.IsEmpty() {
			m.Rollouts = &news
		}
	}
	m.Members = st.members.byDigests(received.WantMembers)
	if known := st.members.others[received.From]; known != nil && known.Down {
		m.Members = append(slices.Clone(m.Members), known.Member) // Lets the peer refute it.
	}
	if received.Fetch != nil && received.Fetch.Config && st.configVersion() > received.Fetch.ConfigVersion {
		m.Config = st.compressed
	}
	if received.Fetch != nil && received.Fetch.Servers && st.servers.version.After(received.Fetch.serversVersion()) {
		m.Servers = st.servers.changesSince(received.Fetch.serversVersion())
	}
	if received.Fetch != nil && received.Fetch.Servers && received.Fetch.ServersVersion == 0 {
		m.Departures, m.Limits = s.options.Departures(), s.options.Limits() // The peer has just started.
	}
	return m
}

// merge applies the contents of a message and fetches newer versions from its sender.
func (s *Spread) merge(ctx context.Context, st *state, received message) {
	now := s.options.Now()
	if st.members.merge(received.Members, now) {
		st.membersDue = true
		s.announceToNewCellPeers(st)
	}
	if received.Digests != nil {
		s.reconcile(ctx, st, received)
	}
	if received.Config != nil {
		s.mergeConfiguration(st, received)
	}
	if received.Servers != nil {
		st.serversFetches.received()
		s.mergeServers(st, received, now)
	}
	if received.Summary != nil {
		s.mergeServersVersion(st, received.Summary, now)
		s.mergeAges(st, received.Summary, now)
		s.fetch(ctx, st, received, now)
	}
	s.publish(st)
}

// reconcile sends a peer the member entries that it lacks, and requests those that this VM
// lacks.
func (s *Spread) reconcile(ctx context.Context, st *state, received message) {
	lacking, wanted := st.members.diff(received.Digests)
	if len(lacking)+len(wanted) == 0 {
		return
	}
	m := message{From: st.members.self.ID, Members: lacking, WantMembers: wanted}
	m.NoReply = len(wanted) == 0
	body := m.encode()
	if m.NoReply {
		s.options.Post(received.From, received.Address, body)
		return
	}
	rescue.Go(s.options.Logger, "fetch of members from a peer", func() { s.callPeer(ctx, received.From, received.Address, body, callTimeout) })
}

// mergeServersVersion adopts a peer's newer version of the server list without a fetch if
// the hashes of both lists are equal. Most versions only record heartbeats of servers.
func (s *Spread) mergeServersVersion(st *state, received *summary, now time.Time) {
	own := st.servers.version
	if own.IsZero() || received.ServersEra != own.Era || !received.serversVersion().After(own) || received.ServersHash != st.servers.hash {
		return
	}
	st.servers.startGraceAfterOutage(timeFromAge(received.ServersAge, now))
	st.servers.apply(&ServerChanges{Base: own.Rev, Version: received.ServersVersion, Era: own.Era, Sum: received.ServersHash}, now)
}

func (s *Spread) mergeConfiguration(st *state, received message) {
	st.configFetches.received()
	if received.Summary != nil && received.Summary.ConfigVersion <= st.configVersion() {
		return // Another peer's answer was sooner.
	}
	raw, err := decompress(received.Config)
	if err != nil {
		event.ConfigUnreadable.Warn(s.options.Logger, "from", received.From, "error", err)
		return
	}
	s.adoptConfiguration(st, raw, received.From)
}

// mergeServers applies a peer's changes to the server list.
func (s *Spread) mergeServers(st *state, received message, now time.Time) {
	if received.Summary != nil && received.Servers.version().After(st.servers.version) {
		st.servers.startGraceAfterOutage(timeFromAge(received.Summary.ServersAge, now))
	}
	before := st.servers.version
	if st.servers.apply(received.Servers, now) {
		s.eraChanged(st, before, received.From)
		s.serversChanged(st, received.From, len(received.Servers.Rows))
		st.hintDue = true
	}
}

// mergeAges adopts the time at which a peer last confirmed a version with the store, if
// this VM has the same version. A message that may have waited since before a pause has an age
// of then.
func (s *Spread) mergeAges(st *state, received *summary, now time.Time) {
	if now.Sub(st.resumedAt) < queuedTime {
		return
	}
	if at := timeFromAge(received.ConfigAge, now); received.ConfigVersion == st.configVersion() && at.After(st.configAt) {
		st.configAt = at
	}
	if received.serversVersion() == st.servers.version {
		st.servers.markCurrent(timeFromAge(received.ServersAge, now))
	}
}

// fetch requests from the sender the content of which it has a newer version. While that content is being
// fetched from another peer, the sender is asked later, if it is still needed.
func (s *Spread) fetch(ctx context.Context, st *state, received message, now time.Time) {
	base := st.servers.base()
	w := fetchRequest{ConfigVersion: st.configVersion(), ServersVersion: base.Rev, ServersEra: base.Era}
	hasConfig := received.Summary.ConfigVersion > w.ConfigVersion
	hasServers := received.Summary.serversVersion().After(st.servers.version)
	w.Config = hasConfig && st.configFetches.mayStart(received.From, now)
	w.Servers = hasServers && st.serversFetches.mayStart(received.From, now)
	if hasConfig != w.Config || hasServers != w.Servers {
		st.rememberSource(received)
	}
	if !w.Config && !w.Servers {
		return
	}
	if w.Config {
		st.configFetches.start(received.From, now)
	}
	if w.Servers {
		st.serversFetches.start(received.From, now)
	}
	m := message{From: st.members.self.ID, Fetch: &w}
	body := m.encode()
	patience := time.AfterFunc(fetchPatience, func() {
		s.do(ctx, func(st *state) { s.fetchElsewhere(ctx, st) })
	})
	rescue.Go(s.options.Logger, "fetch from a peer", func() {
		defer patience.Stop()
		if !s.callPeer(ctx, received.From, received.Address, body, fetchTimeout) {
			event.FetchFailed.Warn(s.options.Logger, "peer", received.From, "configuration", w.Config, "version", received.Summary.ConfigVersion,
				"servers", w.Servers, "tookMillis", s.options.Now().Sub(now).Milliseconds())
		}
		s.do(ctx, func(st *state) {
			st.endFetch(received.From, w)
			s.fetchElsewhere(ctx, st)
		})
	})
}

// fetchElsewhere fetches from a peer that offered newer content while another fetch was in progress.
func (s *Spread) fetchElsewhere(ctx context.Context, st *state) {
	sources := st.sources
	st.sources = nil
	for _, source := range sources {
		s.fetch(ctx, st, source, s.options.Now())
	}
}

// maxSources bounds the peers that are remembered to have newer content.
const maxSources = 8

// rememberSource keeps the newest summary of a peer that has newer content.
func (st *state) rememberSource(received message) {
	source := message{From: received.From, Address: received.Address, Summary: received.Summary}
	if i := slices.IndexFunc(st.sources, func(known message) bool { return known.From == source.From }); i >= 0 {
		st.sources[i] = source
		return
	}
	if st.sources = append(st.sources, source); len(st.sources) > maxSources {
		st.sources = st.sources[1:]
	}
}

// endFetch lets another fetch start, if this one brought no content.
func (st *state) endFetch(peer string, w fetchRequest) {
	if w.Config {
		st.configFetches.end(peer)
	}
	if w.Servers {
		st.serversFetches.end(peer)
	}
}

// applyAnnouncements handles the parts of a message whose state the event loop does not own.
func (s *Spread) applyAnnouncements(received message) {
	if received.Forward {
		s.forward(received)
	}
	if received.HasLoads {
		s.options.OnLoads(received.From, received.Loads)
		s.options.OnAdmission(received.From, received.Admission)
	}
	if len(received.ServiceUsage) > 0 {
		s.options.OnServiceUsage(received.From, received.ServiceUsage)
	}
	if len(received.Copies) > 0 {
		s.options.OnCopies(received.Copies)
	}
	if len(received.Crashes) > 0 {
		s.options.OnCrashes(received.Crashes)
	}
	if len(received.Departures) > 0 {
		s.options.OnDepartures(received.Departures)
	}
	if len(received.Losses) > 0 {
		s.options.OnLosses(received.Losses)
	}
	if len(received.Limits) > 0 {
		s.options.OnLimits(received.Limits)
	}
	if len(received.Backoffs) > 0 {
		s.options.OnBackoffs(received.Backoffs)
	}
	s.applyRollouts(received)
	if received.Observation != nil {
		s.permits.Observe(*received.Observation)
	}
}

package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// The load of these tests: streams of 5,200 prompt tokens and 1,000 of output on engines that read
// 5 prompt tokens in a ms and have memory for 55,000, as in docs/design/admission.md. VMs know of
// each other's new work after some ms, and of what ended after 150 ms.
const (
	tick          = 5 * time.Millisecond
	promptTokens  = 5200
	outputTokens  = 1000
	cacheTokens   = 55_000
	readPerTick   = 25.0
	addedLag      = 5 * time.Millisecond
	reducedLag    = 150 * time.Millisecond
	drainTime     = 10 * time.Second
	enginesOfTest = 16
	vmsOfTest     = 12
	// capacityOfTest is what the engines serve in a second: each reads a prompt in about a second,
	// and writes the output of others meanwhile.
	capacityOfTest = enginesOfTest
)

// class is one kind of streams with its offered load. Large streams need that many times the
// tokens.
type class struct {
	account   string
	rank      int
	perSecond float64
	objective time.Duration
	large     int
}

// outcome counts the streams of a class.
type outcome struct {
	asked, inTime, late, refused, refusedLate, preempted int
}

// run is one stream on an engine.
type run struct {
	class   *class
	began   time.Time // When its caller asked.
	lease   *pool.Lease
	unread  float64
	output  float64
	started bool
	tokens  int
	// reservation is of the memory that a large stream waits for.
	reservation *pool.Reservation
}

// site is a cell of VMs and engines on a clock of its own.
type site struct {
	now      time.Time
	draw     *rand.Rand
	vms      []*entryVM
	engines  map[string][]*run
	ids      []string
	outcomes map[*class]*outcome
	messages []message
}

type message struct {
	at      time.Time
	deliver func()
}

// entryVM is a VM with its queue and the streams that wait in it.
type entryVM struct {
	site    *site
	name    string
	servers *pool.Pool
	queue   *admission.Queue
	waiting []waitingRun
}

type waitingRun struct {
	*admission.Waiter
	run *run
}

func newSite(seed uint64) *site {
	s := &site{now: time.Unix(1000, 0), draw: rand.New(rand.NewPCG(seed, 1)), engines: map[string][]*run{}, outcomes: map[*class]*outcome{}}
	listed := []pool.Server{}
	for i := range enginesOfTest {
		id := fmt.Sprint("engine-", i)
		s.ids = append(s.ids, id)
		listed = append(listed, pool.Server{ID: id, Address: id, Service: "llm", FailureDomain: fmt.Sprint(i % 4), Slots: 32})
	}
	for i := range vmsOfTest {
		v := &entryVM{site: s, name: fmt.Sprint("vm-", i)}
		v.servers = pool.New(pool.Options{Now: func() time.Time { return s.now }, Draw: s.draw.Float64})
		v.servers.SetCapacities(map[string]pool.Capacity{"llm": {CacheTokens: cacheTokens, SupportsCopies: true, UrgentObjective: 4 * time.Second}})
		v.servers.Update(listed)
		headroom := func(stream admission.Stream) admission.Headroom {
			demand := placement.Demand{PromptTokens: stream.PromptTokens, OutputTokens: stream.OutputTokens}
			return admission.Headroom(v.servers.Headroom("llm", pool.Need{Demand: demand, Rank: stream.Rank, FirstEventBy: stream.FirstEventBy}))
		}
		v.queue = admission.NewQueue(func() time.Time { return s.now }, s.draw.Float64, headroom, func() map[string]int { return v.servers.HeldByAccount("llm") })
		s.vms = append(s.vms, v)
	}
	return s
}

// announce sends the loads and the report of a VM to the others after a lag.
func (v *entryVM) announce(lag time.Duration) {
	v.site.messages = append(v.site.messages, message{at: v.site.now.Add(lag), deliver: func() {
		loads := v.servers.Loads()
		report, found := v.queue.Report("llm")
		for _, other := range v.site.vms {
			if other == v {
				continue
			}
			other.servers.MergePeerLoads(v.name, loads)
			if found {
				other.queue.MergeReport(v.name, report)
			} else {
				other.queue.ForgetPeer(v.name)
			}
		}
	}})
}

func streamOf(c *class, now time.Time) admission.Stream {
	return admission.Stream{
		Account: c.account, Rank: c.rank, PromptTokens: promptTokens * c.large, OutputTokens: outputTokens * c.large,
		FirstEventBy: now.Add(c.objective), StartBy: now.Add(c.objective / 2), Since: now,
	}
}

// arrive handles a new stream as Admitter.Admit does.
func (v *entryVM) arrive(c *class) {
	v.site.outcomes[c].asked++
	r := &run{class: c, began: v.site.now}
	stream := streamOf(c, v.site.now)
	if v.queue.IsIdle(c.rank) && v.take(r, stream) {
		v.queue.Took(stream)
		return
	}
	w, refusal := v.queue.Join(stream)
	if refusal != nil {
		v.site.outcomes[c].refused++
		return
	}
	v.waiting = append(v.waiting, waitingRun{w, r})
	v.announce(reducedLag)
}

func (v *entryVM) take(r *run, stream admission.Stream) bool {
	demand := placement.Demand{PromptTokens: stream.PromptTokens, OutputTokens: stream.OutputTokens}
	lease, _, err := v.servers.AcquireForStream(pool.Criteria{
		Service: "llm", Demand: demand, RequireHeadroom: true, FirstEventBy: stream.FirstEventBy, Account: stream.Account, Rank: stream.Rank,
		WithoutCopy: !v.queue.GetsCopy(stream), Reservation: r.reservation,
	})
	if errors.Is(err, pool.ErrNoHeadroom) {
		return false
	}
	if err != nil {
		panic(err) // All servers are up.
	}
	r.lease, r.unread, r.output, r.tokens = lease, float64(demand.PromptTokens), float64(demand.OutputTokens), demand.Tokens()
	v.site.engines[lease.Server.ID] = append(v.site.engines[lease.Server.ID], r)
	v.announce(addedLag)
	return true
}

// pump lets the waiting streams take headroom, and refuses those that are too late.
func (v *entryVM) pump() {
	v.waiting = slices.DeleteFunc(v.waiting, func(w waitingRun) bool {
		ends := v.look(w)
		if ends {
			v.queue.Leave(w.Waiter)
			w.run.reservation.Release()
			v.announce(reducedLag)
		}
		return ends
	})
}

// look reports whether a waiting stream has a server now or is refused.
func (v *entryVM) look(w waitingRun) (ends bool) {
	if v.queue.MayTake(w.Waiter) {
		if v.take(w.run, w.Stream) {
			v.queue.Took(w.Stream)
			return true
		}
		v.queue.Missed(w.Waiter)
	}
	if v.queue.LacksHeadroom(w.Waiter) {
		demand := placement.Demand{PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens}
		if w.run.reservation = v.servers.Reserve(pool.Criteria{Service: "llm", Demand: demand}); w.run.reservation != nil {
			v.queue.Reserved(w.Waiter, true)
			v.announce(addedLag)
		}
	}
	if v.queue.Recheck(w.Waiter) == nil {
		return false
	}
	v.site.outcomes[w.run.class].refused++
	if v.site.now.Sub(w.run.began) > w.run.class.objective/8 {
		v.site.outcomes[w.run.class].refusedLate++
	}
	return true
}

// work advances an engine: it reads one prompt after the other, and writes all outputs at once,
// at half the rate while it reads. Without memory it preempts the newest stream.
func (s *site) work(id string) {
	runs := s.engines[id]
	memory, reading := 0, false
	for i, r := range runs {
		if memory += r.tokens; memory > cacheTokens && i > 0 {
			if r.started {
				s.outcomes[r.class].preempted++
			}
			r.unread = max(r.unread, float64(r.class.large*promptTokens))
			continue
		}
		switch {
		case r.unread > 0 && !reading:
			reading = true
			if r.unread -= readPerTick; r.unread <= 0 && !r.started {
				r.started = true
				r.lease.MarkStarted()
				if s.now.Sub(r.began) <= r.class.objective {
					s.outcomes[r.class].inTime++
				} else {
					s.outcomes[r.class].late++
				}
			}
		case r.unread <= 0:
			rate := tick.Seconds() * 1000 / (3.8 + 0.1*float64(len(runs)))
			if reading {
				rate /= 2
			}
			r.output -= rate
		}
	}
	s.engines[id] = slices.DeleteFunc(runs, func(r *run) bool {
		if r.output > 0 {
			return false
		}
		r.lease.Release()
		return true
	})
}

// play offers the classes for a time, and lets the last streams end. Each stream arrives at a
// random VM.
func (s *site) play(classes []*class, lasts time.Duration) {
	for _, c := range classes {
		c.large = max(c.large, 1)
		s.outcomes[c] = &outcome{}
	}
	until := s.now.Add(lasts)
	for ; s.now.Before(until.Add(drainTime)); s.now = s.now.Add(tick) {
		for _, c := range classes {
			if s.now.Before(until) && s.draw.Float64() < c.perSecond*tick.Seconds() {
				s.vms[s.draw.IntN(len(s.vms))].arrive(c)
			}
		}
		due := s.messages
		s.messages = nil
		for _, m := range due {
			if s.now.Before(m.at) {
				s.messages = append(s.messages, m)
			} else {
				m.deliver()
			}
		}
		for _, id := range s.ids {
			before := len(s.engines[id])
			s.work(id)
			if len(s.engines[id]) < before {
				for _, v := range s.vms {
					v.announce(reducedLag)
				}
			}
		}
		for _, v := range s.vms {
			v.pump()
		}
	}
}

// warmUp offers half of the capacity, so that the VMs know how long streams take.
func (s *site) warmUp() {
	s.play([]*class{{account: "a", rank: 2, perSecond: 0.5 * capacityOfTest, objective: 10 * time.Second}}, 10*time.Second)
}

// TestGoodputStaysFlat offers half to five times what the engines can do, a tenth of capacity of
// it urgent. What is served in its objective grows up to the capacity and then stays, urgent
// streams are served, nothing that has begun is preempted, and at most one in ten waits in vain.
func TestGoodputStaysFlat(t *testing.T) {
	best := 0
	asked, served := map[float64]int{}, map[float64]int{}
	for _, load := range []float64{0.5, 1, 2, 3, 5} {
		s := newSite(uint64(10 * load))
		urgent := &class{account: "a", rank: 0, perSecond: 0.1 * capacityOfTest, objective: 4 * time.Second}
		others := []*class{urgent}
		for _, account := range []string{"a", "b", "c"} {
			others = append(others, &class{account: account, rank: 2, perSecond: (load - 0.1) / 3 * capacityOfTest, objective: 10 * time.Second})
		}
		s.warmUp()
		s.play(others, 30*time.Second)
		sum := outcome{}
		for _, c := range others {
			o := s.outcomes[c]
			sum.asked += o.asked
			sum.inTime += o.inTime
			sum.late += o.late
			sum.refused += o.refused
			sum.refusedLate += o.refusedLate
			sum.preempted += o.preempted
		}
		asked[load], served[load] = sum.asked, sum.inTime
		best = max(best, sum.inTime)
		t.Logf("load %v: %+v urgent %+v", load, sum, *s.outcomes[urgent])
		u := s.outcomes[urgent]
		qt.Check(t, float64(u.inTime) >= 0.95*float64(u.asked), qt.IsTrue, qt.Commentf("load %v: urgent %+v", load, *u))
		qt.Check(t, float64(sum.preempted) <= 0.02*float64(sum.inTime), qt.IsTrue, qt.Commentf("load %v: %+v", load, sum))
		qt.Check(t, float64(sum.refusedLate) <= 0.1*float64(sum.asked), qt.IsTrue, qt.Commentf("load %v: %+v", load, sum))
		if load < 1 {
			qt.Check(t, sum.refused+sum.late, qt.Equals, 0, qt.Commentf("%+v", sum))
		}
	}
	for load, inTime := range served {
		possible := min(best, asked[load])
		qt.Check(t, load < 1 || float64(inTime) >= 0.85*float64(possible), qt.IsTrue, qt.Commentf("%v of %v at load %v", inTime, possible, load))
	}
}

// TestGreedyAccountLeavesTheOthersTheirs offers ten times its even share for one account, and
// four fifths of theirs for three others. They get what they ask for.
func TestGreedyAccountLeavesTheOthersTheirs(t *testing.T) {
	s := newSite(7)
	greedy := &class{account: "greedy", rank: 2, perSecond: 2.5 * capacityOfTest, objective: 10 * time.Second}
	classes := []*class{greedy}
	for _, account := range []string{"b", "c", "d"} {
		classes = append(classes, &class{account: account, rank: 2, perSecond: 0.2 * capacityOfTest, objective: 10 * time.Second})
	}
	s.warmUp()
	s.play(classes, 30*time.Second)
	for _, c := range classes {
		o := s.outcomes[c]
		t.Logf("%s: %+v", c.account, *o)
		if c != greedy {
			qt.Check(t, float64(o.inTime) >= 0.95*float64(o.asked), qt.IsTrue, qt.Commentf("%s: %+v", c.account, *o))
		}
	}
	qt.Check(t, s.outcomes[greedy].inTime > 0, qt.IsTrue)
}

// TestNoRankOrSizeStarves offers more urgent streams than fit, less urgent ones, and large ones of
// both. Each kind gets some.
func TestNoRankOrSizeStarves(t *testing.T) {
	s := newSite(11)
	classes := []*class{
		{account: "a", rank: 0, perSecond: 1.5 * capacityOfTest, objective: 4 * time.Second},
		{account: "b", rank: 2, perSecond: 0.3 * capacityOfTest, objective: 10 * time.Second},
		{account: "c", rank: 0, perSecond: 0.05 * capacityOfTest, objective: 4 * time.Second, large: 3},
	}
	s.warmUp()
	s.play(classes, 45*time.Second)
	for _, c := range classes {
		t.Logf("%+v: %+v", *c, *s.outcomes[c])
		qt.Check(t, s.outcomes[c].inTime > 0, qt.IsTrue, qt.Commentf("%+v: %+v", *c, *s.outcomes[c]))
	}
}

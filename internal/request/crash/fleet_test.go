package crash_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// The contract of parts that crash servers: sendsAllowed requests with such a part may be sent
// later than contactBound after the fifth crash, and from twice that on, at least half of the sound
// requests have to run at the first attempt.
const (
	crashesAllowed = 5
	sendsAllowed   = 3
	contactBound   = 3 * time.Second
	soundFraction  = 0.5
	// contentCrashesAllowed replaces crashesAllowed for contents. contentSettleTime is when their
	// crashes, the blocks of what all requests share and the trials after these are over.
	contentCrashesAllowed = 3
	contentSettleTime     = 6 * time.Second

	tick        = 50 * time.Millisecond
	startWindow = 250 * time.Millisecond
	answerTime  = time.Second
	restartTime = 2 * time.Second
	// callerBackoff and callerPatience bound the time after which callers send a refused request again.
	callerBackoff  = 500 * time.Millisecond
	callerPatience = 6 * time.Second
	holdLimit      = 1800 * time.Millisecond
	watchTicks     = 2
	maxSends       = 5
	deadlyFrom     = 2 * time.Second
	simulatedFor   = 24 * time.Second
)

// simulation is a fleet of VMs that send requests to servers, in simulated time.
type simulation struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	vms     []*crash.Record
	issuer  *permit.Issuer
	servers []*simulatedServer
	running []*simulatedRequest
	waiting []*simulatedRequest
	reports []delayedReport
	started int // Server processes.
	retries int // Of each caller.
	domains int

	sends   map[crash.Trait][]time.Time // By crashing part.
	crashes map[crash.Trait][]time.Time
	first   []firstAttempt // Of sound requests.
}

type simulatedServer struct {
	server   pool.Server
	upAt     time.Time
	lostAt   time.Time
	finished bool
}

type simulatedRequest struct {
	vm        int
	traits    []crash.Trait
	deadly    crash.Trait // "" for a sound request.
	arrivedAt time.Time
	checkAt   time.Time
	checked   bool
	retries   int // How often its caller sends it again.
	sends     int
	server    *simulatedServer
	sentAt    time.Time
	beginsAt  time.Time
	attempt   int // Index in simulation.first, or -1.
}

type firstAttempt struct {
	at    time.Time
	begun bool
	cause crash.Trait
}

type delayedReport struct {
	at     time.Time
	vm     int
	report crash.Report
}

func newSimulation(t *rapid.T, vms, servers, domains int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(0, 0), domains: domains, sends: map[crash.Trait][]time.Time{}, crashes: map[crash.Trait][]time.Time{}}
	s.issuer = permit.NewIssuer(func() time.Time { return s.now })
	for i := range servers {
		s.servers = append(s.servers, &simulatedServer{})
		s.start(i)
	}
	for i := range vms {
		s.vms = append(s.vms, crash.New(crash.Options{
			Now:      func() time.Time { return s.now },
			Announce: func(report crash.Report) { s.announce(i, report) },
			TakePermit: func(request permit.Request) permit.Reply {
				request.VM = fmt.Sprint("vm-", i)
				return s.issuer.Take(request)
			},
			HasTerminated:    s.hasTerminated,
			CorrelatedLosses: s.correlatedLosses,
			VMs:              func() int { return vms },
			Draw:             s.draw,
			OnTerminated: func(trait crash.Trait, server pool.Server, _ time.Duration) {
				s.log("vm-%d: %s terminated under %s", i, server.ID, trait)
			},
			OnDismissed: func(trait crash.Trait, reason string) { s.log("vm-%d: %s dismissed: %s", i, trait, reason) },
			OnSuspected: func(trait crash.Trait, alternatives []crash.Trait, terminations int) {
				s.log("vm-%d: %s suspected of %d, with %v", i, trait, terminations, alternatives)
			},
			OnBlocked: func(trait crash.Trait, terminations int) {
				s.log("vm-%d: %s blocked after %d", i, trait, terminations)
			},
			OnTrial: func(trait crash.Trait, alternatives []crash.Trait) {
				s.log("vm-%d: trial of %s, with %v", i, trait, alternatives)
			},
		}))
	}
	return s
}

// log logs what happens, with the simulated time.
func (s *simulation) log(format string, values ...any) {
	s.t.Logf("%6.2f "+format, append([]any{s.now.Sub(time.Unix(0, 0)).Seconds()}, values...)...)
}

func (s *simulation) draw() float64 {
	return s.random.Float64()
}

func (s *simulation) below(limit int) int {
	return s.random.IntN(limit)
}

func (s *simulation) start(i int) {
	s.started++
	s.servers[i] = &simulatedServer{server: pool.Server{ID: fmt.Sprint("i-", s.started), Service: "s", FailureDomain: fmt.Sprint(i % s.domains)}, upAt: s.now}
}

func (s *simulation) hasTerminated(server pool.Server, _ time.Time) bool {
	return !slices.ContainsFunc(s.servers, func(known *simulatedServer) bool { return known.server.ID == server.ID && !known.finished })
}

// correlatedLosses returns the number of servers of a failure domain that are down, if that is most
// of them.
func (s *simulation) correlatedLosses(server pool.Server) int {
	lost, all := 0, 0
	for _, known := range s.servers {
		if known.server.FailureDomain == server.FailureDomain {
			all++
			if known.finished && s.now.Sub(known.lostAt) <= time.Second {
				lost++
			}
		}
	}
	if 2*lost <= all {
		return 0
	}
	return lost
}

// announce delivers a report to each other VM after up to 0.3 s, to some twice, and not to one in 20.
func (s *simulation) announce(from int, report crash.Report) {
	for vm := range s.vms {
		if vm == from || s.below(20) == 0 {
			continue
		}
		for range 1 + s.below(8)/7 {
			s.reports = append(s.reports, delayedReport{at: s.now.Add(time.Duration(s.below(300)) * time.Millisecond), vm: vm, report: report})
		}
	}
}

func (s *simulation) deliver() {
	due := []delayedReport{}
	s.reports = slices.DeleteFunc(s.reports, func(d delayedReport) bool {
		if d.at.After(s.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		s.vms[d.vm].Merge([]crash.Report{d.report})
	}
	from, to := s.below(len(s.vms)), s.below(len(s.vms))
	if s.vms[from].Digest() != s.vms[to].Digest() {
		s.vms[to].Merge(s.vms[from].Recurring())
	}
}

// arrive adds a request whose prompt has these parts.
func (s *simulation) arrive(deadly crash.Trait, parts ...crash.Trait) {
	s.arriveAgain(deadly, crash.Trait(fmt.Sprint("content-", len(s.first), "-", s.started, "-", s.below(1<<30))), parts...)
}

// arriveAgain adds a request with a content that others may have had.
func (s *simulation) arriveAgain(deadly, content crash.Trait, parts ...crash.Trait) {
	r := &simulatedRequest{vm: s.below(len(s.vms)), traits: append([]crash.Trait{content}, parts...), deadly: deadly, arrivedAt: s.now, checkAt: s.now, attempt: -1, retries: s.retries}
	if deadly == "" {
		r.attempt = len(s.first)
		s.first = append(s.first, firstAttempt{at: s.now})
	}
	s.waiting = append(s.waiting, r)
}

// send sends the requests that wait, as far as they may be sent.
func (s *simulation) send() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		if r.checkAt.After(s.now) {
			s.waiting = append(s.waiting, r)
			continue
		}
		check := s.vms[r.vm].Check
		if r.checked {
			check = s.vms[r.vm].Recheck
		}
		verdict := check(r.traits...)
		r.checked = true
		at := s.upServer()
		switch {
		case verdict.Decision == crash.Refuse || r.sends >= maxSends:
			s.refuse(r, verdict)
		case verdict.Decision == crash.Hold && verdict.RecheckAt.After(r.arrivedAt.Add(holdLimit)):
			s.refuse(r, verdict)
		case verdict.Decision == crash.Hold:
			r.checkAt = verdict.RecheckAt
			s.waiting = append(s.waiting, r)
		case at == nil:
			r.checkAt = s.now.Add(tick)
			s.waiting = append(s.waiting, r)
		default:
			r.server, r.sentAt, r.sends = at, s.now, r.sends+1
			r.beginsAt = s.now.Add(time.Duration(200+s.below(1000)) * time.Millisecond)
			s.running = append(s.running, r)
			if r.deadly != "" {
				s.sends[r.deadly] = append(s.sends[r.deadly], s.now)
			}
			if r.attempt >= 0 && r.sends == 1 {
				s.first[r.attempt].begun = true
			}
		}
	}
}

// refuse ends a request. Its caller may send it again, to any VM.
func (s *simulation) refuse(r *simulatedRequest, verdict crash.Verdict) {
	if r.attempt >= 0 && r.sends == 0 {
		s.first[r.attempt].cause = verdict.Trait
	}
	if r.retries == 0 {
		return
	}
	at := s.now.Add(min(max(verdict.Until.Sub(s.now), callerBackoff), callerPatience))
	s.waiting = append(s.waiting, &simulatedRequest{vm: s.below(len(s.vms)), traits: r.traits, deadly: r.deadly, arrivedAt: at, checkAt: at, attempt: -1, retries: r.retries - 1})
}

func (s *simulation) upServer() *simulatedServer {
	offset := s.below(len(s.servers))
	for i := range s.servers {
		if at := s.servers[(offset+i)%len(s.servers)]; !at.finished {
			return at
		}
	}
	return nil
}

// run lets requests begin and complete, and crashes the servers of those with a crashing part.
func (s *simulation) run(watch bool) {
	for _, r := range s.running {
		if r.deadly != "" && !r.server.finished && !s.now.Before(r.beginsAt) {
			s.crashes[r.deadly] = append(s.crashes[r.deadly], s.now)
			s.lose(r.server)
		}
	}
	running := s.running
	s.running = nil
	for _, r := range running {
		begun := !s.now.Before(r.beginsAt)
		switch {
		case r.server.finished:
			if s.now.Sub(r.beginsAt) <= startWindow {
				s.vms[r.vm].Interrupted(r.traits, r.server.server, r.sentAt, s.now)
			}
			r.checkAt = s.now
			r.arrivedAt = s.now
			s.waiting = append(s.waiting, r)
		case s.now.Sub(r.beginsAt) >= answerTime:
			s.vms[r.vm].Completed(r.traits...)
		default:
			if watch && !begun {
				if _, blocked := s.vms[r.vm].IsBlocked(r.traits...); blocked {
					continue
				}
			}
			s.running = append(s.running, r)
		}
	}
	for i, known := range s.servers {
		if known.finished && s.now.Sub(known.lostAt) >= restartTime {
			s.start(i)
		}
	}
}

func (s *simulation) lose(server *simulatedServer) {
	server.finished, server.lostAt = true, s.now
}

// step advances the time by one tick.
func (s *simulation) step(number int) {
	s.now = s.now.Add(tick)
	s.deliver()
	s.run(number%watchTicks == 0)
	s.send()
	if number%4 == 0 {
		for _, vm := range s.vms {
			vm.Poll()
		}
	}
}

// check checks the contract for each crashing part.
func (s *simulation) check(deadly []crash.Trait) {
	settledAt := time.Unix(0, 0).Add(deadlyFrom)
	for _, part := range deadly {
		if bound := s.checkSends(part, crashesAllowed); bound.After(settledAt) {
			settledAt = bound
		}
	}
	s.checkSound(settledAt)
}

// checkSends checks that few requests with a crashing trait are sent after the allowed crashes, or
// the last one if there are fewer. It returns when that was, and zero if there was none.
func (s *simulation) checkSends(trait crash.Trait, allowed int) (bound time.Time) {
	crashes := s.crashes[trait]
	if len(crashes) == 0 {
		return time.Time{}
	}
	bound = crashes[min(len(crashes), allowed)-1]
	late := 0
	for _, at := range s.sends[trait] {
		if at.After(bound.Add(contactBound)) {
			late++
		}
	}
	s.t.Logf("%s: %d crashes, %d sends, %d late", trait, len(crashes), len(s.sends[trait]), late)
	if late > sendsAllowed {
		s.t.Fatalf("%d sends of requests with %s later than %v after crash %d", late, trait, contactBound, allowed)
	}
	return bound
}

// checkSound checks that sound requests begin from some time after settledAt on.
func (s *simulation) checkSound(settledAt time.Time) {
	count, begun := 0, 0
	causes := map[crash.Trait]int{}
	for _, f := range s.first {
		if f.at.Before(settledAt.Add(2*contactBound)) || f.at.After(s.now.Add(-holdLimit)) {
			continue
		}
		count++
		if f.begun {
			begun++
		} else {
			causes[f.cause]++
		}
	}
	s.t.Logf("%d of %d sound requests begun at the first attempt; refused by %v", begun, count, causes)
	if count >= 20 && float64(begun) < soundFraction*float64(count) {
		s.t.Fatalf("%d of %d sound requests begun at the first attempt", begun, count)
	}
}

// TestCrashingPartsAreFoundAmongSoundOnes has requests with one or two crashing parts arrive among
// sound ones with which they share parts, while servers are lost for other reasons too.
func TestCrashingPartsAreFoundAmongSoundOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkCrashingParts(t, 0) })
}

func TestCrashingPartsAreFoundWhenCallersSendAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkCrashingParts(t, rapid.IntRange(1, 2).Draw(t, "retries of callers")) })
}

func checkCrashingParts(t *rapid.T, retries int) {
	domains := rapid.IntRange(1, 4).Draw(t, "domains")
	s := newSimulation(t, rapid.IntRange(1, 12).Draw(t, "VMs"), rapid.IntRange(8, 24).Draw(t, "servers"), domains)
	deadly := []crash.Trait{crash.Part("dd"), crash.Part("ee")}[:rapid.IntRange(1, 2).Draw(t, "crashing parts")]
	common := rapid.IntRange(1, 4).Draw(t, "common parts")
	rare := rapid.IntRange(1, 40).Draw(t, "rare parts")
	soundPercent := rapid.IntRange(1, 25).Draw(t, "sound requests in 100 ticks") * 4
	deadlyPercent := rapid.IntRange(1, 40).Draw(t, "crashing requests in 100 ticks") * 2
	alwaysTogether := rapid.Bool().Draw(t, "a part that comes with the crashing one only")
	domainLost := rapid.Bool().Draw(t, "a failure domain is lost") && domains > 1
	otherLosses := rapid.IntRange(0, 1).Draw(t, "other losses in 100 ticks")
	s.retries = retries
	shared := func() []crash.Trait {
		return []crash.Trait{crash.Part(fmt.Sprint("common-", s.below(common))), crash.Part(fmt.Sprint("rare-", s.below(rare)))}
	}
	for number := range int(simulatedFor / tick) {
		if s.below(100) < soundPercent {
			s.arrive("", shared()...)
		}
		if s.now.Sub(time.Unix(0, 0)) > deadlyFrom && s.below(100) < deadlyPercent {
			part := deadly[s.below(len(deadly))]
			traits := append(shared(), part)
			if alwaysTogether {
				traits = append(traits, "part/beside-"+part)
			}
			s.arrive(part, traits...)
		}
		if s.below(100) < otherLosses {
			s.lose(s.servers[s.below(len(s.servers))])
		}
		if domainLost && number == 200 {
			for _, known := range s.servers {
				if known.server.FailureDomain == "0" {
					s.lose(known)
				}
			}
		}
		s.step(number)
	}
	s.check(deadly)
}

// TestSoundPartOfCrashingContentsIsNotBlocked has a few contents crash servers before any request has
// completed, while all requests share a part.
func TestSoundPartOfCrashingContentsIsNotBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 6).Draw(t, "VMs"), rapid.IntRange(6, 12).Draw(t, "servers"), 2)
		deadly := []crash.Trait{"deadly-1", "deadly-2", "deadly-3"}[:rapid.IntRange(1, 3).Draw(t, "crashing contents")]
		soundPercent := rapid.IntRange(5, 25).Draw(t, "sound requests in 100 ticks") * 4
		shared := crash.Part("shared")
		for number := range int(simulatedFor / tick) {
			if s.below(100) < soundPercent {
				s.arrive("", shared)
			}
			if number%3 == 0 {
				content := deadly[s.below(len(deadly))]
				s.arriveAgain(content, content, shared)
			}
			s.step(number)
		}
		for _, content := range deadly {
			if len(s.crashes[content]) >= contentCrashesAllowed { // The contract has no bound for fewer.
				s.checkSends(content, contentCrashesAllowed)
			}
		}
		s.checkSound(time.Unix(0, 0).Add(contentSettleTime))
	})
}

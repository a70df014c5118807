package permit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

func init() { property.FixSeed() }

// The contract: no window has more than windowFactor times what the rate allows, and windowExtra.
const (
	window       = 4 * time.Second
	windowFactor = 1.5
	windowExtra  = 5
)

const step = 10 * time.Millisecond

// fleet simulates VMs that ask for permits of one key whenever they have a request.
type fleet struct {
	now      time.Time
	issuers  []*permit.Issuer
	view     []int       // Which issuer each VM asks.
	askAt    []time.Time // When each VM may ask again.
	rate     float64
	sent     []time.Time
	requests int
	urgent   bool // The requests continue streams.
}

func newFleet(vms int, rate float64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), view: make([]int, vms), askAt: make([]time.Time, vms), rate: rate}
	f.addIssuer()
	return f
}

// addIssuer adds a VM that takes over the key and knows nothing of it.
func (f *fleet) addIssuer() {
	f.issuers = append(f.issuers, permit.NewIssuer(func() time.Time { return f.now }))
}

// request has a VM that has a request ask, and send it if there is a permit.
func (f *fleet) request(vm int) (reply permit.Reply) {
	f.requests++
	if f.now.Before(f.askAt[vm]) {
		return reply
	}
	reply = f.issuers[f.view[vm]].Take(permit.Request{Key: "k", Rate: f.rate, VM: fmt.Sprint(vm), Urgent: f.urgent})
	if reply.Granted {
		f.sent = append(f.sent, f.now)
	} else {
		f.askAt[vm] = f.now.Add(max(reply.Wait, time.Millisecond))
	}
	return reply
}

// mostInWindow returns the largest number of requests sent in any window.
func (f *fleet) mostInWindow() (most int) {
	for i, first := range f.sent {
		count := 0
		for _, at := range f.sent[i:] {
			if at.Sub(first) >= window {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// After a change a part of the VMs asks the issuer before, for up to a second.
func TestBoundHoldsForAnyNumberOfVMsAndChangesOfTheIssuer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{1, 2, 6, 9, 91, 295}).Draw(t, "VMs")
		rate := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 4.1, 6.1, 20}).Draw(t, "rate")
		loaded := rapid.SampledFrom([]int{1, vms}).Draw(t, "VMs with load")
		perStep := rapid.SampledFrom([]float64{0.05, 0.5, 2}).Draw(t, "requests in a step")
		f := newFleet(vms, rate)
		changes := rapid.SliceOfN(rapid.IntRange(0, 2000), 0, 2).Draw(t, "steps of changes")
		overlap := rapid.IntRange(0, 100).Draw(t, "steps until all VMs have the new view")
		urgent := rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "urgent requests in 100")
		random := rapid.Uint64().Draw(t, "seed")
		next := func(n int) int {
			random = random*6364136223846793005 + 1442695040888963407
			return int(random>>33) % n
		}
		due := 0.0
		for i := range 2000 {
			f.now = f.now.Add(step)
			for _, at := range changes {
				if i == at {
					f.addIssuer()
				}
				if i >= at && i <= at+overlap {
					for vm := range f.view {
						if i == at+overlap || next(overlap) == 0 {
							f.view[vm] = len(f.issuers) - 1
						}
					}
				}
			}
			for due += perStep; due >= 1; due-- {
				f.urgent = next(100) < urgent
				f.request(next(loaded))
			}
		}
		most, allowed := f.mostInWindow(), windowFactor*rate*window.Seconds()+windowExtra
		property.Assert(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d in a window, %v allowed", most, allowed))
	})
}

// TestAllowanceIsUsed checks that what the rate allows is sent if there is load for it, wherever
// that is.
func TestAllowanceIsUsed(t *testing.T) {
	for _, vms := range []int{1, 9, 295} {
		for _, loaded := range []int{1, vms} {
			for _, rate := range []float64{0.5, 4, 20} {
				f := newFleet(vms, rate)
				const length = 40 * time.Second
				for i := range int(length / step) {
					f.now = f.now.Add(step)
					f.request(i % loaded) // 100 requests a second.
				}
				used := float64(len(f.sent)) / (rate * length.Seconds())
				qt.Check(t, used > 0.9 && used <= 1.05, qt.IsTrue, qt.Commentf("%d VMs, %d with load, rate %v: used %.2f", vms, loaded, rate, used))
			}
		}
	}
}

func TestPreventiveRequestsGetOnlyWhatOthersLeave(t *testing.T) {
	f := newFleet(1, 4)
	preventive := 0
	for i := range 4000 {
		f.now = f.now.Add(step)
		if f.issuers[0].Take(permit.Request{Key: "k", Rate: 4, VM: "p", Preventive: true}).Granted {
			preventive++
			qt.Check(t, i < 1000 || i > 3000, qt.IsTrue)
		}
		if i >= 900 && i < 3000 {
			f.request(0)
		}
	}
	qt.Check(t, preventive > 10, qt.IsTrue)
	qt.Check(t, len(f.sent) > 70, qt.IsTrue, qt.Commentf("%d sent", len(f.sent)))
}

func TestBoundEndsAfterAnswersThatDoNotNameIt(t *testing.T) {
	now := time.Unix(1000, 0)
	issuer := permit.NewIssuer(func() time.Time { return now })
	take := func() permit.Reply {
		now = now.Add(time.Second)
		return issuer.Take(permit.Request{Key: "k", Rate: 2, VM: "a"})
	}
	observe := func(serial uint64, kind string, bounded bool) {
		issuer.Observe(permit.Observation{Key: "k", Serial: serial, Kind: kind, Bounded: bounded, Rate: 2})
	}
	take()
	observe(take().Serial, "run", true)
	for range 3 {
		observe(take().Serial, "order", false) // Orders never named it.
		observe(0, "run", false)               // Sent before the limit was known.
	}
	qt.Check(t, take().Unbounded, qt.IsFalse)
	observe(take().Serial, "run", false)
	observe(take().Serial, "run", true) // The answer before was older.
	observe(take().Serial, "run", false)
	qt.Check(t, take().Unbounded, qt.IsFalse)
	observe(take().Serial, "run", false)
	qt.Check(t, take().Unbounded, qt.IsTrue)
	observe(0, "run", true)
	qt.Check(t, take().Unbounded, qt.IsFalse)
}

func TestRateFollowsTheNewestAnswer(t *testing.T) {
	f := newFleet(1, 10)
	run := func(length time.Duration) int {
		before := len(f.sent)
		for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
			f.request(0)
		}
		return len(f.sent) - before
	}
	run(2 * time.Second)
	qt.Check(t, run(10*time.Second) > 95, qt.IsTrue)
	f.issuers[0].Observe(permit.Observation{Key: "k", Serial: 1, Kind: "run", Bounded: true, Rate: 1})
	lower := run(10 * time.Second)
	qt.Check(t, lower >= 8 && lower <= 12, qt.IsTrue, qt.Commentf("%d", lower))
}

func TestUrgentRequestsTakePermitsInAdvance(t *testing.T) {
	f := newFleet(2, 4)
	granted := 0
	for i := range 1000 {
		f.now = f.now.Add(step)
		f.request(0) // 100 requests a second.
		if i%100 == 50 {
			f.askAt[1] = time.Time{}
			f.urgent = true
			if f.request(1).Granted {
				granted++
			}
			f.urgent = false
		}
	}
	qt.Check(t, granted, qt.Equals, 10)
	qt.Check(t, len(f.sent) <= 44, qt.IsTrue, qt.Commentf("%d sent in 10 s", len(f.sent)))
}

// TestBoundEndsAtAnIssuerThatNeverSawItNamed covers a bound that ends while its issuer is lost.
func TestBoundEndsAtAnIssuerThatNeverSawItNamed(t *testing.T) {
	f := newFleet(1, 2)
	for range 100 {
		f.now = f.now.Add(time.Second)
		reply := f.issuers[0].Take(permit.Request{Key: "k", Rate: 2, VM: "a"})
		if reply.Unbounded {
			return
		}
		f.issuers[0].Observe(permit.Observation{Key: "k", Serial: reply.Serial, Kind: "run"})
	}
	t.Fatal("the bound has not ended after 100 answers that did not name it")
}

func TestUnusedPermitMayBeTakenByAnotherVM(t *testing.T) {
	f := newFleet(2, 0.1)
	take := func(vm string) bool {
		return f.issuers[0].Take(permit.Request{Key: "k", Rate: 0.1, VM: vm, Fresh: true}).Granted
	}
	qt.Assert(t, take("0"), qt.IsTrue)
	qt.Assert(t, take("1"), qt.IsFalse)
	f.issuers[0].Observe(permit.Observation{Key: "k", Unused: true})
	qt.Check(t, take("1"), qt.IsTrue)
	qt.Check(t, take("0"), qt.IsFalse)
	f.issuers[0].Observe(permit.Observation{Key: "not taken here", Unused: true})
}

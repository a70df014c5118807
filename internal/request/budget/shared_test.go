package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/request/budget"
)

const window = 10 * time.Second

func shared(now *time.Time) *budget.Shared {
	return budget.NewShared(budget.SharedOptions{Ratio: 0.8, Allowance: 150, Window: window, Now: func() time.Time { return *now }})
}

// TestOneVMMayUseWhatOthersLeave has a failure domain fail under the streams of
// one of 64 VMs, which alone earns next to nothing.
func TestOneVMMayUseWhatOthersLeave(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	for range 4 {
		s.Earn()
	}
	for range 20 {
		qt.Assert(t, s.Spend(), qt.IsTrue)
	}
}

func TestWhatOthersSpentIsGone(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	s.Heard("vm-2", budget.Usage{Requests: 100, Repeats: 200})
	qt.Assert(t, s.Spend(), qt.IsFalse)
	now = now.Add(window + time.Second)
	qt.Assert(t, s.Spend(), qt.IsTrue)
}

func TestSpareRepeatsLeaveRoom(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	for s.SpendSpare() {
	}
	qt.Assert(t, s.Spend(), qt.IsTrue)
}

func TestRefundedRepeatMayBeSpentAgain(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	for s.Spend() {
	}
	s.Refund()
	qt.Assert(t, s.Spend(), qt.IsTrue)
	qt.Assert(t, s.Spend(), qt.IsFalse)
}

// TestNoWindowHasMoreThanTheBound plays VMs that want to repeat all the time and
// hear of each other late, and checks each sliding window against the contract.
func TestNoWindowHasMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step    = 100 * time.Millisecond
			steps   = 300
			ratio   = 0.8
			slack   = 150.0
			inSteps = int(window / step)
		)
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		perStep := rapid.IntRange(0, 3).Draw(t, "requests of a VM in a step")
		now := time.Unix(0, 0)
		budgets := []*budget.Shared{}
		for range vms {
			budgets = append(budgets, shared(&now))
		}
		requests, repeats := make([]int, steps), make([]int, steps)
		for i := range steps {
			now = now.Add(step)
			usages := []budget.Usage{}
			for _, b := range budgets {
				for range perStep {
					b.Earn()
					requests[i]++
				}
				for range 2 { // Each VM repeats twice a step at the most.
					if b.Spend() {
						repeats[i]++
					}
				}
				usages = append(usages, b.Usage())
			}
			for j, b := range budgets {
				for k, usage := range usages {
					if j != k {
						b.Heard(string(rune('a'+k)), usage)
					}
				}
			}
			from := max(0, i+1-inSteps)
			sumRequests, sumRepeats := 0, 0
			for k := from; k <= i; k++ {
				sumRequests += requests[k]
				sumRepeats += repeats[k]
			}
			if float64(sumRepeats) > ratio*float64(sumRequests)+slack {
				t.Fatalf("%d repeats for %d requests in the window to step %d", sumRepeats, sumRequests, i)
			}
		}
	})
}

// TestCellsShareTheAllowance: VMs of different cells don't hear of each other, and all
// together stay within the bound.
func TestCellsShareTheAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	const cells, requests = 3, 20
	spent := 0
	for range cells {
		cell := budget.NewShared(budget.SharedOptions{
			Ratio: 0.8, Allowance: 150, Window: 10 * time.Second, Now: func() time.Time { return now }, Parts: func() int { return cells },
		})
		for range requests {
			cell.Earn()
		}
		for cell.Spend() {
			spent++
		}
	}
	bound := 0.8*cells*requests + 150
	qt.Assert(t, float64(spent) <= bound && float64(spent) > bound/2, qt.IsTrue, qt.Commentf("%d of %v", spent, bound))
}

// TestBoundHoldsOverALossOfAllVMs has six VMs spend all that they may, and be replaced by VMs
// that know nothing of it. RULES.md counts the repeats of both in one window.
func TestBoundHoldsOverALossOfAllVMs(t *testing.T) {
	now := time.Unix(0, 0)
	spent := 0
	for range 2 {
		vms := []*budget.Shared{}
		for range 6 {
			vms = append(vms, shared(&now))
		}
		for more := true; more; {
			more = false
			for i, vm := range vms {
				if !vm.Spend() {
					continue
				}
				more = true
				spent++
				for j, other := range vms {
					if j != i {
						other.Heard(string(rune('a'+i)), vm.Usage())
					}
				}
			}
		}
		now = now.Add(2 * time.Second) // All are lost, and others start.
	}
	qt.Assert(t, spent <= 150, qt.IsTrue, qt.Commentf("%d repeats without a request", spent))
}

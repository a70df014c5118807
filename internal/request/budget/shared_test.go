package budget_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/budget"
)

const window = 10 * time.Second

func shared(now *time.Time) *budget.Shared {
	return budget.NewShared(budget.SharedOptions{Ratio: 0.8, Allowance: 150, Window: window, Now: func() time.Time { return *now }})
}

// TestOneVMMayUseWhatOthersLeave covers a VM with few requests of its own that needs
// many retries at once: a failure domain fails under the streams of one of 64 VMs.
func TestOneVMMayUseWhatOthersLeave(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	for range 4 {
		s.Deposit()
	}
	for range 20 {
		qt.Assert(t, s.Withdraw(), qt.IsTrue)
	}
}

func TestUsageOfOtherVMsCounts(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	s.ApplyUsage("vm-2", budget.Usage{Requests: 100, Retries: 200})
	qt.Assert(t, s.Withdraw(), qt.IsFalse)
	now = now.Add(window + time.Second)
	qt.Assert(t, s.Withdraw(), qt.IsTrue)
}

func TestPreventiveRetriesLeaveCapacity(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	for s.WithdrawPreventive() {
	}
	qt.Assert(t, s.Withdraw(), qt.IsTrue)
}

func TestRefundedRetryMayBeWithdrawnAgain(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	for s.Withdraw() {
	}
	s.Refund()
	qt.Assert(t, s.Withdraw(), qt.IsTrue)
	qt.Assert(t, s.Withdraw(), qt.IsFalse)
}

// TestNoWindowHasMoreThanTheBound has VMs retry whenever they may, with usages that
// arrive one step late, and checks each sliding window against the contract's bound.
func TestNoWindowHasMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step      = 100 * time.Millisecond
			steps     = 300
			ratio     = 0.8
			allowance = 150.0
			inSteps   = int(window / step)
		)
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		perStep := rapid.IntRange(0, 3).Draw(t, "requests of a VM in a step")
		now := time.Unix(0, 0)
		budgets := []*budget.Shared{}
		for range vms {
			budgets = append(budgets, shared(&now))
		}
		requests, retries := make([]int, steps), make([]int, steps)
		for i := range steps {
			now = now.Add(step)
			usages := []budget.Usage{}
			for _, b := range budgets {
				for range perStep {
					b.Deposit()
					requests[i]++
				}
				for range 2 { // Each VM makes at most two retries in a step.
					if b.Withdraw() {
						retries[i]++
					}
				}
				usages = append(usages, b.Usage())
			}
			for j, b := range budgets {
				for k, usage := range usages {
					if j != k {
						b.ApplyUsage(string(rune('a'+k)), usage)
					}
				}
			}
			from := max(0, i+1-inSteps)
			sumRequests, sumRetries := 0, 0
			for k := from; k <= i; k++ {
				sumRequests += requests[k]
				sumRetries += retries[k]
			}
			if float64(sumRetries) > ratio*float64(sumRequests)+allowance {
				t.Fatalf("%d retries for %d requests in the window to step %d", sumRetries, sumRequests, i)
			}
		}
	})
}

func TestBurstsLessThanAWindowApartShareTheBound(t *testing.T) {
	now := time.Unix(0, 0)
	s := shared(&now)
	now = now.Add(200 * time.Millisecond) // Not at the start of a bucket.
	withdrawn := 0
	for range 2 {
		for s.Withdraw() {
			withdrawn++
		}
		now = now.Add(window - 100*time.Millisecond)
	}
	qt.Assert(t, withdrawn <= 150, qt.IsTrue, qt.Commentf("%d retries in a window without a request", withdrawn))
}

// TestCellsShareTheAllowance checks that cells, which do not exchange usage, together
// stay within the bound.
func TestCellsShareTheAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	const cells, requests = 3, 20
	withdrawn := 0
	for range cells {
		cell := budget.NewShared(budget.SharedOptions{
			Ratio: 0.8, Allowance: 150, Window: 10 * time.Second, Now: func() time.Time { return now }, Cells: func() int { return cells },
		})
		for range requests {
			cell.Deposit()
		}
		for cell.Withdraw() {
			withdrawn++
		}
	}
	bound := 0.8*cells*requests + 150
	qt.Assert(t, float64(withdrawn) <= bound && float64(withdrawn) > bound/2, qt.IsTrue, qt.Commentf("%d of %v", withdrawn, bound))
}

// TestBoundHoldsOverALossOfAllVMs has six VMs use their whole budget and then be replaced by
// VMs without that usage. RULES.md counts the retries of both in one window.
func TestBoundHoldsOverALossOfAllVMs(t *testing.T) {
	now := time.Unix(0, 0)
	withdrawn := 0
	vms := newVMs(6, &now, time.Time{})
	for range 2 {
		withdrawn += withdrawAll(vms)
		now = now.Add(2 * time.Second) // All VMs are lost, and others start.
		vms = newVMs(6, &now, now)
	}
	qt.Assert(t, withdrawn <= 150, qt.IsTrue, qt.Commentf("%d retries without a request", withdrawn))
}

// newVMs returns the budgets of VMs that started at a time; the zero time stands for long ago.
func newVMs(count int, now *time.Time, started time.Time) []*budget.Shared {
	vms := []*budget.Shared{}
	for range count {
		vms = append(vms, budget.NewShared(budget.SharedOptions{
			Ratio: 0.8, Allowance: 150, Window: window, Now: func() time.Time { return *now }, KnownSince: started,
		}))
	}
	return vms
}

// withdrawAll has VMs retry in turn for as long as any may, and returns how often.
func withdrawAll(vms []*budget.Shared) (withdrawn int) {
	for more := true; more; {
		more = false
		for i, vm := range vms {
			if !vm.Withdraw() {
				continue
			}
			more = true
			withdrawn++
			announce(vms, i)
		}
	}
	return withdrawn
}

func announce(vms []*budget.Shared, from int) {
	for j, other := range vms {
		if j != from {
			other.ApplyUsage(fmt.Sprint("vm-", from), vms[from].Usage())
		}
	}
}

// TestBoundHoldsOverRepeatedLossesOfAllVMs has VMs that retry whenever they may be lost together
// again and again, at any age.
func TestBoundHoldsOverRepeatedLossesOfAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 200 * time.Millisecond
		now := time.Unix(1000, 0)
		vms := newVMs(6, &now, time.Time{})
		retries := []int{} // By step.
		for _, age := range rapid.SliceOfN(rapid.IntRange(1, 70), 1, 6).Draw(t, "steps between losses") {
			for range age {
				now = now.Add(step)
				retries = append(retries, withdrawAll(vms))
				sum := 0
				for _, count := range retries[max(0, len(retries)-int(window/step)):] {
					sum += count
				}
				property.Assert(t, sum <= 150, qt.IsTrue, qt.Commentf("%d retries in a window without a request", sum))
			}
			vms = newVMs(6, &now, now)
		}
	})
}

func TestVMThatStartsLearnsTheUsageOfLostVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	vms := newVMs(3, &now, time.Time{})
	qt.Check(t, withdrawAll(vms[:2]) > 100, qt.IsTrue)
	announce(vms, 0)
	announce(vms, 1)
	now = now.Add(time.Second)
	vms = append(vms[2:], newVMs(2, &now, now)...) // Two are lost, and others start.
	announce(vms, 0)
	qt.Check(t, withdrawAll(vms), qt.Equals, 0)
	now = now.Add(window + time.Second)
	qt.Check(t, withdrawAll(vms) > 100, qt.IsTrue)
}

func TestVMThatStartsBesideAnOlderOneHasTheWholeAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	vms := append(newVMs(1, &now, time.Time{}), newVMs(1, &now, now)...)
	qt.Check(t, vms[1].Withdraw(), qt.IsFalse)
	announce(vms, 0)
	qt.Check(t, withdrawAll(vms[1:]) > 100, qt.IsTrue)
}

func TestVMThatStartsKnowsWhenItMayRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		vm := newVMs(1, &now, now)[0]
		for range rapid.IntRange(0, 20).Draw(t, "requests") {
			vm.Deposit()
		}
		for vm.Withdraw() {
		}
		at := vm.RetryAt()
		property.Assert(t, at.After(now), qt.IsTrue)
		now = at.Add(-time.Millisecond)
		property.Assert(t, vm.Withdraw(), qt.IsFalse)
		now = at.Add(time.Microsecond)
		property.Assert(t, vm.Withdraw(), qt.IsTrue)
	})
}

func TestVMThatKnowsTheWindowWaitsForNoAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	vm := newVMs(1, &now, time.Time{})[0]
	for vm.Withdraw() {
	}
	qt.Check(t, vm.RetryAt().IsZero(), qt.IsTrue)
}

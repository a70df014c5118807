package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/admission"
)

func init() { property.FixSeed() }

// clock is a clock that tests advance.
type clock struct {
	at time.Time
}

func (c *clock) now() time.Time { return c.at }

func newGate(capacity int, accounts map[string]admission.Limit) (*admission.Gate, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	gate := admission.New(admission.Options{Now: c.now})
	gate.Configure(admission.Limits{Capacity: capacity, Accounts: accounts})
	return gate, c
}

func wide(weight int) admission.Limit {
	return admission.Limit{Rate: 1e6, Concurrent: 1e6, Weight: weight}
}

func granted(ticket *admission.Ticket) bool {
	select {
	case <-ticket.Granted:
		return true
	default:
		return false
	}
}

// TestGateNeverOverfills admits and releases requests in any order. The number of
// running requests must never exceed the capacity, and every admitted request must
// be either running or queued.
func TestGateNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "room")
		gate, _ := newGate(capacity, map[string]admission.Limit{"a": wide(1), "b": wide(3)})
		open := []*admission.Ticket{}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
				ticket, refusal := gate.Admit(admission.Request{Account: account, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Lookup: rapid.Bool().Draw(t, "lookup")})
				property.Assert(t, refusal == nil, qt.IsTrue)
				open = append(open, ticket)
			},
			"leave": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				at := rapid.IntRange(0, len(open)-1).Draw(t, "at")
				open[at].Release()
				open[at].Release() // A second release does nothing.
				open = append(open[:at], open[at+1:]...)
			},
			"": func(t *rapid.T) {
				running, waiting := gate.Load()
				property.Assert(t, running <= capacity, qt.IsTrue)
				property.Assert(t, running+waiting, qt.Equals, len(open))
				count := 0
				for _, ticket := range open {
					if granted(ticket) {
						count++
					}
				}
				property.Assert(t, count, qt.Equals, running)
			},
		})
	})
}

// TestLookupsHaveCapacity fills a gate with long requests. A lookup must still be
// granted at once.
func TestLookupsHaveCapacity(t *testing.T) {
	gate, _ := newGate(10, map[string]admission.Limit{"a": wide(1)})
	for range 50 {
		_, refusal := gate.Admit(admission.Request{Account: "a", Rank: 5})
		qt.Assert(t, refusal, qt.IsNil)
	}
	ticket, refusal := gate.Admit(admission.Request{Account: "a", Rank: 0, Lookup: true})
	qt.Assert(t, refusal, qt.IsNil)
	qt.Assert(t, granted(ticket), qt.IsTrue)
}

// TestFairShares has one account request ten times as much as the others. Each of
// the others must get its weight's share within 10 %.
func TestFairShares(t *testing.T) {
	accounts := map[string]admission.Limit{"greedy": wide(1), "b": wide(1), "c": wide(1)}
	gate, c := newGate(6, accounts)
	type entry struct {
		account string
		ticket  *admission.Ticket
	}
	queue := []entry{}
	admit := func(account string) {
		ticket, refusal := gate.Admit(admission.Request{Account: account, Rank: 5})
		qt.Assert(t, refusal, qt.IsNil)
		queue = append(queue, entry{account, ticket})
	}
	for range 100 {
		admit("greedy")
	}
	for range 10 {
		admit("b")
		admit("c")
	}
	served := map[string]int{}
	for range 300 {
		c.at = c.at.Add(10 * time.Millisecond)
		for at, one := range queue {
			if granted(one.ticket) {
				one.ticket.Release()
				served[one.account]++
				queue = append(queue[:at], queue[at+1:]...)
				admit(one.account) // Keep each account's queue at its initial length.
				break
			}
		}
	}
	for _, account := range []string{"b", "c"} {
		qt.Assert(t, served[account] >= 90 && served[account] <= 110, qt.IsTrue, qt.Commentf("%v", served))
	}
}

func TestRefusalsHaveRetryTime(t *testing.T) {
	gate, c := newGate(1, map[string]admission.Limit{"a": {Rate: 2, Concurrent: 3, Weight: 1}})
	for range 3 {
		_, refusal := gate.Admit(admission.Request{Account: "a"})
		qt.Assert(t, refusal, qt.IsNil)
	}
	_, refusal := gate.Admit(admission.Request{Account: "a"})
	qt.Assert(t, refusal.Reason, qt.Equals, admission.ConcurrencyExceeded)
	qt.Assert(t, refusal.RetryAt.After(c.at), qt.IsTrue)
	_, refusal = gate.Admit(admission.Request{Account: "stranger"})
	qt.Assert(t, refusal.Reason, qt.Equals, admission.ConcurrencyExceeded)

	gate, c = newGate(1, map[string]admission.Limit{"a": {Rate: 2, Concurrent: 100, Weight: 1}})
	for range 4 {
		_, refusal = gate.Admit(admission.Request{Account: "a"})
		qt.Assert(t, refusal, qt.IsNil)
	}
	_, refusal = gate.Admit(admission.Request{Account: "a"})
	qt.Assert(t, refusal.Reason, qt.Equals, admission.RateExceeded)
	qt.Assert(t, refusal.RetryAt.Sub(c.at), qt.Equals, 500*time.Millisecond)
}

// TestHopelessRequestIsRefusedAtOnce checks early shedding: a request that can't
// be served before its deadline is refused on arrival.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	gate, c := newGate(1, map[string]admission.Limit{"a": wide(1)})
	for range 10 {
		_, refusal := gate.Admit(admission.Request{Account: "a"})
		qt.Assert(t, refusal, qt.IsNil)
	}
	_, refusal := gate.Admit(admission.Request{Account: "a", Deadline: c.at.Add(2 * time.Second)})
	qt.Assert(t, refusal.Reason, qt.Equals, admission.WouldMissDeadline)
	_, refusal = gate.Admit(admission.Request{Account: "a", Deadline: c.at.Add(time.Minute)})
	qt.Assert(t, refusal, qt.IsNil)
}

// TestSharesFollowTraffic checks that the sum of all VMs' fractions is near the
// whole limit, and that a VM with more traffic gets a larger fraction.
func TestSharesFollowTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Unix(1000, 0)}
		count := rapid.IntRange(2, 9).Draw(t, "vms")
		shares := make([]*admission.Shares, count)
		demand := make([]int, count)
		for i := range shares {
			shares[i] = admission.NewShares(c.now)
			demand[i] = rapid.IntRange(1, 50).Draw(t, "demand")
			for range demand[i] {
				shares[i].RecordArrival("a")
			}
		}
		for i := range shares {
			for j := range shares {
				if i != j {
					shares[i].MergeDemands(fmt.Sprint("vm-", j), shares[j].Demands())
				}
			}
		}
		sum := 0.0
		for i := range shares {
			fraction := shares[i].Fraction("a", count-1, count)
			sum += fraction
			if j := (i + 1) % count; demand[i] > demand[j] {
				property.Assert(t, fraction >= shares[j].Fraction("a", count-1, count), qt.IsTrue)
			}
		}
		property.Assert(t, sum >= 0.99 && sum <= 1.26, qt.IsTrue)
	})
}

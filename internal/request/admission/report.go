package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// reportTTL is how long a peer's report counts. It is a little longer than the longest interval
// between two reports of a VM on which something waits.
const reportTTL = 4 * time.Second

// claimExponent is how the claim of a waiting stream grows with its age.
const claimExponent = 3

// WaitingTokens is what the streams of an account and rank that wait on a VM need, and how long
// they have waited on average.
type WaitingTokens struct {
	Rank    int    `cbor:"1,keyasint,omitempty"`
	Account string `cbor:"2,keyasint,omitempty"`
	Tokens  int    `cbor:"3,keyasint"`
	// MeanAgeMillis is as of the report: VMs share no clock.
	MeanAgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// AccountTokens is what the running streams of an account on a VM hold.
type AccountTokens struct {
	Account string `cbor:"1,keyasint,omitempty"`
	Tokens  int    `cbor:"2,keyasint"`
}

// Report is what a VM tells its cell of a service while streams wait for headroom.
type Report struct {
	Service string          `cbor:"1,keyasint"`
	Waiting []WaitingTokens `cbor:"2,keyasint,omitempty"`
	Held    []AccountTokens `cbor:"3,keyasint,omitempty"`
}

type peerReport struct {
	report     Report
	receivedAt time.Time
	validUntil time.Time
}

// Report returns what this VM reports, and whether anything waits in the cell: otherwise there is
// nothing to report.
func (q *Queue) Report(service string) (report Report, found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := q.ownWaiting()
	if len(own) == 0 && len(q.peerWaiting(q.Now())) == 0 {
		return Report{}, false
	}
	return Report{Service: service, Waiting: own, Held: sortedHeld(q.Held())}, true
}

// MergeReport replaces what is known of a peer, and reports whether it is the first peer that
// waits.
func (q *Queue) MergeReport(peer string, report Report) (isFirst bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	wasCalm := len(q.peerWaiting(now)) == 0
	q.peers[peer] = peerReport{report: report, receivedAt: now, validUntil: now.Add(reportTTL)}
	return wasCalm && len(report.Waiting) > 0
}

// ForgetPeer drops the report of a peer that is down or has nothing to report.
func (q *Queue) ForgetPeer(peer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, found := q.peers[peer]; !found {
		return
	}
	delete(q.peers, peer)
	q.wakeFirst()
}

// ownWaiting returns what waits on this VM, by rank and account.
func (q *Queue) ownWaiting() []WaitingTokens {
	now := q.Now()
	return sumWaiting(func(add func(WaitingTokens)) {
		for _, w := range q.waiting {
			add(WaitingTokens{Rank: w.Rank, Account: w.Account, Tokens: w.Tokens(), MeanAgeMillis: now.Sub(w.Since).Milliseconds()})
		}
	})
}

// peerWaiting returns what waits on the other VMs of the cell.
func (q *Queue) peerWaiting(now time.Time) []WaitingTokens {
	if len(q.peers) == 0 {
		return nil
	}
	return sumWaiting(func(add func(WaitingTokens)) {
		for _, p := range q.peers {
			for _, entry := range p.report.Waiting {
				if now.Before(p.validUntil) {
					add(entry)
				}
			}
		}
	})
}

// claims returns how strongly the streams of a rank claim the free headroom: here, and on the other
// VMs. A claim grows with the time that a stream has waited, so that those that arrived first on
// any VM mostly go first.
func (q *Queue) claims(rank int, now time.Time) (own, elsewhere float64) {
	for _, w := range q.waiting {
		if w.Rank == rank {
			own += claim(w.Tokens(), now.Sub(w.Since))
		}
	}
	for _, p := range q.peers {
		for _, entry := range p.report.Waiting {
			if entry.Rank == rank && now.Before(p.validUntil) {
				elsewhere += claim(entry.Tokens, time.Duration(entry.MeanAgeMillis)*time.Millisecond+now.Sub(p.receivedAt))
			}
		}
	}
	return own, elsewhere
}

func claim(tokens int, age time.Duration) float64 {
	return float64(tokens) * math.Pow((age+roundInterval).Seconds(), claimExponent)
}

func sumWaiting(addAll func(add func(WaitingTokens))) []WaitingTokens {
	type key struct {
		rank    int
		account string
	}
	sums := map[key]WaitingTokens{}
	addAll(func(entry WaitingTokens) {
		k := key{entry.Rank, entry.Account}
		sum := sums[k]
		entry.MeanAgeMillis = (int64(sum.Tokens)*sum.MeanAgeMillis + int64(entry.Tokens)*entry.MeanAgeMillis) / int64(max(sum.Tokens+entry.Tokens, 1))
		entry.Tokens += sum.Tokens
		sums[k] = entry
	})
	waiting := []WaitingTokens{}
	for _, entry := range sums {
		waiting = append(waiting, entry)
	}
	slices.SortFunc(waiting, func(a, b WaitingTokens) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Account, b.Account))
	})
	return waiting
}

func sortedHeld(held map[string]int) []AccountTokens {
	sorted := []AccountTokens{}
	for account, tokens := range held {
		sorted = append(sorted, AccountTokens{Account: account, Tokens: tokens})
	}
	slices.SortFunc(sorted, func(a, b AccountTokens) int { return cmp.Compare(a.Account, b.Account) })
	return sorted
}

// updateHeld adds up what the running streams of the cell hold.
func (q *Queue) updateHeld(now time.Time) {
	q.held = map[string]int{}
	for account, tokens := range q.Held() {
		q.held[account] += tokens
	}
	for peer, p := range q.peers {
		if !now.Before(p.validUntil) {
			delete(q.peers, peer)
			continue
		}
		for _, entry := range p.report.Held {
			q.held[entry.Account] += entry.Tokens
		}
	}
}

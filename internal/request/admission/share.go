package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// rateTimeConstant is the time constant of the average over an account's
	// arrivals.
	rateTimeConstant = 5 * time.Second
	// peerDemandTTL is how long a demand that a peer announced is used.
	peerDemandTTL = 10 * time.Second
	// minEvenFraction of an even share is guaranteed to every VM, so that an
	// account's traffic can begin at a VM that had none of it.
	minEvenFraction = 0.25
	// maxDemandsPerHeartbeat bounds the accounts announced in one heartbeat.
	maxDemandsPerHeartbeat = 8
)

// AccountDemand is one VM's demand of one account, in requests per second.
type AccountDemand struct {
	Account string
	Rate    float64
}

type peerDemand struct {
	rate  float64
	until time.Time
}

// Shares divides account limits among the VMs without coordination: each VM's
// share follows its fraction of the account's traffic, as far as peers have
// announced theirs. It is safe for concurrent use.
type Shares struct {
	Now func() time.Time

	mu         sync.Mutex
	local      map[string]*arrivalRate
	peers      map[string]map[string]peerDemand // By account, then VM.
	nextDemand int
}

// arrivalRate is an exponentially decaying count of arrivals.
type arrivalRate struct {
	value float64
	at    time.Time
}

// NewShares returns Shares without any demand.
func NewShares(now func() time.Time) *Shares {
	return &Shares{Now: now, local: map[string]*arrivalRate{}, peers: map[string]map[string]peerDemand{}}
}

// AllAccounts is the name under which the total demand of all accounts is counted
// and announced. No account has this name.
const AllAccounts = ""

// RecordArrival counts one request of an account.
func (s *Shares) RecordArrival(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(AllAccounts)
	s.count(account)
}

func (s *Shares) count(account string) {
	d := s.local[account]
	if d == nil {
		d = &arrivalRate{at: s.Now()}
		s.local[account] = d
	}
	d.decay(s.Now())
	d.value += 1 / rateTimeConstant.Seconds()
}

func (d *arrivalRate) decay(now time.Time) {
	d.value *= math.Exp(-now.Sub(d.at).Seconds() / rateTimeConstant.Seconds())
	d.at = now
}

// Demands returns some of this VM's own demands to announce to a peer. Successive
// calls rotate through the accounts.
func (s *Shares) Demands() []AccountDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	all := []AccountDemand{}
	for account, d := range s.local {
		d.decay(now)
		if d.value < 0.01 {
			delete(s.local, account)
			continue
		}
		all = append(all, AccountDemand{Account: account, Rate: d.value})
	}
	slices.SortFunc(all, func(a, b AccountDemand) int { return cmp.Compare(a.Account, b.Account) })
	if len(all) <= maxDemandsPerHeartbeat {
		return all
	}
	announced := []AccountDemand{all[0]} // AllAccounts, which sorts first.
	for range maxDemandsPerHeartbeat - 1 {
		s.nextDemand = (s.nextDemand + 1) % len(all)
		announced = append(announced, all[s.nextDemand])
	}
	return announced
}

// MergeDemands merges the demands that a peer announced.
func (s *Shares) MergeDemands(vm string, demands []AccountDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.Now().Add(peerDemandTTL)
	for _, demand := range demands {
		if s.peers[demand.Account] == nil {
			s.peers[demand.Account] = map[string]peerDemand{}
		}
		s.peers[demand.Account][vm] = peerDemand{rate: demand.Rate, until: until}
	}
}

// Fraction returns this VM's fraction of an account's limit, from 0 to 1. peers is
// the number of VMs from which this VM receives demands directly; live is the
// number of all live VMs. The average of the received demands is assumed for the
// others.
//
//	own 3/s, two peers of 1/s each, 3 VMs live  ->  3/5
func (s *Shares) Fraction(account string, peers, live int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	evenFraction := 1 / float64(max(live, 1))
	d := s.local[account]
	if d == nil {
		return evenFraction
	}
	d.decay(s.Now())
	peerRate := s.peerRate(account)
	if peers > 0 && live-1 > peers {
		peerRate *= float64(live-1) / float64(peers)
	}
	if d.value+peerRate == 0 {
		return evenFraction
	}
	return min(1, max(d.value/(d.value+peerRate), minEvenFraction*evenFraction))
}

func (s *Shares) peerRate(account string) float64 {
	sum := 0.0
	now := s.Now()
	for vm, demand := range s.peers[account] {
		if now.After(demand.until) {
			delete(s.peers[account], vm)
			continue
		}
		sum += demand.rate
	}
	return sum
}

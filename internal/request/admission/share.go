package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// useSmoothing is the time over which an account's arrivals are averaged.
	useSmoothing = 5 * time.Second
	// useKept is how long a peer's word on its use counts.
	useKept = 10 * time.Second
	// floorPart of an even share is every VM's, so that new traffic gets in.
	floorPart = 0.25
	// toldUses bounds the accounts told in one heartbeat.
	toldUses = 8
)

// AccountDemand is one VM's demand of one account, in requests a second.
type AccountDemand struct {
	Account string
	Rate    float64
}

type heardUse struct {
	rate  float64
	until time.Time
}

// Shares splits account limits over the VMs without coordination: each VM's
// part follows its part of the account's traffic, as far as peers have told.
// It is safe for concurrent use.
type Shares struct {
	Now func() time.Time

	mu     sync.Mutex
	own    map[string]*demand
	others map[string]map[string]heardUse // By account, then VM.
	cursor int
}

// demand is an exponentially decaying count of arrivals.
type demand struct {
	value float64
	at    time.Time
}

// NewShares makes an empty book of uses.
func NewShares(now func() time.Time) *Shares {
	return &Shares{Now: now, own: map[string]*demand{}, others: map[string]map[string]heardUse{}}
}

// AllAccounts is the name under which the demands of all accounts together are
// counted and told. No account has it.
const AllAccounts = ""

// RecordArrival counts one request of an account.
func (s *Shares) RecordArrival(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(AllAccounts)
	s.count(account)
}

func (s *Shares) count(account string) {
	d := s.own[account]
	if d == nil {
		d = &demand{at: s.Now()}
		s.own[account] = d
	}
	d.decay(s.Now())
	d.value += 1 / useSmoothing.Seconds()
}

func (d *demand) decay(now time.Time) {
	d.value *= math.Exp(-now.Sub(d.at).Seconds() / useSmoothing.Seconds())
	d.at = now
}

// Demands gives some of this VM's own demands to tell a peer, in turn.
func (s *Shares) Demands() []AccountDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	all := []AccountDemand{}
	for account, d := range s.own {
		d.decay(now)
		if d.value < 0.01 {
			delete(s.own, account)
			continue
		}
		all = append(all, AccountDemand{Account: account, Rate: d.value})
	}
	slices.SortFunc(all, func(a, b AccountDemand) int { return cmp.Compare(a.Account, b.Account) })
	if len(all) <= toldUses {
		return all
	}
	told := []AccountDemand{all[0]} // AllAccounts, which sorts first.
	for range toldUses - 1 {
		s.cursor = (s.cursor + 1) % len(all)
		told = append(told, all[s.cursor])
	}
	return told
}

// MergeDemands takes in a peer's word on its demands.
func (s *Shares) MergeDemands(vm string, uses []AccountDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.Now().Add(useKept)
	for _, use := range uses {
		if s.others[use.Account] == nil {
			s.others[use.Account] = map[string]heardUse{}
		}
		s.others[use.Account][vm] = heardUse{rate: use.Rate, until: until}
	}
}

// Fraction gives this VM's part of an account's limit, from 0 to 1. peers is how
// many VMs this one hears directly; live is how many there are in all. What is
// heard stands for those that are not.
//
//	own 3/s, two peers of 1/s each, 3 VMs live  ->  3/5
func (s *Shares) Fraction(account string, peers, live int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	even := 1 / float64(max(live, 1))
	d := s.own[account]
	if d == nil {
		return even
	}
	d.decay(s.Now())
	others := s.heard(account)
	if peers > 0 && live-1 > peers {
		others *= float64(live-1) / float64(peers)
	}
	if d.value+others == 0 {
		return even
	}
	return min(1, max(d.value/(d.value+others), floorPart*even))
}

func (s *Shares) heard(account string) float64 {
	sum := 0.0
	now := s.Now()
	for vm, use := range s.others[account] {
		if now.After(use.until) {
			delete(s.others[account], vm)
			continue
		}
		sum += use.rate
	}
	return sum
}

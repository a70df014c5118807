package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// ErrNoHeadroom means that servers are up, and that none of them has headroom for a new stream.
const ErrNoHeadroom = errors.ConstError("no backend server has headroom")

const (
	// newestStreamWeight is the weight of the newest stream in the averages of a service.
	newestStreamWeight = 0.25
	// slowStreamWeight is the same for a reading rate below the average.
	slowStreamWeight = 0.02
	// lessUrgentFraction of the objective of the most urgent streams is the time in which a server
	// is to read the prompts of all others. The rest is left for the urgent ones.
	lessUrgentFraction = 0.5
	// lossMemory is how long after a loss more are expected: losses with one cause come in series.
	lossMemory = 30 * time.Second
)

// Need is what a new stream needs: memory for its demand, and its first event at a time, with a
// rank, of which lower ones are more urgent. Versions is the rule for most streams of its service.
type Need struct {
	Demand       placement.Demand
	Rank         int
	FirstEventBy time.Time
	Versions     VersionRule
}

// Headroom describes the headroom for new streams on the servers of a service in this VM's cell.
type Headroom struct {
	// Streams is the number of streams of the given demand that fit.
	Streams int
	// FreedPerSecond is the rate in tokens at which memory is freed there; 0 if it is not known.
	FreedPerSecond float64
	// LostLately means that a server of the service was lost within lossMemory.
	LostLately bool
	// FreeTokens is the most free memory of a server that is up.
	FreeTokens int
	// Unbounded means that headroom is no criterion: no server of the cell is up, or the stream exceeds
	// the memory of a server.
	Unbounded bool
}

// streamAverages are moving averages over the streams of a service on this VM; 0 before the
// first one.
type streamAverages struct {
	readPerSecond float64 // Tokens of prompts that a server reads.
	heldSeconds   float64 // From the choice of the server to the end of the run.
	tokens        float64 // Of the memory at the end, for new streams.
}

func average(before, sample float64) float64 {
	if before == 0 {
		return sample
	}
	return before + newestStreamWeight*(sample-before)
}

// averagesOf returns the averages of a service. Called with the lock held.
func (p *Pool) averagesOf(service string) *streamAverages {
	known := p.averages[service]
	if known == nil {
		known = &streamAverages{}
		p.averages[service] = known
	}
	return known
}

// recordRead records that a prompt has been read, after those that were pending when the server
// was chosen. Called with the lock held.
func (l *Lease) recordRead(now time.Time) {
	took := now.Sub(l.chosenAt).Seconds()
	if l.started || took <= 0 || l.demand.PromptTokens == 0 {
		return
	}
	averages := l.pool.averagesOf(l.Server.Service)
	rate := float64(l.Load.PendingTokens+l.demand.PromptTokens) / took
	if rate >= averages.readPerSecond {
		averages.readPerSecond = average(averages.readPerSecond, rate)
		return
	}
	// Work that this VM does not know of, or a pause of its own, delays first events too.
	averages.readPerSecond += slowStreamWeight * (rate - averages.readPerSecond)
}

// recordEnd records how long a stream held its memory. Called with the lock held.
func (l *Lease) recordEnd(now time.Time) {
	if !l.stream || !l.started {
		return
	}
	averages := l.pool.averagesOf(l.Server.Service)
	averages.tokens = average(averages.tokens, float64(l.demand.Tokens()))
	averages.heldSeconds = average(averages.heldSeconds, now.Sub(l.chosenAt).Seconds())
}

// headroomFor returns what package placement needs to know of a new stream. Prompts that wait at a
// server go before those that come later, so that only some of the less urgent may wait there.
//
// The number of prompts is rounded at random: VMs with slightly different reading rates would
// otherwise differ in whether they see any headroom. Called with the lock held.
func (p *Pool) headroomFor(service string, need Need, now time.Time) placement.Headroom {
	headroom := placement.Headroom{Demand: need.Demand}
	capacity := p.capacities[service]
	readBy := need.FirstEventBy
	if latest := now.Add(time.Duration(lessUrgentFraction * float64(capacity.UrgentObjective))); need.Rank > capacity.UrgentRank && capacity.UrgentObjective > 0 && latest.Before(readBy) {
		readBy = latest
	}
	if rate := p.averagesOf(service).readPerSecond; rate > 0 && !readBy.IsZero() {
		rounding := (p.options.Draw() - 0.5) * float64(need.Demand.PromptTokens)
		headroom.ReadTokens = max(int(rate*readBy.Sub(now).Seconds()+rounding), 1)
	}
	return headroom
}

// chooseWithHeadroom chooses a server of this VM's cell with headroom for a new stream. Of other cells
// the loads are not known. IsUp is false if no server of the cell is up, or if the stream exceeds
// the memory of a server: headroom is then no criterion. Called with the lock held.
func (p *Pool) chooseWithHeadroom(criteria Criteria, now time.Time, withLimit bool) (chosen *server, isUp bool) {
	if p.capacities[criteria.Service].CacheTokens < criteria.Demand.Tokens() {
		return nil, false
	}
	if reserved := p.takeReserved(criteria, now); reserved != nil {
		return reserved, true
	}
	filter := p.versionFilter(criteria.Service, criteria.Versions)
	usable := p.usableServers(criteria.Service, criteria.Tried, filter, now, withLimit)
	headroom := p.headroomFor(criteria.Service, Need{Demand: criteria.Demand, Rank: criteria.Rank, FirstEventBy: criteria.FirstEventBy}, now)
	for _, part := range usable.inOrder(filter) {
		cell := p.inCell(&part)
		at, found, isPartUp := placement.ChooseWithHeadroom(cell.candidates, headroom)
		if found {
			return cell.servers[at], true
		}
		isUp = isUp || isPartUp
	}
	return nil, isUp
}

// Headroom returns the headroom for new streams with a need.
func (p *Pool) Headroom(service string, need Need) Headroom {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.forgetExpiredPeers(now)
	filter := p.versionFilter(service, need.Versions)
	candidates := []placement.Candidate{}
	for _, s := range p.servers {
		if s.Service == service && s.acceptsWork() && !s.inBackoff(now) && !s.isDenied(now) && !filter.excludes(s) && p.isInCell(s) {
			candidates = append(candidates, p.candidate(s, now))
		}
	}
	streams, memoryTokens := placement.CountStreams(candidates, p.headroomFor(service, need, now))
	headroom := Headroom{Streams: streams, FreeTokens: placement.LargestFree(candidates)}
	isUp := slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return !c.Avoided })
	headroom.Unbounded = !isUp || p.capacities[service].CacheTokens < need.Demand.Tokens()
	if held := p.averagesOf(service).heldSeconds; held > 0 {
		headroom.FreedPerSecond = float64(memoryTokens) / held // Little's law.
	}
	headroom.LostLately = p.hasLossSince(service, now.Add(-lossMemory))
	return headroom
}

// hasLossSince reports whether a server of a service was lost since a time. Called with the lock held.
func (p *Pool) hasLossSince(service string, since time.Time) bool {
	for group, at := range p.lossAt {
		if strings.HasPrefix(group, service+"/") && at.After(since) {
			return true
		}
	}
	return false
}

// isInCell reports whether a server is in this VM's cell. Called with the lock held.
func (p *Pool) isInCell(s *server) bool {
	if p.cells <= 1 {
		return true
	}
	if p.cellOf == nil {
		p.assignCells()
	}
	return p.cellOf[s.Address] == p.cell
}

// HeldByAccount returns the memory in tokens that the streams of each client account on this VM
// hold.
func (p *Pool) HeldByAccount(service string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := map[string]int{}
	for _, s := range p.servers {
		if s.Service != service {
			continue
		}
		for lease := range s.leases {
			if lease.stream {
				held[lease.account] += lease.demand.Tokens()
			}
		}
	}
	return held
}

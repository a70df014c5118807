// Package placement decides which backend server gets a piece of work. Its functions have
// no state and do no I/O: all input is in their arguments, so that tests can simulate
// loads.
//
// # Usage
//
//	at, found := placement.ChooseForStream(candidates, placement.Demand{PromptTokens: 5200, OutputTokens: 1200})
//	copyHolder, found := placement.ChooseCopyHolder(candidates, candidates[at].FailureDomain, demand)
//	at, found = placement.ChooseForCall(candidates, rand.Float64)
//
// ChooseForStream is made for long prompts beside running streams: processing a prompt
// delays every stream on its server, and the prompt itself waits for the prompts before
// it. ChooseForCall is made for many short calls on a few servers, of which one may fail
// or be slow while its health check passes.
package placement

// Candidate is the state of one server. Counts include the load that peers reported. Its
// JSON is part of the log of placements.
type Candidate struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	// Avoided servers are chosen only if there is no other.
	Avoided bool `json:"avoided"`
	// Pending is the number of streams that were sent and have no first event yet, and PendingTokens
	// the number of tokens of their prompts.
	Pending       int `json:"pending"`
	PendingTokens int `json:"pendingTokens"`
	// Running is the number of streams after their first event.
	Running int `json:"running"`
	// MemoryTokens is the memory of all streams and copies there. CacheTokens is the
	// capacity, 0 if the server is not an engine and has no such bound.
	MemoryTokens int `json:"memoryTokens"`
	CacheTokens  int `json:"cacheTokens"`
	// Calls is the number of short calls in flight from this VM.
	Calls int `json:"calls"`
	// FailureRate is the recent fraction of calls that failed, 0 to 1.
	FailureRate float64 `json:"failureRate"`
	// LatencyMillis is the recent latency of successful calls, 0 if there were none.
	LatencyMillis float64 `json:"latencyMillis"`
	// Connected means that an idle connection is open.
	Connected bool `json:"connected"`
}

// Demand is the capacity that a stream needs.
type Demand struct {
	PromptTokens int
	OutputTokens int
	AfterLoss    bool // The stream has just lost its server.
}

// Tokens returns the memory that the stream occupies at its end.
func (d Demand) Tokens() int {
	return d.PromptTokens + d.OutputTokens
}

const (
	// runningWeight is the fraction of a prompt's processing time by which a stream that
	// runs beside it is delayed, counted against the delay of the prompt itself. A stream
	// has on average half of its output left.
	runningWeight = 0.5
	// After a loss, sampleFraction of the candidates are considered, and at least
	// minSampleSize.
	sampleFraction = 0.34
	minSampleSize  = 4
	// memoryFraction is the largest fraction of a server's memory that is given to
	// streams and copies. The rest is for outputs that are longer than announced.
	memoryFraction = 0.9
	// failureCostMillis is the cost of a failed call for its caller, as latency in ms:
	// the time until a retry is answered.
	failureCostMillis = 400.0
	// connectCostMillis is the cost of a new connection in ms: a round trip, and the
	// server's own work for it.
	connectCostMillis = 3.0
	// defaultLatencyMillis is assumed for servers that have answered no call yet.
	defaultLatencyMillis = 10.0
)

// ChooseForStream chooses the server on which a prompt is processed with the least delay
// for itself and for the streams beside it. Candidates are in random order.
//
// A server that is up but full, as far as is known, is preferred to one that is down: it
// queues the stream, and the load totals include copies that may be gone.
//
// After a loss many VMs choose at the same moment and have not received each other's load
// reports yet. Each then considers a sample, so that they seldom choose the same server.
func ChooseForStream(candidates []Candidate, demand Demand) (at int, found bool) {
	costOf := func(c Candidate) (cost float64, fits bool) {
		return streamCost(c, demand), Fits(c, demand)
	}
	if demand.AfterLoss {
		size := max(int(sampleFraction*float64(len(candidates))), minSampleSize)
		sample := candidates[:min(size, len(candidates))]
		if at, found = cheapest(sample, costOf); found && !sample[at].Avoided {
			return at, true
		}
	}
	if at, found = cheapest(candidates, costOf); found && !candidates[at].Avoided {
		return at, true
	}
	return cheapest(candidates, func(c Candidate) (cost float64, fits bool) {
		return float64(c.MemoryTokens), c.CacheTokens == 0 || demand.Tokens() <= c.CacheTokens
	})
}

func streamCost(c Candidate, demand Demand) float64 {
	return float64(c.PendingTokens) + runningWeight*float64(c.Running*demand.PromptTokens)
}

// ChooseCopyHolder chooses the server that holds the copy of a stream's memory. It is in
// another failure domain than the stream; found is false if no such server has capacity.
func ChooseCopyHolder(candidates []Candidate, streamDomain string, demand Demand) (at int, found bool) {
	return cheapest(candidates, func(c Candidate) (cost float64, fits bool) {
		if c.FailureDomain == streamDomain {
			return 0, false
		}
		return float64(c.MemoryTokens) + streamCost(c, demand), Fits(c, demand)
	})
}

// Fits reports whether a server has capacity for the memory that a stream occupies at its
// end.
func Fits(c Candidate, demand Demand) bool {
	return c.CacheTokens == 0 || float64(c.MemoryTokens+demand.Tokens()) <= memoryFraction*float64(c.CacheTokens)
}

// cheapest returns the candidate that fits at the lowest cost, and one that is not
// avoided if there is any. The first of equals is taken, so callers shuffle the
// candidates.
func cheapest(candidates []Candidate, costOf func(Candidate) (cost float64, fits bool)) (at int, found bool) {
	best := 0.0
	avoided := true
	for i, c := range candidates {
		cost, fits := costOf(c)
		if !fits {
			continue
		}
		better := !found || (avoided && !c.Avoided) || (avoided == c.Avoided && cost < best)
		if !better {
			continue
		}
		at, best, avoided, found = i, cost, c.Avoided, true
	}
	return at, found
}

// ChooseForCall draws two servers and takes the one that is expected to answer sooner
// (power of two choices, Mitzenmacher 2001). Draw returns numbers in [0, 1).
func ChooseForCall(candidates []Candidate, draw func() float64) (at int, found bool) {
	usable := []int{}
	for i, c := range candidates {
		if !c.Avoided {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		for i := range candidates {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	first := int(draw() * float64(len(usable)))
	if len(usable) == 1 {
		return usable[first], true
	}
	second := int(draw() * float64(len(usable)-1))
	if second >= first {
		second++
	}
	if callCost(candidates[usable[second]]) < callCost(candidates[usable[first]]) {
		first = second
	}
	return usable[first], true
}

func callCost(c Candidate) float64 {
	latency := c.LatencyMillis
	if latency == 0 {
		latency = defaultLatencyMillis
	}
	queue := 1 + float64(c.Calls)/float64(max(c.Slots, 1))
	cost := latency*queue + failureCostMillis*c.FailureRate
	if !c.Connected {
		cost += connectCostMillis
	}
	return cost
}

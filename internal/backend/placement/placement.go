// Package placement decides which backend server gets a piece of work. Its
// functions have no state and do no I/O: all that they go by is in their
// arguments, so that a load can be played against them in a test.
//
// # Usage
//
//	at, found := placement.Stream(candidates, placement.Need{PromptTokens: 5200, OutputTokens: 1200})
//	backup, found := placement.Backup(candidates, candidates[at].FailureDomain, need)
//	at, found = placement.Call(candidates, rand.Float64)
//
// Stream answers the load of long prompts beside running streams: a prompt that
// is read delays every stream on its server, and is delayed by the prompts
// before it. Call answers many short calls on a few servers, of which one may
// fail or be slow while its health check passes.
package placement

// Candidate is what is known of one server. Counts include what peers told. Its JSON
// stands in the log of placements.
type Candidate struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	// Avoided servers are taken only if no other can be.
	Avoided bool `json:"avoided"`
	// PendingTokens are of prompts that were sent and have no first event yet.
	PendingTokens int `json:"pendingTokens"`
	// Running is the number of streams after their first event.
	Running int `json:"running"`
	// MemoryTokens are of all streams and copies there; CacheTokens is the room, 0 if
	// the server is no engine and has no such bound.
	MemoryTokens int `json:"memoryTokens"`
	CacheTokens  int `json:"cacheTokens"`
	// Calls is the number of short calls in flight from this VM.
	Calls int `json:"calls"`
	// FailureRate is the recent part of calls that failed, 0 to 1.
	FailureRate float64 `json:"failureRate"`
	// LatencyMillis is the recent time of a call that succeeded.
	LatencyMillis float64 `json:"latencyMillis"`
	// Connected means that an idle connection is kept.
	Connected bool `json:"connected"`
}

// Demand is what a stream takes.
type Demand struct {
	PromptTokens int
	OutputTokens int
	AfterLoss    bool // The stream lost its server a moment ago.
}

// Tokens is the memory that the stream ends with.
func (n Demand) Tokens() int {
	return n.PromptTokens + n.OutputTokens
}

const (
	// runningWeight is the part of a prompt's reading time by which a stream that
	// runs beside it is delayed, counted against the delay of the prompt itself. A
	// stream has on average half of its output before it.
	runningWeight = 0.5
	// samplePart of the candidates, and leastSample at least, are looked at.
	samplePart  = 0.34
	leastSample = 4
	// memoryPart of a server's room at most is given to streams and copies. The
	// rest is for outputs that are longer than announced.
	memoryPart = 0.9
	// failureCost is what a failed call costs its caller, in ms of latency: the
	// time until a second try has been answered.
	failureCost = 400.0
	// connectCost is what a new connection costs, in ms: a round trip, and the
	// server's own work for it.
	connectCost = 3.0
	// unknownLatency stands for servers that answered no call yet, in ms.
	unknownLatency = 10.0
)

// ChooseForStream chooses the server on which a prompt is read with the least delay for
// itself and for the streams beside it. Candidates are in random order.
//
// A server that is up and has no room, as far as is known, goes before one that
// is down: it lets the stream wait, and the sums include copies that may be gone.
//
// After a loss many VMs choose at the same moment and don't know of each other
// yet. Each then looks at a sample, so that they seldom take the same server.
func ChooseForStream(candidates []Candidate, need Demand) (at int, found bool) {
	price := func(c Candidate) (cost float64, fits bool) {
		return streamCost(c, need), Fits(c, need)
	}
	if need.AfterLoss {
		size := max(int(samplePart*float64(len(candidates))), leastSample)
		sample := candidates[:min(size, len(candidates))]
		if at, found = least(sample, price); found && !sample[at].Avoided {
			return at, true
		}
	}
	if at, found = least(candidates, price); found && !candidates[at].Avoided {
		return at, true
	}
	return least(candidates, func(c Candidate) (cost float64, fits bool) {
		return float64(c.MemoryTokens), c.CacheTokens == 0 || need.Tokens() <= c.CacheTokens
	})
}

func streamCost(c Candidate, need Demand) float64 {
	return float64(c.PendingTokens) + runningWeight*float64(c.Running*need.PromptTokens)
}

// ChooseCopyHolder chooses the server that holds the copy of a stream's memory. It is in
// another failure domain than the stream if any such server has room.
func ChooseCopyHolder(candidates []Candidate, streamDomain string, need Demand) (at int, found bool) {
	return least(candidates, func(c Candidate) (cost float64, fits bool) {
		if c.FailureDomain == streamDomain {
			return 0, false
		}
		return float64(c.MemoryTokens) + streamCost(c, need), Fits(c, need)
	})
}

// Fits reports whether a server has room for the memory that a stream ends with.
func Fits(c Candidate, need Demand) bool {
	return c.CacheTokens == 0 || float64(c.MemoryTokens+need.Tokens()) <= memoryPart*float64(c.CacheTokens)
}

// least finds the cheapest candidate that fits, one that is not avoided if
// there is any. The first of equals is taken, so callers shuffle.
func least(candidates []Candidate, price func(Candidate) (cost float64, fits bool)) (at int, found bool) {
	best := 0.0
	avoided := true
	for i, c := range candidates {
		cost, fits := price(c)
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
// (power of two choices, Mitzenmacher 2001). Draw gives numbers in [0, 1).
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
		latency = unknownLatency
	}
	queue := 1 + float64(c.Calls)/float64(max(c.Slots, 1))
	cost := latency*queue + failureCost*c.FailureRate
	if !c.Connected {
		cost += connectCost
	}
	return cost
}

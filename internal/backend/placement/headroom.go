package placement

// Headroom is what the new streams of a service find on its servers. ReadTokens is the number of
// prompt tokens that a server reads until the first event of the stream is due, 0 if its reading
// rate is not known.
type Headroom struct {
	Demand     Demand
	ReadTokens int
}

// lightLoadFraction of a server's memory is filled without regard to the prompts that wait there:
// with so little work, slow first events have another cause than a full server.
const lightLoadFraction = 0.5

// HasHeadroom reports whether a server serves a new stream without harm to those that it has: the
// memory of the stream fits at its end, a slot is free, and the prompts that wait there are read
// before the stream's first event is due, unless most of its memory is free. A prompt that is too long to be read in time is read on
// a server without other prompts, and a stream that needs nearly all memory gets an empty server.
func HasHeadroom(c Candidate, headroom Headroom) bool {
	return streamsThatFit(c, headroom) > 0
}

// streamsThatFit returns the number of such streams that a server has headroom for.
func streamsThatFit(c Candidate, headroom Headroom) int {
	if c.CacheTokens == 0 {
		return max(c.Slots, 1)
	}
	fit := (int(memoryFraction*float64(c.CacheTokens)) - c.MemoryTokens) / max(headroom.Demand.Tokens(), 1)
	if c.MemoryTokens == 0 && headroom.Demand.Tokens() <= c.CacheTokens {
		fit = max(fit, 1)
	}
	prompt := max(headroom.Demand.PromptTokens, 1)
	if c.Slots > 0 {
		fit = min(fit, c.Slots-c.Running-c.Pending)
	}
	if headroom.ReadTokens == 0 {
		return max(fit, 0)
	}
	readable := (headroom.ReadTokens - c.PendingTokens) / prompt
	if c.PendingTokens == 0 {
		readable = max(readable, 1)
	}
	light := (int(lightLoadFraction*float64(c.CacheTokens)) - c.MemoryTokens) / max(headroom.Demand.Tokens(), 1)
	return max(min(fit, max(readable, light)), 0)
}

// ChooseWithHeadroom chooses among the servers that have headroom for a new stream as ChooseForStream
// does. IsUp reports whether any server is not avoided: otherwise the candidates tell nothing of
// the headroom.
func ChooseWithHeadroom(candidates []Candidate, headroom Headroom) (at int, found, isUp bool) {
	at, found = cheapest(candidates, func(c Candidate) (cost float64, fits bool) {
		isUp = isUp || !c.Avoided
		return streamCost(c, headroom.Demand), !c.Avoided && HasHeadroom(c, headroom)
	})
	return at, found, isUp
}

// ChooseLeastMemory chooses the server with the least memory in use that is not avoided.
func ChooseLeastMemory(candidates []Candidate) (at int, found bool) {
	return cheapest(candidates, func(c Candidate) (cost float64, fits bool) {
		return float64(c.MemoryTokens), !c.Avoided
	})
}

// CountStreams returns the number of such streams that the servers have headroom for, and the memory
// that is in use on them.
func CountStreams(candidates []Candidate, headroom Headroom) (streams, memoryTokens int) {
	for _, c := range candidates {
		if c.Avoided {
			continue
		}
		streams += streamsThatFit(c, headroom)
		memoryTokens += c.MemoryTokens
	}
	return streams, memoryTokens
}

// LargestFree returns the most memory that one of the servers has left for streams.
func LargestFree(candidates []Candidate) (tokens int) {
	for _, c := range candidates {
		if !c.Avoided {
			tokens = max(tokens, int(memoryFraction*float64(c.CacheTokens))-c.MemoryTokens)
		}
	}
	return tokens
}

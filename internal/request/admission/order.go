package admission

import "time"

// place is a request's position in the order in which requests are served: by rank, then by what
// its account has had already, then by when its caller began to wait, and then by arrival.
type place struct {
	rank     int
	usage    float64
	since    time.Time
	sequence int
}

func (p place) isBefore(other place) bool {
	switch {
	case p.rank != other.rank:
		return p.rank < other.rank
	case p.usage != other.usage:
		return p.usage < other.usage
	case !p.since.Equal(other.since):
		return p.since.Before(other.since)
	default:
		return p.sequence < other.sequence
	}
}

// expectedWait returns the queueing delay behind work that is ahead, if as much as the capacity is
// served in each service time.
func expectedWait(ahead, capacity float64, serviceTime time.Duration) time.Duration {
	return time.Duration(ahead / capacity * float64(serviceTime))
}

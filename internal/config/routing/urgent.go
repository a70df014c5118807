package routing

import "time"

// ranksOfPriority is the number of ranks for each priority of a request. Those of one priority, such
// as all that an account with a priority sends, are ranked by the priorities of their routes.
const ranksOfPriority = 100

// Rank returns the place of the route's requests with a priority in the order in which requests are
// served; 0 is the most urgent.
func (r *Route) Rank(priority int) int {
	return priority*ranksOfPriority + min(max(r.Priority, 0), ranksOfPriority-1)
}

// MostUrgent returns the most urgent rank of the streams that are routed to a service, and the
// shortest latency objective of those; 0 if no stream is.
func (c *Configuration) MostUrgent(service string) (rank int, objective time.Duration) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind != KindStreaming || !route.sharesWith(service) {
			continue
		}
		of := route.Rank(c.mostUrgentPriority(route))
		switch {
		case objective == 0 || of < rank:
			rank, objective = of, route.LatencyObjective
		case of == rank:
			objective = min(objective, route.LatencyObjective)
		}
	}
	return rank, objective
}

// mostUrgentPriority returns the most urgent priority that a request of the route may have.
func (c *Configuration) mostUrgentPriority(route *Route) int {
	priority, found := 0, false
	for _, account := range c.Keys {
		of := route.Priority
		if account.HasPriority {
			of = account.Priority
		}
		if !found || of < priority {
			priority, found = of, true
		}
	}
	if !found {
		return route.Priority
	}
	if route.Public {
		return min(priority, route.Priority)
	}
	return priority
}

func (r *Route) sharesWith(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

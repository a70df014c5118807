package routing

import "time"

// MostUrgent returns the most urgent priority of the streams that are routed to a service, and the
// shortest latency objective of those; 0 if no stream is.
func (c *Configuration) MostUrgent(service string) (priority int, objective time.Duration) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind != KindStreaming || !route.sharesWith(service) {
			continue
		}
		switch {
		case objective == 0 || route.Priority < priority:
			priority, objective = route.Priority, route.LatencyObjective
		case route.Priority == priority:
			objective = min(objective, route.LatencyObjective)
		}
	}
	return priority, objective
}

func (r *Route) sharesWith(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

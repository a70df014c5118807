// Package routing has the configuration that the platform's operator publishes:
// routes, services, client accounts and limits. A Configuration is one version of it
// and immutable, so that a request can keep the one it was accepted under.
//
// # Usage
//
//	configuration := routing.New(routing.Content{Version: 7, Routes: routes, ...})
//	route, found := configuration.Match("jobs.example", "/plans/17")
//	account, found := configuration.Account(key)
//	service := route.Service(rand.Float64())
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind classifies requests by whether they may be retried.
type Kind int

const (
	// KindNonIdempotent requests run at most once. It is the zero value, so that
	// requests of an unknown kind are never retried.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStreaming requests are answered by a stream of numbered events.
	KindStreaming
)

// String returns the name of the kind that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStreaming:
		return "streaming"
	default:
		return "nonIdempotent"
	}
}

// Share is one service of a route. Its share of the route's requests is
// proportional to Weight.
type Share struct {
	Service string
	Weight  float64
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Shares      []Share
	MaxAttempts int // Maximum number of servers that one request is sent to.
	Priority    int // 0 is the most urgent.
	Public      bool
	Resumable   bool
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// LatencyObjective is the target latency of the complete answer, or of the first
	// event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the target for the longest gap between two events of a stream; 0
	// if the route is not for streams.
	GapObjective time.Duration
}

func (r *Route) setDefaults() {
	if r.LatencyObjective <= 0 {
		r.LatencyObjective = defaultLatencyObjective
	}
	if r.Kind == KindStreaming && r.GapObjective <= 0 {
		r.GapObjective = defaultGapObjective
	}
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// LeadsTo reports whether the route has a share of its requests for a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Service selects one of the route's services by their weights. draw is a random
// number in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := draw * total
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of interchangeable backend servers. CacheTokens is the size of
// each server's KV cache in tokens; 0 if the servers are not model engines.
type Service struct {
	Name           string
	HealthPath     string
	MaxConns       int
	CacheTokens    int
	SupportsCopies bool // Servers replicate the KV cache of a running request to another server.
	SupportsMoves  bool // Servers move the KV cache of a running request to another server on demand.
}

// Account is one client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. The timeouts start anew with each connection
// and request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is the content of one version.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keys maps each API key to its account. Keyed is false if the version has no
	// accounts; then requests need no key.
	Keys  map[string]Account
	Keyed bool
}

// Configuration is a Content with indexes.
type Configuration struct {
	Content
	byHost   map[string][]*Route // Longest prefix first.
	services map[string]Service
}

// Objectives of routes that set none.
const (
	defaultLatencyObjective = time.Second
	defaultGapObjective     = 2 * time.Second
)

// New sets defaults in the content and indexes it.
func New(content Content) *Configuration {
	c := &Configuration{Content: content, byHost: map[string][]*Route{}, services: map[string]Service{}}
	for i := range content.Routes {
		route := &content.Routes[i]
		route.setDefaults()
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, service := range content.Services {
		c.services[service.Name] = service
	}
	return c
}

// Match finds the route of a host with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (route *Route, found bool) {
	for _, candidate := range c.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, true
		}
	}
	return nil, false
}

// Account finds the account of an API key.
func (c *Configuration) Account(key string) (account Account, found bool) {
	account, found = c.Keys[key]
	return account, found
}

// Service finds a service by name.
func (c *Configuration) Service(name string) (service Service, found bool) {
	service, found = c.services[name]
	return service, found
}

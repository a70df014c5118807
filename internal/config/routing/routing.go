// Package routing holds one version of the configuration that the platform's
// operator publishes: routes, services, client accounts and limits. A
// Configuration never changes after New, so that a request can keep the one it
// was accepted under.
//
// # Usage
//
//	configuration := routing.New(routing.Content{Version: 7, Routes: routes, ...})
//	route, found := configuration.Match("jobs.example", "/plans/17")
//	account, found := configuration.Account(key)
//	service := route.Service(rand.Float64())
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

const (
	// KindNonIdempotent requests run at most once. It is the zero value, so that
	// a kind that is not known is never repeated.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStreaming requests are answered by a stream of numbered events.
	KindStreaming
)

// String names the kind in logs.
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

// Share is one service of a route and its part of the route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route tells how requests of one host and path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Shares      []Share
	MaxAttempts int // Most servers that one request may be sent to.
	Priority    int // 0 is the most urgent.
	Public      bool
	Resumable   bool
	// Timeout is the longest time a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is for the whole answer, or the first event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events; 0 if not a stream.
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

// Service chooses one of the route's services. Draw is in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	rest := draw * total
	for _, share := range r.Shares {
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of backend servers that answer alike. CacheTokens is the
// memory of each, in tokens; 0 if they are no model engines.
type Service struct {
	Name           string
	HealthPath     string
	MaxConns       int
	CacheTokens    int
	SupportsCopies bool // Servers copy a run's memory to another server as it grows.
	SupportsMoves  bool // Servers move a run's memory on request.
}

// Account is one client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Times are lengths, not deadlines: they
// start anew with each connection and request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is what one version says.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keys maps each key to its account. Keyed is false if the version has no
	// accounts at all, so that requests need no key.
	Keys  map[string]Account
	Keyed bool
}

// Configuration is a Content with an index for lookups.
type Configuration struct {
	Content
	byHost   map[string][]*Route // Longest prefix first.
	services map[string]Service
}

// Objectives of routes that name none.
const (
	defaultLatencyObjective = time.Second
	defaultGapObjective     = 2 * time.Second
)

// New indexes a version.
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

// Match finds the route with the longest prefix that begins the path.
func (c *Configuration) Match(host, path string) (route *Route, found bool) {
	for _, candidate := range c.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, true
		}
	}
	return nil, false
}

// Account finds who holds a key.
func (c *Configuration) Account(key string) (account Account, found bool) {
	account, found = c.Keys[key]
	return account, found
}

// Service finds a service by name.
func (c *Configuration) Service(name string) (service Service, found bool) {
	service, found = c.services[name]
	return service, found
}

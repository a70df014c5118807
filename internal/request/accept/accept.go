// Package accept matches a caller's request to a route and a client account under one
// version of the configuration, and checks that the request is permitted.
//
// # Usage
//
//	request, err := accept.Accept(accept.View{Configuration: c, CurrentAt: t}, incoming, now, rand.Float64())
//	switch {
//	case errors.Is(err, accept.ErrNoRoute): ...
//	case errors.Is(err, accept.ErrNoKey): ...
//	}
//
// A VM whose configuration may be outdated does not deny an unknown route or key: a
// newer version may permit it. The caller is told when to retry instead.
package accept

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

const (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.ConstError("no route matches the host and path")
	// ErrNoKey means that the key belongs to no client account.
	ErrNoKey = errors.ConstError("the key belongs to no client account")
	// ErrTooLarge means that the body exceeds the limit of the configuration.
	ErrTooLarge = errors.ConstError("the body is too large")
	// ErrHeadTooLarge means that the head exceeds the limit of the configuration.
	ErrHeadTooLarge = errors.ConstError("the head is too large")
)

// RetryDelay is the time after which a caller may retry at a VM without a current
// configuration. The VM fetches one from its peers or the store.
const RetryDelay = 400 * time.Millisecond

// A VM that still has no configuration after its start was lost together with all others
// during an outage of the store. Most callers have one retry left. They are asked to use it
// after coldRetryFraction of their remaining time, coldRetryMax at most: an outage of the
// store lasts some seconds, and a stream that starts a few seconds late may still be in time.
// The delays have a jitter of coldRetryJitter, since all callers arrive at once.
const (
	coldRetryFraction = 0.3
	coldRetryMax      = 2500 * time.Millisecond
	coldRetryJitter   = 0.2
)

// defaultTimeout applies if neither the caller nor the route sets one.
const defaultTimeout = 30 * time.Second

// Incoming is a caller's request before it is accepted. Key is empty if the request
// has none. Deadline is zero if the caller set none.
type Incoming struct {
	ID          string
	Method      string
	Host        string
	Path        string
	Target      string
	Header      http.Header
	HeadBytes   int
	Body        []byte
	Key         string
	Received    time.Time
	Deadline    time.Time
	LastEventID string
	Resumes     string // ID of the attempt that brought the caller's first event.
	Demand      placement.Demand
	PromptParts []string // IDs of the parts of the prompt that other requests may share.
	PromptKey   string   // ID of the part that they do not share.
	// IsCallerGone reports whether the caller has closed its connection; nil if that can't be known.
	IsCallerGone func() bool
	Variant      string // Values of the headers that select the answer, such as the model's name.
}

// View is the configuration that the VM has. CurrentAt is when it was last known to be
// the newest one, and StaleAfter is the age from which it may be outdated.
type View struct {
	Configuration *routing.Configuration
	CurrentAt     time.Time
	StaleAfter    time.Duration
}

// Accept returns the request to relay, or an error if it may not run. Draw is a random
// number in [0, 1) that selects among the services of a split route and sets the jitter
// of a retry delay.
func Accept(view View, in Incoming, now time.Time, draw float64) (request *relay.Request, err error) {
	c := view.Configuration
	if c == nil {
		return nil, &relay.NotRun{Kind: relay.RefusalNoConfiguration, Reason: "no configuration is known yet", RetryAt: coldRetryAt(in, now, draw)}
	}
	route, found := c.Match(in.Host, in.Path)
	if !found {
		return nil, view.deny(ErrNoRoute, now)
	}
	account := routing.Account{}
	if c.Keyed {
		if account, found = c.Account(in.Key); !found && !route.Public {
			return nil, view.deny(ErrNoKey, now)
		}
	}
	if c.Limits.HeaderBytes > 0 && in.HeadBytes > c.Limits.HeaderBytes {
		return nil, errors.Trace(ErrHeadTooLarge)
	}
	if c.Limits.BodyBytes > 0 && int64(len(in.Body)) > c.Limits.BodyBytes {
		return nil, errors.Trace(ErrTooLarge)
	}
	request = &relay.Request{
		ID:          in.ID,
		Method:      in.Method,
		Host:        in.Host,
		Target:      in.Target,
		Header:      in.Header,
		Body:        in.Body,
		Route:       route,
		Service:     route.Service(draw),
		Account:     account.Name,
		Priority:    route.Priority,
		Received:    in.Received,
		Deadline:    deadline(in, route),
		LastEventID: in.LastEventID,
		Resumes:     in.Resumes,
		Demand:      in.Demand,
		PromptParts: in.PromptParts,

		IsCallerGone: in.IsCallerGone,
	}
	if account.HasPriority {
		request.Priority = account.Priority
	}
	request.Content = hash(account.Name, in)
	request.Traits = crash.Traits(request.Content, in.PromptParts)
	if route.Kind == routing.KindStreaming {
		request.CopyKey = hash(account.Name, in, in.Host, in.PromptKey, in.Variant)
		request.SharesKey = in.PromptKey == ""
	}
	return request, nil
}

// coldRetryAt returns when a caller may retry at a VM without any configuration.
func coldRetryAt(in Incoming, now time.Time, draw float64) time.Time {
	left := defaultTimeout
	if !in.Deadline.IsZero() {
		left = in.Deadline.Sub(now)
	}
	delay := min(time.Duration(coldRetryFraction*float64(left)), coldRetryMax)
	delay -= time.Duration(draw * coldRetryJitter * float64(delay))
	return now.Add(max(delay, 0))
}

// deny returns the reason as the final error if the configuration is known to be current,
// and otherwise a refusal that permits a retry.
func (v View) deny(reason error, now time.Time) error {
	if now.Sub(v.CurrentAt) <= v.StaleAfter {
		return errors.Trace(reason)
	}
	return &relay.NotRun{Kind: relay.RefusalOutdated, Reason: reason.Error() + ", but the configuration may be outdated", RetryAt: now.Add(RetryDelay)}
}

// Deadline returns when a request has to be answered, also of one that will be refused. The
// configuration may be nil.
func Deadline(c *routing.Configuration, in Incoming) time.Time {
	if c != nil {
		if route, found := c.Match(in.Host, in.Path); found {
			return deadline(in, route)
		}
	}
	return deadline(in, &routing.Route{})
}

// deadline returns the earlier of the caller's deadline and the end of the route's timeout.
func deadline(in Incoming, route *routing.Route) time.Time {
	at := in.Deadline
	if at.IsZero() {
		at = in.Received.Add(defaultTimeout)
	}
	if route.Timeout > 0 && in.Received.Add(route.Timeout).Before(at) {
		at = in.Received.Add(route.Timeout)
	}
	return at
}

// hash returns the same value for each attempt of a request, at any VM. Values that are not
// hashed, such as the prompt's parts, may differ between requests of the same content.
func hash(account string, in Incoming, more ...string) string {
	sum := sha256.New()
	for _, part := range append([]string{account, in.Method, in.Target}, more...) {
		sum.Write([]byte(part)) // Writes to a hash return no error.
		sum.Write([]byte{0})
	}
	sum.Write(in.Body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

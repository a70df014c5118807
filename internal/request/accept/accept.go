// Package accept decides what a caller's request is allowed to do: it finds the
// route and the client account under one version of the configuration.
//
// # Usage
//
//	request, err := accept.Accept(accept.Picture{Configuration: c, CurrentAt: t}, incoming, now, rand.Float64())
//	switch {
//	case errors.Is(err, accept.ErrNoRoute): ...
//	case errors.Is(err, accept.ErrNoKey): ...
//	}
//
// A VM that can't know whether its configuration is the newest doesn't deny a
// route or key for lack of knowledge: it says when to come back.
package accept

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/config/routing"
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

// ComeBackPause is when a caller may come back to a VM that knows no configuration that is
// current: it learns that from its peers or the store.
const ComeBackPause = 400 * time.Millisecond

// A VM that knows no configuration although its start is over was lost together with all
// others while the store is away. Most callers have one more try, so they come back after
// comeBackPart of the time that they have, longestComeBack at most: an outage of the store
// lasts some seconds, and a stream that starts a few seconds late may still be in time. The
// times are spread by comeBackSpread, since all callers come at once.
const (
	comeBackPart    = 0.3
	longestComeBack = 2500 * time.Millisecond
	comeBackSpread  = 0.2
)

// defaultWait is how long a request may take if neither the caller nor the
// route says so.
const defaultWait = 30 * time.Second

// Incoming is a caller's request before it is accepted. Key is empty if it has
// none. Deadline is zero if the caller set none.
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
	Need        placement.Demand
	PromptKey   string
}

// Picture is the configuration that the VM knows, and when that was last known
// to be the newest. StaleAfter is from what age on it may not be.
type Picture struct {
	Configuration *routing.Configuration
	CurrentAt     time.Time
	StaleAfter    time.Duration
}

// Accept gives the request to relay, or why it may not run. Draw is in [0, 1)
// and chooses among the services of a split route.
func Accept(picture Picture, in Incoming, now time.Time, draw float64) (request *relay.Request, err error) {
	c := picture.Configuration
	if c == nil {
		return nil, &relay.NotRun{Kind: relay.RefusalNoConfiguration, Reason: "no configuration is known yet", RetryAt: comeBackAt(in, now, draw)}
	}
	route, found := c.Match(in.Host, in.Path)
	if !found {
		return nil, picture.deny(ErrNoRoute, now)
	}
	account := routing.Account{}
	if c.Keyed {
		if account, found = c.Account(in.Key); !found && !route.Public {
			return nil, picture.deny(ErrNoKey, now)
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
		Need:        in.Need,
	}
	if account.HasPriority {
		request.Priority = account.Priority
	}
	request.Content = hash(account.Name, in)
	if route.Kind == routing.KindStreaming && in.PromptKey != "" { // Else other requests may have the same key.
		request.CopyKey = hash(account.Name, in, in.PromptKey)
	}
	return request, nil
}

// comeBackAt is when the caller of a VM without any configuration may come back.
func comeBackAt(in Incoming, now time.Time, draw float64) time.Time {
	left := defaultWait
	if !in.Deadline.IsZero() {
		left = in.Deadline.Sub(now)
	}
	pause := min(time.Duration(comeBackPart*float64(left)), longestComeBack)
	pause -= time.Duration(draw * comeBackSpread * float64(pause))
	return now.Add(max(pause, 0))
}

// deny refuses for good only if the configuration is known to be current.
func (p Picture) deny(reason error, now time.Time) error {
	if now.Sub(p.CurrentAt) <= p.StaleAfter {
		return errors.Trace(reason)
	}
	return &relay.NotRun{Kind: relay.RefusalOutdated, Reason: reason.Error() + ", but the configuration may be outdated", RetryAt: now.Add(ComeBackPause)}
}

func deadline(in Incoming, route *routing.Route) time.Time {
	end := in.Deadline
	if end.IsZero() {
		end = in.Received.Add(defaultWait)
	}
	if route.Timeout > 0 && in.Received.Add(route.Timeout).Before(end) {
		end = in.Received.Add(route.Timeout)
	}
	return end
}

// hash is the same for each attempt of a request, at any VM. What is not in it, such as the
// prompt's parts, may differ between requests that are alike.
func hash(account string, in Incoming, more ...string) string {
	sum := sha256.New()
	for _, part := range append([]string{account, in.Method, in.Target}, more...) {
		sum.Write([]byte(part)) // A hash never fails to write.
		sum.Write([]byte{0})
	}
	sum.Write(in.Body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

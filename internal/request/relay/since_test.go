package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/config/routing"
)

// TestReturningCallerHasWaited: a caller with less time left than the route gives has waited since
// then, unless its first event is overdue by now.
func TestReturningCallerHasWaited(t *testing.T) {
	received := time.Unix(1000, 0)
	for _, test := range []struct {
		left, waited, due time.Duration // due is counted from the request's arrival.
	}{
		{25 * time.Second, 0, 10 * time.Second},
		{30 * time.Second, 0, 10 * time.Second},
		{21 * time.Second, 4 * time.Second, 6 * time.Second},
		{14 * time.Second, 0, 10 * time.Second},
	} {
		route := &routing.Route{Timeout: 25 * time.Second, LatencyObjective: 10 * time.Second}
		since, firstEventBy := waitingSince(&Request{Received: received, Deadline: received.Add(test.left), Route: route})
		qt.Check(t, received.Sub(since), qt.Equals, test.waited)
		qt.Check(t, firstEventBy.Sub(received), qt.Equals, test.due)
	}
}

// TestStreamStartsBeforeTheDeadline: the time to wait is half of what is left to the first event, or
// to the deadline if that is earlier.
func TestStreamStartsBeforeTheDeadline(t *testing.T) {
	received := time.Unix(1000, 0)
	request := &Request{Received: received, Deadline: received.Add(6 * time.Second)}
	qt.Check(t, startBy(request, received.Add(10*time.Second)), qt.Equals, received.Add(3*time.Second))
	qt.Check(t, startBy(request, received.Add(4*time.Second)), qt.Equals, received.Add(2*time.Second))
}

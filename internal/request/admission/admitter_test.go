package admission_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// door is an Admitter with a number of free places.
type door struct {
	*admission.Admitter
	places  chan struct{}
	refused []admission.Reason
	waited  int
	// onAdmitted is called for each admitted stream, if set.
	onAdmitted func()
}

func newDoor(places int) *door {
	d := &door{places: make(chan struct{}, 10)}
	for range places {
		d.places <- struct{}{}
	}
	d.Admitter = admission.NewAdmitter(admission.AdmitterOptions{
		Now:      time.Now,
		Draw:     func() float64 { return 0.999 },
		Headroom: func(string, admission.Stream) admission.Headroom { return admission.Headroom{Streams: len(d.places)} },
		Held:     func(string) map[string]int { return nil },
		OnChange: func() {},
		OnAdmitted: func(_ string, since time.Time) {
			if d.onAdmitted != nil {
				d.onAdmitted()
			}
			if !since.IsZero() {
				d.waited++
			}
		},
		OnRefused: func(_ string, reason admission.Reason) { d.refused = append(d.refused, reason) },
	})
	return d
}

// enter lets a stream wait until a place is free.
func (d *door) enter(ctx context.Context, startBy time.Time) error {
	stream := admission.Stream{Account: "a", PromptTokens: 10, StartBy: startBy, Since: time.Now()}
	return d.Admit(ctx, "llm", stream, admission.Attempt{
		Take: func(bool) (bool, error) {
			select {
			case <-d.places:
				return true, nil
			default:
				return false, nil
			}
		},
		Reserve: func() bool { return false },
	})
}

// TestAdmitterWaitsForHeadroom: with headroom a stream enters at once. Without, it waits until a place is
// free.
func TestAdmitterWaitsForHeadroom(t *testing.T) {
	d := newDoor(1)
	qt.Assert(t, d.enter(context.Background(), time.Now().Add(time.Minute)), qt.IsNil)
	qt.Check(t, d.waited, qt.Equals, 0)
	time.AfterFunc(20*time.Millisecond, func() {
		d.places <- struct{}{}
		d.Wake()
	})
	qt.Assert(t, d.enter(context.Background(), time.Now().Add(time.Minute)), qt.IsNil)
	qt.Check(t, d.waited, qt.Equals, 1)
	qt.Check(t, d.Len(), qt.Equals, 0)
	qt.Check(t, d.Reports(), qt.HasLen, 0)
}

// TestAdmitterRefuses: a stream that found no headroom until it had to have a server gets the reason
// and a time to return.
func TestAdmitterRefuses(t *testing.T) {
	d := newDoor(0)
	err := d.enter(context.Background(), time.Now().Add(30*time.Millisecond))
	var refusal *admission.NoHeadroom
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Reason, qt.Equals, admission.WaitedTooLong)
	qt.Check(t, refusal.RetryAt.After(time.Now()), qt.IsTrue)
	qt.Check(t, d.refused, qt.DeepEquals, []admission.Reason{admission.WaitedTooLong})
}

// TestAdmitterForgetsCallersThatLeave: their error is that of their context, and peers are told of
// nothing more.
func TestAdmitterForgetsCallersThatLeave(t *testing.T) {
	d := newDoor(0)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	qt.Assert(t, errors.Is(d.enter(ctx, time.Now().Add(time.Minute)), context.Canceled), qt.IsTrue)
	qt.Check(t, d.Len(), qt.Equals, 0)
}

// TestAdmitterMergesReports: what waits at a peer goes before an equal here until the peer is
// known to be down.
func TestAdmitterMergesReports(t *testing.T) {
	d := newDoor(1)
	d.MergeReports("peer", []admission.Report{{Service: "llm", Waiting: []admission.WaitingTokens{{Rank: 0, Account: "b", Tokens: 1_000_000, MeanAgeMillis: 60_000}}}})
	qt.Check(t, d.Reports(), qt.HasLen, 1)
	err := d.enter(context.Background(), time.Now().Add(60*time.Millisecond))
	var refusal *admission.NoHeadroom
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	d.ForgetPeers([]string{"peer"})
	qt.Check(t, d.Reports(), qt.HasLen, 0)
	qt.Assert(t, d.enter(context.Background(), time.Now().Add(time.Minute)), qt.IsNil)
}

// TestStoppedAdmitterRefusesWhatWaits: a VM that is leaving refuses those that wait, and those
// without headroom at once. With headroom a stream enters.
func TestStoppedAdmitterRefusesWhatWaits(t *testing.T) {
	d := newDoor(0)
	time.AfterFunc(20*time.Millisecond, d.Stop)
	for range 2 {
		err := d.enter(context.Background(), time.Now().Add(time.Minute))
		var refusal *admission.NoHeadroom
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, refusal.Reason, qt.Equals, admission.Stopped)
	}
	d.places <- struct{}{}
	qt.Assert(t, d.enter(context.Background(), time.Now().Add(time.Minute)), qt.IsNil)
}

// TestFailedAttemptIsNoAdmission: the error of the attempt is returned, and nothing is counted.
func TestFailedAttemptIsNoAdmission(t *testing.T) {
	d := newDoor(1)
	admitted := 0
	d.onAdmitted = func() { admitted++ }
	err := d.Admit(context.Background(), "llm", admission.Stream{StartBy: time.Now().Add(time.Minute), Since: time.Now()}, admission.Attempt{
		Take: func(bool) (bool, error) { return false, errors.New("no server is listed") },
	})
	qt.Check(t, err, qt.ErrorMatches, "no server is listed")
	qt.Check(t, admitted, qt.Equals, 0)
}

// TestLostReservationIsMadeAgain: the server is lost on which a stream has reserved memory. The stream
// reserves again.
func TestLostReservationIsMadeAgain(t *testing.T) {
	d := newDoor(0)
	isReserved, reserved := false, 0
	err := d.Admit(context.Background(), "llm", admission.Stream{PromptTokens: 10, StartBy: time.Now().Add(time.Minute), Since: time.Now()}, admission.Attempt{
		Take: func(bool) (bool, error) { return reserved == 2, nil },
		Reserve: func() bool {
			reserved++
			isReserved = reserved == 2
			return true
		},
		IsReserved: func() bool { return isReserved },
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reserved, qt.Equals, 2)
}

package revision_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	platformobject "github.com/endivespoke/endivespoke/internal/platform/object"
	"github.com/endivespoke/endivespoke/internal/platform/table"
)

func init() { property.FixSeed() }

func newPublisher(t *testing.T) (*revision.Publisher, *platformfake.Platform) {
	platform := platformfake.New()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	client := &http.Client{Timeout: 10 * time.Second}
	return &revision.Publisher{Table: table.New(server.URL, client), Objects: platformobject.New(server.URL, client), Now: time.Now}, platform
}

func setNamed(name string) object.Set {
	return object.Set{Operators: []object.Operator{{Name: name}}}
}

func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	publisher, _ := newPublisher(t)
	ctx := context.Background()
	for round := range uint64(5) {
		var mu sync.Mutex
		won := []revision.Head{}
		lost := 0
		var operators sync.WaitGroup
		for i := range 10 {
			operators.Add(1)
			go func() {
				defer operators.Done()
				head, err := publisher.Publish(ctx, setNamed(fmt.Sprintf("o%d-%d", round, i)), round, fmt.Sprint("operator-", i))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won = append(won, head)
				} else if errors.Is(err, revision.ErrConflict) {
					lost++
				}
			}()
		}
		operators.Wait()
		qt.Assert(t, won, qt.HasLen, 1)
		qt.Assert(t, lost, qt.Equals, 9)
		head, err := publisher.Head(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, head.ID, qt.Equals, won[0].ID)
	}
	history, err := publisher.History(ctx, 10)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, history, qt.HasLen, 5)
	qt.Assert(t, history[0].Revision, qt.Equals, uint64(5))
}

// TestLostRepliesAreResolved loses replies and requests of head writes. The result
// of Publish must always agree with the stored head.
func TestLostRepliesAreResolved(t *testing.T) {
	cases := map[string]struct {
		faults platformfake.Faults
		want   error
	}{
		"one reply lost":        {platformfake.Faults{LoseWriteReplies: 1}, nil},
		"two replies lost":      {platformfake.Faults{LoseWriteReplies: 2}, nil},
		"one request lost":      {platformfake.Faults{LoseWriteRequests: 1}, nil},
		"every request is lost": {platformfake.Faults{LoseWriteRequests: 100}, revision.ErrOutcomeUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			publisher, platform := newPublisher(t)
			platform.SetFaults(test.faults)
			head, err := publisher.Publish(context.Background(), setNamed("o"), 0, "operator")
			if test.want != nil {
				qt.Assert(t, errors.Is(err, test.want), qt.IsTrue)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			platform.SetFaults(platformfake.Faults{})
			current, err := publisher.Head(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, current.ID, qt.Equals, head.ID)
		})
	}
}

// TestReplyLostAndThenSuperseded loses the reply of a write that took effect. Another
// operator publishes before the head is read back. The first publish must succeed.
func TestReplyLostAndThenSuperseded(t *testing.T) {
	publisher, platform := newPublisher(t)
	ctx := context.Background()
	platform.SetFaults(platformfake.Faults{LoseWriteReplies: 1})
	superseded := false
	other := *publisher
	platform.BeforeWrite = func(string) {
		head, err := publisher.Head(ctx)
		if err != nil || head.Revision != 1 || superseded {
			return // The first write has not taken effect.
		}
		superseded = true
		_, err = other.Publish(ctx, setNamed("second"), 1, "second")
		qt.Check(t, err, qt.IsNil)
	}
	head, err := publisher.Publish(ctx, setNamed("first"), 0, "first")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, head.Revision, qt.Equals, uint64(1))
	qt.Assert(t, head.Publisher, qt.Equals, "first")
}

func TestUnavailableStorePublishesNothing(t *testing.T) {
	publisher, platform := newPublisher(t)
	platform.SetFaults(platformfake.Faults{DownUntil: time.Now().Add(time.Hour)})
	_, err := publisher.Publish(context.Background(), setNamed("o"), 0, "operator")
	qt.Assert(t, errors.Is(err, table.ErrUnavailable), qt.IsTrue)
	platform.SetFaults(platformfake.Faults{})
	head, err := publisher.Head(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, head.Revision, qt.Equals, uint64(0))
}

// TestInForceNeverDecreases offers and confirms revisions in random order.
func TestInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inForce := revision.InForce{}
		start := time.Unix(1000, 0)
		confirmed := map[uint64]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				before := inForce.Head.Revision
				offered := rapid.Uint64Range(1, 20).Draw(t, "revision")
				accepted := inForce.Offer(revision.Head{Revision: offered}, &object.Set{}, time.Time{})
				property.Assert(t, accepted, qt.Equals, offered > before)
				property.Assert(t, inForce.Head.Revision, qt.Equals, max(before, offered))
			},
			"confirm": func(t *rapid.T) {
				of := rapid.Uint64Range(0, 20).Draw(t, "revision")
				until := start.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "until")) * time.Second)
				hash := rapid.SampledFrom([]string{"", "other"}).Draw(t, "hash")
				inForce.Confirm(of, hash, until)
				if hash == inForce.Head.Hash && of == inForce.Head.Revision && until.After(confirmed[of]) {
					confirmed[of] = until
				}
			},
			"": func(t *rapid.T) {
				want := confirmed[inForce.Head.Revision]
				property.Assert(t, inForce.FreshUntil.Equal(want), qt.IsTrue)
			},
		})
	})
}

// The table has lost the newest revision, and its number is given out again.
func TestHeadsOfATableThatWentBackAreNotTakenAsNewer(t *testing.T) {
	ctx := context.Background()
	before, _ := newPublisher(t)
	restored, _ := newPublisher(t)
	inForce := revision.InForce{}
	publish := func(p *revision.Publisher, name string, base uint64) revision.Head {
		head, err := p.Publish(ctx, setNamed(name), base, name)
		qt.Assert(t, err, qt.IsNil)
		return head
	}
	publish(before, "first", 0)
	newest := publish(before, "second", 1)
	qt.Assert(t, inForce.Offer(newest, &object.Set{}, time.Time{}), qt.IsTrue)
	for i, head := range []revision.Head{publish(restored, "first", 0), publish(restored, "other", 1)} {
		qt.Check(t, inForce.Offer(head, &object.Set{}, time.Unix(2000, 0)), qt.IsFalse)
		inForce.Confirm(head.Revision, head.Hash, time.Unix(2000, 0))
		qt.Check(t, inForce.FreshUntil.IsZero(), qt.IsTrue, qt.Commentf("head %d confirmed another content", i))
	}
	qt.Check(t, inForce.Offer(publish(restored, "third", 2), &object.Set{}, time.Time{}), qt.IsTrue)
}

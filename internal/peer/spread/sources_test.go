package spread

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
)

// TestPeerThatOfferedAChangeMeanwhileIsAsked guards against a VM that forgets who has a change while the one that it
// asked is lost.
func TestPeerThatOfferedAChangeMeanwhileIsAsked(t *testing.T) {
	asked := make(chan string, 10)
	s := New(Options{
		Self: Member{ID: "self", Version: 1}, Now: time.Now, Logger: hclog.NewNullLogger(),
		Call: func(ctx context.Context, peer, _ string, _ []byte) ([]byte, error) {
			asked <- peer
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		},
		Post: func(string, string, []byte) {}, Disconnect: func(string) {},
		Loads: func() []pool.Load { return nil }, ServiceUsage: func() []ServiceUsage { return nil },
		DecodeConfiguration: func([]byte) (*routing.Configuration, error) { return nil, errors.New("none") },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	for _, peer := range []string{"lost", "other"} {
		hint := message{From: peer, Address: peer + ":1", NoReply: true, Summary: &summary{ConfigVersion: 2}}
		s.OnMessage(hint.encode())
	}
	for _, want := range []string{"lost", "other"} {
		select {
		case peer := <-asked:
			if peer != want {
				t.Fatalf("%s was asked, not %s", peer, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s was not asked", want)
		}
	}
}

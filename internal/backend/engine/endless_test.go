package engine_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/caller/locate"
	"github.com/endivespoke/endivespoke/internal/lab/answerfake"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

// TestEndlessReportsAreNotReadForever queries servers that send endless responses. The
// call must end before the caller's deadline.
func TestEndlessReportsAreNotReadForever(t *testing.T) {
	const mostRead = 64 << 20 // Including the buffers of the sockets.
	cases := map[string]struct {
		first, again string
		query        func(ctx context.Context, address string, c *httptest.Server) error
	}{
		"load": {`{"running":1,"a":"`, strings.Repeat("a", 1000), func(ctx context.Context, address string, c *httptest.Server) error {
			_, err := engine.New(c.Client()).Load(ctx, address)
			return err
		}},
		"models": {`{"data":[{"id":"m"}`, `,{"id":"m"}`, func(ctx context.Context, address string, c *httptest.Server) error {
			_, err := engine.New(c.Client()).LoadedModels(ctx, address)
			return err
		}},
		"VMs": {`[{"id":"v"}`, `,{"id":"v"}`, func(ctx context.Context, _ string, c *httptest.Server) error {
			_, err := vmlist.New(c.URL, c.Client()).List(ctx)
			return err
		}},
		"entries": {`{"entries":[{}`, `,{}`, func(ctx context.Context, _ string, c *httptest.Server) error {
			_, err := locate.Fetch(ctx, c.Client(), c.URL)
			return err
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := atomic.Int64{}
			server := httptest.NewServer(answerfake.Endless(c.first, c.again, &sent))
			defer server.Close()
			defer server.CloseClientConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			err := c.query(ctx, strings.TrimPrefix(server.URL, "http://"), server)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Check(t, sent.Load() < mostRead, qt.IsTrue, qt.Commentf("%d bytes were sent", sent.Load()))
		})
	}
}

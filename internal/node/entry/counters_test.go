package entry

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/request/accept"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

func TestRefusalsAreCountedByReason(t *testing.T) {
	c := newCounters()
	c.refused(nil)
	c.refused(errors.Trace(accept.ErrNoRoute))
	c.refused(&relay.NotRun{Kind: relay.RefusalBudget})
	c.refused(&relay.NotRun{Kind: relay.RefusalBudget})
	c.runEnded(relay.EndInactive)
	c.resumed(true, 20*time.Millisecond)
	c.serverDown("dial tcp 10.0.0.1:1: connect: connection refused")
	text := strings.Builder{}
	c.set.WritePrometheus(&text)
	for _, line := range []string{
		`endivespoke_denied_total{reason="noRoute"} 1`,
		`endivespoke_not_run_total{reason="retryBudget"} 2`,
		`endivespoke_runs_ended_early_total{how="silent"} 1`,
		`endivespoke_stream_pause_seconds_count{from="copy"} 1`,
		`endivespoke_servers_down_total{how="refused"} 1`,
	} {
		qt.Check(t, strings.Contains(text.String(), line+"\n"), qt.IsTrue, qt.Commentf("%s is not in\n%s", line, text.String()))
	}
}

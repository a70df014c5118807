package traffic_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/traffic"
)

// TestLoadIsAnnouncedToTheCellOnly guards against messages per VM that grow with the fleet:
// with the same streams per VM, a VM of a fleet of two cells sends about as many messages
// as a VM of a fleet of one cell.
func TestLoadIsAnnouncedToTheCellOnly(t *testing.T) {
	results := [2]traffic.Result{}
	runs := sync.WaitGroup{}
	for i, vms := range []int{30, 64} {
		runs.Go(func() {
			var err error
			results[i], err = traffic.Run(context.Background(), traffic.Options{VMs: vms, Servers: 40, PhaseLength: 2400 * time.Millisecond, Seed: 1})
			qt.Check(t, err, qt.IsNil)
		})
	}
	runs.Wait()
	qt.Assert(t, results[1].Phases, qt.HasLen, len(results[0].Phases))
	table := bytes.Buffer{}
	qt.Assert(t, traffic.WriteTable(&table, results[:]), qt.IsNil)
	t.Log("\n" + table.String())
	for _, phase := range []string{"streams", "servers' heartbeats only"} {
		small, large := messagesPerVM(results[0], phase), messagesPerVM(results[1], phase)
		qt.Check(t, small > 0, qt.IsTrue)
		qt.Check(t, large < 1.6*small, qt.IsTrue, qt.Commentf("%s: %.0f messages per VM with 30 VMs, %.0f with 64", phase, small, large))
	}
	for _, phase := range results[1].Phases {
		if strings.Contains(phase.Name, "lost") {
			// Each of the three watchers checks the 8 servers at first and then every 0.4 s
			// while they are down; VMs check the servers on which they have streams.
			qt.Check(t, phase.Checks >= 8 && phase.Checks < 300, qt.IsTrue, qt.Commentf("%d checks", phase.Checks))
		}
	}
}

// messagesPerVM returns the number of messages that a VM sent in a phase.
func messagesPerVM(result traffic.Result, phase string) float64 {
	sum := 0
	for _, p := range result.Phases {
		for _, count := range p.Counts {
			if p.Name == phase {
				sum += count.Messages
			}
		}
	}
	return float64(sum) / float64(result.VMs)
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	_, err := traffic.Run(context.Background(), traffic.Options{VMs: 0, Servers: 40, PhaseLength: time.Minute})
	qt.Assert(t, err, qt.ErrorMatches, "a run needs at least one VM, 5 servers and phases of .*")
}

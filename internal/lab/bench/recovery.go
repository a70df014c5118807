package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/load"
)

// breakFrom is the least gap between tokens that counts as an interruption; the
// stand-in engines make a token every 25 ms.
const breakFrom = 100 * time.Millisecond

const (
	recoveryRequests = 80
	recoverySeed     = 5
	recoveryTokenGap = 25 * time.Millisecond
)

// fault is one thing that goes wrong in the recovery measurement.
type fault struct {
	name string
	do   func(s *demo.System)
}

// recoveryFaults are made one after another while the load runs.
func recoveryFaults() []fault {
	return []fault{
		{"engine killed", func(s *demo.System) { s.KillEngine(0) }},
		{"engine paused for good", func(s *demo.System) { s.PauseEngine(1) }},
		{"connections to an engine silent", func(s *demo.System) { s.Engines[2].Path.Blackhole() }},
		{"VM killed", func(s *demo.System) { s.KillVM(1) }},
	}
}

func measureRecovery(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"fault", "profile", "recovery", "interruptions", "resume p50", "resume p99", "longest", "tokens made again", "prompt tokens read", "engine requests", "complete"}}
	kinds := []struct {
		name    string
		profile object.Profile
		flags   []string
	}{
		{"the product's", object.ProfileResumeLatency, nil},
		{"the product's", object.ProfileResourceUse, nil},
		{"with adaptive silence", object.ProfileResumeLatency, []string{"--adaptive-silence"}},
		{"baseline: timer, then another engine", object.ProfileResumeLatency, []string{"--baseline-recovery", "timer"}},
		{"baseline: restart from zero", object.ProfileResumeLatency, []string{"--baseline-recovery", "restart"}},
	}
	for _, kind := range kinds {
		for _, broken := range recoveryFaults() {
			row, err := b.recover(ctx, kind.profile, kind.flags, broken)
			if err != nil {
				return nil, errors.Trace(err)
			}
			rows = append(rows, append([]string{broken.name, string(kind.profile), kind.name}, row...))
		}
	}
	return rows, nil
}

// recover runs one load with one fault in the middle.
func (b *bench) recover(ctx context.Context, profile object.Profile, flags []string, broken fault) ([]string, error) {
	system, err := b.system(ctx, demo.Options{VMs: 4, Engines: 8, TokenGap: recoveryTokenGap, Prefill: 20 * time.Microsecond, VMFlags: flags, Profile: profile, Forward: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	go func() {
		time.Sleep(2500 * time.Millisecond)
		broken.do(system)
	}()
	report := load.Run(ctx, loadOf(system, recoveryRequests, recoverySeed))
	for index := range system.Engines {
		system.ResumeEngine(index) // A paused one has to tell its work, too.
	}
	stats := system.EngineStats()
	interruptions := append([]time.Duration{}, report.ResumeGaps...)
	for _, gap := range report.TokenGaps {
		if gap >= breakFrom {
			interruptions = append(interruptions, gap)
		}
	}
	return []string{
		fmt.Sprint(len(interruptions)),
		millis(load.Quantile(interruptions, 0.5)),
		millis(load.Quantile(interruptions, 0.99)),
		millis(load.Quantile(interruptions, 1)),
		percent(float64(stats.Generated-report.Tokens), float64(report.Tokens)),
		fmt.Sprint(stats.Prefilled),
		fmt.Sprint(stats.Requests),
		fmt.Sprintf("%d of %d", report.Complete, report.Requests),
	}, nil
}

func measureSilence(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"silence limit", "long gap every 20 tokens", "generations", "tokens", "false alarms (streams opened again)"}}
	for _, gap := range []time.Duration{0, 200 * time.Millisecond, 350 * time.Millisecond} {
		for _, flags := range [][]string{nil, {"--adaptive-silence"}} {
			name := "fixed, 400 ms"
			if flags != nil {
				name = "adaptive"
			}
			system, err := b.system(ctx, demo.Options{VMs: 4, Engines: 6, TokenGap: 20 * time.Millisecond, VMFlags: flags, BurstEach: 20, BurstGap: max(gap, 20*time.Millisecond)})
			if err != nil {
				return nil, errors.Trace(err)
			}
			report := load.Run(ctx, loadOf(system, 60, 6))
			stats := system.EngineStats()
			system.Stop()
			rows = append(rows, []string{name, gap.String(), fmt.Sprint(report.Requests), fmt.Sprint(report.Tokens), fmt.Sprint(stats.Resumes)})
		}
	}
	return rows, nil
}

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

// minInterruption is the shortest gap between tokens that counts as an
// interruption. The fake engines generate a token every 25 ms.
const minInterruption = 100 * time.Millisecond

const (
	recoveryRequests = 80
	recoverySeed     = 5
	recoveryTokenGap = 25 * time.Millisecond
)

// fault is a failure that the recovery measurement injects.
type fault struct {
	name   string
	inject func(s *demo.System)
}

// recoveryFaults returns the faults to measure, each in a run of its own.
func recoveryFaults() []fault {
	return []fault{
		{"engine killed", func(s *demo.System) { s.KillEngine(0) }},
		{"engine paused for good", func(s *demo.System) { s.PauseEngine(1) }},
		{"connections to an engine silent", func(s *demo.System) { s.Engines[2].Forwarder.Blackhole() }},
		{"VM killed", func(s *demo.System) { s.KillVM(1) }},
	}
}

func measureRecovery(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"fault", "profile", "recovery", "interruptions", "resume p50", "resume p99", "longest", "tokens made again", "prompt tokens read", "engine requests", "complete"}}
	variants := []struct {
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
	for _, variant := range variants {
		for _, injected := range recoveryFaults() {
			row, err := b.measureFault(ctx, variant.profile, variant.flags, injected)
			if err != nil {
				return nil, errors.Trace(err)
			}
			rows = append(rows, append([]string{injected.name, string(variant.profile), variant.name}, row...))
		}
	}
	return rows, nil
}

// measureFault runs one load and injects one fault while it runs.
func (b *bench) measureFault(ctx context.Context, profile object.Profile, flags []string, injected fault) ([]string, error) {
	system, err := b.system(ctx, demo.Options{VMs: 4, Engines: 8, TokenGap: recoveryTokenGap, PrefillPerToken: 20 * time.Microsecond, VMFlags: flags, Profile: profile, Forward: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	go func() {
		time.Sleep(2500 * time.Millisecond)
		injected.inject(system)
	}()
	report := load.Run(ctx, standardLoad(system, recoveryRequests, recoverySeed))
	for index := range system.Engines {
		system.ResumeEngine(index) // A paused engine could not report its statistics.
	}
	stats := system.EngineStats()
	interruptions := append([]time.Duration{}, report.ResumeGaps...)
	for _, gap := range report.TokenGaps {
		if gap >= minInterruption {
			interruptions = append(interruptions, gap)
		}
	}
	return []string{
		fmt.Sprint(len(interruptions)),
		millis(load.Quantile(interruptions, 0.5)),
		millis(load.Quantile(interruptions, 0.99)),
		millis(load.Quantile(interruptions, 1)),
		percentage(float64(stats.Generated-report.Tokens), float64(report.Tokens)),
		fmt.Sprint(stats.Prefilled),
		fmt.Sprint(stats.Requests),
		fmt.Sprintf("%d of %d", report.Complete, report.Requests),
	}, nil
}

func measureIdleTimeout(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"silence limit", "long gap every 20 tokens", "generations", "tokens", "false alarms (streams opened again)"}}
	for _, gap := range []time.Duration{0, 200 * time.Millisecond, 350 * time.Millisecond} {
		for _, flags := range [][]string{nil, {"--adaptive-silence"}} {
			name := "fixed, 400 ms"
			if flags != nil {
				name = "adaptive"
			}
			system, err := b.system(ctx, demo.Options{VMs: 4, Engines: 6, TokenGap: 20 * time.Millisecond, VMFlags: flags, BurstEvery: 20, BurstGap: max(gap, 20*time.Millisecond)})
			if err != nil {
				return nil, errors.Trace(err)
			}
			report := load.Run(ctx, standardLoad(system, 60, 6))
			stats := system.EngineStats()
			system.Stop()
			rows = append(rows, []string{name, gap.String(), fmt.Sprint(report.Requests), fmt.Sprint(report.Tokens), fmt.Sprint(stats.Resumes)})
		}
	}
	return rows, nil
}

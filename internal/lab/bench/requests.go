package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/load"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
)

// withoutLimits raises the accounts' limits, so that they don't affect measurements
// of something else.
func withoutLimits(set *object.Set) {
	for i := range set.ClientAccounts {
		set.ClientAccounts[i].RequestsPerSecond = 1e6
		set.ClientAccounts[i].ConcurrentRequests = 1e6
	}
}

func measureActions(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"platform", "actions at once", "actions", "answered with a result", "table reads an action", "table writes an action", "time p50", "time p99"}}
	system, err := b.system(ctx, demo.Options{VMs: 3, Engines: 1, Services: 2, Adjust: withoutLimits})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	forever := time.Now().Add(time.Hour)
	cases := []struct {
		name        string
		faults      platformfake.Faults
		concurrency int
		count       int
	}{
		{"normal", platformfake.Faults{}, 1, 100},
		{"normal", platformfake.Faults{}, 16, 800},
		{"slow by 50 ms a call", platformfake.Faults{SlowUntil: forever, SlowMillis: 50}, 1, 50},
		{"slow by 50 ms a call", platformfake.Faults{SlowUntil: forever, SlowMillis: 50}, 16, 400},
		{"down", platformfake.Faults{DownUntil: forever}, 1, 50},
		{"silent (calls take 30 s)", platformfake.Faults{SlowUntil: forever, SlowMillis: 30000}, 1, 10},
	}
	for _, testCase := range cases {
		if err := system.SetPlatformFaults(testCase.faults); err != nil {
			return nil, errors.Trace(err)
		}
		before := system.PlatformCounts()
		times, answered := runActions(ctx, system, testCase.count, testCase.concurrency)
		after := system.PlatformCounts()
		perAction := func(count int) string { return fmt.Sprintf("%.2f", float64(count)/float64(testCase.count)) }
		rows = append(rows, []string{
			testCase.name,
			fmt.Sprint(testCase.concurrency),
			fmt.Sprint(testCase.count),
			fmt.Sprint(answered),
			perAction(after.ActionReads - before.ActionReads),
			perAction(after.ActionWrites - before.ActionWrites),
			millis(load.Quantile(times, 0.5)),
			millis(load.Quantile(times, 0.99)),
		})
	}
	return rows, nil
}

// runActions sends count actions with the given concurrency. It returns the time
// to the final answer of each, and how many were answered with a result.
func runActions(ctx context.Context, system *demo.System, count, concurrency int) (times []time.Duration, answered int) {
	account := system.Accounts(1)[0]
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for range concurrency {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for range count / concurrency {
				start := time.Now()
				status, _, err := account.Client.Call(ctx, "POST", "booking/bookings", uuid.NewString(), []byte("{}"))
				mu.Lock()
				times = append(times, time.Since(start))
				if err == nil && status == 200 {
					answered++
				}
				mu.Unlock()
			}
		}()
	}
	waiting.Wait()
	return times, answered
}

func measureLookups(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"fleet", "lookups", "answered", "time p50", "time p99"}}
	system, err := b.system(ctx, demo.Options{VMs: 3, Engines: 2, Services: 2, TokenGap: 20 * time.Millisecond, Adjust: withoutLimits})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	row := func(name string) {
		times, answered := runLookups(ctx, system, 400)
		rows = append(rows, []string{name, fmt.Sprint(len(times)), fmt.Sprint(answered), millis(load.Quantile(times, 0.5)), millis(load.Quantile(times, 0.99))})
	}
	row("idle")
	options := standardLoad(system, 120, 9)
	options.Interval = time.Millisecond
	options.MinTokens, options.MaxTokens = 150, 200
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(ctx, options) }()
	time.Sleep(2 * time.Second)
	row("120 long generations on 32 slots")
	report := <-done
	rows = append(rows, []string{"(the generations)", fmt.Sprint(report.Requests), fmt.Sprint(report.Complete), "-", "-"})
	return rows, nil
}

func runLookups(ctx context.Context, system *demo.System, count int) (times []time.Duration, answered int) {
	account := system.Accounts(1)[0]
	for range count {
		start := time.Now()
		status, _, err := account.Client.Call(ctx, "GET", "booking/calendar", "", nil)
		times = append(times, time.Since(start))
		if err == nil && status == 200 {
			answered++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return times, answered
}

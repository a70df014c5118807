package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/load"
)

// smallFleet is the system of the measurements of policy under load: 32 slots.
func smallFleet() demo.Options {
	return demo.Options{VMs: 3, Engines: 2, TokenGap: 20 * time.Millisecond, Adjust: withoutLimits}
}

const (
	shortAnswer  = 25 // Tokens at the mean: half a second of one slot.
	shareWorkers = 4  // Of each ordinary account.
	shareTime    = 10 * time.Second
)

// measureShares has ordinary accounts work alone, and beside one that asks ten
// times as much.
func measureShares(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"greedy account's callers", "answers of ordinary account 1", "of ordinary account 2", "of the greedy account", "ordinary accounts' time p99"}}
	for _, greedy := range []int{0, 10 * shareWorkers} {
		system, err := b.system(ctx, smallFleet())
		if err != nil {
			return nil, errors.Trace(err)
		}
		time.Sleep(settle)
		accounts := system.Accounts(3)
		counts := [3]int{}
		var times []time.Duration
		var mu sync.Mutex
		var waiting sync.WaitGroup
		until := time.Now().Add(shareTime)
		for number, workers := range []int{shareWorkers, shareWorkers, greedy} {
			for worker := range workers {
				waiting.Add(1)
				go func() {
					defer waiting.Done()
					for turn := 0; time.Now().Before(until); turn++ {
						took, ok := short(ctx, system, accounts[number], fmt.Sprintf("%d-%d-%d", number, worker, turn), time.Time{})
						mu.Lock()
						if ok {
							counts[number]++
						}
						if number < 2 {
							times = append(times, took)
						}
						mu.Unlock()
					}
				}()
			}
		}
		waiting.Wait()
		system.Stop()
		rows = append(rows, []string{fmt.Sprint(greedy), fmt.Sprint(counts[0]), fmt.Sprint(counts[1]), fmt.Sprint(counts[2]), millis(load.Quantile(times, 0.99))})
	}
	return rows, nil
}

// short asks for a short answer, and tells how long it took and whether it came.
func short(ctx context.Context, system *demo.System, account load.Account, key string, deadline time.Time) (time.Duration, bool) {
	start := time.Now()
	// Answers of one length would end in waves, and whoever asks again right after
	// an answer would just miss each.
	tokens := shortAnswer/2 + enginefake.Tokenize(key)[0]%(shortAnswer+1)
	request := client.Request{Key: key, Model: system.Set.Models[0].Name, Prompt: "wall " + key, MaxTokens: tokens, Deadline: deadline}
	_, err := account.Client.Generate(ctx, request, nil)
	return time.Since(start), err == nil
}

const (
	overloadPhase    = 6 * time.Second
	overloadDeadline = 2 * time.Second
	// fleetRate is what 32 slots can answer: half a second each.
	fleetRate = 64
)

// measureOverload sends 0.7 of what the fleet can do, then three times as much,
// then 0.7 again, and counts the answers that came within their deadline.
func measureOverload(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"seconds", "offered a second", "answered within 2 s, a second", "refused or late, a second"}}
	system, err := b.system(ctx, smallFleet())
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	time.Sleep(settle)
	account := system.Accounts(1)[0]
	const window = 2 * time.Second
	good := map[int]int{}
	bad := map[int]int{}
	offered := map[int]int{}
	var mu sync.Mutex
	var waiting sync.WaitGroup
	start := time.Now()
	for number := 0; time.Since(start) < 4*overloadPhase; number++ {
		elapsed := time.Since(start)
		rate := 0.7 * fleetRate
		if elapsed > overloadPhase && elapsed < 2*overloadPhase {
			rate = 3 * fleetRate
		}
		at := int(elapsed / window)
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			_, ok := short(ctx, system, account, fmt.Sprint("overload-", number), time.Now().Add(overloadDeadline))
			mu.Lock()
			defer mu.Unlock()
			offered[at]++
			if ok {
				good[at]++
			} else {
				bad[at]++
			}
		}()
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	waiting.Wait()
	for at := range int(4 * overloadPhase / window) {
		each := func(count int) string { return fmt.Sprintf("%.1f", float64(count)/window.Seconds()) }
		rows = append(rows, []string{fmt.Sprintf("%d to %d", 2*at, 2*at+2), each(offered[at]), each(good[at]), each(bad[at])})
	}
	return rows, nil
}

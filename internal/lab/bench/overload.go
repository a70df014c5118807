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

// smallFleet returns the options of the system on which policies are measured
// under load. It has 32 slots.
func smallFleet() demo.Options {
	return demo.Options{VMs: 3, Engines: 2, TokenGap: 20 * time.Millisecond, Adjust: withoutLimits}
}

const (
	meanAnswerTokens  = 25 // Mean, half a second of one slot.
	workersPerAccount = 4  // Of each ordinary account.
	sharesPeriod      = 10 * time.Second
)

// measureShares measures two ordinary accounts alone, and beside a greedy account
// with ten times as many concurrent requests.
func measureShares(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"greedy account's callers", "answers of ordinary account 1", "of ordinary account 2", "of the greedy account", "ordinary accounts' time p99"}}
	for _, greedyWorkers := range []int{0, 10 * workersPerAccount} {
		system, err := b.system(ctx, smallFleet())
		if err != nil {
			return nil, errors.Trace(err)
		}
		time.Sleep(settleTime)
		accounts := system.Accounts(3)
		counts := [3]int{}
		var times []time.Duration
		var mu sync.Mutex
		var waiting sync.WaitGroup
		until := time.Now().Add(sharesPeriod)
		for number, workers := range []int{workersPerAccount, workersPerAccount, greedyWorkers} {
			for worker := range workers {
				waiting.Add(1)
				go func() {
					defer waiting.Done()
					for iteration := 0; time.Now().Before(until); iteration++ {
						took, ok := generateShort(ctx, system, accounts[number], fmt.Sprintf("%d-%d-%d", number, worker, iteration), time.Time{})
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
		rows = append(rows, []string{fmt.Sprint(greedyWorkers), fmt.Sprint(counts[0]), fmt.Sprint(counts[1]), fmt.Sprint(counts[2]), millis(load.Quantile(times, 0.99))})
	}
	return rows, nil
}

// generateShort requests a short answer. It returns the time until the request
// ended and whether it succeeded.
func generateShort(ctx context.Context, system *demo.System, account load.Account, key string, deadline time.Time) (time.Duration, bool) {
	start := time.Now()
	// Answers of equal length would end simultaneously, and a caller that sends its
	// next request right after an answer would always just miss the free slots.
	tokens := meanAnswerTokens/2 + enginefake.Tokenize(key)[0]%(meanAnswerTokens+1)
	request := client.Request{Key: key, Model: system.Set.Models[0].Name, Prompt: "wall " + key, MaxTokens: tokens, Deadline: deadline}
	_, err := account.Client.Generate(ctx, request, nil)
	return time.Since(start), err == nil
}

const (
	overloadPhase    = 6 * time.Second
	overloadDeadline = 2 * time.Second
	// fleetRate is the capacity of 32 slots in answers per second, at half a second
	// per answer.
	fleetRate = 64
)

// measureOverload sends 0.7 times the fleet's capacity, then three times the
// capacity, then 0.7 times again, and counts the answers within their deadline.
func measureOverload(ctx context.Context, b *bench) ([][]string, error) {
	rows := [][]string{{"seconds", "offered a second", "answered within 2 s, a second", "refused or late, a second"}}
	system, err := b.system(ctx, smallFleet())
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer system.Stop()
	time.Sleep(settleTime)
	account := system.Accounts(1)[0]
	const window = 2 * time.Second
	inTime := map[int]int{}
	failed := map[int]int{}
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
		windowIndex := int(elapsed / window)
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			_, ok := generateShort(ctx, system, account, fmt.Sprint("overload-", number), time.Now().Add(overloadDeadline))
			mu.Lock()
			defer mu.Unlock()
			offered[windowIndex]++
			if ok {
				inTime[windowIndex]++
			} else {
				failed[windowIndex]++
			}
		}()
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	waiting.Wait()
	for windowIndex := range int(4 * overloadPhase / window) {
		perSecond := func(count int) string { return fmt.Sprintf("%.1f", float64(count)/window.Seconds()) }
		rows = append(rows, []string{fmt.Sprintf("%d to %d", 2*windowIndex, 2*windowIndex+2), perSecond(offered[windowIndex]), perSecond(inTime[windowIndex]), perSecond(failed[windowIndex])})
	}
	return rows, nil
}

// Package load sends generations to a running system through the caller's client
// and compares every answer with the failure-free one.
//
// # Usage
//
//	report := load.Run(ctx, load.Options{Accounts: accounts, Model: "m", EngineModel: "m-3", Requests: 40, ...})
//	fmt.Print(report)
//	if !report.AllCorrect() { os.Exit(1) }
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/caller/client"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// Options configures one load. Requests are assigned to the accounts in turn and
// start one Interval apart.
type Options struct {
	Accounts    []Account
	Model       string
	EngineModel string
	Requests    int
	Interval    time.Duration
	PromptWords int
	MinTokens   int
	MaxTokens   int
	Seed        uint64
	KeyPrefix   string
}

// Account is a client account with a client that uses its token.
type Account struct {
	Name   string
	Client *client.Client
}

// Report sums the results as the callers received them.
type Report struct {
	Requests   int
	Complete   int // Answers that are equal to the failure-free one.
	Errors     []string
	Missing    int // Tokens of the failure-free answers that were not received.
	Duplicated int // Tokens that were received more often than expected.
	Unexpected int // Tokens that the failure-free answer does not contain.
	Restarts   int
	Reconnects int
	Tokens     int // Requested tokens of the requests that ended without an error.
	FirstToken []time.Duration
	TokenGaps  []time.Duration
	ResumeGaps []time.Duration
}

// AllCorrect reports whether every answer was complete, without missing,
// duplicated or unexpected tokens.
func (r Report) AllCorrect() bool {
	return r.Complete == r.Requests && r.Missing == 0 && r.Duplicated == 0 && r.Unexpected == 0
}

// Run sends the requests and waits for all answers.
func Run(ctx context.Context, options Options) Report {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	var report Report
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i := range options.Requests {
		account := options.Accounts[i%len(options.Accounts)]
		prompt := Prompt(random, options.PromptWords)
		tokens := options.MinTokens + random.IntN(options.MaxTokens-options.MinTokens+1)
		// Accounts share keys, to check that the system separates them by account.
		key := fmt.Sprintf("%s-%d", options.KeyPrefix, i/len(options.Accounts))
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			runRequest(ctx, options, account, key, prompt, tokens, &mu, &report)
		}()
		select {
		case <-time.After(options.Interval):
		case <-ctx.Done():
		}
	}
	waiting.Wait()
	return report
}

// Prompt returns a random text of the given number of words.
func Prompt(random *rand.Rand, words int) string {
	vocabulary := []string{"wall", "plaster", "mix", "room", "coat", "site", "note", "crew", "gypsum", "lime"}
	var text strings.Builder
	for range words {
		fmt.Fprintf(&text, "%s-%d ", vocabulary[random.IntN(len(vocabulary))], random.IntN(1000))
	}
	return strings.TrimSpace(text.String())
}

func runRequest(ctx context.Context, options Options, account Account, key, prompt string, tokens int, mu *sync.Mutex, report *Report) {
	answer, err := account.Client.Generate(ctx, client.Request{Key: key, Model: options.Model, Prompt: prompt, MaxTokens: tokens}, nil)
	// A restarted request uses another key and therefore another sampling seed.
	request := generation.RequestID{Account: account.Name, Key: key + strings.Repeat("-restarted", answer.Restarts)}
	expected := enginefake.ExpectedText(options.EngineModel, generation.SeedFor(request), prompt, tokens)
	mu.Lock()
	defer mu.Unlock()
	report.Requests++
	report.Restarts += answer.Restarts
	report.Reconnects += answer.Reconnects
	report.FirstToken = append(report.FirstToken, answer.FirstToken)
	report.TokenGaps = append(report.TokenGaps, answer.TokenGaps...)
	report.ResumeGaps = append(report.ResumeGaps, answer.ResumeGaps...)
	if err != nil {
		report.Errors = append(report.Errors, account.Name+" "+key+": "+err.Error())
		return
	}
	report.Tokens += tokens
	report.compare(answer.Text, expected)
}

// compare counts the tokens in which an answer differs from the expected one.
func (r *Report) compare(got, want string) {
	if got == want {
		r.Complete++
		return
	}
	gotTokens := strings.Fields(got)
	wantTokens := strings.Fields(want)
	remaining := map[string]int{}
	for _, token := range wantTokens {
		remaining[token]++
	}
	for _, token := range gotTokens {
		switch {
		case remaining[token] > 0:
			remaining[token]--
		case slices.Contains(wantTokens, token):
			r.Duplicated++
		default:
			r.Unexpected++
		}
	}
	for _, count := range remaining {
		r.Missing += count
	}
	r.Errors = append(r.Errors, fmt.Sprintf("answer of %d tokens differs from the failure-free answer of %d tokens", len(gotTokens), len(wantTokens)))
}

// Quantile returns a quantile of the given times, or 0 if there are none.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Package load drives a running system like its callers do, and checks every
// answer against the failure-free one.
//
// # Usage
//
//	report := load.Run(ctx, load.Options{Client: c, Model: "m", EngineModel: "m-3", Requests: 40, ...})
//	fmt.Print(report)
//	if !report.Kept() { os.Exit(1) }
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

// Options shapes one load. Clients are used in turn, each with its account's
// name. Requests start Every apart.
type Options struct {
	Clients     []Account
	Model       string
	EngineModel string
	Requests    int
	Every       time.Duration
	PromptWords int
	MinTokens   int
	MaxTokens   int
	Seed        uint64
	KeyPrefix   string
}

// Account is one client account's caller.
type Account struct {
	Name   string
	Client *client.Client
}

// Report is what the callers saw. Token counts compare each answer with the
// failure-free one.
type Report struct {
	Requests   int
	Complete   int
	Errors     []string
	Missing    int
	Repeated   int
	Mixed      int
	Restarts   int
	Reconnects int
	Tokens     int
	FirstToken []time.Duration
	TokenGaps  []time.Duration
	ResumeGaps []time.Duration
}

// Kept reports whether every promise to callers was kept.
func (r Report) Kept() bool {
	return r.Complete == r.Requests && r.Missing == 0 && r.Repeated == 0 && r.Mixed == 0
}

// Run sends the load and waits for every answer.
func Run(ctx context.Context, options Options) Report {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	var report Report
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i := range options.Requests {
		account := options.Clients[i%len(options.Clients)]
		prompt := Prompt(random, options.PromptWords)
		tokens := options.MinTokens + random.IntN(options.MaxTokens-options.MinTokens+1)
		// The same key under several accounts: they must not be mixed up.
		key := fmt.Sprintf("%s-%d", options.KeyPrefix, i/len(options.Clients))
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			one(ctx, options, account, key, prompt, tokens, &mu, &report)
		}()
		select {
		case <-time.After(options.Every):
		case <-ctx.Done():
		}
	}
	waiting.Wait()
	return report
}

// Prompt makes a text like a job file.
func Prompt(random *rand.Rand, words int) string {
	parts := []string{"wall", "plaster", "mix", "room", "coat", "site", "note", "crew", "gypsum", "lime"}
	var text strings.Builder
	for range words {
		fmt.Fprintf(&text, "%s-%d ", parts[random.IntN(len(parts))], random.IntN(1000))
	}
	return strings.TrimSpace(text.String())
}

func one(ctx context.Context, options Options, account Account, key, prompt string, tokens int, mu *sync.Mutex, report *Report) {
	answer, err := account.Client.Generate(ctx, client.Request{Key: key, Model: options.Model, Prompt: prompt, MaxTokens: tokens}, nil)
	// A restarted request runs under another key, and so with another seed.
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

// compare counts what is wrong with an answer.
func (r *Report) compare(got, want string) {
	if got == want {
		r.Complete++
		return
	}
	have := strings.Fields(got)
	should := strings.Fields(want)
	known := map[string]int{}
	for _, token := range should {
		known[token]++
	}
	for _, token := range have {
		switch {
		case known[token] > 0:
			known[token]--
		case slices.Contains(should, token):
			r.Repeated++
		default:
			r.Mixed++
		}
	}
	for _, left := range known {
		r.Missing += left
	}
	r.Errors = append(r.Errors, fmt.Sprintf("answer of %d tokens differs from the failure-free one of %d", len(have), len(should)))
}

// Quantile gives a quantile of some times, or 0 of none.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

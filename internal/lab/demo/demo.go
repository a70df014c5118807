package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/lab/load"
)

const (
	demoTimeout  = 40 * time.Second
	demoRequests = 40
	demoActions  = 20
)

// Run starts the system as separate processes, sends load, kills one engine and
// one VM during long generations, and compares every answer with the failure-free
// one. The error names the violated guarantee.
func Run(ctx context.Context, out io.Writer, bin, example string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	var logDir string
	if logDir, err = os.MkdirTemp("", "endivespoke-demo-"); err != nil {
		return errors.Trace(err)
	}
	var system *System
	if system, err = Start(ctx, Options{Bin: bin, LogDir: logDir, Example: example, VMs: 4, Engines: 6, Services: 2, TokenGap: 25 * time.Millisecond, PrefillPerToken: 20 * time.Microsecond}); err != nil {
		return errors.Annotatef(err, "logs are in %s", logDir)
	}
	defer system.Stop()
	fmt.Fprintf(out, "started: 1 platform, %d engines, %d services, %d VMs\n", len(system.Engines), len(system.services), len(system.VMs))
	result := system.runUnderFaults(ctx, out)
	result.print(out)
	if err = result.verify(); err != nil {
		return errors.Annotatef(err, "logs are in %s", logDir)
	}
	return errors.Trace(os.RemoveAll(logDir))
}

// demoResult holds the measurements of one demonstration.
type demoResult struct {
	report     load.Report
	lookups    int
	actions    int
	answered   int
	executions int
	duplicated int
	generated  int
}

// runUnderFaults sends the load and kills an engine and a VM while it runs.
func (s *System) runUnderFaults(ctx context.Context, out io.Writer) (result demoResult) {
	failures := make(chan struct{})
	go func() {
		defer close(failures)
		time.Sleep(2500 * time.Millisecond)
		fmt.Fprintln(out, "killed: engine", s.Engines[1].Server.Name)
		s.KillEngine(1)
		time.Sleep(1500 * time.Millisecond)
		fmt.Fprintln(out, "killed: VM", s.VMs[2].ID)
		s.KillVM(2)
	}()
	accounts := s.Accounts(4)
	actionsDone := make(chan struct{})
	go func() {
		defer close(actionsDone)
		result.lookups, result.actions, result.answered = s.callServices(ctx, accounts)
	}()
	loadOptions := s.LoadOptions(len(accounts))
	loadOptions.Requests = demoRequests
	loadOptions.Interval = 60 * time.Millisecond
	loadOptions.PromptWords = 400
	loadOptions.MinTokens, loadOptions.MaxTokens = 80, 320
	loadOptions.Seed = 1
	loadOptions.KeyPrefix = "job"
	result.report = load.Run(ctx, loadOptions)
	<-failures
	<-actionsDone
	result.generated = s.EngineStats().Generated
	result.executions, result.duplicated = s.executions()
	return result
}

// callServices sends lookups and actions while the faults are injected.
func (s *System) callServices(ctx context.Context, accounts []load.Account) (lookups, actions, answered int) {
	for i := range demoActions {
		account := accounts[i%len(accounts)]
		if status, _, err := account.Client.Call(ctx, "GET", "booking/calendar", "", nil); err == nil && status == 200 {
			lookups++
		}
		actions++
		body := fmt.Sprintf(`{"crew":%d}`, i)
		status, _, err := account.Client.Call(ctx, "POST", "booking/bookings", uuid.NewString(), []byte(body))
		if err == nil && status == 200 {
			answered++
		}
		time.Sleep(200 * time.Millisecond)
	}
	return lookups, actions, answered
}

// executions counts the actions that the services ran, and those that they ran
// more than once.
func (s *System) executions() (ran, duplicated int) {
	counts := map[string]int{}
	for _, url := range s.ServiceURLs {
		body, err := get(url + "/executions")
		if err != nil {
			continue
		}
		var serviceCounts map[string]int
		if err := json.Unmarshal(body, &serviceCounts); err != nil {
			continue
		}
		for name, count := range serviceCounts {
			counts[name] += count
		}
	}
	for name, count := range counts {
		if !strings.HasPrefix(name, "POST") {
			continue
		}
		ran++
		if count > 1 {
			duplicated++
		}
	}
	return ran, duplicated
}

func (r demoResult) print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("generations", r.report.Requests)
	row("complete and equal to the failure-free answer", r.report.Complete)
	row("tokens missing", r.report.Missing)
	row("tokens repeated", r.report.Duplicated)
	row("tokens mixed", r.report.Unexpected)
	row("callers' reconnects", r.report.Reconnects)
	row("restarts", r.report.Restarts)
	row("first token p50", load.Quantile(r.report.FirstToken, 0.5).Round(time.Millisecond))
	row("longest gap between tokens p50", r.tokenGap(0.5))
	row("longest gap between tokens p99", r.tokenGap(0.99))
	row("resume latency after VM loss p50", load.Quantile(r.report.ResumeGaps, 0.5).Round(time.Millisecond))
	row("resume latency after VM loss p99", load.Quantile(r.report.ResumeGaps, 0.99).Round(time.Millisecond))
	row("tokens made beyond the answers", fmt.Sprintf("%.1f %%", r.extraTokensPercent()))
	row("lookups answered", fmt.Sprintf("%d of %d", r.lookups, demoActions))
	row("actions answered", fmt.Sprintf("%d of %d", r.answered, r.actions))
	row("actions run", r.executions)
	row("actions run twice", r.duplicated)
	_ = table.Flush() // The exit code of the shell shows a closed output.
	for _, text := range r.report.Errors {
		fmt.Fprintln(out, "error:", text)
	}
}

func (r demoResult) tokenGap(q float64) time.Duration {
	return load.Quantile(r.report.TokenGaps, q).Round(time.Millisecond)
}

// extraTokensPercent is the number of tokens that all engines, including killed
// ones, generated beyond those of the answers, in percent of the latter.
func (r demoResult) extraTokensPercent() float64 {
	if r.report.Tokens == 0 {
		return 0
	}
	return 100 * (float64(r.generated)/float64(r.report.Tokens) - 1)
}

func (r demoResult) verify() error {
	switch {
	case !r.report.AllCorrect():
		return errors.New("an answer is incomplete or differs from the failure-free one")
	case r.duplicated > 0:
		return errors.New("an action ran more than once")
	case r.answered > r.executions:
		return errors.New("an action was answered although it did not run")
	case r.lookups == 0 || r.answered == 0:
		return errors.New("no lookup or no action was answered successfully")
	}
	return nil
}

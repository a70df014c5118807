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
	demoLimit    = 40 * time.Second
	demoRequests = 40
	demoActions  = 20
)

// Run is the demonstration: real processes, load, one engine and one VM killed
// in the middle of long generations, and every answer compared with the
// failure-free one. The error says which promise broke.
func Run(ctx context.Context, out io.Writer, bin, example string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	var logs string
	if logs, err = os.MkdirTemp("", "endivespoke-demo-"); err != nil {
		return errors.Trace(err)
	}
	var system *System
	if system, err = Start(ctx, Options{Bin: bin, Logs: logs, Example: example, VMs: 4, Engines: 6, Services: 2, TokenGap: 25 * time.Millisecond, Prefill: 20 * time.Microsecond}); err != nil {
		return errors.Annotatef(err, "logs are in %s", logs)
	}
	defer system.Stop()
	fmt.Fprintf(out, "started: 1 platform, %d engines, %d services, %d VMs\n", len(system.Engines), len(system.services), len(system.VMs))
	result := system.exercise(ctx, out)
	result.print(out)
	if err = result.broken(); err != nil {
		return errors.Annotatef(err, "logs are in %s", logs)
	}
	return errors.Trace(os.RemoveAll(logs))
}

// outcome is what the demonstration measured.
type outcome struct {
	report     load.Report
	lookups    int
	actions    int
	answered   int
	executions int
	repeated   int
	made       int
}

// exercise loads the system and breaks it under way.
func (s *System) exercise(ctx context.Context, out io.Writer) (result outcome) {
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
	jobs := s.Load(len(accounts))
	jobs.Requests = demoRequests
	jobs.Every = 60 * time.Millisecond
	jobs.PromptWords = 400
	jobs.MinTokens, jobs.MaxTokens = 80, 320
	jobs.Seed = 1
	jobs.KeyPrefix = "job"
	result.report = load.Run(ctx, jobs)
	<-failures
	<-actionsDone
	result.made = s.EngineStats().Generated
	result.executions, result.repeated = s.executions()
	return result
}

// callServices makes lookups and actions while things fail.
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

// executions counts what the services really ran, and what ran twice.
func (s *System) executions() (ran, repeated int) {
	counts := map[string]int{}
	for _, url := range s.ServiceURLs {
		body, err := get(url + "/executions")
		if err != nil {
			continue
		}
		var one map[string]int
		if err := json.Unmarshal(body, &one); err != nil {
			continue
		}
		for name, count := range one {
			counts[name] += count
		}
	}
	for name, count := range counts {
		if !strings.HasPrefix(name, "POST") {
			continue
		}
		ran++
		if count > 1 {
			repeated++
		}
	}
	return ran, repeated
}

func (o outcome) print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("generations", o.report.Requests)
	row("complete and equal to the failure-free answer", o.report.Complete)
	row("tokens missing", o.report.Missing)
	row("tokens repeated", o.report.Repeated)
	row("tokens mixed", o.report.Mixed)
	row("callers' reconnects", o.report.Reconnects)
	row("restarts", o.report.Restarts)
	row("first token p50", load.Quantile(o.report.FirstToken, 0.5).Round(time.Millisecond))
	row("longest gap between tokens p50", o.gap(0.5))
	row("longest gap between tokens p99", o.gap(0.99))
	row("resume latency after VM loss p50", load.Quantile(o.report.ResumeGaps, 0.5).Round(time.Millisecond))
	row("resume latency after VM loss p99", load.Quantile(o.report.ResumeGaps, 0.99).Round(time.Millisecond))
	row("tokens made beyond the answers", fmt.Sprintf("%.1f %%", o.extraPercent()))
	row("lookups answered", fmt.Sprintf("%d of %d", o.lookups, demoActions))
	row("actions answered", fmt.Sprintf("%d of %d", o.answered, o.actions))
	row("actions run", o.executions)
	row("actions run twice", o.repeated)
	_ = table.Flush() // A closed output shows in the exit code of the shell.
	for _, text := range o.report.Errors {
		fmt.Fprintln(out, "error:", text)
	}
}

func (o outcome) gap(q float64) time.Duration {
	return load.Quantile(o.report.TokenGaps, q).Round(time.Millisecond)
}

// extraPercent is the work of all engines, the killed one's included, beyond the
// answers.
func (o outcome) extraPercent() float64 {
	if o.report.Tokens == 0 {
		return 0
	}
	return 100 * (float64(o.made)/float64(o.report.Tokens) - 1)
}

func (o outcome) broken() error {
	switch {
	case !o.report.Kept():
		return errors.New("an answer is not complete or not the failure-free one")
	case o.repeated > 0:
		return errors.New("an action ran twice")
	case o.answered > o.executions:
		return errors.New("an action was answered and did not run")
	case o.lookups == 0 || o.answered == 0:
		return errors.New("no lookup or no action was answered")
	}
	return nil
}

// Package command implements the command line of endivespoke-lab.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/lab/bench"
	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/measurement"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/servicefake"
	"github.com/endivespoke/endivespoke/internal/lab/simulation"
	"github.com/endivespoke/endivespoke/internal/lab/traffic"
	"github.com/endivespoke/endivespoke/platform"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Serve a fake platform."`
	Engine   engineCommand   `cmd:"" help:"Serve a fake model engine."`
	Service  serviceCommand  `cmd:"" help:"Serve a fake plain service."`
	Bench    benchCommand    `cmd:"" help:"Make the named measurements, by default all."`
	Demo     demoCommand     `cmd:"" help:"Run the whole system, inject failures and check every answer."`
	// The following commands start no other processes: a simulation, a comparison of
	// journal entries and a fleet within one process.
	Experiment experimentCommand `cmd:"" help:"Simulate a load with faults and compare policies."`
	Compare    compareCommand    `cmd:"" help:"Compare two runs of the platform's bench, day by day."`
	Traffic    trafficCommand    `cmd:"" help:"Measure the traffic between the VMs of fleets of several sizes."`
}

// runContext holds what the commands share.
type runContext struct {
	out io.Writer
}

// Run runs one command and returns its exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	var cli commands
	code := -1
	parser, err := kong.New(&cli, kong.Name("endivespoke-lab"), kong.Writers(out, errOut), kong.Exit(func(status int) { code = status }))
	if err != nil {
		fmt.Fprintln(errOut, "endivespoke-lab:", err)
		return 2
	}
	parsed, err := parser.Parse(arguments)
	if code >= 0 {
		return code // Help was printed.
	}
	if err != nil {
		fmt.Fprintln(errOut, "endivespoke-lab:", err)
		return 2
	}
	if err := parsed.Run(&runContext{out: out}); err != nil {
		fmt.Fprintln(errOut, "endivespoke-lab:", err)
		return 1
	}
	return 0
}

// serve serves HTTP until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // A fake has no state to save.
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

type platformCommand struct {
	Listen string `help:"IP:PORT to listen on." default:"127.0.0.1:7000"`
}

// Run serves a fake platform, which is empty at first.
func (c *platformCommand) Run(*runContext) error {
	return serve(c.Listen, platformfake.New())
}

type engineCommand struct {
	Listen     string        `help:"IP:PORT to listen on." default:"127.0.0.1:9000"`
	TokenGap   time.Duration `help:"Time between two tokens." default:"25ms"`
	Prefill    time.Duration `help:"Time to process one token of a prompt." default:"20us"`
	Slots      int           `help:"Generations that run concurrently." default:"16"`
	BurstEvery int           `help:"Tokens from one longer gap to the next; 0 for none." default:"0"`
	BurstGap   time.Duration `help:"Length of the longer gaps." default:"0s"`
}

// Run serves a fake engine. An injected crash ends the process.
func (c *engineCommand) Run(*runContext) error {
	engine := enginefake.New(enginefake.Options{
		TokenGap:        c.TokenGap,
		PrefillPerToken: c.Prefill,
		Slots:           c.Slots,
		BurstEvery:      c.BurstEvery,
		BurstGap:        c.BurstGap,
	})
	engine.OnCrash = func() { os.Exit(1) }
	return serve(c.Listen, engine)
}

type serviceCommand struct {
	Listen     string `help:"IP:PORT to listen on." default:"127.0.0.1:9100"`
	HonourKeys bool   `help:"Run an action at most once per Idempotency-Key."`
}

// Run serves a fake plain service.
func (c *serviceCommand) Run(*runContext) error {
	service := servicefake.New()
	service.HonourKeys = c.HonourKeys
	return serve(c.Listen, service)
}

type demoCommand struct {
	Bin     string `help:"Directory of the two programs." default:"bin"`
	Example string `help:"Configuration to publish." default:"examples/villarreal.json"`
}

// Run runs the demonstration.
func (c *demoCommand) Run(r *runContext) error {
	return demo.Run(context.Background(), r.out, c.Bin, c.Example)
}

type benchCommand struct {
	Bin    string   `help:"Directory of the two programs." default:"bin"`
	Output string   `help:"Directory for the tables." default:"docs/measurements"`
	Names  []string `arg:"" optional:"" help:"Measurements to make."`
}

// Run makes the measurements.
func (c *benchCommand) Run(r *runContext) error {
	return bench.Run(context.Background(), bench.Options{Bin: c.Bin, Output: c.Output, Names: c.Names}, r.out)
}

type experimentCommand struct {
	Scenario string   `arg:"" help:"JSON file with the load, the engines and the faults; see examples/."`
	Seed     uint64   `help:"First seed." default:"1"`
	Seeds    int      `help:"Runs of each policy, each with its own seed." default:"20"`
	Policy   []string `help:"Policies to compare; all by default."`
	Workers  int      `help:"Number of runs at a time." default:"2"`
	Report   string   `help:"HTML file to write the table and plots to."`
}

// Run simulates the scenario with each policy and seed.
func (c *experimentCommand) Run(r *runContext) error {
	scenario, err := simulation.ReadScenario(c.Scenario)
	if err != nil {
		return errors.Trace(err)
	}
	policies, err := simulation.PoliciesNamed(c.Policy)
	if err != nil {
		return errors.Trace(err)
	}
	seeds := []uint64{}
	for i := range uint64(max(c.Seeds, 1)) {
		seeds = append(seeds, c.Seed+i)
	}
	results, err := simulation.Compare(context.Background(), scenario, policies, seeds, c.Workers)
	if err != nil {
		return errors.Trace(err)
	}
	if err = simulation.WriteTable(r.out, scenario, results); err != nil || c.Report == "" {
		return errors.Trace(err)
	}
	return errors.Trace(simulation.WriteReport(c.Report, scenario, results))
}

type trafficCommand struct {
	VMs     []int         `name:"vms" help:"Sizes of the fleets." default:"6,30,100,300,430"`
	Servers float64       `help:"Backend servers per VM; at least 10 in total." default:"0.87"`
	Phase   time.Duration `help:"Length of each phase after the start." default:"4s"`
	Seed    uint64        `help:"Seed of the start times of VMs and streams." default:"1"`
	Report  string        `help:"HTML file to write the table and a plot to."`
}

// Run measures one fleet after the other.
func (c *trafficCommand) Run(r *runContext) error {
	results := []traffic.Result{}
	for _, vms := range c.VMs {
		result, err := traffic.Run(context.Background(), traffic.Options{
			VMs: vms, Servers: max(10, int(c.Servers*float64(vms))), PhaseLength: c.Phase, Seed: c.Seed,
		})
		if err != nil {
			return errors.Annotatef(err, "%d VMs", vms)
		}
		results = append(results, result)
	}
	if err := traffic.WriteTable(r.out, results); err != nil || c.Report == "" {
		return errors.Trace(err)
	}
	return errors.Trace(traffic.WriteReport(c.Report, results))
}

type compareCommand struct {
	Before string `arg:"" help:"Journal entry of the first run."`
	After  string `arg:"" help:"Journal entry of the second run, of the same site."`
}

// Run compares the two journal entries.
func (c *compareCommand) Run(r *runContext) error {
	before, err := platform.ReadJournal(c.Before)
	if err != nil {
		return errors.Trace(err)
	}
	after, err := platform.ReadJournal(c.After)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(measurement.WriteComparison(r.out, before, after))
}

// Package command is the command line of the lab.
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
	Platform platformCommand `cmd:"" help:"Stand in for the platform."`
	Engine   engineCommand   `cmd:"" help:"Stand in for one model engine."`
	Service  serviceCommand  `cmd:"" help:"Stand in for one plain service."`
	Bench    benchCommand    `cmd:"" help:"Measure; with no names, everything."`
	Demo     demoCommand     `cmd:"" help:"Run the whole system, break it, check every answer."`
	// In simulated time.
	Experiment experimentCommand `cmd:"" help:"Play a load and faults in simulated time and compare policies."`
	Compare    compareCommand    `cmd:"" help:"Compare two runs of the platform's bench, day by day."`
	Traffic    trafficCommand    `cmd:"" help:"Count what the VMs of fleets of several sizes tell each other."`
}

// lab is what commands write to.
type lab struct {
	out io.Writer
}

// Run runs one command and gives its exit code.
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
	if err := parsed.Run(&lab{out: out}); err != nil {
		fmt.Fprintln(errOut, "endivespoke-lab:", err)
		return 1
	}
	return 0
}

// serve answers HTTP until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // A stand-in keeps nothing.
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

type platformCommand struct {
	Listen string `help:"IP:PORT to listen on." default:"127.0.0.1:7000"`
}

// Run serves an empty platform.
func (c *platformCommand) Run(*lab) error {
	return serve(c.Listen, platformfake.New())
}

type engineCommand struct {
	Listen     string        `help:"IP:PORT to listen on." default:"127.0.0.1:9000"`
	TokenGap   time.Duration `help:"Time between two tokens." default:"25ms"`
	Prefill    time.Duration `help:"Time to read one token of a prompt." default:"20us"`
	Slots      int           `help:"Generations run side by side." default:"16"`
	BurstEvery int           `help:"Every so many tokens the gap is longer." default:"0"`
	BurstGap   time.Duration `help:"The longer gap." default:"0s"`
}

// Run serves an engine. A fault that kills it ends the process.
func (c *engineCommand) Run(*lab) error {
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
	HonourKeys bool   `help:"Run one Idempotency-Key once."`
}

// Run serves a plain service.
func (c *serviceCommand) Run(*lab) error {
	service := servicefake.New()
	service.HonourKeys = c.HonourKeys
	return serve(c.Listen, service)
}

type demoCommand struct {
	Bin     string `help:"Folder with the two programs." default:"bin"`
	Example string `help:"Configuration to publish." default:"examples/villarreal.json"`
}

// Run demonstrates the system.
func (c *demoCommand) Run(l *lab) error {
	return demo.Run(context.Background(), l.out, c.Bin, c.Example)
}

type benchCommand struct {
	Bin    string   `help:"Folder with the two programs." default:"bin"`
	Output string   `help:"Folder for the tables." default:"docs/measurements"`
	Names  []string `arg:"" optional:"" help:"Measurements to make."`
}

// Run makes the measurements.
func (c *benchCommand) Run(l *lab) error {
	return bench.Run(context.Background(), bench.Options{Bin: c.Bin, Output: c.Output, Names: c.Names}, l.out)
}

type experimentCommand struct {
	Scenario string   `arg:"" help:"JSON file with the load, the engines and the faults; see examples/."`
	Seed     uint64   `help:"First seed." default:"1"`
	Seeds    int      `help:"Plays of each policy, each with its own seed." default:"20"`
	Policy   []string `help:"Policies to compare; all by default."`
	Workers  int      `help:"Plays at a time." default:"2"`
	Report   string   `help:"HTML file to write the table and plots to."`
}

// Run plays the scenario.
func (c *experimentCommand) Run(l *lab) error {
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
	if err = simulation.WriteTable(l.out, scenario, results); err != nil || c.Report == "" {
		return errors.Trace(err)
	}
	return errors.Trace(simulation.WriteReport(c.Report, scenario, results))
}

type trafficCommand struct {
	VMs     []int         `name:"vms" help:"Sizes of the fleets." default:"6,30,100,300,430"`
	Servers float64       `help:"Backend servers for each VM; 10 at least in all." default:"0.87"`
	Phase   time.Duration `help:"Length of each phase after the start." default:"4s"`
	Seed    uint64        `help:"Of the times at which VMs and streams start." default:"1"`
	Report  string        `help:"HTML file to write the table and a plot to."`
}

// Run plays each fleet after the other.
func (c *trafficCommand) Run(l *lab) error {
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
	if err := traffic.WriteTable(l.out, results); err != nil || c.Report == "" {
		return errors.Trace(err)
	}
	return errors.Trace(traffic.WriteReport(c.Report, results))
}

type compareCommand struct {
	Before string `arg:"" help:"Journal entry of the first run."`
	After  string `arg:"" help:"Journal entry of the second run, of the same site."`
}

// Run compares the two.
func (c *compareCommand) Run(l *lab) error {
	before, err := platform.ReadJournal(c.Before)
	if err != nil {
		return errors.Trace(err)
	}
	after, err := platform.ReadJournal(c.After)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(measurement.WriteComparison(l.out, before, after))
}

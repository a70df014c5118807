// Package bench measures the system on one machine, with fake engines, services
// and platform.
//
// # Usage
//
//	bench.Run(ctx, bench.Options{Bin: "bin", Output: "docs/measurements", Names: []string{"recovery"}}, os.Stdout)
//
// Each measurement prints a table and writes it to <Output>/<name>.md with the
// command that reproduces it.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/lab/demo"
	"github.com/endivespoke/endivespoke/internal/lab/load"
)

// Options configures a run. Without Names, every measurement is made.
type Options struct {
	Bin    string // Directory of the two programs.
	Output string // Directory for the tables.
	Names  []string
}

// measurement makes one table. The first of the rows that measure returns holds
// the headings.
type measurement struct {
	name        string
	description string
	measure     func(ctx context.Context, b *bench) ([][]string, error)
}

// measurements returns all measurements, in the order of the pages that use them.
func measurements() []measurement {
	return []measurement{
		{"recovery", "Resume latency and extra work of both profiles and two baselines, under the same faults (seed 5).", measureRecovery},
		{"silence", "False alarms in a run without faults, with bursty token gaps (seed 6).", measureIdleTimeout},
		{"tokens", "Processor time of the VMs for each token, through owner and copy, and the time that a token gains.", measureTokens},
		{"open", "Memory of a VM for each open generation.", measureOpen},
		{"control", "What an idle VM spends for control, at several sizes of the system.", measureControl},
		{"publish", "Time until a published configuration is in force on every VM.", measurePublish},
		{"configuration", "Size of a configuration, and what taking one in costs a VM.", measureConfiguration},
		{"actions", "Table calls and time of actions, at several speeds of the platform.", measureActions},
		{"shares", "Answers of ordinary accounts beside one that asks ten times as much, in 10 s.", measureShares},
		{"overload", "Answers in time before, during (seconds 6 to 12) and after a spike of three times what the fleet can do.", measureOverload},
		{"lookups", "Lookups while long work fills the fleet.", measureLookups},
	}
}

// bench holds what the measurements share.
type bench struct {
	options Options
	logDir  string
}

// Run makes the selected measurements, prints their tables and writes them to
// files.
func Run(ctx context.Context, options Options, out io.Writer) (err error) {
	b := &bench{options: options}
	if b.logDir, err = os.MkdirTemp("", "endivespoke-bench-"); err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(b.logDir)
	if err = os.MkdirAll(options.Output, 0o755); err != nil {
		return errors.Trace(err)
	}
	for _, m := range measurements() {
		if len(options.Names) > 0 && !slices.Contains(options.Names, m.name) {
			continue
		}
		var rows [][]string
		if rows, err = m.measure(ctx, b); err != nil {
			return errors.Annotate(err, m.name)
		}
		text := markdownPage(m, rows)
		fmt.Fprintln(out, text)
		if err = os.WriteFile(filepath.Join(options.Output, m.name+".md"), []byte(text), 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// markdownPage formats a measurement as Markdown.
func markdownPage(m measurement, rows [][]string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n\n%s\n\nCommand: `make build && bin/endivespoke-lab bench %s`\n\n", m.name, m.description, m.name)
	for i, row := range rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
		if i == 0 {
			fmt.Fprintf(&text, "|%s\n", strings.Repeat("---|", len(row)))
		}
	}
	return text.String()
}

// system starts a system for one row of a measurement.
func (b *bench) system(ctx context.Context, options demo.Options) (*demo.System, error) {
	options.Bin = b.options.Bin
	options.LogDir = b.logDir
	if options.Example == "" {
		options.Example = "examples/villarreal.json"
	}
	return demo.Start(ctx, options)
}

// standardLoad returns the load that most measurements use.
func standardLoad(system *demo.System, requests int, seed uint64) load.Options {
	options := system.LoadOptions(4)
	options.Requests = requests
	options.Interval = 20 * time.Millisecond
	options.PromptWords = 400
	options.MinTokens, options.MaxTokens = 100, 300
	options.Seed = seed
	options.KeyPrefix = "bench"
	return options
}

func millis(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration)/float64(time.Millisecond))
}

func percentage(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f %%", 100*part/whole)
}

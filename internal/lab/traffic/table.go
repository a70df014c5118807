package traffic

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// WriteTable writes the messages and kilobytes that a VM of each fleet sends, by phase and
// kind of message.
func WriteTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "messages (KB) that a VM sends\t")
	for _, r := range results {
		fmt.Fprintf(table, "%d VMs\t", r.VMs)
	}
	fmt.Fprintln(table)
	for phaseIndex := range results[0].Phases {
		writePhase(table, results, phaseIndex)
	}
	return errors.Trace(table.Flush())
}

func writePhase(table io.Writer, results []Result, phaseIndex int) {
	kinds := map[string]bool{}
	for _, r := range results {
		for kind := range r.Phases[phaseIndex].Counts {
			kinds[kind] = true
		}
	}
	line := func(name string, cell func(r Result, p Phase) string) {
		fmt.Fprintf(table, "%s\t", name)
		for _, r := range results {
			fmt.Fprintf(table, "%s\t", cell(r, r.Phases[phaseIndex]))
		}
		fmt.Fprintln(table)
	}
	line(results[0].Phases[phaseIndex].Name, func(_ Result, p Phase) string { return p.summary() })
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		line("  "+kind, func(r Result, p Phase) string {
			c := p.Counts[kind]
			return fmt.Sprintf("%.1f (%.1f)", float64(c.Messages)/float64(r.VMs), float64(c.Bytes)/1000/float64(r.VMs))
		})
	}
	line("  checks of servers, in all", func(_ Result, p Phase) string { return fmt.Sprint(p.Checks) })
}

// summary returns the phase's duration and, if known, its convergence time.
func (p Phase) summary() string {
	text := fmt.Sprintf("%.1f s", p.Duration.Seconds())
	if p.Convergence > 0 {
		text += fmt.Sprintf(", known after %v", p.Convergence.Round(time.Millisecond))
	}
	return text
}

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

// WriteTable writes, for each phase and kind, what one VM of each fleet sends: messages and
// kilobytes.
func WriteTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "messages (KB) that a VM sends\t")
	for _, r := range results {
		fmt.Fprintf(table, "%d VMs\t", r.VMs)
	}
	fmt.Fprintln(table)
	for at := range results[0].Phases {
		writePhase(table, results, at)
	}
	return errors.Trace(table.Flush())
}

func writePhase(table io.Writer, results []Result, at int) {
	kinds := map[string]bool{}
	for _, r := range results {
		for kind := range r.Phases[at].Counts {
			kinds[kind] = true
		}
	}
	line := func(name string, cell func(r Result, p Phase) string) {
		fmt.Fprintf(table, "%s\t", name)
		for _, r := range results {
			fmt.Fprintf(table, "%s\t", cell(r, r.Phases[at]))
		}
		fmt.Fprintln(table)
	}
	line(results[0].Phases[at].Name, func(_ Result, p Phase) string { return p.describe() })
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		line("  "+kind, func(r Result, p Phase) string {
			c := p.Counts[kind]
			return fmt.Sprintf("%.1f (%.1f)", float64(c.Messages)/float64(r.VMs), float64(c.Bytes)/1000/float64(r.VMs))
		})
	}
	line("  checks of servers, in all", func(_ Result, p Phase) string { return fmt.Sprint(p.Checks) })
}

// describe tells how long the phase was, and how soon all VMs knew.
func (p Phase) describe() string {
	text := fmt.Sprintf("%.1f s", p.Lasted.Seconds())
	if p.Settled > 0 {
		text += fmt.Sprintf(", known after %v", p.Settled.Round(time.Millisecond))
	}
	return text
}

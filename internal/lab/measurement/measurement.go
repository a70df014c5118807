// Package measurement compares two runs of the bench over the same days, and renders plots
// for HTML reports.
//
// # Usage
//
//	err := measurement.WriteComparison(os.Stdout, before, after)
package measurement

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Run is a measured run of some days.
type Run struct {
	Site   string
	Reason string
	Score  float64
	Days   []Day
}

// Day is the result of one day. Its numbers are fractions of what was requested, 0 to 1;
// Worth, the credit less Prices, can be negative.
type Day struct {
	Name        string
	Worth       float64
	Served      float64
	Refused     float64
	Failed      float64
	Prices      float64
	BrokenRules []string // Names of the bench's rules that were broken.
	AbortReason string   // Why the day was aborted, "" if it was complete.
}

// WriteComparison writes one line for each day that both runs have, and the means over them.
func WriteComparison(out io.Writer, before, after Run) error {
	if before.Site != after.Site {
		return errors.Errorf("the runs are of different sites, %s and %s", before.Site, after.Site)
	}
	fmt.Fprintf(out, "site    %s\nbefore  %s\nafter   %s\n\n", before.Site, before.Reason, after.Reason)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "day\tworth before\tafter\tchange\tserved before\tafter\tfailed before\tafter\tprices before\tafter\t")
	sums := [2]float64{}
	common := 0
	for _, old := range before.Days {
		i := slices.IndexFunc(after.Days, func(d Day) bool { return d.Name == old.Name })
		if i < 0 {
			continue
		}
		current := after.Days[i]
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n", old.Name, old.Worth, current.Worth, current.Worth-old.Worth,
			old.Served, current.Served, old.Failed, current.Failed, old.Prices, current.Prices, describeProblems(current))
		sums[0] += old.Worth
		sums[1] += current.Worth
		common++
	}
	if common == 0 {
		return errors.New("the runs have no day in common")
	}
	means := [2]float64{sums[0] / float64(common), sums[1] / float64(common)}
	fmt.Fprintf(table, "mean\t%.3f\t%.3f\t%+.3f\t\t\t\t\t\t\t\n", means[0], means[1], means[1]-means[0])
	return errors.Trace(table.Flush())
}

// describeProblems lists what makes a day's figures invalid: broken rules and an abort.
func describeProblems(day Day) string {
	problems := []string{}
	if len(day.BrokenRules) > 0 {
		problems = append(problems, "broken: "+strings.Join(day.BrokenRules, ", "))
	}
	if day.AbortReason != "" {
		problems = append(problems, "given up: "+day.AbortReason)
	}
	if len(problems) == 0 {
		return ""
	}
	return "  " + strings.Join(problems, "; ")
}

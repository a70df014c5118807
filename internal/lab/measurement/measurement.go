// Package measurement compares two runs of the same days.
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

// Day is what callers got on one day. All but the names are parts of what was asked
// for, 0 to 1; Worth, the credit less Prices, can be negative.
type Day struct {
	Name        string
	Worth       float64
	Served      float64
	Refused     float64
	Failed      float64
	Prices      float64
	BrokenRules []string // Rules that were broken.
	AbortReason string   // Why the day was not played whole, "" if it was.
}

// WriteComparison writes one line for each day that both runs have, and their means.
func WriteComparison(out io.Writer, before, after Run) error {
	if before.Site != after.Site {
		return errors.Errorf("the runs are of different sites, %s and %s", before.Site, after.Site)
	}
	fmt.Fprintf(out, "site    %s\nbefore  %s\nafter   %s\n\n", before.Site, before.Reason, after.Reason)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "day\tworth before\tafter\tchange\tserved before\tafter\tfailed before\tafter\tprices before\tafter\t")
	sums := [2]float64{}
	common := 0
	for _, was := range before.Days {
		i := slices.IndexFunc(after.Days, func(d Day) bool { return d.Name == was.Name })
		if i < 0 {
			continue
		}
		is := after.Days[i]
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n", was.Name, was.Worth, is.Worth, is.Worth-was.Worth,
			was.Served, is.Served, was.Failed, is.Failed, was.Prices, is.Prices, remark(is))
		sums[0] += was.Worth
		sums[1] += is.Worth
		common++
	}
	if common == 0 {
		return errors.New("the runs have no day in common")
	}
	means := [2]float64{sums[0] / float64(common), sums[1] / float64(common)}
	fmt.Fprintf(table, "mean\t%.3f\t%.3f\t%+.3f\t\t\t\t\t\t\t\n", means[0], means[1], means[1]-means[0])
	return errors.Trace(table.Flush())
}

// remark names what makes a day's figures count for nothing.
func remark(day Day) string {
	remarks := []string{}
	if len(day.BrokenRules) > 0 {
		remarks = append(remarks, "broken: "+strings.Join(day.BrokenRules, ", "))
	}
	if day.AbortReason != "" {
		remarks = append(remarks, "given up: "+day.AbortReason)
	}
	if len(remarks) == 0 {
		return ""
	}
	return "  " + strings.Join(remarks, "; ")
}

package simulation

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/endivespoke/endivespoke/internal/lab/measurement"
)

// columns are the headings of the table, in the terminal and in the report.
var columns = []string{"policy", "worth", "+-", "bound", "first event p50", "p99", "length mean", "p99", "long pauses", "unfinished", "read twice", "resumed", "moved", "messages/s"}

// tableRow formats a policy's figures in the order of columns.
func tableRow(name string, f Figures) []string {
	return []string{
		name,
		fmt.Sprintf("%.3f", f.Worth),
		fmt.Sprintf("%.3f", f.WorthError),
		fmt.Sprintf("%.3f", f.Bound),
		formatSeconds(f.FirstMedian),
		formatSeconds(f.First99),
		formatSeconds(f.LengthMean),
		formatSeconds(f.Length99),
		fmt.Sprintf("%.1f %%", 100*f.LongPauses),
		fmt.Sprintf("%.1f %%", 100*f.Unfinished),
		fmt.Sprintf("%.1f %%", 100*f.RepeatedPrefill),
		fmt.Sprintf("%.1f", f.Resumed),
		fmt.Sprintf("%.1f", f.Moved),
		fmt.Sprintf("%.0f", f.Messages),
	}
}

func formatSeconds(span time.Duration) string {
	return fmt.Sprintf("%.2f s", span.Seconds())
}

// WriteTable writes one line for each policy.
func WriteTable(out io.Writer, scenario *Scenario, results []Results) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeLine(table, columns)
	for i := range results {
		writeLine(table, tableRow(results[i].Policy.Name, results[i].Figures(scenario)))
	}
	return errors.Trace(table.Flush())
}

func writeLine(out io.Writer, cells []string) {
	for _, cell := range cells {
		fmt.Fprint(out, cell, "\t")
	}
	fmt.Fprintln(out)
}

// page is the template of the report, a single file without external resources.
var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>{{.Title}}</h1>
<p>{{.Plays}} trials per policy. Worth is per stream: 1 if its first event and its pauses were within their objectives. The bound is an upper limit of the worth, with perfect knowledge of the load and the faults.</p>
<table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
</body></html>
`))

// WriteReport writes an HTML page with the table and plots.
func WriteReport(path string, scenario *Scenario, results []Results) error {
	rows := [][]string{}
	for i := range results {
		rows = append(rows, tableRow(results[i].Policy.Name, results[i].Figures(scenario)))
	}
	plots := []template.HTML{}
	for _, draw := range []func(*Scenario, []Results) (*plot.Plot, error){worthPlot, firstEventPlot, pausePlot} {
		chart, err := draw(scenario, results)
		if err != nil {
			return errors.Trace(err)
		}
		svg, err := measurement.RenderSVG(chart)
		if err != nil {
			return errors.Trace(err)
		}
		plots = append(plots, svg)
	}
	text := bytes.Buffer{}
	err := page.Execute(&text, map[string]any{
		"Title":   scenario.Name,
		"Plays":   len(results[0].Trials),
		"Columns": columns,
		"Rows":    rows,
		"Plots":   plots,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(os.WriteFile(path, text.Bytes(), 0o644), "writing the report")
}

// worthPlot plots the mean worth of the streams by the second of their request.
func worthPlot(scenario *Scenario, results []Results) (*plot.Plot, error) {
	return linePlot("Worth of streams", "requested at, s", "worth", results, func(r Results) plotter.XYs {
		worth := make([]float64, int(scenario.Seconds)+1)
		requested := make([]float64, len(worth))
		for _, trial := range r.Trials {
			for _, o := range trial.Outcomes {
				worth[int(o.RequestedAt.Seconds())] += o.Worth
				requested[int(o.RequestedAt.Seconds())]++
			}
		}
		line := plotter.XYs{}
		for second := range worth {
			if requested[second] > 0 {
				line = append(line, plotter.XY{X: float64(second), Y: worth[second] / requested[second]})
			}
		}
		return line
	})
}

func firstEventPlot(_ *Scenario, results []Results) (*plot.Plot, error) {
	return linePlot("First events", "after, s", "fraction of the streams", results, func(r Results) plotter.XYs {
		return distribution(r, func(o Outcome) time.Duration { return o.FirstEvent })
	})
}

func pausePlot(_ *Scenario, results []Results) (*plot.Plot, error) {
	return linePlot("Longest pauses", "pause, s", "fraction of the streams", results, func(r Results) plotter.XYs {
		return distribution(r, func(o Outcome) time.Duration { return o.LongestPause })
	})
}

// distribution returns the cumulative distribution of a positive value over the streams, in
// percentiles.
func distribution(r Results, value func(Outcome) time.Duration) plotter.XYs {
	spans := []time.Duration{}
	for _, trial := range r.Trials {
		for _, o := range trial.Outcomes {
			if span := value(o); span > 0 {
				spans = append(spans, span)
			}
		}
	}
	line := plotter.XYs{}
	for percent := 0; percent <= 100; percent++ {
		fraction := float64(percent) / 100
		line = append(line, plotter.XY{X: quantile(spans, fraction).Seconds(), Y: fraction})
	}
	return line
}

// linePlot draws one line for each policy.
func linePlot(title, xLabel, yLabel string, results []Results, line func(Results) plotter.XYs) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, xLabel, yLabel
	chart.Legend.Top = false
	for i, r := range results {
		plotLine, err := plotter.NewLine(line(r))
		if err != nil {
			return nil, errors.Annotatef(err, "drawing %q", r.Policy.Name)
		}
		plotLine.Color = plotutil.Color(i)
		plotLine.Dashes = plotutil.Dashes(i)
		chart.Add(plotLine)
		chart.Legend.Add(r.Policy.Name, plotLine)
	}
	return chart, nil
}

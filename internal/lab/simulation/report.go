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

// columns are the table's, for the terminal and the report.
var columns = []string{"policy", "worth", "+-", "bound", "first event p50", "p99", "length mean", "p99", "long pauses", "unfinished", "read twice", "resumed", "moved", "messages/s"}

// row gives a policy's figures as text, in the order of columns.
func row(name string, f Figures) []string {
	return []string{
		name,
		fmt.Sprintf("%.3f", f.Worth),
		fmt.Sprintf("%.3f", f.WorthError),
		fmt.Sprintf("%.3f", f.Bound),
		inSeconds(f.FirstMedian),
		inSeconds(f.First99),
		inSeconds(f.LengthMean),
		inSeconds(f.Length99),
		fmt.Sprintf("%.1f %%", 100*f.LongPauses),
		fmt.Sprintf("%.1f %%", 100*f.Unfinished),
		fmt.Sprintf("%.1f %%", 100*f.ReadTwice),
		fmt.Sprintf("%.1f", f.Resumed),
		fmt.Sprintf("%.1f", f.Moved),
		fmt.Sprintf("%.0f", f.Messages),
	}
}

func inSeconds(span time.Duration) string {
	return fmt.Sprintf("%.2f s", span.Seconds())
}

// WriteTable writes one line for each policy.
func WriteTable(out io.Writer, scenario *Scenario, results []Results) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeLine(table, columns)
	for i := range results {
		writeLine(table, row(results[i].Policy.Name, results[i].Figures(scenario)))
	}
	return errors.Trace(table.Flush())
}

func writeLine(out io.Writer, cells []string) {
	for _, cell := range cells {
		fmt.Fprint(out, cell, "\t")
	}
	fmt.Fprintln(out)
}

// page is the report, one file without links to others.
var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>{{.Title}}</h1>
<p>{{.Plays}} plays a policy. Worth is per stream: 1 if its first event and its pauses were within their aims. The bound is what perfect knowledge of the load and the faults could have made of it.</p>
<table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
</body></html>
`))

// WriteReport writes a page with the table and plots.
func WriteReport(path string, scenario *Scenario, results []Results) error {
	rows := [][]string{}
	for i := range results {
		rows = append(rows, row(results[i].Policy.Name, results[i].Figures(scenario)))
	}
	plots := []template.HTML{}
	for _, draw := range []func(*Scenario, []Results) (*plot.Plot, error){worthPlot, firstEventPlot, pausePlot} {
		drawn, err := draw(scenario, results)
		if err != nil {
			return errors.Trace(err)
		}
		picture, err := measurement.RenderSVG(drawn)
		if err != nil {
			return errors.Trace(err)
		}
		plots = append(plots, picture)
	}
	text := bytes.Buffer{}
	err := page.Execute(&text, map[string]any{
		"Title":   scenario.Name,
		"Plays":   len(results[0].Plays),
		"Columns": columns,
		"Rows":    rows,
		"Plots":   plots,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(os.WriteFile(path, text.Bytes(), 0o644), "writing the report")
}

// worthPlot shows what streams were worth by the second in which they were asked for.
func worthPlot(scenario *Scenario, results []Results) (*plot.Plot, error) {
	return linePlot("What streams were worth", "asked for, s", "worth", results, func(r Results) plotter.XYs {
		worth := make([]float64, int(scenario.Seconds)+1)
		asked := make([]float64, len(worth))
		for _, play := range r.Plays {
			for _, o := range play.Outcomes {
				worth[int(o.AskedAt.Seconds())] += o.Worth
				asked[int(o.AskedAt.Seconds())]++
			}
		}
		line := plotter.XYs{}
		for second := range worth {
			if asked[second] > 0 {
				line = append(line, plotter.XY{X: float64(second), Y: worth[second] / asked[second]})
			}
		}
		return line
	})
}

func firstEventPlot(_ *Scenario, results []Results) (*plot.Plot, error) {
	return linePlot("First events", "after, s", "part of the streams", results, func(r Results) plotter.XYs {
		return distribution(r, func(o Outcome) time.Duration { return o.FirstEvent })
	})
}

func pausePlot(_ *Scenario, results []Results) (*plot.Plot, error) {
	return linePlot("Longest pauses", "pause, s", "part of the streams", results, func(r Results) plotter.XYs {
		return distribution(r, func(o Outcome) time.Duration { return o.Pause })
	})
}

// distribution gives the part of the streams up to each of a hundred values.
func distribution(r Results, value func(Outcome) time.Duration) plotter.XYs {
	spans := []time.Duration{}
	for _, play := range r.Plays {
		for _, o := range play.Outcomes {
			if span := value(o); span > 0 {
				spans = append(spans, span)
			}
		}
	}
	line := plotter.XYs{}
	for percent := 0; percent <= 100; percent++ {
		part := float64(percent) / 100
		line = append(line, plotter.XY{X: quantile(spans, part).Seconds(), Y: part})
	}
	return line
}

// linePlot draws one line for each policy.
func linePlot(title, across, up string, results []Results, line func(Results) plotter.XYs) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = title, across, up
	drawn.Legend.Top = false
	for i, r := range results {
		drawnLine, err := plotter.NewLine(line(r))
		if err != nil {
			return nil, errors.Annotatef(err, "drawing %q", r.Policy.Name)
		}
		drawnLine.Color = plotutil.Color(i)
		drawnLine.Dashes = plotutil.Dashes(i)
		drawn.Add(drawnLine)
		drawn.Legend.Add(r.Policy.Name, drawnLine)
	}
	return drawn, nil
}

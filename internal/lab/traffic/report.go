package traffic

import (
	"bytes"
	"html/template"
	"os"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/endivespoke/endivespoke/internal/lab/measurement"
)

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Messages between VMs</title></head>
<body><h1>Messages between VMs</h1><pre>{{.Table}}</pre>{{.Plot}}</body></html>
`))

// WriteReport writes an HTML page with the table, and a plot of each phase's messages per
// VM and second over the number of VMs.
func WriteReport(path string, results []Result) error {
	table := bytes.Buffer{}
	if err := WriteTable(&table, results); err != nil {
		return errors.Trace(err)
	}
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = "Messages", "VMs", "messages per VM and second"
	chart.Legend.Top = true
	for phaseIndex, phase := range results[0].Phases {
		line, err := plotter.NewLine(messageRates(results, phaseIndex))
		if err != nil {
			return errors.Annotatef(err, "drawing %q", phase.Name)
		}
		line.Color, line.Dashes = plotutil.Color(phaseIndex), plotutil.Dashes(phaseIndex)
		chart.Add(line)
		chart.Legend.Add(phase.Name, line)
	}
	svg, err := measurement.RenderSVG(chart)
	if err != nil {
		return errors.Trace(err)
	}
	text := bytes.Buffer{}
	if err = page.Execute(&text, map[string]any{"Table": table.String(), "Plot": svg}); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(os.WriteFile(path, text.Bytes(), 0o644), "writing the report")
}

// messageRates returns the messages per VM and second of one phase, by the number of VMs.
func messageRates(results []Result, phaseIndex int) plotter.XYs {
	line := plotter.XYs{}
	for _, r := range results {
		sum := 0
		for _, count := range r.Phases[phaseIndex].Counts {
			sum += count.Messages
		}
		line = append(line, plotter.XY{X: float64(r.VMs), Y: float64(sum) / float64(r.VMs) / r.Phases[phaseIndex].Duration.Seconds()})
	}
	return line
}

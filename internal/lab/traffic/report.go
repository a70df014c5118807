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
<html lang="en"><head><meta charset="utf-8"><title>What VMs tell each other</title></head>
<body><h1>What VMs tell each other</h1><pre>{{.Table}}</pre>{{.Plot}}</body></html>
`))

// WriteReport writes a page with the table, and a plot of the messages that a VM sends in
// each phase over the size of the fleet.
func WriteReport(path string, results []Result) error {
	table := bytes.Buffer{}
	if err := WriteTable(&table, results); err != nil {
		return errors.Trace(err)
	}
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = "Messages", "VMs", "messages a VM and second"
	drawn.Legend.Top = true
	for at, phase := range results[0].Phases {
		line, err := plotter.NewLine(messagesOf(results, at))
		if err != nil {
			return errors.Annotatef(err, "drawing %q", phase.Name)
		}
		line.Color, line.Dashes = plotutil.Color(at), plotutil.Dashes(at)
		drawn.Add(line)
		drawn.Legend.Add(phase.Name, line)
	}
	picture, err := measurement.RenderSVG(drawn)
	if err != nil {
		return errors.Trace(err)
	}
	text := bytes.Buffer{}
	if err = page.Execute(&text, map[string]any{"Table": table.String(), "Plot": picture}); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(os.WriteFile(path, text.Bytes(), 0o644), "writing the report")
}

// messagesOf gives the messages a VM and second of one phase, by the fleet's size.
func messagesOf(results []Result, at int) plotter.XYs {
	line := plotter.XYs{}
	for _, r := range results {
		sum := 0
		for _, count := range r.Phases[at].Counts {
			sum += count.Messages
		}
		line = append(line, plotter.XY{X: float64(r.VMs), Y: float64(sum) / float64(r.VMs) / r.Phases[at].Lasted.Seconds()})
	}
	return line
}

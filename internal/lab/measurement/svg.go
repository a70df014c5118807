package measurement

import (
	"bytes"
	"html/template"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// RenderSVG renders a plot as an inline SVG element of an HTML page.
func RenderSVG(chart *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(24*vg.Centimeter, 10*vg.Centimeter)
	chart.Draw(draw.New(canvas))
	text := bytes.Buffer{}
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", errors.Trace(err)
	}
	_, svg, _ := bytes.Cut(text.Bytes(), []byte("<svg"))
	return template.HTML("<p><svg" + string(svg) + "</p>"), nil //nolint:gosec // The markup is generated, not input.
}

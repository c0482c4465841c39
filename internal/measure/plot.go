package measure

import (
	"image/color"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	lineWidth  = 1.2
	// plotLead is the time before the event that the plot includes.
	plotLead = 10 * time.Second
)

// writePlot draws the cumulative number of broken flows and the share of
// queries answered within their target over time, one line for each policy.
func writePlot(path, title string, runs []*Run) error {
	broken, attained := plot.New(), plot.New()
	broken.Title.Text = title
	broken.Y.Label.Text = "broken flows so far"
	attained.Y.Label.Text = "% answered inside target"
	attained.X.Label.Text = "seconds after the data centre left"
	attained.Legend.Top = false
	colors := []color.Color{color.RGBA{R: 0xd5, G: 0x5e, A: 0xff}, color.RGBA{B: 0xb2, G: 0x72, A: 0xff}, color.RGBA{G: 0x9e, B: 0x73, A: 0xff}}
	for n, r := range runs {
		lost, inside := r.Result.series()
		for p, points := range map[*plot.Plot]plotter.XYs{broken: lost, attained: inside} {
			line, err := plotter.NewLine(points)
			if err != nil {
				return errors.Wrap(err, "plot")
			}
			line.Color, line.Width = colors[n%len(colors)], vg.Points(lineWidth)
			p.Add(line)
			p.Legend.Add(r.Candidate.Name, line)
		}
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter / 2}
	parts := plot.Align([][]*plot.Plot{{broken}, {attained}}, tiles, draw.New(canvas))
	broken.Draw(parts[0][0])
	attained.Draw(parts[1][0])
	return writeCanvas(path, canvas)
}

// writeSurgePlot draws the share of requests answered within their target over
// the time at which they were first sent, one line for each strategy. Zero is
// the time at which power returns.
func writeSurgePlot(path string, results []*SurgeResult) error {
	p := plot.New()
	p.Title.Text = results[0].Surge.Name + ": all instances lost power"
	p.X.Label.Text = "seconds after the return at which the flow began"
	p.Y.Label.Text = "% answered inside target"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = false
	for n, r := range results {
		var points plotter.XYs
		for step := range r.Requests {
			points = append(points, plotter.XY{
				X: (time.Duration(step) * surgeStep).Seconds(), Y: 100 * float64(r.InTarget[step]) / float64(max(1, r.Requests[step])),
			})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color, line.Width = plotutil.Color(n), vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(r.Strategy.Name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	return writeCanvas(path, canvas)
}

// writeCanvas writes a drawing to a file.
func writeCanvas(path string, canvas *vgsvg.Canvas) error {
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "plot"), file.Close())
	}
	return errors.Wrap(file.Close(), "plot")
}

// series returns the cumulative number of broken flows and the percentage of
// queries answered within their target, both by second from the event.
func (r *Result) series() (lost, inside plotter.XYs) {
	sum := 0
	for n := (r.From - plotLead) / time.Second; n < r.To/time.Second && int(n) < len(r.Seconds); n++ {
		at := (n - r.From/time.Second)
		sum += r.Seconds[n].Broken
		lost = append(lost, plotter.XY{X: float64(at), Y: float64(sum)})
		inside = append(inside, plotter.XY{X: float64(at), Y: 100 * r.Seconds[n].inTargetShare()})
	}
	return lost, inside
}

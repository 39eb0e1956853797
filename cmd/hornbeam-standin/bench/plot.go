package bench

import (
	"image/color"
	"path/filepath"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hornbeamcroft/cmd/hornbeam-standin/scorer"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Line colors. systemColors has one color per entry of systems, in the same order.
var (
	systemColors = []color.Color{color.RGBA{R: 200, G: 80, B: 60, A: 255}, color.RGBA{R: 200, G: 150, B: 30, A: 255}, color.RGBA{R: 30, G: 110, B: 170, A: 255}}
	offeredColor = color.RGBA{R: 150, G: 150, B: 150, A: 255}
)

// writePlots writes one SVG plot per group to dir: the goodput over time in the first run of each system.
func (res Results) writePlots(dir string) error {
	for _, g := range res.groups() {
		if err := res.writePlot(dir, g); err != nil {
			return err
		}
	}
	return nil
}

func (res Results) writePlot(dir string, g group) error {
	p := plot.New()
	p.Title.Text = g.deployment + " (" + g.scenario + ") " + scenarioName(g)
	p.X.Label.Text = "time of arrival, s"
	p.Y.Label.Text = "whole requests, 1/s"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range systems {
		runs := res.runsOf(g, s.Name)
		if len(runs) == 0 || runs[0].Error != "" {
			continue
		}
		if i == 0 {
			if err := addLine(p, "offered", goodputPoints(runs[0].Bins, func(b scorer.Bin) int { return b.Offered }), offeredColor); err != nil {
				return err
			}
		}
		if err := addLine(p, s.Name, goodputPoints(runs[0].Bins, func(b scorer.Bin) int { return b.Succeeded }), systemColors[i]); err != nil {
			return err
		}
	}
	if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, g.deployment+"-"+g.scenario+".svg")); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return errors.Wrap(err, "create line of plot")
	}
	line.Color = c
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// goodputPoints returns the counts of the bins as rates per second, each averaged over a sliding window of
// scorer.RecoveryWindow to smooth the randomness of arrivals.
func goodputPoints(bins []scorer.Bin, count func(scorer.Bin) int) plotter.XYs {
	width := int(scorer.RecoveryWindow / scorer.BinWidth)
	var xys plotter.XYs
	for n := 0; n+width <= len(bins); n++ {
		sum := 0
		for _, b := range bins[n : n+width] {
			sum += count(b)
		}
		mid := (float64(n) + float64(width)/2) * scorer.BinWidth.Seconds()
		xys = append(xys, plotter.XY{X: mid, Y: float64(sum) / scorer.RecoveryWindow.Seconds()})
	}
	return xys
}

// Package plotter draws a service-level report as a self-contained HTML page. It is separate from package sloreporter so
// that the binary of a node, which only counts, does not contain the fonts of the plot library.
package plotter

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"hornbeamcroft/sloreporter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level report</title>
<style>body{font-family:sans-serif;max-width:75em;margin:auto}table{border-collapse:collapse}
td,th{border:1px solid #999;padding:.2em .5em;text-align:right}td:first-child{text-align:left}</style></head><body>
<h1>Service-level report</h1><p>{{.Report.Wall.UTC.Format "2006-01-02T15:04:05Z07:00"}}</p>
{{if .Report.Missing}}<p>No counts from:{{range .Report.Missing}} {{.}}{{end}}</p>{{end}}
{{if .Report.Restarted}}<p>Counts begin late:{{range .Report.Restarted}} {{.Node}} {{.Since.UTC.Format "2006-01-02T15:04:05Z07:00"}};{{end}}</p>{{end}}
<table><tr><th>objective</th><th>requests</th><th>missed</th><th>budget left</th><th>counted</th>
{{range .Pairs}}<th>{{.Short}} / {{.Long}}</th>{{end}}</tr>
{{range .Report.Objectives}}<tr><td>{{.Name}}</td><td>{{printf "%.0f" .Requests}}</td><td>{{printf "%.0f" .Missed}}</td>
<td>{{.Budget}}</td><td>{{printf "%.3f" .Coverage}}</td>{{range .Burns}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table><p>! pages, ~ has a gap, - nothing counted</p>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))

// figure is one plot of the page.
type figure struct {
	Title string
	SVG   template.HTML
}

// Plotter draws reports.
type Plotter struct{}

// WriteHTML writes the report as one HTML page that refers to no other files.
func (Plotter) WriteHTML(w io.Writer, r sloreporter.Report) error {
	var plots []figure
	for _, o := range r.Objectives {
		for _, s := range []struct {
			name   string
			points []sloreporter.Point
			length time.Duration
		}{{"last 6 hours", o.Fine, sloreporter.FineLength}, {"last 32 days", o.Coarse, sloreporter.CoarseLength}} {
			svg, err := drawShare(s.points, s.length, o.Target)
			if err != nil {
				return err
			}
			plots = append(plots, figure{Title: fmt.Sprintf("%s, %s", o.Name(), s.name), SVG: svg})
		}
	}
	return page.Execute(w, struct {
		Report sloreporter.Report
		Pairs  [4]sloreporter.WindowPair
		Plots  []figure
	}{r, sloreporter.WindowPairs, plots})
}

// drawShare returns an SVG plot of the share of requests that met the goal in each window. The line is interrupted where
// no requests were counted. The target is a dashed line.
func drawShare(points []sloreporter.Point, length time.Duration, target float64) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "share met"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04"}
	for _, part := range splitAtGaps(points, length) {
		line, err := plotter.NewLine(part)
		if err != nil {
			return "", err
		}
		p.Add(line)
	}
	if len(points) > 0 {
		goal := plotter.NewFunction(func(float64) float64 { return target })
		goal.Dashes = []vg.Length{vg.Points(3)}
		p.Add(goal, plotter.NewGrid())
		p.X.Min, p.X.Max = float64(points[0].At.Unix()), float64(points[len(points)-1].At.Add(length).Unix())
		p.Y.Min, p.Y.Max = min(p.Y.Min, target), 1
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// An XML declaration is not allowed inside an HTML page.
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("?>"))
	return template.HTML(svg), nil
}

// splitAtGaps returns one line for each run of adjacent windows with requests. Each window is a horizontal step.
func splitAtGaps(points []sloreporter.Point, length time.Duration) []plotter.XYs {
	var out []plotter.XYs
	var last time.Time
	for _, p := range points {
		if p.Requests == 0 {
			continue
		}
		if len(out) == 0 || !p.At.Equal(last.Add(length)) {
			out = append(out, nil)
		}
		last = p.At
		share := 1 - p.Missed/p.Requests
		n := len(out) - 1
		out[n] = append(out[n],
			plotter.XY{X: float64(p.At.Unix()), Y: share},
			plotter.XY{X: float64(p.At.Add(length).Unix()), Y: share})
	}
	return out
}

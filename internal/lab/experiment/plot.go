package experiment

import (
	"fmt"
	"html/template"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of one plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// figure is one plot of one service.
type figure struct {
	File, Title string
}

// WritePage writes the plots of the first seed and the page that shows them,
// with the table, into a folder. It returns the path of the page.
func WritePage(folder string, summary Summary) (string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", eris.Wrapf(err, "out: create %s", folder)
	}
	var figures []figure
	for _, service := range services(summary.Results) {
		drawn, err := drawService(folder, service, firstRuns(summary, service))
		if err != nil {
			return "", err
		}
		figures = append(figures, drawn...)
	}
	return writeHTML(folder, summary, figures)
}

func services(results []Result) []string {
	var names []string
	for _, result := range results {
		if !slices.Contains(names, result.Service) {
			names = append(names, result.Service)
		}
	}
	return names
}

// firstRuns returns a service's results for the first seed.
func firstRuns(summary Summary, service string) []Result {
	var runs []Result
	for _, result := range summary.Results {
		if result.Service == service && result.Seed == summary.Seeds[0] {
			runs = append(runs, result)
		}
	}
	return runs
}

func drawService(folder, service string, runs []Result) ([]figure, error) {
	drawings := []struct {
		name, y string
		x       string
		points  func(Result) plotter.XYs
	}{
		{"imbalance", "highest load / mean", "minutes", func(r Result) plotter.XYs {
			return timeline(r, func(s Sample) float64 { return s.Imbalance })
		}},
		{"churn", "share of the key space that changed owner", "minutes", func(r Result) plotter.XYs {
			return timeline(r, func(s Sample) float64 { return s.Churn })
		}},
		{"latency", "milliseconds (logarithmic)", "share of slower requests, as a power of ten (-2 is p99)", percentiles},
	}
	var figures []figure
	for _, drawing := range drawings {
		drawn := figure{File: service + "-" + drawing.name + ".png", Title: service + ": " + drawing.name}
		canvas := plot.New()
		canvas.Title.Text, canvas.X.Label.Text, canvas.Y.Label.Text = drawn.Title, drawing.x, drawing.y
		if drawing.name == "latency" {
			canvas.X.Scale = plot.InvertedScale{Normalizer: plot.LinearScale{}}
		}
		canvas.Legend.Top, canvas.Legend.Left = true, true
		if drawing.name != "imbalance" {
			canvas.Y.Scale, canvas.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
		if err := addLines(canvas, runs, drawing.points); err != nil {
			return nil, err
		}
		if err := canvas.Save(plotWidth, plotHeight, filepath.Join(folder, drawn.File)); err != nil {
			return nil, eris.Wrapf(err, "out: draw %s", drawn.File)
		}
		figures = append(figures, drawn)
	}
	return figures, nil
}

func addLines(canvas *plot.Plot, runs []Result, points func(Result) plotter.XYs) error {
	for number, run := range runs {
		line, err := plotter.NewLine(points(run))
		if err != nil {
			return eris.Wrapf(err, "plot %s", run.Strategy)
		}
		line.Color = plotutil.Color(number)
		line.Dashes = plotutil.Dashes(number)
		canvas.Add(line)
		canvas.Legend.Add(run.Strategy, line)
	}
	return nil
}

// lowestChurn stands for zero on the logarithmic scale.
const lowestChurn = 1e-3

func timeline(run Result, value func(Sample) float64) plotter.XYs {
	points := make(plotter.XYs, 0, len(run.Timeline))
	for _, sample := range run.Timeline {
		points = append(points, plotter.XY{X: sample.At.Minutes(), Y: max(value(sample), lowestChurn)})
	}
	return points
}

func percentiles(run Result) plotter.XYs {
	points := make(plotter.XYs, 0, len(PlotPercentiles))
	for number, percentile := range PlotPercentiles {
		points = append(points, plotter.XY{X: math.Log10(1 - percentile/100), Y: max(run.Percentiles[number], lowestChurn)})
	}
	return points
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Placement experiment</title></head>
<body><h1>Placement experiment</h1>
<p>Table: means over the seeds {{.Seeds}}. Plots: the first seed.</p>
<pre>{{.Table}}</pre>
{{range .Figures}}<h2>{{.Title}}</h2><img src="{{.File}}" alt="{{.Title}}">
{{end}}</body></html>
`))

func writeHTML(folder string, summary Summary, figures []figure) (string, error) {
	path := filepath.Join(folder, "index.html")
	file, err := os.Create(path)
	if err != nil {
		return "", eris.Wrapf(err, "out: create %s", path)
	}
	err = page.Execute(file, struct {
		Seeds   string
		Table   string
		Figures []figure
	}{fmt.Sprint(summary.Seeds), summary.Table(), figures})
	if closing := file.Close(); err == nil {
		err = closing
	}
	return path, eris.Wrapf(err, "out: write %s", path)
}

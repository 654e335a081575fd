package report

import (
	"fmt"
	"image/color"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"milldeck/internal/lab"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	lineWidth  = 1.2 // points
	// legendHeadroom is the height of a plot as a multiple of the highest value. It keeps the legend off the lines.
	legendHeadroom = 1.3
	// endlessFaultShare is the width of a fault without an end, as a share of the run.
	endlessFaultShare = 1. / 200
)

// palette has colours for the lines that people with a colour vision deficiency can tell apart.
var palette = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{60, 60, 60, 255}, color.RGBA{160, 160, 0, 255},
}

// faultColor shades the periods of faults. The colour values are not premultiplied by alpha.
var faultColor = color.NRGBA{200, 60, 60, 50}

// plotSeries is a line of a plot.
type plotSeries struct {
	name    string
	valueAt func(*lab.Window) float64
}

func attemptsByResult(result *lab.Result) []plotSeries {
	var lines []plotSeries
	for _, name := range slices.Sorted(maps.Keys(result.AttemptsByResult)) {
		lines = append(lines, plotSeries{name, func(w *lab.Window) float64 {
			return float64(w.AttemptsByResult[name]) / result.WindowMS * 1000
		}})
	}
	return lines
}

func attemptsByZone(result *lab.Result) []plotSeries {
	if len(result.Windows) == 0 {
		return nil
	}
	var lines []plotSeries
	for zone := range result.Windows[0].AttemptsByZone {
		lines = append(lines, plotSeries{fmt.Sprintf("zone %d", zone), func(w *lab.Window) float64 {
			return float64(w.AttemptsByZone[zone]) / result.WindowMS * 1000
		}})
	}
	return lines
}

// drawPlot writes a plot over the time of the run to a file, with the faults behind the lines.
func drawPlot(path string, f figure, result *lab.Result) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, "s", f.unit
	p.Legend.Top = true
	lines, highest, err := plotLines(f.lines, result.Windows)
	if err != nil {
		return err
	}
	for i, line := range lines {
		p.Legend.Add(f.lines[i].name, line)
	}
	for _, fault := range result.Faults {
		area, err := faultArea(fault, result.DurationSeconds, highest)
		if err != nil {
			return err
		}
		p.Add(area)
	}
	for _, line := range lines {
		p.Add(line)
	}
	p.Y.Min, p.Y.Max = 0, legendHeadroom*highest
	return p.Save(plotWidth, plotHeight, path)
}

// plotLines returns the lines of the series and their highest value. Without windows it returns no lines.
func plotLines(series []plotSeries, windows []lab.Window) (lines []*plotter.Line, highest float64, err error) {
	if len(windows) == 0 {
		return nil, 0, nil
	}
	for i, s := range series {
		points := make(plotter.XYs, len(windows))
		for k := range windows {
			points[k].X, points[k].Y = windows[k].AtS, s.valueAt(&windows[k])
			highest = math.Max(highest, points[k].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, 0, err
		}
		line.Color = palette[i%len(palette)]
		line.Width = vg.Points(lineWidth)
		lines = append(lines, line)
	}
	return lines, highest, nil
}

// faultArea returns the area of a plot that shows the period of a fault.
func faultArea(fault lab.FaultInterval, durationS, highest float64) (*plotter.Polygon, error) {
	to := fault.ToS
	if to == 0 {
		to = fault.FromS + durationS*endlessFaultShare
	}
	area, err := plotter.NewPolygon(plotter.XYs{
		{X: fault.FromS, Y: 0}, {X: to, Y: 0}, {X: to, Y: highest}, {X: fault.FromS, Y: highest},
	})
	if err != nil {
		return nil, err
	}
	area.Color = faultColor
	area.Width = 0
	return area, nil
}

// Package report writes what lab runs found: tables for a terminal, Markdown with plots, and comparisons of two
// runs or sets of runs.
package report

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"milldeck/internal/lab"
)

// WriteTable writes one run for a reader who has never seen one.
func WriteTable(w io.Writer, r *lab.Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	cut := ""
	if r.CutShort {
		cut = ", cut short"
	}
	fmt.Fprintf(t, "%s: %d sidecars, %d servers, %.0f s, seed %d (%s, %s%s)\n\n", r.Name, r.Sidecars, r.Servers, r.DurationSeconds, r.Seed, r.Mode, r.Policy, cut)
	of := func(n int) float64 { return 100 * float64(n) / math.Max(float64(r.Requests), 1) }
	row("requests", "%d", r.Requests)
	row("  served in time", "%.2f%%  (by worth %.2f%%)", 100*r.ServedShare, 100*r.WeightedServedShare)
	row("  served late", "%.2f%%", of(r.ServedLate))
	row("  refused", "%.2f%%  told at once that a retry is harmless", of(r.Rejected))
	row("  failed", "%.2f%%", of(r.Failed))
	row("  lost", "%.2f%%  no answer at all", of(r.Unanswered))
	row("  client left", "%.2f%%", of(r.ClientDisconnected))
	row("latency", "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", r.P50, r.P90, r.P99, r.P999)
	row("attempts at servers", "%.2f for each try; %d retries, %d new connections, %.1f%% to another zone",
		float64(r.Attempts)/math.Max(float64(r.ClientAttempts), 1), r.Retries, r.Handshakes, 100*r.CrossZoneShare)
	switch {
	case r.Overloaded && r.ViolationCount > 0:
		row("rules broken", "%d%s by the control plane; sidecars are not judged, this machine cannot play the load", r.ViolationCount, violationList(r, lab.ControlPlaneRules))
	case r.Overloaded:
		row("rules broken", "not judged: this machine cannot play the load, so nothing here tells of the sidecars")
	default:
		row("rules broken", "%d%s", r.ViolationCount, violationList(r, lab.Rules))
	}
	if r.Mode == "run" {
		row("lateness of the lab", "p99 %.1f ms, at most %.1f ms%s", r.Lateness, r.MaxLateness, sentLateText(r))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Metrics)) {
		row(name, "%g", r.Metrics[name])
	}
	for _, c := range r.Classes {
		row("class "+c.Name, "%d requests, %.2f%% served in time", c.Requests, 100*c.ServedShare)
	}
	for _, f := range r.Faults {
		row("fault", "%s, from %.1f s%s", f.Fault, f.FromS, endText(f))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range r.Violations {
		if _, err := fmt.Fprintf(w, "\nrule %s broken at %.0f ms: %s\n", b.Rule, b.AtMS, b.Detail); err != nil {
			return err
		}
		for _, l := range b.History {
			fmt.Fprintln(w, "   ", l)
		}
	}
	return nil
}

func endText(f lab.FaultInterval) string {
	if f.ToS == 0 {
		return ""
	}
	return fmt.Sprintf(" to %.1f s", f.ToS)
}

func sentLateText(r *lab.Result) string {
	if r.SentTooLate == 0 {
		return ""
	}
	return fmt.Sprintf("; %d requests left out, sent too late by the lab itself", r.SentTooLate)
}

func violationList(r *lab.Result, of []lab.Rule) string {
	var parts []string
	for _, rule := range of {
		if n := r.ViolationsByRule[rule]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", rule, n))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// WriteComparison writes several runs of one plan side by side.
func WriteComparison(w io.Writer, runs []*lab.Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tworth served\tp50 ms\tp99 ms\trefused\tlost\tretries\thandshakes\tcross-zone\trules broken\t")
	for _, r := range runs {
		name := r.Policy
		if r.Mode == "run" {
			name += " (run)"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.3f\t%d\t\n", name, r.WeightedServedShare, r.P50, r.P99, r.Rejected, r.Unanswered,
			r.Retries, r.Handshakes, r.CrossZoneShare, r.ViolationCount)
	}
	return t.Flush()
}

// WriteReport makes a report in a folder: report.md and its plots.
func WriteReport(dir string, r *lab.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	plots := []struct {
		file, title, unit string
		lines             []plotSeries
	}{
		{"worth.svg", "Worth served in time", "share", []plotSeries{{"served", func(w *lab.Window) float64 { return w.WeightedServedShare }}}},
		{"latency.svg", "Latency from the scheduled start", "ms", []plotSeries{
			{"p50", func(w *lab.Window) float64 { return w.P50 }}, {"p99", func(w *lab.Window) float64 { return w.P99 }}}},
		{"attempts.svg", "Attempts by result", "a second", attemptsByResult(r)},
		{"zones.svg", "Attempts by zone of the server", "a second", attemptsByZone(r)},
	}
	var md strings.Builder
	fmt.Fprintf(&md, "# %s, seed %d\n\n```\n", r.Name, r.Seed)
	if err := WriteTable(&md, r); err != nil {
		return err
	}
	md.WriteString("```\n\nFaults are shaded in the plots.\n")
	for _, p := range plots {
		if err := drawPlot(filepath.Join(dir, p.file), p.title, p.unit, r, p.lines); err != nil {
			return fmt.Errorf("report: %s: %w", p.file, err)
		}
		fmt.Fprintf(&md, "\n![%s](%s)\n", p.title, p.file)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(md.String()), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// plotSeries is one line of a plot.
type plotSeries struct {
	name    string
	valueAt func(*lab.Window) float64
}

func attemptsByResult(r *lab.Result) []plotSeries {
	var names []string
	for name := range r.AttemptsByResult {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []plotSeries
	for _, name := range names {
		out = append(out, plotSeries{name, func(w *lab.Window) float64 { return float64(w.AttemptsByResult[name]) / r.WindowMS * 1000 }})
	}
	return out
}

func attemptsByZone(r *lab.Result) []plotSeries {
	var out []plotSeries
	if len(r.Windows) > 0 {
		for z := range r.Windows[0].AttemptsByZone {
			out = append(out, plotSeries{fmt.Sprintf("zone %d", z), func(w *lab.Window) float64 { return float64(w.AttemptsByZone[z]) / r.WindowMS * 1000 }})
		}
	}
	return out
}

// palette holds colours that can be told apart, also by those who see few.
var palette = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{60, 60, 60, 255}, color.RGBA{160, 160, 0, 255},
}

const (
	plotWidth, plotHeight = 18 * vg.Centimeter, 7 * vg.Centimeter
	legendHeadroom        = 1.3 // of the highest value, so that the legend hides no line
)

func drawPlot(path, title, unit string, r *lab.Result, lines []plotSeries) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Legend.Top = true
	highest := 0.0
	var drawn []*plotter.Line
	for i, s := range lines {
		xy := make(plotter.XYs, len(r.Windows))
		for k := range r.Windows {
			xy[k].X, xy[k].Y = r.Windows[k].AtS, s.valueAt(&r.Windows[k])
			highest = math.Max(highest, xy[k].Y)
		}
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		l.Color = palette[i%len(palette)]
		l.Width = vg.Points(1.2)
		drawn = append(drawn, l)
		p.Legend.Add(s.name, l)
	}
	for _, f := range r.Faults {
		to := f.ToS
		if to == 0 {
			to = f.FromS + r.DurationSeconds/200
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: 0}, {X: to, Y: 0}, {X: to, Y: highest}, {X: f.FromS, Y: highest}})
		if err != nil {
			return err
		}
		box.Color = color.NRGBA{200, 60, 60, 50} // RGBA would want its parts multiplied
		box.Width = 0
		p.Add(box)
	}
	for _, l := range drawn {
		p.Add(l)
	}
	p.Y.Min, p.Y.Max = 0, legendHeadroom*highest
	return p.Save(plotWidth, plotHeight, path)
}

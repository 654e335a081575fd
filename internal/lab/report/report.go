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

// Table writes one run for a reader who has never seen one.
func Table(w io.Writer, r *lab.Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	cut := ""
	if r.Cut {
		cut = ", cut short"
	}
	fmt.Fprintf(t, "%s: %d sidecars, %d servers, %.0f s, seed %d (%s, %s%s)\n\n", r.Name, r.Sidecars, r.Servers, r.Duration, r.Seed, r.Mode, r.Policy, cut)
	of := func(n int) float64 { return 100 * float64(n) / math.Max(float64(r.Requests), 1) }
	row("requests", "%d", r.Requests)
	row("  served in time", "%.2f%%  (by worth %.2f%%)", 100*r.ServedShare, 100*r.WorthShare)
	row("  served late", "%.2f%%", of(r.Late))
	row("  refused", "%.2f%%  told at once that a retry is harmless", of(r.Refused))
	row("  failed", "%.2f%%", of(r.Failed))
	row("  lost", "%.2f%%  no answer at all", of(r.Lost))
	row("  client left", "%.2f%%", of(r.Left))
	row("latency", "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", r.P50, r.P90, r.P99, r.P999)
	row("attempts at servers", "%.2f for each try; %d retries, %d new connections, %.1f%% to another zone",
		float64(r.Attempts)/math.Max(float64(r.Tries), 1), r.Retries, r.Handshakes, 100*r.CrossShare)
	switch {
	case r.Overloaded && r.BrokenRules > 0:
		row("rules broken", "%d%s by the control plane; sidecars are not judged, this machine cannot play the load", r.BrokenRules, ruleList(r, lab.ControlRules))
	case r.Overloaded:
		row("rules broken", "not judged: this machine cannot play the load, so nothing here tells of the sidecars")
	default:
		row("rules broken", "%d%s", r.BrokenRules, ruleList(r, lab.Rules))
	}
	if r.Mode == "run" {
		row("lateness of the lab", "p99 %.1f ms, at most %.1f ms%s", r.Lateness, r.LatenessMax, tooLate(r))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		row(name, "%g", r.Figures[name])
	}
	for _, c := range r.Classes {
		row("class "+c.Name, "%d requests, %.2f%% served in time", c.Requests, 100*c.ServedShare)
	}
	for _, f := range r.Faults {
		row("fault", "%s, from %.1f s%s", f.Fault, f.FromS, until(f))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range r.Broken {
		if _, err := fmt.Fprintf(w, "\nrule %s broken at %.0f ms: %s\n", b.Rule, b.AtMS, b.What); err != nil {
			return err
		}
		for _, l := range b.Story {
			fmt.Fprintln(w, "   ", l)
		}
	}
	return nil
}

func until(f lab.FaultMark) string {
	if f.ToS == 0 {
		return ""
	}
	return fmt.Sprintf(" to %.1f s", f.ToS)
}

func tooLate(r *lab.Result) string {
	if r.LabLate == 0 {
		return ""
	}
	return fmt.Sprintf("; %d requests left out, sent too late by the lab itself", r.LabLate)
}

func ruleList(r *lab.Result, of []lab.Rule) string {
	var parts []string
	for _, rule := range of {
		if n := r.RuleCounts[rule]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", rule, n))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// Compare writes several runs of one plan side by side.
func Compare(w io.Writer, runs []*lab.Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tworth served\tp50 ms\tp99 ms\trefused\tlost\tretries\thandshakes\tcross-zone\trules broken\t")
	for _, r := range runs {
		name := r.Policy
		if r.Mode == "run" {
			name += " (run)"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.3f\t%d\t\n", name, r.WorthShare, r.P50, r.P99, r.Refused, r.Lost,
			r.Retries, r.Handshakes, r.CrossShare, r.BrokenRules)
	}
	return t.Flush()
}

// Write makes a report in a folder: report.md and its plots.
func Write(dir string, r *lab.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	plots := []struct {
		file, title, unit string
		lines             []series
	}{
		{"worth.svg", "Worth served in time", "share", []series{{"served", func(w *lab.Window) float64 { return w.WorthShare }}}},
		{"latency.svg", "Latency from the scheduled start", "ms", []series{
			{"p50", func(w *lab.Window) float64 { return w.P50 }}, {"p99", func(w *lab.Window) float64 { return w.P99 }}}},
		{"attempts.svg", "Attempts by result", "a second", byResult(r)},
		{"zones.svg", "Attempts by zone of the server", "a second", byZone(r)},
	}
	var md strings.Builder
	fmt.Fprintf(&md, "# %s, seed %d\n\n```\n", r.Name, r.Seed)
	if err := Table(&md, r); err != nil {
		return err
	}
	md.WriteString("```\n\nFaults are shaded in the plots.\n")
	for _, p := range plots {
		if err := draw(filepath.Join(dir, p.file), p.title, p.unit, r, p.lines); err != nil {
			return fmt.Errorf("report: %s: %w", p.file, err)
		}
		fmt.Fprintf(&md, "\n![%s](%s)\n", p.title, p.file)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(md.String()), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// series is one line of a plot.
type series struct {
	name string
	at   func(*lab.Window) float64
}

func byResult(r *lab.Result) []series {
	var names []string
	for name := range r.ByResult {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []series
	for _, name := range names {
		out = append(out, series{name, func(w *lab.Window) float64 { return float64(w.ByResult[name]) / r.WindowMS * 1000 }})
	}
	return out
}

func byZone(r *lab.Result) []series {
	var out []series
	if len(r.Windows) > 0 {
		for z := range r.Windows[0].ByZone {
			out = append(out, series{fmt.Sprintf("zone %d", z), func(w *lab.Window) float64 { return float64(w.ByZone[z]) / r.WindowMS * 1000 }})
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
	legendRoom            = 1.3 // of the highest value, so that the legend hides no line
)

func draw(path, title, unit string, r *lab.Result, lines []series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Legend.Top = true
	highest := 0.0
	var drawn []*plotter.Line
	for i, s := range lines {
		xy := make(plotter.XYs, len(r.Windows))
		for k := range r.Windows {
			xy[k].X, xy[k].Y = r.Windows[k].AtS, s.at(&r.Windows[k])
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
			to = f.FromS + r.Duration/200
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: 0}, {X: to, Y: 0}, {X: to, Y: highest}, {X: f.FromS, Y: highest}})
		if err != nil {
			return err
		}
		box.Color = color.NRGBA{200, 60, 60, 50} // RGBA would want its parts multiplied
		box.LineStyle.Width = 0
		p.Add(box)
	}
	for _, l := range drawn {
		p.Add(l)
	}
	p.Y.Min, p.Y.Max = 0, legendRoom*highest
	return p.Save(plotWidth, plotHeight, path)
}

// Package report writes the results of lab runs: tables for a terminal, Markdown with plots, and comparisons of two sets of
// runs. It only reads results and runs no experiment.
package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"milldeck/internal/lab"
)

// figure is a plot of a report.
type figure struct {
	file, title, unit string
	lines             []plotSeries
}

// WriteReport writes a report into a directory, which is created if needed: report.md and its plots.
func WriteReport(dir string, result *lab.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var markdown strings.Builder
	fmt.Fprintf(&markdown, "# %s, seed %d\n\n```\n", result.Name, result.Seed)
	if err := WriteTable(&markdown, result); err != nil {
		return err
	}
	markdown.WriteString("```\n\nFaults are shaded in the plots.\n")
	for _, f := range figures(result) {
		if err := drawPlot(filepath.Join(dir, f.file), f, result); err != nil {
			return fmt.Errorf("report: %s: %w", f.file, err)
		}
		fmt.Fprintf(&markdown, "\n![%s](%s)\n", f.title, f.file)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(markdown.String()), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// figures returns the plots of a report.
func figures(result *lab.Result) []figure {
	served := []plotSeries{{"served", func(w *lab.Window) float64 { return w.WeightedServedShare }}}
	latency := []plotSeries{
		{"p50", func(w *lab.Window) float64 { return w.P50 }},
		{"p99", func(w *lab.Window) float64 { return w.P99 }},
	}
	return []figure{
		{"worth.svg", "Worth served in time", "share", served},
		{"latency.svg", "Latency from the scheduled start", "ms", latency},
		{"attempts.svg", "Attempts by result", "a second", attemptsByResult(result)},
		{"zones.svg", "Attempts by zone of the server", "a second", attemptsByZone(result)},
	}
}

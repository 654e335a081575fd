package report

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"milldeck/internal/lab"
)

// table is a table of two columns, a name and a formatted value.
type table struct{ *tabwriter.Writer }

func (t table) row(name, format string, args ...any) {
	fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
}

// WriteTable writes the result of a run with its violations, for readers who do not know the format of results.
func WriteTable(w io.Writer, result *lab.Result) error {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	cut := ""
	if result.CutShort {
		cut = ", cut short"
	}
	fmt.Fprintf(t, "%s: %d sidecars, %d servers, %.0f s, seed %d (%s, %s%s)\n\n",
		result.Name, result.Sidecars, result.Servers, result.DurationSeconds, result.Seed, result.Mode, result.Policy, cut)
	t.requestRows(result)
	t.ruleRow(result)
	if result.Mode == lab.ModeLive {
		t.row("lateness of the lab", "p99 %.1f ms, at most %.1f ms%s", result.Lateness, result.MaxLateness, skippedText(result))
	}
	for _, name := range slices.Sorted(maps.Keys(result.Metrics)) {
		t.row(name, "%g", result.Metrics[name])
	}
	for _, class := range result.Classes {
		t.row("class "+class.Name, "%d requests, %.2f%% served in time", class.Requests, 100*class.ServedShare)
	}
	for _, fault := range result.Faults {
		t.row("fault", "%s, from %.1f s%s%s", fault.Fault, fault.FromS, endText(fault), measuredText(fault))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeViolations(w, result.Violations)
}

// requestRows writes the outcomes of the requests.
func (t table) requestRows(result *lab.Result) {
	percent := func(n int) float64 { return 100 * float64(n) / math.Max(float64(result.Requests), 1) }
	t.row("requests", "%d", result.Requests)
	t.row("  served in time", "%.2f%%  (by worth %.2f%%)", 100*result.ServedShare, 100*result.WeightedServedShare)
	t.row("  served late", "%.2f%%", percent(result.ServedLate))
	t.row("  refused", "%.2f%%  not executed, so a retry is safe", percent(result.Rejected))
	t.row("  failed", "%.2f%%", percent(result.Failed))
	t.row("  lost", "%.2f%%  no answer at all", percent(result.Unanswered))
	t.row("  client left", "%.2f%%", percent(result.ClientDisconnected))
	t.row("latency", "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", result.P50, result.P90, result.P99, result.P999)
	t.row("attempts at servers", "%.2f for each try; %d retries, %d new connections, %.1f%% to another zone",
		float64(result.Attempts)/math.Max(float64(result.ClientAttempts), 1),
		result.Retries, result.Handshakes, 100*result.CrossZoneShare)
}

// ruleRow writes the number of violations of each violated rule.
func (t table) ruleRow(result *lab.Result) {
	switch {
	case result.LateFaults > 0:
		t.row("rules broken", "not judged: %d fault(s) came over %.0f ms late, so this result does not show the experiment",
			result.LateFaults, lab.MaxFaultLatenessMS)
	case result.Overloaded && result.ViolationCount > 0:
		t.row("rules broken", "%d%s by the control plane; sidecars are not judged, this machine cannot play the load",
			result.ViolationCount, violationList(result, lab.ControlPlaneRules))
	case result.Overloaded:
		t.row("rules broken", "not judged: this machine cannot play the load, so this result does not show how sidecars behave")
	default:
		t.row("rules broken", "%d%s", result.ViolationCount, violationList(result, lab.Rules))
	}
}

// writeViolations writes each violation with the history of its request.
func writeViolations(w io.Writer, violations []lab.Violation) error {
	for _, violation := range violations {
		_, err := fmt.Fprintf(w, "\nrule %s broken at %.0f ms: %s\n", violation.Rule, violation.AtMS, violation.Detail)
		if err != nil {
			return err
		}
		for _, line := range violation.History {
			if _, err := fmt.Fprintln(w, "   ", line); err != nil {
				return err
			}
		}
	}
	return nil
}

func endText(fault lab.FaultInterval) string {
	if fault.ToS == 0 {
		return ""
	}
	return fmt.Sprintf(" to %.1f s", fault.ToS)
}

// measuredText returns when a fault was in force and when it had ended, if that was measured.
func measuredText(fault lab.FaultInterval) string {
	text := ""
	if fault.InForceS != nil {
		text += fmt.Sprintf(", in force at %.3f s", *fault.InForceS)
	}
	if fault.EndedS != nil {
		text += fmt.Sprintf(", ended at %.3f s", *fault.EndedS)
	}
	if fault.Late {
		text += ", LATE"
	}
	return text
}

func skippedText(result *lab.Result) string {
	if result.SkippedLate == 0 {
		return ""
	}
	return fmt.Sprintf("; %d requests not sent because the lab was too late", result.SkippedLate)
}

// violationList returns, in parentheses, the violated rules among the given rules with the number of violations of each.
func violationList(result *lab.Result, rules []lab.Rule) string {
	var parts []string
	for _, rule := range rules {
		if count := result.ViolationsByRule[rule]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", rule, count))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// WriteComparison writes the results of several runs of a plan side by side.
func WriteComparison(w io.Writer, results []*lab.Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tworth served\tp50 ms\tp99 ms\trefused\tlost\tretries\thandshakes\tcross-zone\trules broken\t")
	for _, result := range results {
		name := result.Policy
		if result.Mode == lab.ModeLive {
			name += " (run)"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.3f\t%d\t\n",
			name, result.WeightedServedShare, result.P50, result.P99, result.Rejected, result.Unanswered,
			result.Retries, result.Handshakes, result.CrossZoneShare, result.ViolationCount)
	}
	return t.Flush()
}

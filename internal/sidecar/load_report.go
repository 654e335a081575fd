package sidecar

import (
	"slices"
	"strconv"
	"strings"
)

// maxReportValue is larger than any valid value of a load report.
const maxReportValue = 1e9

// parseLoadReport parses a load report, "name=value,name=value", and returns the values in the order of names. It returns
// nil if a value is missing, duplicated or invalid: the balancer keeps running means of these values, and after a NaN a
// mean would stay NaN.
func parseLoadReport(text string, names []string) []float32 {
	if text == "" || len(names) == 0 {
		return nil
	}
	report, present := make([]float32, len(names)), make([]bool, len(names))
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		number, err := strconv.ParseFloat(value, 32)
		valid := err == nil && number >= 0 && number <= maxReportValue
		if !valid || present[i] {
			return nil
		}
		report[i], present[i] = float32(number), true
	}
	if slices.Contains(present, false) {
		return nil
	}
	return report
}

package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"milldeck/internal/lab"
)

// maxLineBytes bounds the size of a result in a file with one result on each line.
const maxLineBytes = 64 << 20

// confidenceQuantile is the quantile of Student's t distribution for a two-sided 95% interval.
const confidenceQuantile = 0.975

// ReadResults reads the results in a file: a JSON object, or one on each line as a sweep writes them. An incomplete last
// line, of a sweep that was interrupted, is ignored.
func ReadResults(path string) ([]*lab.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var single lab.Result
	if err := json.Unmarshal(data, &single); err == nil {
		return []*lab.Result{&single}, nil
	}
	return readLines(path, data)
}

// readLines reads results from lines of JSON. The path is for errors.
func readLines(path string, data []byte) ([]*lab.Result, error) {
	var results []*lab.Result
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxLineBytes)
	var invalid error // error of the previous line
	for n := 1; lines.Scan(); n++ {
		if invalid != nil {
			return nil, invalid
		}
		var result lab.Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			invalid = fmt.Errorf("%s: line %d: %w", path, n, err)
			continue
		}
		results = append(results, &result)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("%s: the file contains no result of a lab run: %w", path, invalid)
	}
	return results, nil
}

// MetricDifference is the mean change of a metric from A to B over pairs of runs with the same seed. HalfInterval is half of
// the 95% confidence interval of the mean (Student's t); it is absent with one pair.
type MetricDifference struct {
	Metric         string  `json:"figure"`
	A              float64 `json:"a"`
	B              float64 `json:"b"`
	MeanDifference float64 `json:"difference"`
	HalfInterval   float64 `json:"interval,omitempty"`
	Significant    bool    `json:"clear"` // the interval does not contain zero
}

// ErrNoPairs means that two sets of runs have no seed in common.
var ErrNoPairs = errors.New("no two runs with the same seed")

// comparedMetrics are the metrics of a comparison, in the order of its table.
var comparedMetrics = []struct {
	name  string
	value func(*lab.Result) float64
}{
	{"worth_share", func(r *lab.Result) float64 { return r.WeightedServedShare }},
	{"served_share", func(r *lab.Result) float64 { return r.ServedShare }},
	{"p50_ms", func(r *lab.Result) float64 { return r.P50 }},
	{"p90_ms", func(r *lab.Result) float64 { return r.P90 }},
	{"p99_ms", func(r *lab.Result) float64 { return r.P99 }},
	{"lost", func(r *lab.Result) float64 { return float64(r.Unanswered) }},
	{"refused", func(r *lab.Result) float64 { return float64(r.Rejected) }},
	{"broken_rules", func(r *lab.Result) float64 { return float64(r.ViolationCount) }},
	{"attempts", func(r *lab.Result) float64 { return float64(r.Attempts) }},
	{"handshakes", func(r *lab.Result) float64 { return float64(r.Handshakes) }},
	{"cross_zone_share", func(r *lab.Result) float64 { return r.CrossZoneShare }},
}

// resultPair is two results with the same seed.
type resultPair struct{ a, b *lab.Result }

// Compare compares two sets of runs, paired by seed, and returns the number of pairs. It returns ErrNoPairs if there are none.
func Compare(a, b []*lab.Result) ([]MetricDifference, int, error) {
	pairs := pairBySeed(a, b)
	if len(pairs) == 0 {
		return nil, 0, ErrNoPairs
	}
	var differences []MetricDifference
	for _, metric := range comparedMetrics {
		difference := compareMetric(pairs, metric.value)
		difference.Metric = metric.name
		differences = append(differences, difference)
	}
	return differences, len(pairs), nil
}

// pairBySeed pairs the results with the same seed, in the order of the second set.
func pairBySeed(a, b []*lab.Result) []resultPair {
	bySeed := map[uint64]*lab.Result{}
	for _, result := range a {
		bySeed[result.Seed] = result
	}
	var pairs []resultPair
	for _, result := range b {
		if other := bySeed[result.Seed]; other != nil {
			pairs = append(pairs, resultPair{other, result})
		}
	}
	return pairs
}

// compareMetric returns the mean values of a metric and their difference.
func compareMetric(pairs []resultPair, value func(*lab.Result) float64) MetricDifference {
	count := float64(len(pairs))
	var difference MetricDifference
	var changes []float64
	for _, pair := range pairs {
		difference.A += value(pair.a) / count
		difference.B += value(pair.b) / count
		changes = append(changes, value(pair.b)-value(pair.a))
	}
	mean, deviation := stat.MeanStdDev(changes, nil)
	difference.MeanDifference = mean
	if count > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 1}.Quantile(confidenceQuantile)
		difference.HalfInterval = t * deviation / math.Sqrt(count)
		difference.Significant = math.Abs(mean) > difference.HalfInterval
	}
	return difference
}

// WriteDiff writes the differences of a number of pairs as a table.
func WriteDiff(w io.Writer, differences []MetricDifference, pairs int) error {
	fmt.Fprintf(w, "%d pair(s) of runs with the same seed; differences are B - A", pairs)
	if pairs > 1 {
		fmt.Fprint(w, ", with the 95% interval of their mean")
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tA\tB\tB - A\tinterval\t\t")
	for _, d := range differences {
		interval, significance := "-", ""
		if pairs > 1 {
			interval = fmt.Sprintf("±%.4g", d.HalfInterval)
			if d.Significant {
				significance = "clear"
			}
		}
		fmt.Fprintf(t, "%s\t%.5g\t%.5g\t%+.4g\t%s\t%s\t\n", d.Metric, d.A, d.B, d.MeanDifference, interval, significance)
	}
	return t.Flush()
}

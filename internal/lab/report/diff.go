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

// maxLineBytes bounds one result in a file, in bytes.
const maxLineBytes = 64 << 20

// ReadResults reads the results in a file: one JSON object, or one on each line as a sweep writes them. A torn last
// line, of a sweep that was cut off, is left out.
func ReadResults(path string) ([]*lab.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var one lab.Result
	if err := json.Unmarshal(data, &one); err == nil {
		return []*lab.Result{&one}, nil
	}
	var out []*lab.Result
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxLineBytes)
	var torn error
	for n := 1; lines.Scan(); n++ {
		if torn != nil {
			return nil, torn
		}
		var r lab.Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			torn = fmt.Errorf("%s: line %d: %w", path, n, err)
			continue
		}
		out = append(out, &r)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no result of a lab run: %w", path, torn)
	}
	return out, nil
}

// MetricDifference is what changed from A to B in one figure, in the mean over pairs of the same seed, with the 95%
// interval of the mean (Student's t); with one pair there is no interval.
type MetricDifference struct {
	Metric         string  `json:"figure"`
	A              float64 `json:"a"`
	B              float64 `json:"b"`
	MeanDifference float64 `json:"difference"`
	HalfInterval   float64 `json:"interval,omitempty"`
	Significant    bool    `json:"clear"` // the interval leaves out zero
}

// ErrNoPairs is given where two sets of runs share no seed.
var ErrNoPairs = errors.New("no two runs with the same seed")

var comparedMetrics = []struct {
	name string
	of   func(*lab.Result) float64
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

// Compare compares runs pair by pair.
func Compare(a, b []*lab.Result) ([]MetricDifference, int, error) {
	bySeed := map[uint64]*lab.Result{}
	for _, r := range a {
		bySeed[r.Seed] = r
	}
	var pairs [][2]*lab.Result
	for _, r := range b {
		if other := bySeed[r.Seed]; other != nil {
			pairs = append(pairs, [2]*lab.Result{other, r})
		}
	}
	if len(pairs) == 0 {
		return nil, 0, ErrNoPairs
	}
	var out []MetricDifference
	for _, f := range comparedMetrics {
		d := MetricDifference{Metric: f.name}
		var diffs []float64
		for _, p := range pairs {
			d.A += f.of(p[0]) / float64(len(pairs))
			d.B += f.of(p[1]) / float64(len(pairs))
			diffs = append(diffs, f.of(p[1])-f.of(p[0]))
		}
		mean, dev := stat.MeanStdDev(diffs, nil)
		d.MeanDifference = mean
		if n := float64(len(pairs)); n > 1 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
			d.HalfInterval = t * dev / math.Sqrt(n)
			d.Significant = math.Abs(mean) > d.HalfInterval
		}
		out = append(out, d)
	}
	return out, len(pairs), nil
}

// WriteDiff writes differences as a table.
func WriteDiff(w io.Writer, diffs []MetricDifference, pairs int) error {
	fmt.Fprintf(w, "%d pair(s) of runs with the same seed; differences are B - A", pairs)
	if pairs > 1 {
		fmt.Fprint(w, ", with the 95% interval of their mean")
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tA\tB\tB - A\tinterval\t\t")
	for _, d := range diffs {
		interval, word := "-", ""
		if pairs > 1 {
			interval = fmt.Sprintf("±%.4g", d.HalfInterval)
			if d.Significant {
				word = "clear"
			}
		}
		fmt.Fprintf(t, "%s\t%.5g\t%.5g\t%+.4g\t%s\t%s\t\n", d.Metric, d.A, d.B, d.MeanDifference, interval, word)
	}
	return t.Flush()
}

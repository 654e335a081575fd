package report

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milldeck/internal/lab"
)

func result(seed uint64, worth float64) *lab.Result {
	return &lab.Result{
		Name: "r", Seed: seed, DurationSeconds: 2, WeightedServedShare: worth, WindowMS: 1000, AttemptsByResult: map[string]int{"served": 9},
		Windows: []lab.Window{{AtS: 0, WeightedServedShare: 1, AttemptsByZone: []int{3, 4}}, {AtS: 1, WeightedServedShare: worth, AttemptsByZone: []int{2, 5}}},
		Faults:  []lab.FaultInterval{{Fault: "zone-lost zone:b", FromS: 1, ToS: 1.5}},
	}
}

// TestComparePairsRunsBySeed checks that runs are paired by seed. In an unpaired comparison, the differences between seeds
// hide the differences between two programs.
func TestComparePairsRunsBySeed(t *testing.T) {
	a := []*lab.Result{result(1, 0.2), result(2, 0.5), result(3, 0.9), result(9, 0)}
	b := []*lab.Result{result(3, 0.93), result(2, 0.52), result(1, 0.21)}
	diffs, pairs, err := Compare(a, b)
	if err != nil || pairs != 3 {
		t.Fatal(pairs, err)
	}
	// Differences 0.01, 0.02, 0.03: mean 0.02, deviation 0.01, Student's t at 2 degrees 4.3027.
	d := diffs[0]
	if d.Metric != "worth_share" || math.Abs(d.MeanDifference-0.02) > 1e-9 || math.Abs(d.HalfInterval-4.3027*0.01/math.Sqrt(3)) > 1e-5 || d.Significant {
		t.Errorf("%+v", d)
	}
	if _, _, err := Compare(a, []*lab.Result{result(77, 1)}); !errors.Is(err, ErrNoPairs) {
		t.Error(err)
	}
}

func TestReportContainsPlots(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	if err := WriteReport(dir, result(1, 0.8)); err != nil {
		t.Fatal(err)
	}
	md, err := os.ReadFile(filepath.Join(dir, "report.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"worth.svg", "latency.svg", "attempts.svg", "zones.svg"} {
		svg, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !strings.Contains(string(svg), "<svg") || !strings.Contains(string(md), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

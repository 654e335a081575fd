package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/goldentest"
)

// fixturePlans names the plan files in testdata, without their extension.
var fixturePlans = []string{"complete", "minimal", "sidecar"}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// The stored JSON of a plan file and the plan's hash must not change between builds.
func TestPlansAreStoredAsBefore(t *testing.T) {
	for _, name := range fixturePlans {
		t.Run(name, func(t *testing.T) {
			p, err := Load(goldentest.Path(name + ".toml"))
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Compare(t, name+".json", encode(t, p))
			goldentest.Compare(t, name+".hash", fmt.Appendln(nil, p.Hash()))
		})
	}
}

// A plan that an earlier build has stored decodes without unknown fields, encodes to the same bytes and keeps its hash.
func TestStoredPlansAreRead(t *testing.T) {
	for _, name := range fixturePlans {
		t.Run(name, func(t *testing.T) {
			stored := goldentest.Read(t, name+".json")
			var p Plan
			goldentest.DecodeStrictly(t, stored, &p)
			if reencoded := encode(t, &p); !bytes.Equal(reencoded, stored) {
				t.Errorf("plan encoded again:\n got %s\nwant %s", reencoded, stored)
			}
			if hash := fmt.Appendln(nil, p.Hash()); !bytes.Equal(hash, goldentest.Read(t, name+".hash")) {
				t.Errorf("hash %s, want %s", hash, goldentest.Read(t, name+".hash"))
			}
		})
	}
}

// The JSON that `release check --json` prints must not change, whether the plan is feasible, is never allowed by the budgets,
// or selects no units.
func TestDryRunsArePrintedAsBefore(t *testing.T) {
	count, none, share := 1, 0, 0.25
	large := disruption.Unit{
		ID: "server/large", Kind: disruption.KindServer, Model: "loan", Zone: "c", PodGroup: 9, Capacity: 7,
		Condition: disruption.ConditionWarmingUp,
	}
	for _, c := range []struct {
		name, plan string
		units      []disruption.Unit
		budgets    []disruption.Budget
	}{
		{"fits", "complete", testUnits(2, 20), []disruption.Budget{
			{Name: "all", MaxUnavailable: disruption.Limit{Fraction: &share}}}},
		{"refused", "complete", append(testUnits(2, 4), large), []disruption.Budget{
			{Name: "warm", MaxWarmingUp: disruption.Limit{Count: &count}},
			{Name: "shut", Selector: disruption.Selector{Zone: "a"}, MaxUnavailable: disruption.Limit{Count: &none}}}},
		{"none", "sidecar", testUnits(1, 3), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := Load(goldentest.Path(c.plan + ".toml"))
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Compare(t, "preview-"+c.name+".json", encode(t, NewPreview(p, c.units, c.budgets)))
		})
	}
}

package plan

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"milldeck/internal/disruption"
)

// updateFixtures rewrites the golden files from what the code under test writes. A difference means that a stored plan, its
// hash or a client of the dry run's JSON no longer agrees with this version.
var updateFixtures = flag.Bool("update", false, "write the golden files in testdata")

// fixturePlans are the plan files in testdata, without their extension.
var fixturePlans = []string{"complete", "minimal", "sidecar"}

func checkGolden(t *testing.T, name string, data []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateFixtures {
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := readGolden(t, name); !bytes.Equal(data, want) {
		t.Errorf("%s:\n got %s\nwant %s", path, data, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// A plan file is stored as the same JSON, under the same hash.
func TestPlansAreStoredAsBefore(t *testing.T) {
	for _, name := range fixturePlans {
		t.Run(name, func(t *testing.T) {
			p, err := Load(filepath.Join("testdata", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, name+".json", encode(t, p))
			checkGolden(t, name+".hash", fmt.Appendln(nil, p.Hash()))
		})
	}
}

// A stored plan is read without an unknown field, is written again as the same bytes, and keeps its hash.
func TestStoredPlansAreRead(t *testing.T) {
	for _, name := range fixturePlans {
		t.Run(name, func(t *testing.T) {
			stored := readGolden(t, name+".json")
			decoder := json.NewDecoder(bytes.NewReader(stored))
			decoder.DisallowUnknownFields()
			var p Plan
			if err := decoder.Decode(&p); err != nil {
				t.Fatal(err)
			}
			if again := encode(t, &p); !bytes.Equal(again, stored) {
				t.Errorf("read and written again:\n got %s\nwant %s", again, stored)
			}
			if hash := fmt.Appendln(nil, p.Hash()); !bytes.Equal(hash, readGolden(t, name+".hash")) {
				t.Errorf("hash %s, want %s", hash, readGolden(t, name+".hash"))
			}
		})
	}
}

// The dry run's JSON, which `release check --json` prints, is as before: for a fleet that the plan fits, and for one whose
// budgets can never allow it.
func TestDryRunsArePrintedAsBefore(t *testing.T) {
	count, none, share := 1, 0, 0.25
	for _, c := range []struct {
		name, plan string
		units      []disruption.Unit
		budgets    []disruption.Budget
	}{
		{"fits", "complete", testUnits(2, 20), []disruption.Budget{{Name: "all", MaxUnavailable: disruption.Limit{Fraction: &share}}}},
		{"refused", "complete", append(testUnits(2, 4), disruption.Unit{ID: "server/large", Kind: disruption.KindServer, Model: "loan",
			Zone: "c", PodGroup: 9, Capacity: 7, Condition: disruption.ConditionWarmingUp}), []disruption.Budget{
			{Name: "warm", MaxWarmingUp: disruption.Limit{Count: &count}},
			{Name: "shut", Selector: disruption.Selector{Zone: "a"}, MaxUnavailable: disruption.Limit{Count: &none}}}},
		{"none", "sidecar", testUnits(1, 3), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := Load(filepath.Join("testdata", c.plan+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, "preview-"+c.name+".json", encode(t, NewPreview(p, c.units, c.budgets)))
		})
	}
}

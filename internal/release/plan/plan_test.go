package plan

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/disruption"
)

const validPlan = `name = "server-3"
on_halt = "back"
deadline_s = 1800

[what]
server = "3"

[select]
model = "loan"

[[wave]]
count = 1
zone = "a"
bake_s = 30
widen = 2

[[wave]]
share = 0.25
bake_s = 60

[[wave]]
bake_s = 60

[limits]
max_out = { share = 0.1 }

[guards]
failed = 0.01
`

func mustParse(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := Parse("p.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	if _, err := Parse("p.toml", []byte(validPlan)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", "bake_s = 30", "bake = 30", "p.toml:14: wave.bake: unknown key"},
		{"no name", `name = "server-3"`, ``, "p.toml: name: "},
		{"name that is a path", "server-3", "../x", "p.toml:1: name: "},
		{"nothing to release", `server = "3"`, ``, "p.toml:5: what: nothing to release"},
		{"servers and sidecars", `server = "3"`, "server = \"3\"\nsidecar = \"4\"", "p.toml:6: what.server: "},
		{"kind", `model = "loan"`, `kind = "sidecar"`, "p.toml:9: select.kind: "},
		{"select by version", `model = "loan"`, `version = "2"`, "p.toml:9: select.version: "},
		{"count and share", "count = 1", "count = 1\nshare = 0.5", "p.toml:13: wave[0].share: "},
		{"share", "share = 0.25", "share = 1.25", "p.toml:18: wave[1].share: 1.25"},
		{"on_halt", `"back"`, `"forth"`, "p.toml:2: on_halt: "},
		{"no deadline", "deadline_s = 1800", "", "p.toml: deadline_s: "},
		{"deadline shorter than the bakes", "1800", "150", "p.toml:3: deadline_s: 150 s, but the waves alone"},
		{"nan", "1800", "nan", "p.toml:3: deadline_s: "},
		{"limit", "share = 0.1 }", "count = 0 }", "p.toml:25: limits.max_out.count: "},
		{"guard", "failed = 0.01", "failed = -0.01", "p.toml:28: guards.failed: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(validPlan, c.from) {
				t.Fatalf("%q is not in the plan", c.from)
			}
			_, err := Parse("p.toml", []byte(strings.Replace(validPlan, c.from, c.to, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with the prefix %q", err, c.want)
			}
		})
	}
}

func TestEditedPlanHasDifferentHash(t *testing.T) {
	original := mustParse(t, validPlan)
	commented := mustParse(t, "# words\n"+validPlan)
	edited := mustParse(t, strings.Replace(validPlan, "count = 1", "count = 2", 1))
	if original.Hash() != commented.Hash() || original.Hash() == edited.Hash() {
		t.Errorf("hashes %s, %s with a comment, %s with another count", original.Hash(), commented.Hash(), edited.Hash())
	}
}

func testUnits(zones, unitsPerZone int) (units []disruption.Unit) {
	for zone := range zones {
		for i := range unitsPerZone {
			units = append(units, disruption.Unit{ID: fmt.Sprintf("server/%c%03d", 'a'+zone, i), Kind: disruption.KindServer,
				Zone: string(rune('a' + zone)), Model: "loan", PodGroup: i / 4, Capacity: 1, Condition: disruption.ConditionUp})
		}
	}
	return units
}

func TestPreview(t *testing.T) {
	p := mustParse(t, validPlan)
	share := 0.1
	budget := disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Fraction: &share}}
	preview := NewPreview(p, testUnits(2, 20), []disruption.Budget{budget})
	if len(preview.Infeasible) > 0 || preview.MaxUnavailable != 4 || preview.WarmUpCapacity != 40 {
		t.Errorf("infeasible %q, MaxUnavailable %d, WarmUpCapacity %v; want none, 4, 40",
			preview.Infeasible, preview.MaxUnavailable, preview.WarmUpCapacity)
	}
	var sizes []int
	for i := range preview.Waves {
		sizes = append(sizes, len(preview.Waves[i].Units))
	}
	if !reflect.DeepEqual(sizes, []int{1, 10, 29}) {
		t.Errorf("waves of %v units, want 1, 10, 29", sizes)
	}
	if remaining := preview.RemainingCapacity[""]; remaining != (Capacity{36, 40}) {
		t.Errorf("remaining capacity %+v, want 36 of 40", remaining)
	}
}

func TestInfeasibleBudgetsAreReported(t *testing.T) {
	one, small := 1, 0.04
	big := disruption.Unit{ID: "server/big", Kind: disruption.KindServer, Model: "loan", Zone: "a", Capacity: 9}
	for _, c := range []struct {
		name, from, to string
		budget         disruption.Budget
		units          []disruption.Unit
		want           string
	}{
		{"share rounds down to none", "", "", disruption.Budget{Name: "zone-a", Selector: disruption.Selector{Zone: "a"},
			MaxUnavailable: disruption.Limit{Fraction: &small}}, nil, `budget "zone-a": max_out allows 0 of its 20 units`},
		{"a unit too large to warm up", "", "", disruption.Budget{Name: "warm", MaxWarmingUp: disruption.Limit{Count: &one}},
			append(testUnits(2, 20), big),
			`budget "warm": max_cold allows a capacity of 1.2 cold, and server/big alone is 9`},
		{"a pod group of one", "", "", disruption.Budget{}, testUnits(1, 21), "pod group 5 is server/a020 alone"},
		{"units in no wave", "[[wave]]\nbake_s = 60", "", disruption.Budget{}, nil, "29 of 40 units are in no wave"},
		{"none selected", `"loan"`, `"none"`, disruption.Budget{}, nil, "selects no server"},
		{"an empty wave", `zone = "a"`, `zone = "q"`, disruption.Budget{}, nil, "wave[0] has no units"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := mustParse(t, strings.Replace(validPlan, c.from, c.to, 1))
			if c.units == nil {
				c.units = testUnits(2, 20)
			}
			preview := NewPreview(p, c.units, []disruption.Budget{c.budget})
			contains := func(line string) bool { return strings.Contains(line, c.want) }
			if !slices.ContainsFunc(preview.Infeasible, contains) {
				t.Errorf("infeasible %q, want an entry that contains %q", preview.Infeasible, c.want)
			}
		})
	}
}

// Guards against units that are updated twice or never: for any fleet, each unit is in exactly one wave, and the waves do not
// depend on the order of the units.
func TestWavesPartitionUnits(t *testing.T) {
	p := mustParse(t, validPlan)
	rapid.Check(t, func(t *rapid.T) {
		units := testUnits(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 30).Draw(t, "unitsPerZone"))
		waves := AssignWaves(p, SelectUnits(p, units))
		wavesOfPermutation := AssignWaves(p, SelectUnits(p, rapid.Permutation(units).Draw(t, "order")))
		if !reflect.DeepEqual(waves, wavesOfPermutation) {
			t.Fatal("the waves depend on the order of the units")
		}
		seen := map[string]bool{}
		for _, ids := range waves {
			for _, id := range ids {
				if seen[id] {
					t.Fatalf("%s is in two waves", id)
				}
				seen[id] = true
			}
		}
		if len(seen) != len(units) {
			t.Fatalf("%d of %d units are in waves", len(seen), len(units))
		}
	})
}

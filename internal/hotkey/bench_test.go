package hotkey

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"milldeck/internal/placement"
)

// BenchmarkFigures measures the figures of docs/hot-keys.md over many seeds:
//
//	go test -run xxx -bench Figures -benchtime 1x ./internal/hotkey
func BenchmarkFigures(b *testing.B) {
	const seeds = 200
	for range b.N {
		var active, relieved []float64
		maxBudgetUse := 0.0
		for seed := range uint64(seeds) {
			cluster, c, r := simulateOnset(b, manySidecars, 1000+seed, testConfig(), 20)
			cluster.checkInvariants("onset")
			active, relieved = append(active, c), append(relieved, r)
			maxBudgetUse = max(maxBudgetUse, cluster.warmupWork/(cluster.warmupBudget()*(cluster.now+1)))
		}
		slices.Sort(active)
		slices.Sort(relieved)
		for _, q := range []int{50, 99} {
			b.ReportMetric(active[seeds*q/100], fmt.Sprintf("s-to-carry-p%d", q))
			b.ReportMetric(relieved[seeds*q/100], fmt.Sprintf("s-to-relief-p%d", q))
		}
		b.ReportMetric(maxBudgetUse, "cold-work-of-budget")
		detected := 0
		for seed := range uint64(seeds) {
			if isDetected(b, manySidecars, seed, 1.4+3*float64(seed)/seeds) {
				detected++
			}
		}
		b.ReportMetric(float64(detected)/seeds, "found")
		falsePositives := 0
		for _, name := range slices.Sorted(maps.Keys(noHotKeyScenarios)) {
			for seed := range uint64(seeds / 2) {
				if !replicatesNoKey(b, manySidecars, name, seed, nil) {
					b.Logf("a key was replicated without a hot key: %s, seed %d", name, seed)
					falsePositives++
				}
			}
		}
		b.ReportMetric(float64(falsePositives)/float64(len(noHotKeyScenarios)*seeds/2), "false-spreads")
	}
}

// BenchmarkPlan measures one plan with reports of 32 keys from each of 300 sidecars, and 8 keys replicated over 2,000
// servers. A tenth of the reports is new in each plan.
func BenchmarkPlan(b *testing.B) {
	planner := newPlanner(DefaultConfig(testServerCapacity, testRequestWork))
	var servers []Server
	for i := range 2000 {
		servers = append(servers, Server{UID: fmt.Sprint("server-", i), Zone: fmt.Sprint(i % 3), PodGroup: i / 8, Capacity: 1, Ready: true})
	}
	planner.SetServers(servers)
	rng := rand.New(rand.NewPCG(1, 1))
	var reports []*placement.LoadReport
	for i := range manySidecars {
		r := &placement.LoadReport{Sidecar: fmt.Sprint(i), TotalKeyLoad: 4000}
		for k := range uint64(placement.MaxHotKeys) {
			if k < 8 {
				r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: FormatKey(k + 1), Load: 300})
			} else {
				r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: FormatKey(rng.Uint64N(10_000) + 100), Load: 30 + float64(k)/100})
			}
		}
		reports = append(reports, r)
	}
	now, revision := float64(startTime), uint64(0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now += 0.1
		for i := n % 10; i < len(reports); i += 10 {
			reports[i].PlacementRevision = revision
			planner.AddReport(now, reports[i])
		}
		for _, change := range planner.Plan(now) {
			revision++
			if change.Set != nil {
				planner.Confirm(change.Set.ID, revision)
			} else {
				planner.Confirm(change.RemoveID, revision)
			}
		}
	}
	b.ReportMetric(float64(len(planner.keys)), "keys")
	b.ReportMetric(float64(planner.replicaCount()), "copies")
}

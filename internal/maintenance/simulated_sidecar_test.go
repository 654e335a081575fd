package maintenance

import (
	"maps"
	"slices"

	"milldeck/internal/placement"
)

type simulatedSidecar struct {
	name        string
	clock       simulatedClock
	partitioned bool
	revision    uint64
	active      map[string]*activeExclusion // by directive ID
}

// activeExclusion is an exclusion directive that a sidecar follows.
type activeExclusion struct {
	directive   placement.Directive
	startMS     int64
	endMS       int64 // expiry by the sidecar's clock
	drainedAtMS int64 // time at which the last request in flight is answered
}

// publishDirective delivers a directive to the sidecars that are reachable. The replica that sends it computes
// the remaining time by its own clock.
func (sim *simulation) publishDirective(directive placement.Directive) {
	if agreed := sim.oracle.agreed[directive.Tenant]; agreed[len(agreed)-1].withdrawn {
		sim.oracle.violations = append(sim.oracle.violations, directive.Tenant+" gets an exclusion after its contract ended")
	}
	for _, sidecar := range sim.sidecars {
		remainingMS := directive.ExpiresAtMS - (sim.nowMS + sim.leaderClock.offsetMS)
		sim.schedule(5+sim.random.Int64N(300), func() {
			if sidecar.partitioned || sim.registryDown && sim.random.IntN(2) == 0 {
				return
			}
			sidecar.revision = max(sidecar.revision, directive.Revision)
			endMS := min(directive.ExpiresAtMS-sidecar.clock.offsetMS, sim.nowMS+min(remainingMS, ExclusionTTLMS))
			if endMS <= sim.nowMS {
				return
			}
			exclusion := sidecar.active[directive.ID]
			if exclusion != nil && exclusion.endMS <= sim.nowMS {
				sim.endExclusion(sidecar, exclusion)
				exclusion = nil
			}
			if exclusion == nil {
				exclusion = &activeExclusion{startMS: sim.nowMS, drainedAtMS: sim.nowMS + 3000 + sim.random.Int64N(40_000)}
				sidecar.active[directive.ID] = exclusion
			}
			exclusion.directive, exclusion.endMS = directive, endMS
		})
	}
}

func (sim *simulation) deleteDirective(id string) {
	for _, sidecar := range sim.sidecars {
		sim.schedule(5+sim.random.Int64N(300), func() {
			if exclusion := sidecar.active[id]; exclusion != nil && !sidecar.partitioned && !sim.registryDown {
				exclusion.endMS = min(exclusion.endMS, sim.nowMS)
				sim.endExclusion(sidecar, exclusion)
			}
		})
	}
}

func (sim *simulation) endExclusion(sidecar *simulatedSidecar, exclusion *activeExclusion) {
	delete(sidecar.active, exclusion.directive.ID)
	sim.oracle.recordExclusion(exclusion.directive.Tenant, exclusion.startMS, exclusion.endMS)
}

func (sim *simulation) deliverReports(controller *simulatedController, now ClockReading) {
	for _, sidecar := range sim.sidecars {
		if sidecar.partitioned || sim.registryDown {
			continue
		}
		report := placement.LoadReport{Sidecar: sidecar.name, PlacementRevision: sidecar.revision, ExcludedInFlight: map[string]int{}}
		for _, id := range slices.Sorted(maps.Keys(sidecar.active)) {
			exclusion := sidecar.active[id]
			if exclusion.endMS <= sim.nowMS {
				sim.endExclusion(sidecar, exclusion)
				continue
			}
			report.ExcludedInFlight[id] = 0
			if exclusion.drainedAtMS > sim.nowMS {
				report.ExcludedInFlight[id] = 1
			}
		}
		controller.reconciler.ObserveReport(now, report)
	}
}

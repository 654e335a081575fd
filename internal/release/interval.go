package release

import (
	"cmp"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// CohortID is the placement's entry that has sidecars count the new version's servers apart.
func (s *State) CohortID() string { return "cohort/" + s.Name }

// UpdatedUnits are the names of the units that are on the new version, or on their way up on it, in order.
func (s *State) UpdatedUnits() []string {
	var names []string
	for i := range s.Units {
		if unit := &s.Units[i]; !unit.Rollback && (unit.Stage == StageConverged || unit.Stage == StageWarmingUp) {
			names = append(names, unit.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Interval makes an interval for the judge of reports that came in one second, one of each sidecar at most, and of units
// as the platform lists them. Expected is how many sidecars live. For servers the reports' cohorts say what met the new
// version, for sidecars who reports. Restarts are those since the list before.
func (s *State) Interval(reports []placement.LoadReport, expected int, previousList, currentList *supervisor.List) judge.Interval {
	updated := map[string]bool{}
	for _, name := range s.UpdatedUnits() {
		updated[name] = true
	}
	servers := s.unitKind() == disruption.KindServer
	samples := map[[2]string]*judge.ClassSample{}
	for i := range reports {
		report := &reports[i]
		for j := range report.ClassCounts {
			count := &report.ClassCounts[j]
			zone, canary := count.Zone, updated[report.Sidecar]
			switch {
			case !servers:
				zone = report.Zone // a sidecar is compared with those beside it
			case count.Cohort != "" && count.Cohort != s.Name:
				continue // what another release moves is neither
			default:
				canary = count.Cohort == s.Name
			}
			key := [2]string{zone, count.Class}
			pair := samples[key]
			if pair == nil {
				pair = &judge.ClassSample{Class: count.Class, Zone: zone}
				samples[key] = pair
			}
			side := &pair.Baseline
			if canary {
				side = &pair.Canary
			}
			addCounts(side, count)
		}
	}
	interval := judge.Interval{ExpectedReports: expected, ReceivedReports: len(reports), Zones: s.zoneSamples(updated, previousList, currentList)}
	for _, pair := range samples {
		interval.Classes = append(interval.Classes, *pair)
	}
	slices.SortFunc(interval.Classes, func(a, b judge.ClassSample) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
	})
	return interval
}

func addCounts(total *judge.Counts, count *placement.ClassCount) {
	total.Served += count.Succeeded
	total.Late += count.Late
	total.Failed += count.Failed
	for len(total.LatencyHistogram) < len(count.LatencyHistogram) {
		total.LatencyHistogram = append(total.LatencyHistogram, 0)
	}
	for i, requests := range count.LatencyHistogram {
		total.LatencyHistogram[i] += requests
	}
}

// zoneSamples counts units and their restarts by zone, the new and the old of the release's kind. Memory is not known here.
func (s *State) zoneSamples(updated map[string]bool, previousList, currentList *supervisor.List) []judge.ZoneSample {
	if currentList == nil {
		return nil
	}
	zones := map[string]*judge.ZoneSample{}
	for i := range currentList.Units {
		unit := &currentList.Units[i]
		if unit.Kind != s.platformKind() || unit.State != supervisor.Running && unit.State != supervisor.Starting {
			continue
		}
		sample := zones[unit.Zone]
		if sample == nil {
			sample = &judge.ZoneSample{Zone: unit.Zone}
			zones[unit.Zone] = sample
		}
		side := &sample.Baseline
		if updated[unit.Name] {
			side = &sample.Canary
		}
		side.Units++
		if previousList == nil || previousList.Epoch != currentList.Epoch {
			continue
		}
		if previous := previousList.Find(unit.Name); previous != nil && previous.Incarnation == unit.Incarnation {
			side.Restarts += unit.Restarts - previous.Restarts
		}
	}
	var samples []judge.ZoneSample
	for _, sample := range zones {
		samples = append(samples, *sample)
	}
	slices.SortFunc(samples, func(a, b judge.ZoneSample) int { return cmp.Compare(a.Zone, b.Zone) })
	return samples
}

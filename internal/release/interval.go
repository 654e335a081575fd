package release

import (
	"cmp"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// UpdatedUnits returns the sorted names of the units that run the target image or are warming up with it.
func (s *State) UpdatedUnits() []string {
	var names []string
	for i := range s.Units {
		unit := &s.Units[i]
		if !unit.Rollback && (unit.Stage == StageConverged || unit.Stage == StageWarmingUp) {
			names = append(names, unit.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Interval returns the observations of one interval for the judge. reports are the load reports that arrived in the
// interval, at most one per sidecar. expectedReports is the number of live sidecars. previousList and currentList are the
// platform's lists before and after the interval; either may be nil.
func (s *State) Interval(
	reports []placement.LoadReport, expectedReports int, previousList, currentList *supervisor.List,
) judge.Interval {
	updated := map[string]bool{}
	for _, name := range s.UpdatedUnits() {
		updated[name] = true
	}
	return judge.Interval{
		ExpectedReports: expectedReports,
		ReceivedReports: len(reports),
		Classes:         s.classSamples(reports, updated),
		Zones:           s.zoneSamples(updated, previousList, currentList),
	}
}

// stratum is a class of requests in a zone.
type stratum struct{ zone, class string }

// classSamples sums the reports' counts by zone and class, separately for updated and other units. The samples are sorted.
func (s *State) classSamples(reports []placement.LoadReport, updated map[string]bool) []judge.ClassSample {
	samples := map[stratum]*judge.ClassSample{}
	for i := range reports {
		for j := range reports[i].ClassCounts {
			count := &reports[i].ClassCounts[j]
			zone, canary, ok := s.classifyCount(&reports[i], count, updated)
			if !ok {
				continue
			}
			key := stratum{zone, count.Class}
			sample := samples[key]
			if sample == nil {
				sample = &judge.ClassSample{Class: count.Class, Zone: zone}
				samples[key] = sample
			}
			side := &sample.Baseline
			if canary {
				side = &sample.Canary
			}
			addCounts(side, count)
		}
	}
	var sorted []judge.ClassSample
	for _, sample := range samples {
		sorted = append(sorted, *sample)
	}
	slices.SortFunc(sorted, func(a, b judge.ClassSample) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
	})
	return sorted
}

// classifyCount returns the zone in which a count is compared and whether the count belongs to an updated unit (canary).
// In a release of servers the count's cohort decides; for a count of another release's cohort ok is false. In a release of
// sidecars the reporting sidecar decides, and it is compared with the sidecars of its own zone.
func (s *State) classifyCount(
	report *placement.LoadReport, count *placement.ClassCount, updated map[string]bool,
) (zone string, canary, ok bool) {
	if s.unitKind() != disruption.KindServer {
		return report.Zone, updated[report.Sidecar], true
	}
	if count.Cohort != "" && count.Cohort != s.Name {
		return "", false, false
	}
	return count.Zone, count.Cohort == s.Name, true
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

// zoneSamples counts the live units of the release's kind and their restarts by zone, separately for updated and other
// units. The samples are sorted. They contain no memory use, because the platform's list does not contain it.
func (s *State) zoneSamples(updated map[string]bool, previousList, currentList *supervisor.List) []judge.ZoneSample {
	if currentList == nil {
		return nil
	}
	samples := map[string]*judge.ZoneSample{}
	for i := range currentList.Units {
		unit := &currentList.Units[i]
		if unit.Kind != s.platformKind() || unit.State != supervisor.Running && unit.State != supervisor.Starting {
			continue
		}
		sample := samples[unit.Zone]
		if sample == nil {
			sample = &judge.ZoneSample{Zone: unit.Zone}
			samples[unit.Zone] = sample
		}
		side := &sample.Baseline
		if updated[unit.Name] {
			side = &sample.Canary
		}
		side.Units++
		side.Restarts += restartsSince(previousList, currentList, unit)
	}
	var sorted []judge.ZoneSample
	for _, sample := range samples {
		sorted = append(sorted, *sample)
	}
	slices.SortFunc(sorted, func(a, b judge.ZoneSample) int { return cmp.Compare(a.Zone, b.Zone) })
	return sorted
}

// restartsSince returns how often the platform itself, without a request, restarted a unit between two lists. It returns 0
// if the number is unknown: the earlier list is missing or does not contain the unit, the platform has lost its state (the
// epoch has changed), or a request has started the unit anew (its incarnation has changed).
func restartsSince(previousList, currentList *supervisor.List, unit *supervisor.Unit) int {
	if previousList == nil || previousList.Epoch != currentList.Epoch {
		return 0
	}
	previous := previousList.Find(unit.Name)
	if previous == nil || previous.Incarnation != unit.Incarnation {
		return 0
	}
	return unit.Restarts - previous.Restarts
}

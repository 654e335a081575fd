package judge

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// nextThreshold is the logarithm of the evidence that shows a regression in the next stratum or zone. Half of the
// false-alarm rate is shared evenly among the strata that are expected; each one beyond takes ever less of the other half.
func (j *Judge) nextThreshold() float64 {
	j.thresholdsIssued++
	alpha := j.settings.FalseAlarmRate / 2 / comparisonsPerStratum
	if j.thresholdsIssued <= j.settings.Strata {
		alpha /= float64(j.settings.Strata)
	} else {
		extra := float64(j.thresholdsIssued - j.settings.Strata)
		alpha /= extra * (extra + 1)
	}
	return -math.Log(alpha)
}

// missingEvidence says what a pass still lacks, empty where it lacks nothing. It does not depend on the order of samples.
func (j *Judge) missingEvidence() string {
	if j.intervalsWithoutData > 0 {
		return "the last reports are missing"
	}
	if j.strataLimitReached {
		return fmt.Sprintf("more than %d classes × zones", maxStrata)
	}
	if reason := j.missingInStrata(); reason != "" {
		return reason
	}
	return j.suspectZone()
}

// missingInStrata says which comparison of a stratum lacks traffic. Every stratum that both versions meet has to pass, but
// for classes that are rare in their zone.
func (j *Judge) missingInStrata() string {
	baselineByZone := map[string]int{}
	for key, evidence := range j.strata {
		baselineByZone[key.zone] += evidence.baselineRequests
	}
	counted := 0
	for _, key := range j.sortedStrata() {
		evidence := j.strata[key]
		if !j.hasCanaries(key.zone) || evidence.baselineRequests == 0 {
			continue
		}
		if float64(evidence.baselineRequests) < minClassShare*float64(baselineByZone[key.zone]) {
			continue
		}
		counted++
		if reason := evidence.missingTraffic(key); reason != "" {
			return reason
		}
	}
	if counted == 0 {
		return "no class has met both versions in a zone"
	}
	return ""
}

func (j *Judge) sortedStrata() []stratumKey {
	return slices.SortedFunc(maps.Keys(j.strata), func(a, b stratumKey) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.class, b.class))
	})
}

func (j *Judge) hasCanaries(zoneName string) bool {
	evidence := j.zones[zoneName]
	return evidence != nil && evidence.canaryUnits > 0
}

// suspectZone says which zone's restarts or memory withhold a pass.
func (j *Judge) suspectZone() string {
	for _, zoneName := range slices.Sorted(maps.Keys(j.zones)) {
		if reason := j.zones[zoneName].suspicion(zoneName); reason != "" {
			return reason
		}
	}
	return ""
}

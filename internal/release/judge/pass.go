package judge

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// nextThreshold returns the threshold of the next stratum or zone: the logarithm of the evidence that shows a regression. Half
// of the false-alarm rate is divided evenly among the expected strata; each further stratum gets a decreasing
// part of the other half.
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

// withheldPassReason returns why a pass is withheld, or "" if nothing withholds it. It does not depend on the order of
// samples.
func (j *Judge) withheldPassReason() string {
	if j.intervalsWithoutData > 0 {
		return "the last reports are missing"
	}
	if j.strataLimitReached {
		return fmt.Sprintf("more than %d classes × zones", maxStrata)
	}
	if reason := j.missingStratumTraffic(); reason != "" {
		return reason
	}
	return j.withheldPassReasonOfZones()
}

// missingStratumTraffic names the first comparison of a stratum that lacks traffic, or returns "" if there is none. Every
// stratum that both versions serve has to pass, except classes that are rare in their zone.
func (j *Judge) missingStratumTraffic() string {
	baselineByZone := map[string]int{}
	for key, evidence := range j.strata {
		baselineByZone[key.zone] += evidence.baselineRequests
	}
	requiredStrata := 0
	for _, key := range j.sortedStrata() {
		evidence := j.strata[key]
		if !j.hasCanaryUnits(key.zone) || evidence.baselineRequests == 0 {
			continue
		}
		if float64(evidence.baselineRequests) < minClassShare*float64(baselineByZone[key.zone]) {
			continue
		}
		requiredStrata++
		if reason := evidence.missingTraffic(key); reason != "" {
			return reason
		}
	}
	if requiredStrata == 0 {
		return "no class has met both versions in a zone"
	}
	return ""
}

func (j *Judge) sortedStrata() []stratumKey {
	return slices.SortedFunc(maps.Keys(j.strata), func(a, b stratumKey) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.class, b.class))
	})
}

func (j *Judge) hasCanaryUnits(zoneName string) bool {
	evidence := j.zones[zoneName]
	return evidence != nil && evidence.canaryUnits > 0
}

// withheldPassReasonOfZones returns why the restarts or the memory of a zone withhold a pass, or "" if they do not.
func (j *Judge) withheldPassReasonOfZones() string {
	for _, zoneName := range slices.Sorted(maps.Keys(j.zones)) {
		if reason := j.zones[zoneName].withheldPassReason(zoneName); reason != "" {
			return reason
		}
	}
	return ""
}

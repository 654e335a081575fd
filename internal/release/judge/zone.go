package judge

import "fmt"

// zone holds the evidence of the units of one zone.
type zone struct {
	threshold               float64 // logarithm of the evidence that shows too many restarts
	restarts                comparison
	memoryTolerance         float64
	intervalsAboveTolerance int // consecutive intervals with memory above its tolerance
	memorySamples           int // intervals with known memory
	memoryRatio             float64
	canaryUnits             int // in the latest interval
}

func newZone(settings *Settings, threshold float64) *zone {
	return &zone{
		threshold:       threshold,
		restarts:        comparison{tolerance: settings.RestartTolerance},
		memoryTolerance: settings.MemoryTolerance,
	}
}

func (z *zone) add(sample *ZoneSample) {
	canary, baseline := &sample.Canary, &sample.Baseline
	z.canaryUnits = canary.Units
	z.restarts.add(min(canary.Restarts, canary.Units), canary.Units, min(baseline.Restarts, baseline.Units), baseline.Units)
	if canary.MeanMemory <= 0 || baseline.MeanMemory <= 0 {
		return
	}
	z.memorySamples++
	z.memoryRatio = canary.MeanMemory / baseline.MeanMemory
	if z.memoryRatio > 1+z.memoryTolerance {
		z.intervalsAboveTolerance++
	} else {
		z.intervalsAboveTolerance = 0
	}
}

// regression describes a regression with enough evidence, or returns "" if there is none.
func (z *zone) regression(zoneName string) string {
	if z.restarts.regression.logEvidence() >= z.threshold {
		return fmt.Sprintf("restarts in zone %q: %d in %d unit-intervals, more than the old and the tolerated %v",
			zoneName, z.restarts.canaryHits, z.restarts.canaryTrials, z.restarts.tolerance)
	}
	if z.intervalsAboveTolerance >= memoryRegressionIntervals {
		return fmt.Sprintf("memory in zone %q: %.2f times the old, tolerated %.2f", zoneName, z.memoryRatio, 1+z.memoryTolerance)
	}
	return ""
}

// withheldPassReason returns why the zone's restarts or memory withhold a pass, or "" if they do not.
func (z *zone) withheldPassReason(zoneName string) string {
	if z.canaryUnits == 0 {
		return ""
	}
	if z.restarts.regression.logEvidence() > maxRestartEvidenceForPass {
		return fmt.Sprintf("%d restarts in zone %q, in %d unit-intervals", z.restarts.canaryHits, zoneName, z.restarts.canaryTrials)
	}
	if z.intervalsAboveTolerance > 0 || z.memorySamples > 0 && z.memorySamples < memoryRegressionIntervals {
		return fmt.Sprintf("memory in zone %q: %.2f times the old", zoneName, z.memoryRatio)
	}
	return ""
}

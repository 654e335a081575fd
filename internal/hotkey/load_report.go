package hotkey

import (
	"math"
	"slices"
	"strconv"

	"milldeck/internal/placement"
)

const (
	maxSidecarNameBytes = 256
	keyHashDigits       = 16

	// Tolerances for rounding errors in sums and differences of reported loads, which sidecars send as decimals.
	relativeErrorTolerance = 1e-6
	absoluteErrorTolerance = 1e-9
	relativeTotalTolerance = 0.01
	absoluteTotalTolerance = 1e-6
)

// sidecarReport is the last report of a sidecar. Loads are in ms of work per second, times in s.
type sidecarReport struct {
	firstReceived   float64 // time at which the first report of the sidecar was received
	receivedAt      float64
	revision, epoch uint64 // of the placement that the sidecar followed
	totalLoad       float64
	unlistedBound   float64 // upper bound of the load of a key that is not listed
	loads           []keyLoad
}

// keyLoad holds the bounds of a key's load that a sidecar reported.
type keyLoad struct {
	key          uint64
	lower, upper float64
}

// parseReport converts a report that was received at time now; ok is false if the report is inconsistent or exceeds a limit.
func parseReport(now float64, report *placement.LoadReport) (parsed *sidecarReport, ok bool) {
	total := report.TotalKeyLoad
	if report.Sidecar == "" || len(report.Sidecar) > maxSidecarNameBytes || len(report.HotKeys) > placement.MaxHotKeys {
		return nil, false
	}
	if !(total >= 0) || math.IsInf(total, 1) {
		return nil, false
	}
	parsed = &sidecarReport{
		firstReceived: now,
		receivedAt:    now,
		revision:      report.PlacementRevision,
		epoch:         report.PlacementEpoch,
		totalLoad:     total,
	}
	lowerTotal := 0.0
	for _, reported := range report.HotKeys {
		load, ok := parseKeyLoad(reported, total)
		if !ok || slices.ContainsFunc(parsed.loads, func(other keyLoad) bool { return other.key == load.key }) {
			return nil, false
		}
		lowerTotal += load.lower
		parsed.loads = append(parsed.loads, load)
	}
	if lowerTotal > total*(1+relativeTotalTolerance)+absoluteTotalTolerance {
		return nil, false
	}
	if len(parsed.loads) == placement.MaxHotKeys { // further keys may be missing from the list
		parsed.unlistedBound = parsed.loads[0].upper
		for _, load := range parsed.loads {
			parsed.unlistedBound = math.Min(parsed.unlistedBound, load.upper)
		}
	}
	return parsed, true
}

// parseKeyLoad converts the load of one key, limiting its upper bound to the sidecar's total; ok is false if it is invalid.
func parseKeyLoad(reported placement.KeyLoad, total float64) (load keyLoad, ok bool) {
	key, err := strconv.ParseUint(reported.KeyHash, 16, 64)
	if err != nil || len(reported.KeyHash) != keyHashDigits {
		return keyLoad{}, false
	}
	if !(reported.Load >= 0) || !(reported.ErrorBound >= 0) {
		return keyLoad{}, false
	}
	if reported.ErrorBound > reported.Load*(1+relativeErrorTolerance)+absoluteErrorTolerance {
		return keyLoad{}, false
	}
	return keyLoad{
		key:   key,
		lower: math.Max(reported.Load-reported.ErrorBound, 0),
		upper: math.Min(reported.Load, total),
	}, true
}

// requestedWork returns a lower bound of the work in ms that a sidecar received for a key between two successive reports.
func (r *sidecarReport) requestedWork(previous *sidecarReport, load keyLoad, halfLife float64) float64 {
	previousUpper := previous.unlistedBound
	for _, other := range previous.loads {
		if other.key == load.key {
			previousUpper = other.upper
		}
	}
	decayed := previousUpper * math.Exp2(-(r.receivedAt-previous.receivedAt)/halfLife)
	return math.Max(load.lower-decayed, 0) * halfLife / math.Ln2
}

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

	// Sums and differences of reported figures may be off by rounding, as sidecars send them as decimals.
	relativeErrorTolerance = 1e-6
	absoluteErrorTolerance = 1e-9
	relativeTotalTolerance = 0.01
	absoluteTotalTolerance = 1e-6
)

// sidecarReport is the last report of a sidecar. Loads are in ms of work a second, times in s.
type sidecarReport struct {
	firstReceived   float64 // time at which its first report came
	receivedAt      float64
	revision, epoch uint64 // of the placement that it followed
	totalLoad       float64
	unlistedBound   float64 // a key that isn't listed has at most this load
	loads           []keyLoad
}

// keyLoad is a key's load as a sidecar reported it, between two bounds.
type keyLoad struct {
	key          uint64
	lower, upper float64
}

// parseReport returns a report that arrived at a time; ok is false where it contradicts itself or exceeds a bound.
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
	if len(parsed.loads) == placement.MaxHotKeys { // there may be more keys than are listed
		parsed.unlistedBound = parsed.loads[0].upper
		for _, load := range parsed.loads {
			parsed.unlistedBound = math.Min(parsed.unlistedBound, load.upper)
		}
	}
	return parsed, true
}

// parseKeyLoad returns one key's load, which is at most the sidecar's total; ok is false where it can't be.
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

// requestedWork is the work in ms that a sidecar has surely received for a key between its previous report and this one.
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

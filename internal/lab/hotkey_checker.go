package lab

import (
	"fmt"
	"math"
)

const (
	// readySampleCount is the number of samples of the ready servers, one a second. The highest sample bounds the copies:
	// sidecars learn of a change with a delay.
	readySampleCount = 4
	// copyGraceMS is how long after the end of a directive sidecars may still follow it.
	copyGraceMS = 1000
	// hotKeyGraceMS is how long a key may be replicated after it was hot.
	hotKeyGraceMS = 60_000
	// minAllowedCopies and minAllowedWarmupWork are allowed however small the fleet is. The unit of minAllowedWarmupWork is
	// the mean work of a request per second.
	minAllowedCopies     = 4
	minAllowedWarmupWork = 30
)

// HotKeyChecker detects violations of RuleHotKeyCost and measures how hot keys are served. Its input is the requests that
// servers execute and the placement that sidecars get; it never queries the controller. Times are ms since the start of the
// run. It may not be used concurrently.
type HotKeyChecker struct {
	checker           *Checker
	plan              *Plan
	periods           []hotKeyPeriod
	allowedWarmupRate float64 // allowed warm-up work, ms per ms

	copies       map[uint64]map[int]*copyState // by key and server
	copyCount    int                           // number of copies in the placement
	readyCounts  [readySampleCount]int         // the last samples of the number of ready servers
	readySamples int

	warmupBacklogMS, lastWarmupAt float64 // warm-up work that the allowed rate has not covered yet
	exceeded                      bool    // the backlog is above its limit

	warmupWorkMS, peakBacklogMS float64
	peakCopiesShare             float64 // highest number of copies as a share of the allowed copies
	replicatedKeys              int
	neverHot                    map[uint64]bool // keys that were replicated without being hot
	timeToWarmReplica           []float64       // by period: ms until the first cache hit at a replica; below 0: none
	hotKeys, otherKeys          servedTally
	congestedSeconds            float64
	cacheHits, keyedRequests    float64 // requests with a key: cache hits, and total number
}

// servedTally sums the priority weight of requests.
type servedTally struct {
	offeredWeight, servedWeight float64
}

// copyState is a server that the placement has made a replica of a key.
type copyState struct {
	share float64 // share of the key's load
	until float64 // end of the grace after its removal, ms; +Inf: it is in the placement
}

// NewHotKeyChecker returns the checker of a run, whose experiment has a HotKeySpec. Violations are reported to the checker.
func NewHotKeyChecker(p *Plan, checker *Checker) *HotKeyChecker {
	initial := len(p.initialServers())
	fleetCapacity := p.MeanServerCapacity() * float64(initial)
	allowedMSPerSecond := math.Max(p.Experiment.HotKeys.Limits.WarmupWorkShare*fleetCapacity, minAllowedWarmupWork*p.MeanWork())
	h := &HotKeyChecker{
		checker: checker, plan: p, periods: p.hotKeyPeriods(), copies: map[uint64]map[int]*copyState{},
		neverHot: map[uint64]bool{}, allowedWarmupRate: allowedMSPerSecond / 1000,
	}
	for range h.periods {
		h.timeToWarmReplica = append(h.timeToWarmReplica, -1)
	}
	h.RecordReadyServers(initial)
	return h
}

// RecordReadyServers records the number of servers that are listed as ready. It is called once a second.
func (h *HotKeyChecker) RecordReadyServers(n int) {
	h.readyCounts[h.readySamples%readySampleCount] = n
	h.readySamples++
}

// PlacementChanged records that the placement distributes a key over servers from now on, by the given shares of its load.
// Without shares the key is no longer replicated.
func (h *HotKeyChecker) PlacementChanged(now float64, key uint64, shares map[int]float64) {
	copies := h.copies[key]
	if copies == nil {
		copies = map[int]*copyState{}
		h.copies[key] = copies
		h.replicatedKeys++
		if !h.wasHot(now, key) {
			h.neverHot[key] = true
		}
	}
	for server, state := range copies {
		if _, retained := shares[server]; !retained && math.IsInf(state.until, 1) {
			state.until = now + copyGraceMS
			h.copyCount--
		}
	}
	for server, share := range shares {
		if state := copies[server]; state == nil || !math.IsInf(state.until, 1) {
			h.copyCount++
		}
		copies[server] = &copyState{share, math.Inf(1)}
	}
}

// PlacementWritten checks the number of copies once all changes of a plan have been recorded.
func (h *HotKeyChecker) PlacementWritten(now float64) {
	ready := 0
	for _, n := range h.readyCounts {
		ready = max(ready, n)
	}
	limit := math.Max(h.plan.Experiment.HotKeys.Limits.CopiesPerServer*float64(ready), minAllowedCopies)
	h.peakCopiesShare = math.Max(h.peakCopiesShare, float64(h.copyCount)/limit)
	if float64(h.copyCount) > limit {
		h.report(now, fmt.Sprintf("%d copies of keys are in the placement, at most %.0f may be", h.copyCount, limit))
	}
}

// wasHot reports whether a key is hot or was hot within hotKeyGraceMS.
func (h *HotKeyChecker) wasHot(now float64, key uint64) bool {
	for _, period := range h.periods {
		if period.key == key && now >= period.from && now <= period.to+hotKeyGraceMS {
			return true
		}
	}
	return false
}

// JobCompleted records that a job of a server has ended.
func (h *HotKeyChecker) JobCompleted(server int, completion *JobCompletion) {
	if completion.EffectApplied && completion.Key != 0 {
		h.keyedRequests++
		h.cacheHits += boolToFloat(completion.CacheHit)
	}
	state := h.copies[completion.Key][server]
	executed := completion.EffectApplied && completion.Result != JobExpired
	if state == nil || completion.At > state.until || !executed {
		return
	}
	if !completion.CacheHit {
		extraWorkMS := completion.ActualWorkMS * h.plan.Servers[server].Spec.CacheGain
		h.addWarmupWork(completion.At, extraWorkMS)
		return
	}
	if state.share > 0 {
		h.recordWarmCopy(completion.At, completion.Key)
	}
}

// addWarmupWork adds the extra work of a cache miss at a replica.
func (h *HotKeyChecker) addWarmupWork(now, extraWorkMS float64) {
	covered := h.allowedWarmupRate * math.Max(now-h.lastWarmupAt, 0)
	h.warmupBacklogMS = math.Max(h.warmupBacklogMS-covered, 0) + extraWorkMS
	h.lastWarmupAt = math.Max(h.lastWarmupAt, now)
	h.warmupWorkMS += extraWorkMS
	h.peakBacklogMS = math.Max(h.peakBacklogMS, h.warmupBacklogMS)
	limit := 1000 * h.allowedWarmupRate
	exceeded := h.warmupBacklogMS > limit
	if exceeded && !h.exceeded {
		h.report(now, fmt.Sprintf("%.0f ms of cold work of copies are not paid for, at most %.0f may be", h.warmupBacklogMS, limit))
	}
	h.exceeded = exceeded
}

// recordWarmCopy records that a replica served a key from its cache.
func (h *HotKeyChecker) recordWarmCopy(now float64, key uint64) {
	for i, period := range h.periods {
		if period.key == key && now >= period.from && now <= period.to && h.timeToWarmReplica[i] < 0 {
			h.timeToWarmReplica[i] = now - period.from
		}
	}
}

// RequestDone records that a request of a client has ended.
func (h *HotKeyChecker) RequestDone(arrival *Arrival, outcome Outcome, disconnected bool, endedAt float64) {
	tally := &h.otherKeys
	if share, key := h.plan.hotKeyAt(arrival.StartMS); share > 0 && key == arrival.Key {
		tally = &h.hotKeys
	}
	class := &h.plan.Classes[arrival.Class]
	tally.offeredWeight += class.PriorityWeight
	if !disconnected && outcome == OutcomeServed && endedAt-arrival.StartMS <= class.LatencyObjectiveMS {
		tally.servedWeight += class.PriorityWeight
	}
}

// RecordCongestion records that a number of servers were congested for a time in ms.
func (h *HotKeyChecker) RecordCongestion(servers int, ms float64) {
	h.congestedSeconds += float64(servers) * ms / 1000
}

func (h *HotKeyChecker) report(now float64, detail string) {
	h.checker.mu.Lock()
	defer h.checker.mu.Unlock()
	h.checker.report(now, RuleHotKeyCost, nil, detail)
}

// Metrics returns the metrics by their names in results.
func (h *HotKeyChecker) Metrics() map[string]float64 {
	replicatedCount, slowest, sum := 0.0, 0.0, 0.0
	for _, ms := range h.timeToWarmReplica {
		if ms >= 0 {
			replicatedCount++
			sum += ms
			slowest = math.Max(slowest, ms)
		}
	}
	return map[string]float64{
		"hot_keys":              float64(len(h.timeToWarmReplica)),
		"hot_found":             replicatedCount,
		"hot_carried_mean_ms":   roundMicros(sum / math.Max(replicatedCount, 1)),
		"hot_carried_most_ms":   roundMicros(slowest),
		"hot_worth_share":       fraction(h.hotKeys.servedWeight, h.hotKeys.offeredWeight),
		"rest_worth_share":      fraction(h.otherKeys.servedWeight, h.otherKeys.offeredWeight),
		"spread_keys":           float64(h.replicatedKeys),
		"spread_never_hot":      float64(len(h.neverHot)),
		"spread_cold_ms":        roundMicros(h.warmupWorkMS),
		"spread_cold_of_budget": roundMicros(h.peakBacklogMS / (1000 * h.allowedWarmupRate)),
		"spread_copies_of_most": roundMicros(h.peakCopiesShare),
		"warm_share":            fraction(h.cacheHits, h.keyedRequests),
		"choked_server_s":       roundMicros(h.congestedSeconds),
	}
}

package lab

import (
	"fmt"
	"math"
)

// HotKeyChecker decides whether copies of spread keys cost more than is allowed, from what servers ran and what the
// placement tells sidecars; it asks no decider. It also takes the figures of hot keys. It is not safe for concurrent
// use.
type HotKeyChecker struct {
	checker         *Checker
	plan            *Plan
	periods         []hotKeyPeriod
	allowedColdRate float64 // ms of extra cold work a ms that is allowed

	copies       map[uint64]map[int]*copyState // by key and server
	copyCount    int                           // copies told now
	readyCounts  [readySampleCount]int         // servers that were ready when they were counted last
	readySamples int

	coldBacklogMS, lastColdAt float64 // ms of cold work beyond what the time has paid for
	exceeded                  bool    // it is past what is allowed

	coldWorkMS, peakBacklogMS float64
	peakCopiesShare           float64 // part of those allowed
	spreadKeys                int
	neverHot                  map[uint64]bool // keys that were spread and were not hot
	timeToSpread              []float64       // by hot time: ms until a copy carried; below 0: none did
	hotKeys, otherKeys        struct{ offeredWeight, servedWeight float64 }
	congestedSeconds          float64
	cacheHits, keyedRequests  float64 // requests by key that servers ran, and those for keys that were warm there
}

// copyState is a server that the placement has made carry a key.
type copyState struct {
	share float64
	until float64 // ms from which it counts no more; Inf: it is in the placement
}

const (
	readySampleCount = 4 // counts of ready servers, one a second: the list is told late
	// copyGraceMS is how long in ms after its end sidecars may still follow an entry.
	copyGraceMS = 1000
	// hotKeyGraceMS is how long in ms after its heat a key may still be spread without being counted as never hot.
	hotKeyGraceMS = 60_000
	// minCopies and minColdWork are allowed in the smallest fleet, cold work in multiples of a request's work a second.
	minCopies   = 4
	minColdWork = 30
)

// NewHotKeyChecker makes the judge of a run's copies; what it finds is part of j's verdict. The plan's file names the
// spreader.
func NewHotKeyChecker(p *Plan, j *Checker) *HotKeyChecker {
	all := p.MeanServerCapacity() * float64(len(p.initialServers()))
	s := &HotKeyChecker{
		checker: j, plan: p, periods: p.hotKeyPeriods(), copies: map[uint64]map[int]*copyState{}, neverHot: map[uint64]bool{},
		allowedColdRate: math.Max(p.Experiment.HotKeys.Limits.ColdWorkShare*all, minColdWork*p.MeanWork()) / 1000,
	}
	for range s.periods {
		s.timeToSpread = append(s.timeToSpread, -1)
	}
	s.RecordReadyServers(len(p.initialServers()))
	return s
}

// RecordReadyServers: so many servers are listed as ready. It is told once a second.
func (s *HotKeyChecker) RecordReadyServers(n int) {
	s.readyCounts[s.readySamples%readySampleCount] = n
	s.readySamples++
}

// PlacementChanged: from now on the placement spreads a key over these servers, with the shares given; over none, it is gone.
func (s *HotKeyChecker) PlacementChanged(now float64, key uint64, shares map[int]float64) {
	copies := s.copies[key]
	if copies == nil {
		copies = map[int]*copyState{}
		s.copies[key] = copies
		s.spreadKeys++
		if !s.wasHot(now, key) {
			s.neverHot[key] = true
		}
	}
	for server, state := range copies {
		if _, retained := shares[server]; !retained && math.IsInf(state.until, 1) {
			state.until = now + copyGraceMS
			s.copyCount--
		}
	}
	for server, share := range shares {
		if state := copies[server]; state == nil || !math.IsInf(state.until, 1) {
			s.copyCount++
		}
		copies[server] = &copyState{share, math.Inf(1)}
	}
}

// PlacementWritten: all that was placed at once is told.
func (s *HotKeyChecker) PlacementWritten(now float64) {
	ready := 0
	for _, n := range s.readyCounts {
		ready = max(ready, n)
	}
	limit := math.Max(s.plan.Experiment.HotKeys.Limits.CopiesPerServer*float64(ready), minCopies)
	s.peakCopiesShare = math.Max(s.peakCopiesShare, float64(s.copyCount)/limit)
	if float64(s.copyCount) > limit {
		s.report(now, fmt.Sprintf("%d copies of keys are in the placement, at most %.0f may be", s.copyCount, limit))
	}
}

func (s *HotKeyChecker) wasHot(now float64, key uint64) bool {
	for _, period := range s.periods {
		if period.key == key && now >= period.from && now <= period.to+hotKeyGraceMS {
			return true
		}
	}
	return false
}

// JobCompleted: a server has ended a job.
func (s *HotKeyChecker) JobCompleted(server int, completion *JobCompletion) {
	if completion.EffectApplied && completion.Key != 0 {
		s.keyedRequests++
		s.cacheHits += boolToFloat(completion.CacheHit)
	}
	state := s.copies[completion.Key][server]
	if state == nil || completion.At > state.until || completion.Result == JobExpired || !completion.EffectApplied {
		return
	}
	if completion.CacheHit {
		if state.share > 0 {
			s.recordWarmCopy(completion.At, completion.Key)
		}
		return
	}
	extraWorkMS := completion.ActualWorkMS * s.plan.Servers[server].Spec.CacheGain
	s.coldBacklogMS = math.Max(s.coldBacklogMS-s.allowedColdRate*math.Max(completion.At-s.lastColdAt, 0), 0) + extraWorkMS
	s.lastColdAt = math.Max(s.lastColdAt, completion.At)
	s.coldWorkMS += extraWorkMS
	s.peakBacklogMS = math.Max(s.peakBacklogMS, s.coldBacklogMS)
	exceeded := s.coldBacklogMS > 1000*s.allowedColdRate
	if exceeded && !s.exceeded {
		s.report(completion.At, fmt.Sprintf("%.0f ms of cold work of copies are not paid for, at most %.0f may be", s.coldBacklogMS, 1000*s.allowedColdRate))
	}
	s.exceeded = exceeded
}

// recordWarmCopy notes a warm answer of a copy that has a share.
func (s *HotKeyChecker) recordWarmCopy(now float64, key uint64) {
	for i, period := range s.periods {
		if period.key == key && now >= period.from && now <= period.to && s.timeToSpread[i] < 0 {
			s.timeToSpread[i] = now - period.from
		}
	}
}

// RequestDone: a request has ended, served in time or not.
func (s *HotKeyChecker) RequestDone(arrival *Arrival, outcome Outcome, disconnected bool, endedAt float64) {
	sum := &s.otherKeys
	if share, key := s.plan.hotKeyAt(arrival.StartMS); share > 0 && key == arrival.Key {
		sum = &s.hotKeys
	}
	class := &s.plan.Classes[arrival.Class]
	sum.offeredWeight += class.PriorityWeight
	if !disconnected && outcome == OutcomeServed && endedAt-arrival.StartMS <= class.LatencyObjectiveMS {
		sum.servedWeight += class.PriorityWeight
	}
}

// RecordCongestion: so many servers were choked for ms.
func (s *HotKeyChecker) RecordCongestion(servers int, ms float64) {
	s.congestedSeconds += float64(servers) * ms / 1000
}

func (s *HotKeyChecker) report(now float64, detail string) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.report(now, RuleHotKeyCost, nil, detail)
}

// Metrics are what was found, for the result.
func (s *HotKeyChecker) Metrics() map[string]float64 {
	spreadCount, slowest, sum := 0.0, 0.0, 0.0
	for _, ms := range s.timeToSpread {
		if ms >= 0 {
			spreadCount++
			sum += ms
			slowest = math.Max(slowest, ms)
		}
	}
	return map[string]float64{
		"hot_keys":              float64(len(s.timeToSpread)),
		"hot_found":             spreadCount,
		"hot_carried_mean_ms":   roundMicros(sum / math.Max(spreadCount, 1)),
		"hot_carried_most_ms":   roundMicros(slowest),
		"hot_worth_share":       fraction(s.hotKeys.servedWeight, s.hotKeys.offeredWeight),
		"rest_worth_share":      fraction(s.otherKeys.servedWeight, s.otherKeys.offeredWeight),
		"spread_keys":           float64(s.spreadKeys),
		"spread_never_hot":      float64(len(s.neverHot)),
		"spread_cold_ms":        roundMicros(s.coldWorkMS),
		"spread_cold_of_budget": roundMicros(s.peakBacklogMS / (1000 * s.allowedColdRate)),
		"spread_copies_of_most": roundMicros(s.peakCopiesShare),
		"warm_share":            fraction(s.cacheHits, s.keyedRequests),
		"choked_server_s":       roundMicros(s.congestedSeconds),
	}
}

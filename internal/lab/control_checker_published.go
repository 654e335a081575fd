package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Exclusion is a server that sidecars of a tenant are told to keep off, and until when.
type Exclusion struct {
	Tenant, Server string
	Until          float64
}

// ExclusionsPublished: a sidecar's agent has this to tell it of servers that it keeps off, in place of all before.
func (c *ControlPlaneChecker) ExclusionsPublished(now float64, sidecar int, exclusions []Exclusion) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	previous := c.exclusions[sidecar]
	for _, exclusion := range exclusions {
		if _, known := previous[exclusionKey{exclusion.Tenant, exclusion.Server}]; !known {
			c.exclusionCount++
		}
	}
	next := map[exclusionKey]interval{}
	for _, exclusion := range exclusions {
		key := exclusionKey{exclusion.Tenant, exclusion.Server}
		from := now
		if excluded, ok := previous[key]; ok && excluded.to >= now {
			from = excluded.from
		}
		next[key] = interval{from, exclusion.Until}
	}
	for _, key := range sortedExclusions(previous) {
		excluded := previous[key]
		if renewed, stays := next[key]; !stays || renewed.from == now {
			c.checkHours(now, sidecar, key, interval{excluded.from, min(excluded.to, now)})
		}
	}
	c.exclusions[sidecar] = next
}

func sortedExclusions(m map[exclusionKey]interval) []exclusionKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b exclusionKey) int {
		return strings.Compare(a.tenant+"\x00"+a.server, b.tenant+"\x00"+b.server)
	})
}

// checkHours looks whether a time in which a tenant was kept off lies within its approved hours, which may adjoin.
func (c *ControlPlaneChecker) checkHours(now float64, sidecar int, key exclusionKey, excluded interval) {
	coveredUntil := excluded.from
	hours := slices.Clone(c.spec.MaintenanceHours)
	slices.SortFunc(hours, func(a, b MaintenanceHoursSpec) int { return int(1000 * (a.FromS - b.FromS)) })
	for _, window := range hours {
		if window.Tenant == key.tenant && 1000*window.FromS <= coveredUntil+hoursToleranceMS && 1000*window.ToS > coveredUntil {
			coveredUntil = 1000 * window.ToS
		}
	}
	c.outsideHoursMS += max(0, excluded.to-coveredUntil)
	if coveredUntil+hoursToleranceMS < excluded.to {
		c.checker.report(now, RuleMaintenanceHours, nil, fmt.Sprintf("sidecar %d is told to keep %s off %s from %.0f to %.0f ms, outside its hours from %.0f ms on",
			sidecar, key.tenant, key.server, excluded.from, excluded.to, coveredUntil))
	}
}

// KeyCopy is a server that sidecars are told to send a key to, beside the key's own.
type KeyCopy struct {
	Key    uint64 // as sidecars hash it
	Server string
}

// CopiesPublished: a sidecar's agent has these copies to tell it of, in place of all before.
func (c *ControlPlaneChecker) CopiesPublished(sidecar int, copies []KeyCopy) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for _, keyCopy := range c.copies[sidecar] {
		if c.copyCount[keyCopy]--; c.copyCount[keyCopy] <= 0 {
			delete(c.copyCount, keyCopy)
		}
	}
	for _, keyCopy := range copies {
		c.copyCount[keyCopy]++
	}
	c.copies[sidecar] = copies
}

// WorkDone: a server has done work for a key, cold where that was not warm there. Only what a copy does cold is the
// spreader's.
func (c *ControlPlaneChecker) WorkDone(now float64, unit string, key uint64, workMS float64, coldCache bool) {
	windowMS := 1000 * c.spec.ColdWork.WindowS
	if windowMS == 0 || !coldCache {
		return
	}
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if c.copyCount[KeyCopy{key, unit}] == 0 {
		return
	}
	slot := int(now / windowMS * coldWorkSlots)
	current := &c.coldWork[((slot%coldWorkSlots)+coldWorkSlots)%coldWorkSlots]
	if current.slot != slot {
		current.slot, current.workMS = slot, 0
	}
	current.workMS += workMS
	sum := 0.0
	for _, part := range c.coldWork {
		if part.slot > slot-coldWorkSlots {
			sum += part.workMS
		}
	}
	c.peakColdWorkMS = max(c.peakColdWorkMS, sum)
	if limit := c.spec.ColdWork.MaxShare * c.fleetCapacity * c.spec.ColdWork.WindowS; sum > limit && now > c.lastColdViolation+windowMS {
		c.lastColdViolation = now // one for each window: the work in it is the same
		c.checker.report(now, RuleHotKeyCost, nil, fmt.Sprintf("within %.1f s copies did %.0f ms of work for keys that were not warm there, at most %.0f may be",
			c.spec.ColdWork.WindowS, sum, limit))
	}
}

// Metrics are what the judge has measured: how often a sidecar was told to begin to keep off a server, for how many seconds
// it was told to outside its tenant's hours, the most cold work of copies against its budget, and the most servers and
// sidecars that were out at a time of those that somebody took out.
func (c *ControlPlaneChecker) Metrics() map[string]float64 {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	metrics := map[string]float64{
		"kept_off": float64(c.exclusionCount), "kept_off_outside_s": roundMicros(c.outsideHoursMS / 1000),
		"most_servers_out": float64(c.maxDisrupted["server"]), "most_sidecars_out": float64(c.maxDisrupted["sidecar"]),
	}
	if limit := c.spec.ColdWork.MaxShare * c.fleetCapacity * c.spec.ColdWork.WindowS; limit > 0 {
		metrics["cold_work_of_budget"] = roundMicros(c.peakColdWorkMS / limit)
	}
	return metrics
}

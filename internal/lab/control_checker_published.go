package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Exclusion excludes a tenant's requests from a server until a time.
type Exclusion struct {
	Tenant, Server string
	Until          float64 // ms
}

type exclusionKey struct {
	tenant, server string
}

// ExclusionsPublished records the exclusions that an agent publishes to its sidecar. They replace all earlier exclusions.
func (c *ControlPlaneChecker) ExclusionsPublished(now float64, sidecar int, exclusions []Exclusion) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	previous := c.exclusions[sidecar]
	next := map[exclusionKey]interval{}
	for _, exclusion := range exclusions {
		key := exclusionKey{exclusion.Tenant, exclusion.Server}
		before, known := previous[key]
		if !known {
			c.exclusionCount++
		}
		from := now
		if known && before.to >= now {
			from = before.from
		}
		next[key] = interval{from, exclusion.Until}
	}
	for _, key := range sortedExclusions(previous) {
		ended := previous[key]
		if renewed, stays := next[key]; !stays || renewed.from == now {
			c.checkHours(now, sidecar, key, interval{ended.from, min(ended.to, now)})
		}
	}
	c.exclusions[sidecar] = next
}

func sortedExclusions(exclusions map[exclusionKey]interval) []exclusionKey {
	return slices.SortedFunc(maps.Keys(exclusions), func(a, b exclusionKey) int {
		return strings.Compare(a.tenant+"\x00"+a.server, b.tenant+"\x00"+b.server)
	})
}

// checkHours checks that an exclusion lay within the approved hours of its tenant. Adjoining approved periods count as one.
func (c *ControlPlaneChecker) checkHours(now float64, sidecar int, key exclusionKey, excluded interval) {
	coveredUntil := excluded.from
	hours := slices.Clone(c.spec.MaintenanceHours)
	slices.SortFunc(hours, func(a, b MaintenanceHoursSpec) int { return int(1000 * (a.FromS - b.FromS)) })
	for _, window := range hours {
		if window.Tenant == key.tenant && 1000*window.FromS <= coveredUntil+exclusionDelayToleranceMS && 1000*window.ToS > coveredUntil {
			coveredUntil = 1000 * window.ToS
		}
	}
	c.outsideHoursMS += max(0, excluded.to-coveredUntil)
	if coveredUntil+exclusionDelayToleranceMS < excluded.to {
		c.checker.report(now, RuleMaintenanceHours, nil, fmt.Sprintf(
			"sidecar %d is told to keep %s off %s from %.0f to %.0f ms, outside its hours from %.0f ms on",
			sidecar, key.tenant, key.server, excluded.from, excluded.to, coveredUntil))
	}
}

// KeyCopy is an additional server of a hot key: sidecars send requests for the key to it and to the key's own server.
type KeyCopy struct {
	Key    uint64 // hash of the key, as sidecars compute it
	Server string
}

// CopiesPublished records the copies that an agent publishes to its sidecar. They replace all earlier copies.
func (c *ControlPlaneChecker) CopiesPublished(sidecar int, copies []KeyCopy) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for _, keyCopy := range c.copies[sidecar] {
		c.copyCount[keyCopy]--
		if c.copyCount[keyCopy] <= 0 {
			delete(c.copyCount, keyCopy)
		}
	}
	for _, keyCopy := range copies {
		c.copyCount[keyCopy]++
	}
	c.copies[sidecar] = copies
}

// WorkDone records work of a server for a key in ms. Only the work of cache misses at copies counts: it is the warm-up work.
func (c *ControlPlaneChecker) WorkDone(now float64, unit string, key uint64, workMS float64, cacheMiss bool) {
	windowMS := 1000 * c.spec.WarmupWork.WindowS
	if windowMS == 0 || !cacheMiss {
		return
	}
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if c.copyCount[KeyCopy{key, unit}] == 0 {
		return
	}
	sum := c.addWarmupWork(int(now/windowMS*warmupWorkSlots), workMS)
	c.peakWarmupWorkMS = max(c.peakWarmupWorkMS, sum)
	limit := c.warmupWorkLimitMS()
	if sum > limit && now > c.lastWarmupViolation+windowMS {
		c.lastWarmupViolation = now // one violation per window, because overlapping windows hold the same work
		c.checker.report(now, RuleHotKeyCost, nil, fmt.Sprintf(
			"within %.1f s copies did %.0f ms of work for keys that were not warm there, at most %.0f may be",
			c.spec.WarmupWork.WindowS, sum, limit))
	}
}

// addWarmupWork adds warm-up work to a slot and returns the sum of the window that ends with it.
func (c *ControlPlaneChecker) addWarmupWork(slot int, workMS float64) float64 {
	current := &c.warmupWork[((slot%warmupWorkSlots)+warmupWorkSlots)%warmupWorkSlots]
	if current.slot != slot {
		*current = warmupWorkSlot{slot: slot}
	}
	current.workMS += workMS
	sum := 0.0
	for _, other := range c.warmupWork {
		if other.slot > slot-warmupWorkSlots {
			sum += other.workMS
		}
	}
	return sum
}

// warmupWorkLimitMS returns the warm-up work that copies may do within a window.
func (c *ControlPlaneChecker) warmupWorkLimitMS() float64 {
	return c.spec.WarmupWork.MaxShare * c.fleetCapacity * c.spec.WarmupWork.WindowS
}

// Metrics returns the metrics by their names in results: how often a sidecar got a new exclusion, how many seconds of
// exclusions lay outside the hours of their tenants, the most servers and sidecars under voluntary disruption at a time, and
// the peak of warm-up work as a share of its limit.
func (c *ControlPlaneChecker) Metrics() map[string]float64 {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	metrics := map[string]float64{
		"kept_off":           float64(c.exclusionCount),
		"kept_off_outside_s": roundMicros(c.outsideHoursMS / 1000),
		"most_servers_out":   float64(c.maxDisrupted[unitServer]),
		"most_sidecars_out":  float64(c.maxDisrupted[unitSidecar]),
	}
	if limit := c.warmupWorkLimitMS(); limit > 0 {
		metrics["cold_work_of_budget"] = roundMicros(c.peakWarmupWorkMS / limit)
	}
	return metrics
}

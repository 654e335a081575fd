package controlplane

import (
	"fmt"
	"time"
)

// contractGraceMS is how long after a change of approved hours sidecars may still apply the earlier hours.
const contractGraceMS = 30_000

// approvedHours are the hours of a tenant from effectiveMS on. The checker evaluates them with its own calendar code.
type approvedHours struct {
	effectiveMS int64
	opens       time.Time // opening time; only its time of day and its location are used
	length      time.Duration
}

// withdrawn reports whether the contract was withdrawn, so that no hours are approved.
func (h *approvedHours) withdrawn() bool { return h.length == 0 }

// contains reports whether an instant lies in the hours that open on its day or on one of the two days before.
func (h *approvedHours) contains(instantMS int64) bool {
	location := h.opens.Location()
	instant := time.UnixMilli(instantMS).In(location)
	for day := -2; day <= 0; day++ {
		opening := time.Date(instant.Year(), instant.Month(), instant.Day()+day, h.opens.Hour(), h.opens.Minute(), 0, 0, location)
		if !instant.Before(opening) && instant.Before(opening.Add(h.length)) {
			return true
		}
	}
	return false
}

// setHours changes the approved hours of a tenant from now on. A length of 0 withdraws them.
func (c *checker) setHours(tenant string, opens time.Time, length time.Duration) {
	c.hours[tenant] = append(c.hours[tenant], approvedHours{c.cluster.nowMS, opens, length})
}

// hoursWithdrawn reports whether a tenant's approved hours are currently withdrawn.
func (c *checker) hoursWithdrawn(tenant string) bool {
	history := c.hours[tenant]
	return history[len(history)-1].withdrawn()
}

// withinHours reports whether a tenant may be excluded from servers at an instant.
func (c *checker) withinHours(tenant string, instantMS int64) bool {
	history := c.hours[tenant]
	for i := len(history) - 1; i >= 0; i-- {
		hours := &history[i]
		if hours.effectiveMS <= instantMS && !hours.withdrawn() && hours.contains(instantMS) {
			return true
		}
		if hours.effectiveMS+contractGraceMS <= instantMS {
			return false
		}
	}
	return false
}

// observeExclusion checks ruleApprovedHours on the exclusion of a tenant by a sidecar, with a resolution of one second.
func (c *checker) observeExclusion(source *unit, tenant string, startMS, endMS int64) {
	if !c.enabled || endMS <= startMS {
		return
	}
	c.excludedMS += endMS - startMS
	const stepMS = 1000
	outsideMS := int64(0)
	for instantMS := startMS; instantMS < endMS; instantMS += stepMS {
		lastMS := min(instantMS+stepMS-1, endMS-1)
		if !c.withinHours(tenant, instantMS) || !c.withinHours(tenant, lastMS) {
			outsideMS += min(stepMS, endMS-instantMS)
		}
	}
	if outsideMS == 0 {
		return
	}
	c.outsideHoursMS += outsideMS
	c.report(ruleApprovedHours, fmt.Sprintf("%s excludes %s for %d ms outside its approved hours, from %s to %s",
		source.ID, tenant, outsideMS, formatTime(startMS), formatTime(endMS)))
}

// formatTime returns the UTC time of day of a Unix time in ms.
func formatTime(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.TimeOnly) }

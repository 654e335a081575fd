package maintenance

import (
	"maps"
	"slices"

	"milldeck/internal/maintenance/calendar"
)

// UsedMS returns how long a tenant's windows were out of service in a month ("2026-03"). It counts only windows
// that have returned.
func (t *Table) UsedMS(tenant, month string) int64 { return t.usedMS[tenant][month] }

// recordUsage adds the time from startMS to endMS (Unix ms) to the used time of each of the window's tenants,
// split by the months of the tenant's time zone.
func (t *Table) recordUsage(window *Window, startMS, endMS int64) {
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		for _, month := range splitByMonth(approval, startMS, endMS) {
			byMonth := t.usedMS[approval.Tenant]
			if byMonth == nil {
				byMonth = map[string]int64{}
				t.usedMS[approval.Tenant] = byMonth
			}
			byMonth[month.Name] += month.EndMS - month.StartMS
			if len(byMonth) > MaxMonthsPerTenant {
				delete(byMonth, slices.Min(slices.Collect(maps.Keys(byMonth))))
			}
		}
	}
}

// committedMS returns the time that a tenant has used in a month, plus the time that its windows out of service
// are expected to have used once they have returned.
func (t *Table) committedMS(tenant, month string, nowMS int64) int64 {
	committed := t.usedMS[tenant][month]
	for _, window := range t.windows {
		if !window.OutOfService() {
			continue
		}
		expectedReturnMS := max(window.DrainStartedAtMS+window.EstimatedTotalMS, nowMS)
		for i := range window.Approvals {
			if approval := &window.Approvals[i]; approval.Tenant == tenant {
				committed += timeInMonth(approval, month, window.DrainStartedAtMS, expectedReturnMS)
			}
		}
	}
	return committed
}

// timeInMonth returns how much of the time from startMS to endMS falls into one month of an approval.
func timeInMonth(approval *Approval, month string, startMS, endMS int64) int64 {
	total := int64(0)
	for _, part := range splitByMonth(approval, startMS, endMS) {
		if part.Name == month {
			total += part.EndMS - part.StartMS
		}
	}
	return total
}

// splitByMonth splits the time from startMS to endMS by the months of an approval. Time outside of the stored
// months counts towards the nearest month, so that a long overrun loses none of its time.
func splitByMonth(approval *Approval, startMS, endMS int64) []calendar.Month {
	var parts []calendar.Month
	for i, month := range approval.Months {
		partStart, partEnd := max(startMS, month.StartMS), min(endMS, month.EndMS)
		if i == 0 {
			partStart = startMS
		}
		if i == len(approval.Months)-1 {
			partEnd = endMS
		}
		if partStart < partEnd {
			parts = append(parts, calendar.Month{Name: month.Name, Interval: calendar.Interval{StartMS: partStart, EndMS: partEnd}})
		}
	}
	return parts
}

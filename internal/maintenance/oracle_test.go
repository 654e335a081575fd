package maintenance

import (
	"cmp"
	"fmt"
	"time"
)

// oracle checks the exclusions of sidecars and the applied operations against the agreed hours. It computes the
// hours from the local clocks alone, without package calendar.
type oracle struct {
	agreed           map[string][]agreedHours // by tenant, oldest first
	outsideMS        int64                    // time of exclusions outside the approved hours
	excludedMS       int64
	firstViolation   string
	drainStartedAtMS map[string]int64 // by window
	usedMS           map[tenantMonth]int64
	highestToken     uint64
	violations       []string
	clocksFaulty     bool // the clocks were wrong or uncertain, so the used minutes are not compared
}

// tenantMonth is a month of a tenant's time zone, "2026-03".
type tenantMonth struct{ tenant, month string }

func (m tenantMonth) compare(other tenantMonth) int {
	return cmp.Or(cmp.Compare(m.tenant, other.tenant), cmp.Compare(m.month, other.month))
}

// agreedHours are the daily hours of a contract from an instant on.
type agreedHours struct {
	effectiveFromMS            int64
	location                   *time.Location
	startMinute, lengthMinutes int // of the day
	withdrawn                  bool
}

func newOracle() *oracle {
	return &oracle{agreed: map[string][]agreedHours{}, drainStartedAtMS: map[string]int64{}, usedMS: map[tenantMonth]int64{}}
}

func wallClockMS(instantMS int64, location *time.Location) int64 {
	local := time.UnixMilli(instantMS).In(location)
	_, offsetSeconds := local.Zone()
	return instantMS + int64(offsetSeconds)*1000
}

// approves reports whether the local time is within the hours, and the time since the local clock first showed
// the start of the hours does not exceed their length.
func (hours *agreedHours) approves(instantMS int64) bool {
	if hours.withdrawn {
		return false
	}
	wall := wallClockMS(instantMS, hours.location)
	length := int64(hours.lengthMinutes) * minuteMS
	for start := wall - wall%dayMS - dayMS + int64(hours.startMinute)*minuteMS; start <= wall; start += dayMS {
		if wall >= start+length {
			continue
		}
		first := instantMS - length - 3*hourMS
		for step := int64(hourMS); step >= 1000; step /= 60 { // to the second
			for wallClockMS(first+step, hours.location) < start {
				first += step
			}
		}
		if instantMS-first-1000 < length {
			return true
		}
	}
	return false
}

// recordExclusion checks minute by minute that a tenant's exclusion from a server was within the tenant's hours.
func (o *oracle) recordExclusion(tenant string, startMS, endMS int64) {
	o.excludedMS += endMS - startMS
	agreed := o.agreed[tenant]
	approvedAt := func(instantMS int64) bool {
		for i := len(agreed) - 1; i >= 0; i-- {
			if agreed[i].effectiveFromMS <= instantMS && agreed[i].approves(instantMS) {
				return true
			}
			// An exclusion under the previous contract may last until it expires.
			if agreed[i].effectiveFromMS+ExclusionTTLMS <= instantMS {
				return false
			}
		}
		return false
	}
	for instantMS := startMS; instantMS < endMS; instantMS += min(minuteMS, endMS-instantMS) {
		if !approvedAt(instantMS) || !approvedAt(min(instantMS+minuteMS-1, endMS-1)) {
			o.outsideMS += min(minuteMS, endMS-instantMS)
			if o.firstViolation == "" {
				o.firstViolation = fmt.Sprintf("%s excluded from %s to %s", tenant, formatUTC(startMS), formatUTC(endMS))
			}
		}
	}
}

// recordOperation checks the fencing token of an applied operation, and records when windows are out of service.
func (o *oracle) recordOperation(sim *simulation, op *Operation, token uint64) {
	if token != 0 {
		if token < o.highestToken {
			o.violations = append(o.violations, fmt.Sprintf("%s %s under token %d after %d", op.Kind, op.Window, token, o.highestToken))
		}
		o.highestToken = max(o.highestToken, token)
	}
	window := sim.table.Window(op.Window)
	switch op.Kind {
	case OpBeginDrain:
		o.drainStartedAtMS[op.Window] = sim.nowMS
		for _, other := range sim.table.Windows() {
			if other.Name != op.Window && other.OutOfService() && shareServer(other.ServerUIDs, window.ServerUIDs) {
				o.violations = append(o.violations, other.Name+" and "+op.Window+" have a server")
			}
		}
	case OpCompleteReturn:
		for tenant := range sim.fleet.ServerCounts(sim.table, window.ServerUIDs) {
			agreed := o.agreed[tenant]
			if len(agreed) == 0 {
				continue
			}
			for t := o.drainStartedAtMS[op.Window]; t < sim.nowMS; t += min(1000, sim.nowMS-t) {
				month := time.UnixMilli(t).In(agreed[0].location).Format("2006-01")
				o.usedMS[tenantMonth{tenant, month}] += min(1000, sim.nowMS-t)
			}
		}
	}
}

package maintenance

import (
	"fmt"
	"time"
)

// oracle sees what sidecars did and what was applied, and asks the wall clocks itself.
type oracle struct {
	agreed           map[string][]agreedHours // by tenant, in order of time
	outsideMS        int64                    // ms kept off outside approved hours
	excludedMS       int64
	firstViolation   string
	drainStartedAtMS map[string]int64 // when windows went out
	usedMS           map[string]int64 // ms by tenant and month
	highestToken     uint64
	violations       []string
	clocksFaulty     bool // clocks were wrong: minutes are not compared
}

// agreedHours are a contract's hours as the judge knows them, from an instant on.
type agreedHours struct {
	effectiveFromMS            int64
	location                   *time.Location
	startMinute, lengthMinutes int // minutes
	withdrawn                  bool
}

func newOracle() *oracle {
	return &oracle{agreed: map[string][]agreedHours{}, drainStartedAtMS: map[string]int64{}, usedMS: map[string]int64{}}
}

func wallClockMS(instantMS int64, location *time.Location) int64 {
	local := time.UnixMilli(instantMS).In(location)
	_, offsetSeconds := local.Zone()
	return instantMS + int64(offsetSeconds)*1000
}

// approves reads the wall, and the time passed since the wall first showed the start.
func (hours *agreedHours) approves(instantMS int64) bool {
	if hours.withdrawn {
		return false
	}
	const dayMS = 24 * 3600_000
	wall := wallClockMS(instantMS, hours.location)
	length := int64(hours.lengthMinutes) * 60_000
	for start := wall - wall%dayMS - dayMS + int64(hours.startMinute)*60_000; start <= wall; start += dayMS {
		if wall >= start+length {
			continue
		}
		first := instantMS - length - 3*3600_000
		for step := int64(3600_000); step >= 1000; step /= 60 { // to the second
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

func (o *oracle) recordExclusion(sim *simulation, tenant string, from, until int64) {
	o.excludedMS += until - from
	agreed := o.agreed[tenant]
	approvedAt := func(t int64) bool {
		for i := len(agreed) - 1; i >= 0; i-- {
			if agreed[i].effectiveFromMS <= t && agreed[i].approves(t) {
				return true
			}
			// What was told under the terms before may last for a step.
			if agreed[i].effectiveFromMS+ExclusionTTLMS <= t {
				return false
			}
		}
		return false
	}
	for t := from; t < until; t += min(60_000, until-t) {
		if !approvedAt(t) || !approvedAt(min(t+59_999, until-1)) {
			o.outsideMS += min(60_000, until-t)
			if o.firstViolation == "" {
				o.firstViolation = fmt.Sprintf("%s kept off from %s to %s", tenant, formatUTC(from), formatUTC(until))
			}
		}
	}
}

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
			if agreed := o.agreed[tenant]; len(agreed) > 0 {
				for t := o.drainStartedAtMS[op.Window]; t < sim.nowMS; t += min(1000, sim.nowMS-t) {
					o.usedMS[tenant+" "+time.UnixMilli(t).In(agreed[0].location).Format("2006-01")] += min(1000, sim.nowMS-t)
				}
			}
		}
	}
}

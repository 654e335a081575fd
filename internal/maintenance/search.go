package maintenance

import (
	"cmp"
	"fmt"
	"slices"

	"milldeck/internal/maintenance/calendar"
)

// search is one search for a start of a window that does not conflict with the windows that have a planned start
// or are out of service.
type search struct {
	table        *Table
	request      Request
	participants []participant // sorted by tenant
	nowMS        int64         // Unix ms
}

// participant is a tenant whose contract has to approve the window.
type participant struct {
	contract    *ActiveContract
	serverCount int // all servers of the tenant
	calendar    *calendar.Calendar
	approved    []calendar.Interval // within the planning horizon
}

// checkServerCount checks the requested number of servers against the contract's available share, regardless of
// the time and of other windows.
func (p *participant) checkServerCount(requested int) error {
	if requested <= maxServersOut(p.serverCount, p.contract.MinAvailableShare) {
		return nil
	}
	tenant := p.contract.Tenant
	return &InfeasibleError{
		BlockingTenant: tenant,
		Reason: fmt.Sprintf("contract of %s: %d of its %d servers are more than its least share of %v lets go",
			tenant, requested, p.serverCount, p.contract.MinAvailableShare),
	}
}

// earliestStart returns the earliest start (Unix ms) of a window of requiredMS that the contracts of all
// participants approve, that fits into their monthly minutes, and that conflicts with no other window. It returns 0
// if there is no such start.
func (s *search) earliestStart(requiredMS int64) int64 {
	for _, interval := range s.availableIntervals() {
		startMS := interval.StartMS
		for startMS+requiredMS <= interval.EndMS {
			nextStartMS := s.nextStartWithinMinutes(startMS, requiredMS)
			if nextStartMS == 0 {
				return startMS
			}
			startMS = nextStartMS
		}
	}
	return 0
}

// availableIntervals returns the intervals that all contracts approve, and in which other windows neither use a
// server of the request nor use up the limits of a contract.
func (s *search) availableIntervals() []calendar.Interval {
	if len(s.participants) == 0 {
		return nil
	}
	approved := s.participants[0].approved
	for _, participant := range s.participants[1:] {
		approved = calendar.Intersect(approved, participant.approved)
	}
	reserved := s.reservations()
	var unavailable []calendar.Interval
	for _, reservation := range reserved {
		if shareServer(reservation.window.ServerUIDs, s.request.ServerUIDs) {
			unavailable = append(unavailable, reservation.Interval)
		}
	}
	for i := range s.participants {
		unavailable = append(unavailable, s.participants[i].saturatedIntervals(reserved, len(s.request.ServerUIDs))...)
	}
	slices.SortFunc(unavailable, func(a, b calendar.Interval) int { return cmp.Compare(a.StartMS, b.StartMS) })
	return calendar.Subtract(approved, unavailable)
}

// reservation is the time that another window is expected to occupy.
type reservation struct {
	window *Window
	calendar.Interval
}

func (s *search) reservations() []reservation {
	var reserved []reservation
	for _, window := range s.table.Windows() {
		if window.Name == s.request.Name {
			continue
		}
		switch requiredMS := s.table.EstimatedTotalMS(window.WorkMS); {
		case window.OutOfService():
			endMS := max(window.DrainStartedAtMS+window.EstimatedTotalMS, s.nowMS+s.table.EstimatedReturnMS())
			reserved = append(reserved, reservation{window, calendar.Interval{StartMS: window.DrainStartedAtMS, EndMS: endMS}})
		case window.Stage.hasPlannedStart():
			startMS := max(window.PlannedStartMS, min(s.nowMS, window.ClosesAtMS-requiredMS))
			reserved = append(reserved, reservation{window, calendar.Interval{StartMS: startMS, EndMS: startMS + requiredMS}})
		}
	}
	return reserved
}

// saturatedIntervals returns the intervals in which one more window of serverCount servers would exceed the
// number of concurrent windows or of servers out of service that the contract permits.
func (p *participant) saturatedIntervals(reserved []reservation, serverCount int) []calendar.Interval {
	var tenantReservations []reservation
	var edges []int64
	for _, reservation := range reserved {
		if reservation.window.involves(p.contract.Tenant) {
			tenantReservations = append(tenantReservations, reservation)
			edges = append(edges, reservation.StartMS, reservation.EndMS)
		}
	}
	slices.Sort(edges)
	var saturated []calendar.Interval
	for i := 1; i < len(edges); i++ {
		windowCount, serversOut := 1, serverCount
		for _, reservation := range tenantReservations {
			if reservation.StartMS <= edges[i-1] && edges[i-1] < reservation.EndMS {
				windowCount++
				serversOut += len(reservation.window.ServerUIDs)
			}
		}
		if windowCount > p.contract.MaxConcurrentWindows || serversOut > maxServersOut(p.serverCount, p.contract.MinAvailableShare) {
			saturated = append(saturated, calendar.Interval{StartMS: edges[i-1], EndMS: edges[i]})
		}
	}
	return saturated
}

// nextStartWithinMinutes returns 0 if the monthly minutes of all tenants suffice for a window at startMS.
// Otherwise it returns the next start that may succeed: the beginning of the month after the one whose minutes
// are exhausted.
func (s *search) nextStartWithinMinutes(startMS, requiredMS int64) int64 {
	for i := range s.participants {
		participant := &s.participants[i]
		limitMS := int64(participant.contract.MinutesPerMonth) * minuteMS
		for _, month := range participant.calendar.Months(startMS, startMS+requiredMS) {
			requestedMS := min(month.EndMS, startMS+requiredMS) - max(month.StartMS, startMS)
			if s.plannedMS(participant.contract.Tenant, month)+requestedMS > limitMS {
				return max(month.EndMS, startMS+1)
			}
		}
	}
	return 0
}

// plannedMS returns the time that a tenant has used in a month, plus the time that its other windows are expected
// to use in that month if they are out of service or have a planned start.
func (s *search) plannedMS(tenant string, month calendar.Month) int64 {
	planned := s.table.committedMS(tenant, month.Name, s.nowMS)
	for _, other := range s.table.Windows() {
		if !other.Stage.hasPlannedStart() || other.Name == s.request.Name || !other.involves(tenant) {
			continue
		}
		endMS := other.PlannedStartMS + s.table.EstimatedTotalMS(other.WorkMS)
		planned += max(0, min(month.EndMS, endMS)-max(month.StartMS, other.PlannedStartMS))
	}
	return planned
}

// explainInfeasible finds the contract that alone prevents the window, and the longest work for which there is a
// start.
func (s *search) explainInfeasible(requiredMS int64) *InfeasibleError {
	infeasible := &InfeasibleError{Reason: "the contracts approve no such time together"}
	if len(s.participants) == 1 {
		infeasible.setBlockingTenant(s.participants[0].contract.Tenant)
	} else {
		s.findBlockingTenant(infeasible, requiredMS)
	}
	overheadMS := requiredMS - s.request.WorkMS
	if minutes := s.longestFeasibleWork(overheadMS); minutes > 0 {
		infeasible.FeasibleWorkMS = minutes * minuteMS
		infeasible.FeasibleWorkStartMS = s.earliestStart(overheadMS + minutes*minuteMS)
	}
	return infeasible
}

func (e *InfeasibleError) setBlockingTenant(tenant string) {
	e.BlockingTenant = tenant
	e.Reason = "contract of " + tenant + " forbids it"
}

// findBlockingTenant records the tenant without whose contract the window could start earliest.
func (s *search) findBlockingTenant(infeasible *InfeasibleError, requiredMS int64) {
	for i := range s.participants {
		others := *s
		others.participants = slices.Delete(slices.Clone(s.participants), i, i+1)
		startMS := others.earliestStart(requiredMS)
		if startMS != 0 && (infeasible.StartWithoutTenantMS == 0 || startMS < infeasible.StartWithoutTenantMS) {
			infeasible.setBlockingTenant(s.participants[i].contract.Tenant)
			infeasible.StartWithoutTenantMS = startMS
		}
	}
}

// longestFeasibleWork returns the longest work, in whole minutes, for which there is a start; 0: none. It bisects
// between 0 and the requested work, for which there is no start.
func (s *search) longestFeasibleWork(overheadMS int64) int64 {
	feasible, infeasible := int64(0), s.request.WorkMS/minuteMS
	for feasible+1 < infeasible {
		middle := (feasible + infeasible) / 2
		if s.earliestStart(overheadMS+middle*minuteMS) != 0 {
			feasible = middle
		} else {
			infeasible = middle
		}
	}
	return feasible
}

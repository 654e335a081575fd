package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"milldeck/internal/maintenance/calendar"
)

const (
	// PlanningHorizonMS is how far ahead the planner looks: two months, so that each rule of a month is met.
	PlanningHorizonMS = 60 * dayMS
	// hoursSearchRadiusMS is how far about a start a contract's own hours are looked up: hours that are longer are cut.
	hoursSearchRadiusMS = 8 * dayMS
)

// Fleet is what is known of the servers: the tenants of each, by uid. A server of no tenant's belongs to all who have a
// contract.
type Fleet map[string][]string

// Request is a window that is to be planned.
type Request struct {
	Name         string
	ServerUIDs   []string
	WorkMS       int64
	NotBeforeMS  int64 // not before
	ProposedAtMS int64 // when it was proposed: notices run from there
}

// Plan is when a window may begin, and what the contracts approve of it.
type Plan struct {
	StartMS    int64
	ClosesAtMS int64
	RequiredMS int64
	Approvals  []Approval
}

// InfeasibleError says why there is no time for a window, and what comes nearest.
type InfeasibleError struct {
	BlockingTenant       string // whose contract alone forbids it; "" where it takes more than one
	Reason               string
	StartWithoutTenantMS int64 // the earliest start if that contract did not; 0: none
	FeasibleWorkMS       int64 // the longest work for which there is a time; 0: none
	FeasibleWorkStartMS  int64 // and its start
}

func (e *InfeasibleError) Error() string {
	text := e.Reason
	if e.StartWithoutTenantMS != 0 {
		text += fmt.Sprintf("; without it from %s on", formatUTC(e.StartWithoutTenantMS))
	}
	if e.FeasibleWorkMS != 0 {
		text += fmt.Sprintf("; work of %s fits at %s", time.Duration(e.FeasibleWorkMS)*time.Millisecond, formatUTC(e.FeasibleWorkStartMS))
	}
	return text
}

func formatUTC(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// Planner finds times. It keeps the contracts' hours made ready. It is not safe for concurrent use.
type Planner struct {
	calendars map[string]compiledCalendar
}

type compiledCalendar struct {
	version  uint64
	calendar *calendar.Calendar
}

// NewPlanner is a planner that has seen no contract yet.
func NewPlanner() *Planner { return &Planner{calendars: map[string]compiledCalendar{}} }

// calendar are a contract's, compiled once a version.
func (p *Planner) calendar(active *ActiveContract) (*calendar.Calendar, error) {
	if cached, ok := p.calendars[active.Tenant]; ok && cached.version == active.Version {
		return cached.calendar, nil
	}
	compiled, err := active.Calendar()
	if err != nil {
		return nil, fmt.Errorf("contract of %s: %w", active.Tenant, err)
	}
	p.calendars[active.Tenant] = compiledCalendar{active.Version, compiled}
	return compiled, nil
}

// Approval is what a contract approves at an instant (Unix ms); nil: nothing.
func (p *Planner) Approval(active *ActiveContract, instantMS int64, serverCount int) *Approval {
	approvedHours, err := p.calendar(active)
	if err != nil {
		return nil
	}
	for _, interval := range approvedHours.Between(instantMS-hoursSearchRadiusMS, instantMS+hoursSearchRadiusMS) {
		if interval.StartMS <= instantMS && instantMS < interval.EndMS {
			return &Approval{active.Tenant, active.Version, interval.StartMS, interval.EndMS, approvedHours.Months(interval.StartMS, interval.EndMS+dayMS), serverCount}
		}
	}
	return nil
}

// ServerCounts gives, sorted, whose contracts have to approve that the servers go, each with how many servers it has.
func (f Fleet) ServerCounts(table *Table, serverUIDs []string) map[string]int {
	counts := map[string]int{}
	for _, uid := range serverUIDs {
		for _, tenant := range f.tenantsOf(table, uid) {
			counts[tenant] = 0
		}
	}
	for uid := range f {
		for _, tenant := range f.tenantsOf(table, uid) {
			if _, involved := counts[tenant]; involved {
				counts[tenant]++
			}
		}
	}
	return counts
}

func (f Fleet) tenantsOf(table *Table, uid string) []string {
	if tenants := f[uid]; len(tenants) > 0 {
		return tenants
	}
	var all []string
	for _, active := range table.Contracts() {
		all = append(all, active.Tenant)
	}
	return all
}

// participant is one tenant's part in a search.
type participant struct {
	contract    *ActiveContract
	serverCount int
	approved    []calendar.Interval
	calendar    *calendar.Calendar
}

// Plan finds the earliest time for a wish from now on, or says who forbids it: then its error is a *Forbidden.
func (p *Planner) Plan(table *Table, fleet Fleet, request Request, nowMS int64) (*Plan, error) {
	for _, uid := range request.ServerUIDs {
		if _, known := fleet[uid]; !known {
			return nil, &InfeasibleError{Reason: "there is no server " + uid}
		}
	}
	serverCounts := fleet.ServerCounts(table, request.ServerUIDs)
	tenants := sortedKeys(serverCounts)
	if len(tenants) == 0 {
		return nil, &InfeasibleError{Reason: "there is no contract that could approve it"}
	}
	searchStartMS := max(nowMS, request.NotBeforeMS)
	participants := make([]participant, 0, len(tenants))
	for _, tenant := range tenants {
		active := table.Contract(tenant)
		if active == nil {
			return nil, &InfeasibleError{BlockingTenant: tenant, Reason: "there is no contract of " + tenant}
		}
		compiled, err := p.calendar(active)
		if err != nil {
			return nil, &InfeasibleError{BlockingTenant: tenant, Reason: err.Error()}
		}
		searchStartMS = max(searchStartMS, request.ProposedAtMS+active.NoticeMS())
		participants = append(participants, participant{contract: active, serverCount: serverCounts[tenant], calendar: compiled})
	}
	for i := range participants {
		participants[i].approved = participants[i].calendar.Between(searchStartMS, searchStartMS+PlanningHorizonMS)
		if len(request.ServerUIDs) > maxServersOut(participants[i].serverCount, participants[i].contract.MinAvailableShare) {
			return nil, &InfeasibleError{BlockingTenant: tenants[i], Reason: fmt.Sprintf("contract of %s: %d of its %d servers are more than its least share of %v lets go",
				tenants[i], len(request.ServerUIDs), participants[i].serverCount, participants[i].contract.MinAvailableShare)}
		}
	}
	requiredMS := table.EstimatedTotalMS(request.WorkMS) + CloseGuardMS
	if startMS := p.earliestStart(table, participants, request, requiredMS, nowMS); startMS != 0 {
		plan := &Plan{StartMS: startMS, RequiredMS: requiredMS}
		for i := range participants {
			approval := p.Approval(participants[i].contract, startMS, participants[i].serverCount)
			if approval == nil {
				return nil, &InfeasibleError{BlockingTenant: tenants[i], Reason: "contract of " + tenants[i] + ": its hours are longer than can be looked up"}
			}
			plan.Approvals = append(plan.Approvals, *approval)
		}
		plan.ClosesAtMS = earliestClose(plan.Approvals)
		return plan, nil
	}
	return nil, p.explainInfeasible(table, participants, request, requiredMS, nowMS)
}

// earliestStart is the first start at which so long a time is approved by all and taken by nobody; 0: none.
func (p *Planner) earliestStart(table *Table, participants []participant, request Request, requiredMS, nowMS int64) int64 {
	for _, interval := range availableIntervals(table, participants, request, nowMS) {
		for startMS := interval.StartMS; startMS+requiredMS <= interval.EndMS; {
			nextStartMS := nextStartWithinMinutes(table, participants, request, startMS, requiredMS, nowMS)
			if nextStartMS == 0 {
				return startMS
			}
			startMS = nextStartMS
		}
	}
	return 0
}

// availableIntervals are the times that all contracts approve and no other window of theirs, or of a server, has taken.
func availableIntervals(table *Table, participants []participant, request Request, nowMS int64) []calendar.Interval {
	if len(participants) == 0 {
		return nil
	}
	approved := participants[0].approved
	for i := range participants[1:] {
		approved = calendar.Intersect(approved, participants[i+1].approved)
	}
	reserved := reservations(table, request.Name, nowMS)
	var unavailable []calendar.Interval
	for _, reservation := range reserved {
		if shareServer(reservation.window.ServerUIDs, request.ServerUIDs) {
			unavailable = append(unavailable, reservation.Interval)
		}
	}
	for i := range participants {
		unavailable = append(unavailable, saturatedIntervals(&participants[i], reserved, len(request.ServerUIDs))...)
	}
	slices.SortFunc(unavailable, func(a, b calendar.Interval) int { return cmp.Compare(a.StartMS, b.StartMS) })
	return calendar.Subtract(approved, unavailable)
}

// reservation is the time that another window has, or will have.
type reservation struct {
	window *Window
	calendar.Interval
}

func reservations(table *Table, excludedName string, nowMS int64) []reservation {
	var reserved []reservation
	for _, window := range table.Windows() {
		switch requiredMS := table.EstimatedTotalMS(window.WorkMS); {
		case window.Name == excludedName:
		case window.OutOfService():
			reserved = append(reserved, reservation{window, calendar.Interval{StartMS: window.DrainStartedAtMS, EndMS: max(window.DrainStartedAtMS+window.EstimatedTotalMS, nowMS+table.EstimatedReturnMS())}})
		case window.Stage == StageApproved || window.Stage == StageAwaitingPermit:
			startMS := max(window.PlannedStartMS, min(nowMS, window.ClosesAtMS-requiredMS))
			reserved = append(reserved, reservation{window, calendar.Interval{StartMS: startMS, EndMS: startMS + requiredMS}})
		}
	}
	return reserved
}

// saturatedIntervals are the times at which one more window of so many servers would be one too many for a tenant.
func saturatedIntervals(participant *participant, reserved []reservation, serverCount int) []calendar.Interval {
	var ofTenant []reservation
	var edges []int64
	for _, reservation := range reserved {
		if involvesTenant(reservation.window, participant.contract.Tenant) {
			ofTenant = append(ofTenant, reservation)
			edges = append(edges, reservation.StartMS, reservation.EndMS)
		}
	}
	slices.Sort(edges)
	var saturated []calendar.Interval
	for i := 1; i < len(edges); i++ {
		windowCount, serversOut := 1, serverCount
		for _, reservation := range ofTenant {
			if reservation.StartMS <= edges[i-1] && edges[i-1] < reservation.EndMS {
				windowCount++
				serversOut += len(reservation.window.ServerUIDs)
			}
		}
		if windowCount > participant.contract.MaxConcurrentWindows || serversOut > maxServersOut(participant.serverCount, participant.contract.MinAvailableShare) {
			saturated = append(saturated, calendar.Interval{StartMS: edges[i-1], EndMS: edges[i]})
		}
	}
	return saturated
}

// nextStartWithinMinutes gives 0 where all tenants have the minutes for a window at from, and else the next start worth a look.
func nextStartWithinMinutes(table *Table, participants []participant, request Request, startMS, requiredMS, nowMS int64) int64 {
	for i := range participants {
		participant := &participants[i]
		for _, month := range participant.calendar.Months(startMS, startMS+requiredMS) {
			committed := table.committedMS(participant.contract.Tenant, month.Name, nowMS) + min(month.EndMS, startMS+requiredMS) - max(month.StartMS, startMS)
			for _, other := range table.Windows() {
				if other.Name != request.Name && (other.Stage == StageApproved || other.Stage == StageAwaitingPermit) && involvesTenant(other, participant.contract.Tenant) {
					committed += max(0, min(month.EndMS, other.PlannedStartMS+table.EstimatedTotalMS(other.WorkMS))-max(month.StartMS, other.PlannedStartMS))
				}
			}
			if committed > int64(participant.contract.MinutesPerMonth)*60_000 {
				return max(month.EndMS, startMS+1)
			}
		}
	}
	return 0
}

// explainInfeasible finds out whose contract alone is in the way, and what shorter work would fit.
func (p *Planner) explainInfeasible(table *Table, participants []participant, request Request, requiredMS, nowMS int64) *InfeasibleError {
	infeasible := &InfeasibleError{Reason: "the contracts approve no such time together"}
	if len(participants) == 1 {
		infeasible.BlockingTenant, infeasible.Reason = participants[0].contract.Tenant, "contract of "+participants[0].contract.Tenant+" forbids it"
	}
	for i := range participants {
		if len(participants) == 1 {
			break
		}
		others := slices.Delete(slices.Clone(participants), i, i+1)
		if startMS := p.earliestStart(table, others, request, requiredMS, nowMS); startMS != 0 && (infeasible.StartWithoutTenantMS == 0 || startMS < infeasible.StartWithoutTenantMS) {
			infeasible.BlockingTenant, infeasible.Reason, infeasible.StartWithoutTenantMS = participants[i].contract.Tenant, "contract of "+participants[i].contract.Tenant+" forbids it", startMS
		}
	}
	const minuteMS = 60_000
	overheadMS := requiredMS - request.WorkMS
	feasible, infeasibleFrom := int64(0), request.WorkMS/minuteMS // work of lo minutes fits, of hi does not
	for feasible+1 < infeasibleFrom {
		middle := (feasible + infeasibleFrom) / 2
		if p.earliestStart(table, participants, request, overheadMS+middle*minuteMS, nowMS) != 0 {
			feasible = middle
		} else {
			infeasibleFrom = middle
		}
	}
	if feasible > 0 {
		infeasible.FeasibleWorkMS, infeasible.FeasibleWorkStartMS = feasible*minuteMS, p.earliestStart(table, participants, request, overheadMS+feasible*minuteMS, nowMS)
	}
	return infeasible
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

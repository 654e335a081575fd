package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"milldeck/internal/maintenance/calendar"
)

const (
	// PlanningHorizonMS is how far ahead the Planner searches. Every monthly rule occurs within these two months.
	PlanningHorizonMS = 60 * dayMS
	// hoursSearchRadiusMS is how far before and after a start the Planner looks up the approved interval of a
	// contract. It exceeds calendar.MaxLength. A longer interval, merged from the hours of several rules, is cut.
	hoursSearchRadiusMS = 8 * dayMS
)

// Request is a window to be planned. Times are Unix ms.
type Request struct {
	Name         string
	ServerUIDs   []string // sorted
	WorkMS       int64    // time for the work, without drain and return
	NotBeforeMS  int64
	ProposedAtMS int64 // the notice of each contract starts at this time
}

// Plan is the start of a window with the approvals that cover it. Times are Unix ms.
type Plan struct {
	StartMS    int64
	ClosesAtMS int64 // the earliest close of Approvals
	RequiredMS int64 // for drain, work, return and CloseMarginMS
	Approvals  []Approval
}

// InfeasibleError says why the Planner found no start for a window, and gives the nearest alternatives.
type InfeasibleError struct {
	BlockingTenant       string // tenant whose contract alone prevents the window; "": there is no single one
	Reason               string
	StartWithoutTenantMS int64 // earliest start without that contract, Unix ms; 0: none
	FeasibleWorkMS       int64 // longest work for which there is a start; 0: none
	FeasibleWorkStartMS  int64 // start for FeasibleWorkMS, Unix ms
}

// Error returns the reason with the nearest alternatives, for operators.
func (e *InfeasibleError) Error() string {
	text := e.Reason
	if e.StartWithoutTenantMS != 0 {
		text += fmt.Sprintf("; without it from %s on", formatUTC(e.StartWithoutTenantMS))
	}
	if e.FeasibleWorkMS != 0 {
		work := time.Duration(e.FeasibleWorkMS) * time.Millisecond
		text += fmt.Sprintf("; work of %s fits at %s", work, formatUTC(e.FeasibleWorkStartMS))
	}
	return text
}

func formatUTC(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// Planner finds the earliest start of a window. It caches the compiled calendars of contracts, and is not safe
// for concurrent use.
type Planner struct {
	calendars map[string]compiledCalendar // by tenant
}

type compiledCalendar struct {
	version  uint64 // of the contract
	calendar *calendar.Calendar
}

// NewPlanner returns a Planner with an empty cache.
func NewPlanner() *Planner { return &Planner{calendars: map[string]compiledCalendar{}} }

// calendar returns the compiled calendar of a contract, from the cache if the contract has not changed.
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

// Approval returns the interval that a contract approves around an instant (Unix ms), or nil if the contract does
// not approve the instant.
func (p *Planner) Approval(active *ActiveContract, instantMS int64, serverCount int) *Approval {
	approvedHours, err := p.calendar(active)
	if err != nil {
		return nil // a contract that cannot be compiled approves nothing
	}
	for _, interval := range approvedHours.Between(instantMS-hoursSearchRadiusMS, instantMS+hoursSearchRadiusMS) {
		if interval.StartMS <= instantMS && instantMS < interval.EndMS {
			return &Approval{
				Tenant:          active.Tenant,
				ContractVersion: active.Version,
				OpensAtMS:       interval.StartMS,
				ClosesAtMS:      interval.EndMS,
				Months:          approvedHours.Months(interval.StartMS, interval.EndMS+dayMS),
				ServerCount:     serverCount,
			}
		}
	}
	return nil
}

// Plan finds the earliest start at or after nowMS (Unix ms) that the contracts of all tenants of the servers
// approve. If there is none, the error is an *InfeasibleError.
func (p *Planner) Plan(table *Table, fleet Fleet, request Request, nowMS int64) (*Plan, error) {
	startSearch, err := p.newSearch(table, fleet, request, nowMS)
	if err != nil {
		return nil, err
	}
	requiredMS := table.EstimatedTotalMS(request.WorkMS) + CloseMarginMS
	startMS := startSearch.earliestStart(requiredMS)
	if startMS == 0 {
		return nil, startSearch.explainInfeasible(requiredMS)
	}
	plan := &Plan{StartMS: startMS, RequiredMS: requiredMS}
	for _, participant := range startSearch.participants {
		approval := p.Approval(participant.contract, startMS, participant.serverCount)
		if approval == nil {
			tenant := participant.contract.Tenant
			return nil, &InfeasibleError{BlockingTenant: tenant, Reason: "contract of " + tenant + ": its hours are longer than can be looked up"}
		}
		plan.Approvals = append(plan.Approvals, *approval)
	}
	plan.ClosesAtMS = earliestClose(plan.Approvals)
	return plan, nil
}

// newSearch looks up the tenants of the requested servers, and the hours that the contracts of these tenants
// approve within the planning horizon.
func (p *Planner) newSearch(table *Table, fleet Fleet, request Request, nowMS int64) (*search, error) {
	for _, uid := range request.ServerUIDs {
		if _, known := fleet[uid]; !known {
			return nil, &InfeasibleError{Reason: "there is no server " + uid}
		}
	}
	serverCounts := fleet.ServerCounts(table, request.ServerUIDs)
	if len(serverCounts) == 0 {
		return nil, &InfeasibleError{Reason: "there is no contract that could approve it"}
	}
	s := &search{table: table, request: request, nowMS: nowMS}
	searchStartMS := max(nowMS, request.NotBeforeMS)
	for _, tenant := range slices.Sorted(maps.Keys(serverCounts)) {
		active := table.Contract(tenant)
		if active == nil {
			return nil, &InfeasibleError{BlockingTenant: tenant, Reason: "there is no contract of " + tenant}
		}
		compiled, err := p.calendar(active)
		if err != nil {
			return nil, &InfeasibleError{BlockingTenant: tenant, Reason: err.Error()}
		}
		searchStartMS = max(searchStartMS, request.ProposedAtMS+active.NoticeMS())
		s.participants = append(s.participants, participant{contract: active, serverCount: serverCounts[tenant], calendar: compiled})
	}
	for i := range s.participants {
		participant := &s.participants[i]
		participant.approved = participant.calendar.Between(searchStartMS, searchStartMS+PlanningHorizonMS)
		if err := participant.checkServerCount(len(request.ServerUIDs)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

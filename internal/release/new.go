package release

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// New draws a release of a plan from the fleet and the platform as they are. What the dry run refuses is refused; so is a
// unit that the platform does not list, as nobody could stop it, and one that is on the new version already is left out.
func New(releasePlan *plan.Plan, nowMS int64, units []disruption.Unit, budgets []disruption.Budget, platform *supervisor.List) (*State, error) {
	if preview := plan.NewPreview(releasePlan, units, budgets); len(preview.Infeasible) > 0 {
		return nil, fmt.Errorf("release %s: %s", releasePlan.Name, preview.Infeasible[0])
	}
	state := &State{Name: releasePlan.Name, Plan: releasePlan, PlanHash: releasePlan.Hash(), StartedAtMS: nowMS, Status: Status{Phase: PhaseRollout}}
	selected := plan.SelectUnits(releasePlan, units)
	byID := make(map[string]disruption.Unit, len(selected))
	for _, unit := range selected {
		byID[unit.ID] = unit
	}
	for wave, ids := range plan.AssignWaves(releasePlan, selected) {
		for _, id := range ids {
			unit, err := newUnit(platform, byID[id], wave)
			if err != nil {
				return nil, fmt.Errorf("release %s: %w", releasePlan.Name, err)
			}
			unit.Target = unit.Previous
			if preview := releasePlan.Change.ServerVersion + releasePlan.Change.SidecarVersion; preview != "" {
				unit.Target.Version = preview
			}
			if releasePlan.Change.SidecarConfig != "" {
				unit.Target.ConfigName = releasePlan.Change.SidecarConfig
			}
			if unit.Target != unit.Previous {
				state.Units = append(state.Units, unit)
			}
		}
	}
	if len(state.Units) == 0 {
		return nil, fmt.Errorf("release %s: all its units are on the new version", releasePlan.Name)
	}
	return state, nil
}

// DrainPlan is the plan of a plain drain: the units that a selector names, bounded by the budgets alone.
func DrainPlan(name string, selector disruption.Selector, deadlineSeconds float64) *plan.Plan {
	if selector.Kind == "" {
		selector.Kind = disruption.KindServer
	}
	maxUnavailable := maxUnits
	return &plan.Plan{
		Name: name, Selector: selector, OnHalt: plan.OnHaltHold, DeadlineSeconds: deadlineSeconds, Waves: []plan.Wave{{}},
		Limits: plan.Limits{MaxUnavailable: disruption.Limit{Count: &maxUnavailable}},
	}
}

// NewDrain draws a plain drain: its units are emptied and stopped within the budgets, and stay out for good.
func NewDrain(releasePlan *plan.Plan, nowMS int64, units []disruption.Unit, platform *supervisor.List) (*State, error) {
	name, selector := releasePlan.Name, releasePlan.Selector
	state := &State{Name: name, Plan: releasePlan, PlanHash: releasePlan.Hash(), DrainOnly: true, StartedAtMS: nowMS, Status: Status{Phase: PhaseRollout}}
	for _, ledgerUnit := range units {
		if !selector.Matches(&ledgerUnit) {
			continue
		}
		unit, err := newUnit(platform, ledgerUnit, 0)
		if err != nil {
			return nil, fmt.Errorf("drain %s: %w", name, err)
		}
		state.Units = append(state.Units, unit)
	}
	if len(state.Units) == 0 {
		return nil, fmt.Errorf("drain %s: nothing is selected", name)
	}
	return state, nil
}

func newUnit(platform *supervisor.List, ledgerUnit disruption.Unit, wave int) (Unit, error) {
	if platform == nil || !platform.Complete {
		return Unit{}, fmt.Errorf("the platform does not know all that it runs")
	}
	name := ledgerUnit.ID[len(ledgerUnit.Kind)+1:]
	listed := platform.Find(name)
	if listed == nil {
		return Unit{}, fmt.Errorf("the platform does not list %s", ledgerUnit.ID)
	}
	capacity := ledgerUnit.Capacity
	if capacity == 0 {
		capacity = 1
	}
	return Unit{ID: ledgerUnit.ID, Name: name, Wave: wave, Previous: Image{listed.Version, listed.ConfigName}, Listen: listed.Listen, Zone: listed.Zone,
		Capacity: capacity, Stage: StagePending}, nil
}

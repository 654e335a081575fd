package release

import (
	"errors"
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// New makes the initial state of a release from its plan and from the fleet and the platform as they are. Units that run
// the target image already are left out. It is an error if the plan is infeasible, if the platform does not list a unit,
// which could not be stopped then, or if nothing is left to do.
func New(
	releasePlan *plan.Plan, nowMS int64, units []disruption.Unit, budgets []disruption.Budget, platform *supervisor.List,
) (*State, error) {
	if preview := plan.NewPreview(releasePlan, units, budgets); len(preview.Infeasible) > 0 {
		return nil, fmt.Errorf("release %s: %s", releasePlan.Name, preview.Infeasible[0])
	}
	state := newState(releasePlan, nowMS)
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
			unit.Target = targetImage(releasePlan, unit.Previous)
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

// DrainPlan is the plan of a drain: the units of a selector, servers unless it names a kind, in one wave that only the
// fleet's budgets bound.
func DrainPlan(name string, selector disruption.Selector, deadlineSeconds float64) *plan.Plan {
	if selector.Kind == "" {
		selector.Kind = disruption.KindServer
	}
	maxUnavailable := maxUnits
	return &plan.Plan{
		Name:            name,
		Selector:        selector,
		OnHalt:          plan.OnHaltHold,
		DeadlineSeconds: deadlineSeconds,
		Waves:           []plan.Wave{{}},
		Limits:          plan.Limits{MaxUnavailable: disruption.Limit{Count: &maxUnavailable}},
	}
}

// NewDrain makes the initial state of a drain, whose units are drained, stopped, and stay out for good. It is an error if
// the platform does not list a unit, or if nothing is selected.
func NewDrain(
	drainPlan *plan.Plan, nowMS int64, units []disruption.Unit, platform *supervisor.List,
) (*State, error) {
	state := newState(drainPlan, nowMS)
	state.DrainOnly = true
	for i := range units {
		if !drainPlan.Selector.Matches(&units[i]) {
			continue
		}
		unit, err := newUnit(platform, units[i], 0)
		if err != nil {
			return nil, fmt.Errorf("drain %s: %w", drainPlan.Name, err)
		}
		state.Units = append(state.Units, unit)
	}
	if len(state.Units) == 0 {
		return nil, fmt.Errorf("drain %s: nothing is selected", drainPlan.Name)
	}
	return state, nil
}

func newState(releasePlan *plan.Plan, nowMS int64) *State {
	return &State{
		Name:        releasePlan.Name,
		Plan:        releasePlan,
		PlanHash:    releasePlan.Hash(),
		StartedAtMS: nowMS,
		Status:      Status{Phase: PhaseRollout},
	}
}

// targetImage is what a unit runs after the plan's change.
func targetImage(releasePlan *plan.Plan, previous Image) Image {
	target := previous
	if version := releasePlan.Change.Version(); version != "" {
		target.Version = version
	}
	if config := releasePlan.Change.SidecarConfig; config != "" {
		target.ConfigName = config
	}
	return target
}

// newUnit is a pending unit of a wave, with the image that the platform lists as its previous one.
func newUnit(platform *supervisor.List, ledgerUnit disruption.Unit, wave int) (Unit, error) {
	if platform == nil || !platform.Complete {
		return Unit{}, errors.New("the platform does not know all that it runs")
	}
	name := ledgerUnit.ID[len(ledgerUnit.Kind)+1:]
	listed := platform.Find(name)
	if listed == nil {
		return Unit{}, fmt.Errorf("the platform does not list %s", ledgerUnit.ID)
	}
	return Unit{
		ID:       ledgerUnit.ID,
		Name:     name,
		Wave:     wave,
		Previous: Image{Version: listed.Version, ConfigName: listed.ConfigName},
		Listen:   listed.Listen,
		Zone:     listed.Zone,
		Capacity: plan.EffectiveCapacity(&ledgerUnit),
		Stage:    StagePending,
	}, nil
}

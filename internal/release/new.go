package release

import (
	"errors"
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// New returns the initial state of a release, computed from its plan and the present state of the fleet and the platform.
// It leaves out units that already run the target image. It returns an error if the plan is infeasible, if no unit needs
// an update, or if the platform does not list a unit, because such a unit cannot be stopped.
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
		return nil, fmt.Errorf("release %s: all selected units already run the target version and configuration", releasePlan.Name)
	}
	return state, nil
}

// DrainPlan returns the plan of a drain. It selects the units of a selector, or only servers if the selector names no
// kind, in a single wave that only the fleet's budgets limit.
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

// NewDrain returns the initial state of a drain, which drains and stops its units permanently. It returns an error if the
// plan selects no unit or if the platform does not list a unit.
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
		return nil, fmt.Errorf("drain %s: no unit matches the selector", drainPlan.Name)
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

// targetImage returns the image that a unit runs after the plan's change.
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

// newUnit returns a pending unit of a wave. Its previous image is the one that the platform lists.
func newUnit(platform *supervisor.List, ledgerUnit disruption.Unit, wave int) (Unit, error) {
	if platform == nil || !platform.Complete {
		return Unit{}, errors.New("the platform has no complete list of its units")
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

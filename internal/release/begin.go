package release

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// New draws a release of a plan from the fleet and the platform as they are. What the dry run refuses is refused; so is a
// unit that the platform does not list, as nobody could stop it, and one that is on the new version already is left out.
func New(p *plan.Plan, nowMS int64, units []disruption.Unit, budgets []disruption.Budget, l *supervisor.List) (*State, error) {
	if v := plan.Check(p, units, budgets); len(v.Refused) > 0 {
		return nil, fmt.Errorf("release %s: %s", p.Name, v.Refused[0])
	}
	s := &State{Name: p.Name, Plan: p, Hash: p.Hash(), StartMS: nowMS, Head: Head{Phase: Forward}}
	moved := plan.Units(p, units)
	byID := make(map[string]disruption.Unit, len(moved))
	for _, u := range moved {
		byID[u.ID] = u
	}
	for wave, ids := range plan.Waves(p, moved) {
		for _, id := range ids {
			u, err := draw(l, byID[id], wave)
			if err != nil {
				return nil, fmt.Errorf("release %s: %w", p.Name, err)
			}
			u.To = u.Was
			if v := p.What.Server + p.What.Sidecar; v != "" {
				u.To.Version = v
			}
			if p.What.SidecarConfig != "" {
				u.To.Config = p.What.SidecarConfig
			}
			if u.To != u.Was {
				s.Units = append(s.Units, u)
			}
		}
	}
	if len(s.Units) == 0 {
		return nil, fmt.Errorf("release %s: all its units are on the new version", p.Name)
	}
	return s, nil
}

// DrainPlan is the plan of a plain drain: the units that a selector names, bounded by the budgets alone.
func DrainPlan(name string, sel disruption.Selector, deadlineS float64) *plan.Plan {
	if sel.Kind == "" {
		sel.Kind = disruption.KindServer
	}
	n := maxUnits
	return &plan.Plan{
		Name: name, Select: sel, OnHalt: plan.Hold, Deadline: deadlineS, Waves: []plan.Wave{{}},
		Limits: plan.Limits{MaxOut: disruption.Limit{Count: &n}},
	}
}

// NewDrain draws a plain drain: its units are emptied and stopped within the budgets, and stay out for good.
func NewDrain(p *plan.Plan, nowMS int64, units []disruption.Unit, l *supervisor.List) (*State, error) {
	name, sel := p.Name, p.Select
	s := &State{Name: name, Plan: p, Hash: p.Hash(), Drain: true, StartMS: nowMS, Head: Head{Phase: Forward}}
	for _, d := range units {
		if !sel.Matches(&d) {
			continue
		}
		u, err := draw(l, d, 0)
		if err != nil {
			return nil, fmt.Errorf("drain %s: %w", name, err)
		}
		s.Units = append(s.Units, u)
	}
	if len(s.Units) == 0 {
		return nil, fmt.Errorf("drain %s: nothing is selected", name)
	}
	return s, nil
}

func draw(l *supervisor.List, d disruption.Unit, wave int) (Unit, error) {
	if l == nil || !l.Complete {
		return Unit{}, fmt.Errorf("the platform does not know all that it runs")
	}
	name := d.ID[len(d.Kind)+1:]
	at := l.Find(name)
	if at == nil {
		return Unit{}, fmt.Errorf("the platform does not list %s", d.ID)
	}
	capacity := d.Capacity
	if capacity == 0 {
		capacity = 1
	}
	return Unit{ID: d.ID, Name: name, Wave: wave, Was: Image{at.Version, at.ConfigName}, Listen: at.Listen, Zone: at.Zone,
		Capacity: capacity, Stage: Todo}, nil
}

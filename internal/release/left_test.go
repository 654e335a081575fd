package release

import (
	"testing"

	"milldeck/internal/disruption"
)

// A drained unit that has left the list, and whose permit has ended, while its controller was dead is at rest.
func TestADrainedUnitLeftWhileNobodyLooked(t *testing.T) {
	p := DrainPlan("d", disruption.Selector{IDs: []string{"server/a"}}, 3600)
	s := &State{Name: "d", Plan: p, Hash: p.Hash(), Drain: true, Head: Head{Phase: Forward, Token: 2},
		Units: []Unit{{ID: "server/a", Name: "a", Stage: Rise, Try: 1}}}
	none := &View{
		NowMS: 1000, Token: 2,
		Permits: func(string) (disruption.Permit, bool) { return disruption.Permit{}, false },
		Unit:    func(string) (disruption.Unit, bool) { return disruption.Unit{}, false },
	}
	for range 3 {
		for _, e := range s.Step(none) {
			if w, is := e.(Write); is {
				if err := s.Apply(w.Delta); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if s.Units[0].Stage != Rest || s.Head.Phase != Done {
		t.Errorf("the unit is at %s, the drain %s", s.Units[0].Stage, s.Head.Phase)
	}
}

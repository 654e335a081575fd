package hotkey

import (
	"math"

	"milldeck/internal/placement"
)

// KeyStatus is the status of a replicated key for operators. Loads are in ms of work per second.
type KeyStatus struct {
	Key        string  `json:"key"`  // 16 hexadecimal digits, as in directives
	LowerBound float64 `json:"low"`  // of the fleet's load of the key
	UpperBound float64 `json:"high"` // of the same load; math.MaxFloat64 without reports
	// Warming, Active and Retiring count the key's replicas by state.
	Warming  int `json:"warming"`
	Active   int `json:"carrying"`
	Retiring int `json:"cooling"`
	// Placement is the last published directive.
	Placement *placement.Directive `json:"placement,omitempty"`
}

// Status returns the replicated keys, ordered by key.
func (p *Planner) Status() []KeyStatus {
	var statuses []KeyStatus
	for _, k := range p.sortedKeys() {
		published := k.published
		statuses = append(statuses, KeyStatus{
			Key:        FormatKey(k.key),
			LowerBound: k.loadLowerBound,
			UpperBound: min(p.loads.upperBound(k.key, true), math.MaxFloat64),
			Warming:    k.countIn(Warming),
			Active:     k.countIn(Active),
			Retiring:   k.countIn(Retiring),
			Placement:  &published,
		})
	}
	return statuses
}

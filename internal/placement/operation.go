package placement

import (
	"fmt"

	"milldeck/internal/validation"
)

// Op is one operation of the log: directives set and deleted under their owner's lease, all or none, or directives that
// the leader found to have expired. It carries the times that it is judged by, as the state machine has no clock.
type Op struct {
	LeaderTimeMS int64          `json:"now_ms"`          // the leader's clock, Unix ms
	WriterTimeMS int64          `json:"at_ms,omitempty"` // the writer's clock, Unix ms; 0: not given, and not compared
	Set          []Directive    `json:"set,omitempty"`
	Delete       []string       `json:"drop,omitempty"`  // IDs; one that does not exist counts as deleted
	Expired      []DirectiveRef `json:"ended,omitempty"` // the leader's own; it needs no lease
}

// Validate reports, as a *validation.Error, what of an operation is invalid. It is meant for before the log.
func (o *Op) Validate() error {
	switch {
	case len(o.Set)+len(o.Delete)+len(o.Expired) == 0:
		return validation.Errorf("set", "nothing is set or dropped")
	case len(o.Set) > MaxSetPerOp:
		return validation.Errorf("set", "%d entries, at most %d", len(o.Set), MaxSetPerOp)
	case len(o.Delete) > MaxDirectives || len(o.Expired) > MaxDirectives:
		return validation.Errorf("drop", "%d ids, at most %d", max(len(o.Delete), len(o.Expired)), MaxDirectives)
	}
	set := map[string]bool{}
	for i := range o.Set {
		d := &o.Set[i]
		if err := d.Validate(); err != nil {
			return err
		}
		if set[d.ID] {
			return validation.Errorf("set", "%s is set twice", d.ID)
		}
		set[d.ID] = true
	}
	for _, id := range o.Delete {
		if id == "" || len(id) > MaxIDLength || set[id] {
			return validation.Errorf("drop", "%q is no id, or is set as well", id)
		}
	}
	return nil
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	OutcomeApplied      Outcome = "done"
	OutcomeRejected     Outcome = "refused"  // not its owner's lease, invalid times, or invalid fields
	OutcomeLimitReached Outcome = "too_many" // the table is full
)

// Result is the outcome of an operation. An operation that was not applied has changed nothing.
type Result struct {
	Outcome Outcome
	Reason  string // why it was not applied
}

func rejected(format string, args ...any) Result {
	return Result{OutcomeRejected, fmt.Sprintf(format, args...)}
}

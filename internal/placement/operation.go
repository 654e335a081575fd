package placement

import (
	"fmt"

	"milldeck/internal/validation"
)

// Op is one operation of the log. It sets and deletes directives under their owner's lease, all or none, or it removes
// directives that the leader found to have expired. The state machine has no clock, so the operation carries the times
// by which it is checked.
type Op struct {
	LeaderTimeMS int64          `json:"now_ms"`          // the leader's clock, Unix ms
	WriterTimeMS int64          `json:"at_ms,omitempty"` // the writer's clock, Unix ms; 0: unknown, and not checked
	Set          []Directive    `json:"set,omitempty"`
	Delete       []string       `json:"drop,omitempty"`  // IDs; deleting an unknown ID has no effect
	Expired      []DirectiveRef `json:"ended,omitempty"` // found by the leader; removing them needs no lease
}

// Validate checks an operation. The error is a *validation.Error. A replica rejects an invalid operation before it appends
// the operation to the log.
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

// Outcome is the outcome of an operation.
type Outcome string

// The outcomes.
const (
	OutcomeApplied      Outcome = "done"
	OutcomeRejected     Outcome = "refused"  // the lease does not own a directive, or times or fields are invalid
	OutcomeLimitReached Outcome = "too_many" // the table would exceed MaxDirectives or MaxTotalBytes
)

// Result is the result of an operation. An operation that was not applied has changed nothing.
type Result struct {
	Outcome Outcome
	Reason  string // why the operation was not applied
}

func rejected(format string, args ...any) Result {
	return Result{OutcomeRejected, fmt.Sprintf(format, args...)}
}

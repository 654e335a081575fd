package disruption

import "fmt"

// Halt defers grants. Its scope is "" for the fleet, "budget/NAME", or an owner ("release/NAME").
type Halt struct {
	Scope    string `json:"scope"`
	IssuedBy string `json:"by"` // an operator, a controller, or "doubt" for the ledger itself
	Reason   string `json:"why"`
	Revision uint64 `json:"rev"`
}

// OpKind is what an operation does.
type OpKind string

// The operations. All but OpObserve, and those of operators, need the owner's lease and token, which the state machine
// that holds the ledger has checked before it applies one.
const (
	OpSetBudget     OpKind = "budget"  // sets Budget, or deletes the one of that name where Delete is set
	OpRequest       OpKind = "ask"     // requests Permit
	OpBegin         OpKind = "begin"   // Permit.ID is being taken out from now on: written before the first act
	OpReturn        OpKind = "return"  // Permit.ID is being brought back
	OpComplete      OpKind = "settle"  // completes Units of Permit.ID, by Successors where they are replaced; rejected without evidence
	OpCancel        OpKind = "cancel"  // Permit.ID is not needed: closed, or where it has begun aborted and completed by evidence
	OpHalt          OpKind = "halt"    // sets Halt
	OpResume        OpKind = "resume"  // lifts the halts of Halt.Scope
	OpObserve       OpKind = "see"     // records Observed: what somebody found of units
	OpRemoveLost    OpKind = "forget"  // removes Units that are lost and will not return, by an operator
	OpForceComplete OpKind = "release" // closes Permit.ID without evidence, by an operator
)

// Op is one operation of the log.
type Op struct {
	Kind       OpKind            `json:"kind"`
	Budget     *Budget           `json:"budget,omitempty"`
	Delete     bool              `json:"drop,omitempty"`
	Permit     *Permit           `json:"permit,omitempty"`
	Units      []string          `json:"units,omitempty"`
	Successors map[string]string `json:"successors,omitempty"` // from a unit to the unit in its place
	Halt       *Halt             `json:"halt,omitempty"`
	Observed   []Unit            `json:"seen,omitempty"`
	Owner      string            `json:"owner,omitempty"` // the lease of who requests it; "operator/NAME" for people
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	OutcomeApplied      Outcome = "done"
	OutcomeRejected     Outcome = "refused"   // the ledger's state forbids it, or its fields are invalid
	OutcomeNotFound     Outcome = "not_found" // there is no such permit, budget or unit
	OutcomeLimitReached Outcome = "too_many"  // a bound of the ledger is reached
)

// Result is the outcome of an operation. An operation that was not applied has changed nothing.
type Result struct {
	Outcome Outcome
	Reason  string // why it was not applied, or a remark where it was; may be empty where it was
}

func applied() Result { return Result{Outcome: OutcomeApplied} }

func rejected(format string, args ...any) Result {
	return Result{OutcomeRejected, fmt.Sprintf(format, args...)}
}

func notFound(format string, args ...any) Result {
	return Result{OutcomeNotFound, fmt.Sprintf(format, args...)}
}

func limitReached(format string, args ...any) Result {
	return Result{OutcomeLimitReached, fmt.Sprintf(format, args...)}
}

package disruption

import "fmt"

// Halt defers the grants of the permits in its scope. Scope "" covers all permits, "budget/NAME" the permits for units of
// that budget, and the name of an owner (such as "release/NAME") the permits of that owner.
type Halt struct {
	Scope    string `json:"scope"`
	IssuedBy string `json:"by"` // an operator, a controller, or "doubt" for a halt by the ledger itself
	Reason   string `json:"why"`
	Revision uint64 `json:"rev"`
}

// OpKind is the kind of an operation.
type OpKind string

// The kinds of operations. All operations except OpObserve and those of operators need the owner's lease and fencing
// token. The state machine that holds the ledger checks both before it calls Apply.
const (
	OpSetBudget     OpKind = "budget"  // sets Budget, or deletes the budget of that name if Delete is set
	OpRequest       OpKind = "ask"     // requests Permit
	OpBegin         OpKind = "begin"   // marks the units of Permit.ID as being taken out; written before the owner's first action
	OpReturn        OpKind = "return"  // marks the units of Permit.ID as being brought back
	OpComplete      OpKind = "settle"  // completes Units of Permit.ID, with Successors for replaced ones; rejected without evidence
	OpCancel        OpKind = "cancel"  // closes Permit.ID before its begin; after its begin, aborts it until evidence completes it
	OpHalt          OpKind = "halt"    // sets Halt
	OpResume        OpKind = "resume"  // lifts the halts of Halt.Scope
	OpObserve       OpKind = "see"     // records Observed, the conditions that an observer found
	OpRemoveLost    OpKind = "forget"  // removes lost Units that will not return; operators only
	OpForceComplete OpKind = "release" // closes Permit.ID without evidence; operators only
)

// Op is an operation in the log.
type Op struct {
	Kind       OpKind            `json:"kind"`
	Budget     *Budget           `json:"budget,omitempty"`
	Delete     bool              `json:"drop,omitempty"`
	Permit     *Permit           `json:"permit,omitempty"`
	Units      []string          `json:"units,omitempty"`
	Successors map[string]string `json:"successors,omitempty"` // from a replaced unit to its replacement
	Halt       *Halt             `json:"halt,omitempty"`
	Observed   []Unit            `json:"seen,omitempty"`
	Owner      string            `json:"owner,omitempty"` // the requester's lease, or "operator/NAME" for a person
}

// Outcome says whether an operation was applied, or for what kind of reason it was not.
type Outcome string

// The outcomes.
const (
	OutcomeApplied      Outcome = "done"
	OutcomeRejected     Outcome = "refused"   // the ledger's state forbids it, or a field is invalid
	OutcomeNotFound     Outcome = "not_found" // the permit, budget or unit does not exist
	OutcomeLimitReached Outcome = "too_many"  // a size limit of the ledger is reached
)

// Result is the result of an operation. An operation that was not applied has changed nothing.
type Result struct {
	Outcome Outcome
	Reason  string // why it was not applied; for an applied operation a remark or ""
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

package maintenance

import (
	"errors"
	"fmt"
	"strings"

	"milldeck/internal/maintenance/contract"
	"milldeck/internal/validation"
)

// OperationKind selects what an operation does. The strings are stored in the log.
type OperationKind string

// The operations of operators. The comments list the fields of Operation that each kind uses.
const (
	OpSetContract      OperationKind = "contract" // Contract, CurrentApproval
	OpWithdrawContract OperationKind = "withdraw" // Tenant
	OpPropose          OperationKind = "propose"  // Window, Operator, ServerUIDs, WorkMS, NotBeforeMS
	OpCancel           OperationKind = "cancel"   // Window, Reason
	OpFinishWork       OperationKind = "finish"   // Window; the work is done earlier than planned
	OpHalt             OperationKind = "halt"     // Scope, Reason
	OpResume           OperationKind = "resume"   // Scope
	OpResetEstimates   OperationKind = "forget"   // no field; deletes the samples of drain and return times
)

// The operations of the controller. Each needs the controller's fencing token and the name of the window in Window.
const (
	OpSchedule        OperationKind = "plan"    // the window may start at PlannedStartMS under Approvals
	OpReject          OperationKind = "refuse"  // the window cannot be carried out; Reason
	OpAwaitPermit     OperationKind = "wait"    // the controller is about to request a permit
	OpBeginDrain      OperationKind = "drain"   // the permit is granted
	OpExtendExclusion OperationKind = "tell"    // sidecars exclude the servers until ExcludeUntilMS
	OpCompleteDrain   OperationKind = "free"    // load reports show that no request is in flight
	OpBeginReturn     OperationKind = "return"  // the servers return to service; StageAfterReturn, Reason
	OpMarkOverrun     OperationKind = "overrun" // the close has passed
	OpCompleteReturn  OperationKind = "back"    // health checks show that all servers are back
)

// Prefixes of Operation.Scope.
const (
	scopeTenant = "tenant/"
	scopeWindow = "window/"
)

// Operation is one change of a Table, as the replicated log stores it.
type Operation struct {
	Kind   OperationKind `json:"kind"`
	Window string        `json:"name,omitempty"`
	Token  uint64        `json:"token,omitempty"` // fencing token of the lease LeaseName; the controller's operations need it

	Tenant          string             `json:"tenant,omitempty"`
	Contract        *contract.Contract `json:"contract,omitempty"`
	CurrentApproval *Approval          `json:"grant,omitempty"` // of Contract for the present time; nil: not approved

	Operator    string   `json:"by,omitempty"`
	ServerUIDs  []string `json:"servers,omitempty"`
	WorkMS      int64    `json:"work_ms,omitempty"`
	NotBeforeMS int64    `json:"after_ms,omitempty"` // Unix ms

	Approvals        []Approval `json:"grants,omitempty"`
	PlannedStartMS   int64      `json:"from_ms,omitempty"`  // Unix ms
	ExcludeUntilMS   int64      `json:"until_ms,omitempty"` // Unix ms
	StageAfterReturn Stage      `json:"end,omitempty"`
	Scope            string     `json:"scope,omitempty"` // "" all windows, "tenant/NAME" or "window/NAME"
	Reason           string     `json:"why,omitempty"`
}

// RequiresToken reports whether the operation belongs to the controller and needs its fencing token.
func (kind OperationKind) RequiresToken() bool {
	switch kind {
	case OpSchedule, OpReject, OpAwaitPermit, OpBeginDrain, OpExtendExclusion, OpCompleteDrain, OpBeginReturn, OpMarkOverrun,
		OpCompleteReturn:
		return true
	}
	return false
}

// advancesWindow reports whether the operation moves a window towards or through its work. The table rejects
// these operations while the clocks are not trusted.
func (kind OperationKind) advancesWindow() bool {
	switch kind {
	case OpPropose, OpSchedule, OpAwaitPermit, OpBeginDrain, OpExtendExclusion, OpCompleteDrain:
		return true
	}
	return false
}

// namesWindow reports whether the operation applies to the window that the field Window names.
func (kind OperationKind) namesWindow() bool {
	switch kind {
	case OpSetContract, OpWithdrawContract, OpHalt, OpResume, OpResetEstimates:
		return false
	}
	return true
}

// Validate checks an operation before it is written to the log. The error is a *validation.Error that names the JSON
// field.
func (op *Operation) Validate() error {
	if op.Kind.namesWindow() && !validWindowName(op.Window) {
		return validation.Errorf("name", "%q is not 1 to %d characters without a slash", op.Window, maxNameLength)
	}
	switch op.Kind {
	case OpSetContract:
		if op.Contract == nil {
			return validation.Errorf("contract", "missing")
		}
		return op.Contract.Validate()
	case OpWithdrawContract:
		if op.Tenant == "" {
			return validation.Errorf("tenant", "missing")
		}
	case OpPropose:
		if err := op.validateProposal(); err != nil {
			return err
		}
	case OpHalt, OpResume:
		if !validScope(op.Scope) {
			return validation.Errorf("scope", "%q is not empty, tenant/NAME or window/NAME", op.Scope)
		}
	}
	switch {
	case len(op.Scope) > maxNameLength+len(scopeTenant):
		return validation.Errorf("scope", "over %d characters", maxNameLength+len(scopeTenant))
	case len(op.Reason) > maxReasonLength:
		return validation.Errorf("why", "%d bytes, at most %d", len(op.Reason), maxReasonLength)
	case op.Kind.RequiresToken() && op.Token == 0:
		return validation.Errorf("token", "missing")
	}
	return nil
}

func (op *Operation) validateProposal() error {
	if len(op.ServerUIDs) == 0 || len(op.ServerUIDs) > MaxServersPerWindow {
		return validation.Errorf("servers", "%d servers, wanted 1 to %d", len(op.ServerUIDs), MaxServersPerWindow)
	}
	if op.WorkMS <= 0 || op.WorkMS > maxWorkMS {
		return validation.Errorf("work_ms", "%d is not within 1 to %d", op.WorkMS, maxWorkMS)
	}
	return nil
}

func validWindowName(name string) bool {
	return name != "" && len(name) <= maxNameLength && !strings.Contains(name, "/")
}

func validScope(scope string) bool {
	return scope == "" || strings.HasPrefix(scope, scopeTenant) || strings.HasPrefix(scope, scopeWindow)
}

// Outcome classifies the result of an operation. The strings appear in the registry's responses.
type Outcome string

// The outcomes. Every outcome except OutcomeApplied belongs to a RejectedError.
const (
	OutcomeApplied       Outcome = "done"
	OutcomeStale         Outcome = "stale"     // the token is superseded, or the window or a contract has changed since it was read
	OutcomeClockFault    Outcome = "doubt"     // the clocks of controller and leader cannot be trusted
	OutcomeOutsideHours  Outcome = "closed"    // outside the approved hours, or not enough time before the close
	OutcomeBlocked       Outcome = "held"      // by a halt, a limit of a contract, a permit or another window; a retry may succeed
	OutcomeNotFound      Outcome = "not_found" // no such window or contract
	OutcomeLimitExceeded Outcome = "too_many"
	OutcomeInvalid       Outcome = "bad" // a retry can never succeed
)

// RejectedError says why an operation was not applied.
type RejectedError struct {
	Outcome Outcome
	Reason  string // for operators
}

// Error returns outcome and reason.
func (e *RejectedError) Error() string { return string(e.Outcome) + ": " + e.Reason }

func rejected(outcome Outcome, format string, args ...any) error {
	return &RejectedError{Outcome: outcome, Reason: fmt.Sprintf(format, args...)}
}

// OutcomeOf returns the outcome of an error from Table.Apply: OutcomeApplied for nil, OutcomeInvalid for an error
// that is not a RejectedError.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeApplied
	}
	var rejection *RejectedError
	if errors.As(err, &rejection) {
		return rejection.Outcome
	}
	return OutcomeInvalid
}

// Package window frees servers for maintenance in the hours that the tenants' contracts approve. Its table is a part of
// the list service's replicated state; its controller is a pure core that reads the table and what is seen of the fleet,
// and says what to write next.
//
// The rule: no request of a tenant is kept off a server for maintenance outside its approved hours. The table has no
// clock: each step brings the controller's time and the leader's, each with its uncertainty, and is checked when it is
// applied, on every replica alike, against the approved interval that stands in the table. What sidecars are told comes
// out of the same entry of the log, ends by itself within ExclusionTTLMS, and never later than the close.
package maintenance

import (
	"fmt"
	"strconv"

	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
)

// Times and bounds of what the table keeps.
const (
	// ExclusionTTLMS is how far ahead sidecars are told to keep off: what is approved can be taken back within this time even
	// where nobody can be told.
	ExclusionTTLMS = 30_000
	// ExclusionRefreshMS is how often that is prolonged: a third of ExclusionTTLMS, so that two lost tries do not end it.
	ExclusionRefreshMS = 10_000
	// CloseGuardMS is left free before a close, for a line on its way to a sidecar and for a sidecar's own clock.
	CloseGuardMS = 2_000
	// MaxClockSkewMS is how far the times of controller and leader may differ: a step's way to the leader, an election in
	// between left out, and clocks kept by the hour are far below it.
	MaxClockSkewMS = 5_000
	// MaxClockUncertaintyMS is the most uncertainty that a clock may own up to and still count.
	MaxClockUncertaintyMS = 5_000

	MaxWindows          = 2000
	MaxFinishedWindows  = 500 // windows that are over, kept for those who look them up; the oldest go first
	MaxServersPerWindow = 500 // of a window
	MaxContracts        = 1000
	MaxHalts            = 2000
	MaxMonthsPerTenant  = 24 // of minutes, kept for each tenant
	MaxAttempts         = 8  // of a window that does not drain in time
	maxNameLength       = 128
	maxReasonLength     = 512
	maxWorkMS           = 24 * 3600 * 1000 // longer work needs several windows
	// dayMS bounds what is counted of a window that comes back while clocks disagree.
	dayMS = 24 * 3600 * 1000
)

// Stage is where a window stands.
type Stage string

// The stages. The last five end a window, an overrun one once its servers are back.
const (
	StageProposed       Stage = "proposed"
	StageApproved       Stage = "approved"  // it has a time that all contracts approve
	StageAwaitingPermit Stage = "waiting"   // the time has come, a permit is asked for
	StageDraining       Stage = "draining"  // the permit is granted; tenants are told to keep off
	StageDrained        Stage = "free"      // no sidecar has a request open on its servers: work may go on
	StageReturning      Stage = "returning" // work is to end; until its servers are back tenants keep off, but not past the close
	StageDone           Stage = "done"
	StageRejected       Stage = "refused"
	StageHalted         Stage = "halted"
	StageOverrun        Stage = "overrun" // not back at the close
	StageCancelled      Stage = "cancelled"
)

// Approval is what one contract approves of a window, as it was computed from the contract of that version. Replicas check
// against it and never expand rules themselves, so that it does not matter whether all have the same zones.
type Approval struct {
	Tenant          string           `json:"tenant"`
	ContractVersion uint64           `json:"version"` // of the contract
	OpensAtMS       int64            `json:"open_ms"`
	ClosesAtMS      int64            `json:"close_ms"`
	Months          []calendar.Month `json:"months"`  // from the opening to a day past the close
	ServerCount     int              `json:"servers"` // that the tenant has in all
}

// Window is a request to free servers for work. Times are Unix ms as logged.
type Window struct {
	Name        string   `json:"name"`
	Operator    string   `json:"by"`
	ServerUIDs  []string `json:"servers"` // by uid, sorted
	WorkMS      int64    `json:"work_ms"`
	NotBeforeMS int64    `json:"after_ms,omitempty"` // not before

	Stage            Stage      `json:"stage"`
	StageAfterReturn Stage      `json:"end,omitempty"` // what a return ends in; Proposed: it is to be planned again
	Reason           string     `json:"why,omitempty"`
	Attempt          int        `json:"attempt"` // permits asked for; the last is PermitID
	Approvals        []Approval `json:"grants,omitempty"`
	PlannedStartMS   int64      `json:"from_ms,omitempty"`  // planned start
	ClosesAtMS       int64      `json:"close_ms,omitempty"` // the first close of its grants

	ProposedAtMS      int64  `json:"proposed_ms"`
	DrainStartedAtMS  int64  `json:"out_ms,omitempty"`    // of this attempt, as the times below: the drain began
	DrainedAtMS       int64  `json:"free_ms,omitempty"`   // nothing was open any more
	ReturnStartedAtMS int64  `json:"return_ms,omitempty"` // the way back began
	ReturnedAtMS      int64  `json:"back_ms,omitempty"`   // all servers were back
	EstimatedTotalMS  int64  `json:"need_ms,omitempty"`   // to drain, work and come back, as estimated when it began
	ExcludedUntilMS   int64  `json:"told_ms,omitempty"`   // until when tenants were last told to keep off; 0: not told
	ExclusionRevision uint64 `json:"told_rev,omitempty"`  // of the log, when they were first told
	ModRevision       uint64 `json:"rev"`                 // of its last change
}

// OutOfService tells whether the window's servers are out or on their way back.
func (w *Window) OutOfService() bool { return w.DrainStartedAtMS != 0 && w.ReturnedAtMS == 0 }

// Finished tells whether nothing more will happen to the window by itself.
func (w *Window) Finished() bool {
	switch w.Stage {
	case StageDone, StageRejected, StageCancelled, StageOverrun:
		return !w.OutOfService()
	}
	return false
}

// PermitID names the permit of the window's present attempt; "" before the first.
func (w *Window) PermitID() string {
	if w.Attempt == 0 {
		return ""
	}
	return "window/" + w.Name + "/" + strconv.Itoa(w.Attempt)
}

// ActiveContract is a contract in force.
type ActiveContract struct {
	contract.Contract
	Version uint64 `json:"version"` // revision of the log at which it was set
}

// Timestamp is the time of a step, in Unix ms: the controller's when it wrote the step and the leader's when it took it in,
// each with what its clock may be off.
type Timestamp struct {
	ControllerMS        int64 `json:"controller_ms"`
	UncertaintyMS       int64 `json:"uncertainty_ms"`
	LeaderMS            int64 `json:"leader_ms"`
	LeaderUncertaintyMS int64 `json:"leader_uncertainty_ms"`
}

// bounds is the earliest and the latest that it may be.
func (s Timestamp) bounds() (earliest, latest int64) {
	return min(s.ControllerMS-s.UncertaintyMS, s.LeaderMS-s.LeaderUncertaintyMS),
		max(s.ControllerMS+s.UncertaintyMS, s.LeaderMS+s.LeaderUncertaintyMS)
}

// clockFault says why the stamp cannot be trusted, or "".
func (s Timestamp) clockFault() string {
	skewMS := max(s.ControllerMS-s.LeaderMS, s.LeaderMS-s.ControllerMS)
	uncertaintyMS := max(s.UncertaintyMS, s.LeaderUncertaintyMS)
	switch {
	case s.ControllerMS <= 0 || s.LeaderMS <= 0 || min(s.UncertaintyMS, s.LeaderUncertaintyMS) < 0:
		return "a clock is missing"
	case skewMS > MaxClockSkewMS:
		return fmt.Sprintf("the clocks of controller and leader are %d ms apart, at most %d", skewMS, MaxClockSkewMS)
	case uncertaintyMS > MaxClockUncertaintyMS:
		return fmt.Sprintf("a clock may be off by %d ms, at most %d", uncertaintyMS, MaxClockUncertaintyMS)
	}
	return ""
}

// OperationKind is what an operation does.
type OperationKind string

// The operations. Operators write the first group; the second is the controller's, under its token.
const (
	OpSetContract      OperationKind = "contract" // Contract is in force from here on; Grant: what it approves now, if it does
	OpWithdrawContract OperationKind = "withdraw" // the contract of Tenant ends
	OpPropose          OperationKind = "propose"  // Name, By, Servers, WorkMS, NotBeforeMS
	OpCancel           OperationKind = "cancel"   // Name
	OpFinishWork       OperationKind = "finish"   // the work of Name is done before its time
	OpHalt             OperationKind = "halt"     // Scope, Why
	OpResume           OperationKind = "resume"   // Scope
	OpResetEstimates   OperationKind = "forget"   // what drains and returns took, after a night that was like no other

	OpSchedule        OperationKind = "plan"    // Name may begin at ProposedAtMS under Grants
	OpReject          OperationKind = "refuse"  // Name cannot be, Why
	OpAwaitPermit     OperationKind = "wait"    // a permit is about to be asked for
	OpBeginDrain      OperationKind = "drain"   // the permit is there, the drain begins
	OpExtendExclusion OperationKind = "tell"    // tenants keep off until ExcludeUntilMS
	OpCompleteDrain   OperationKind = "free"    // evidence says that nothing is open
	OpBeginReturn     OperationKind = "return"  // the way back begins; End is what it ends in, Why
	OpMarkOverrun     OperationKind = "overrun" // the close has passed
	OpCompleteReturn  OperationKind = "back"    // evidence says that all servers are back
)

// Operation is one operation.
type Operation struct {
	Kind   OperationKind `json:"kind"`
	Window string        `json:"name,omitempty"`  // of a window
	Token  uint64        `json:"token,omitempty"` // of the duty "window", for the controller's

	Tenant          string             `json:"tenant,omitempty"`
	Contract        *contract.Contract `json:"contract,omitempty"`
	CurrentApproval *Approval          `json:"grant,omitempty"`

	Operator    string   `json:"by,omitempty"`
	ServerUIDs  []string `json:"servers,omitempty"`
	WorkMS      int64    `json:"work_ms,omitempty"`
	NotBeforeMS int64    `json:"after_ms,omitempty"`

	Approvals        []Approval `json:"grants,omitempty"`
	PlannedStartMS   int64      `json:"from_ms,omitempty"`
	ExcludeUntilMS   int64      `json:"until_ms,omitempty"`
	StageAfterReturn Stage      `json:"end,omitempty"`
	Scope            string     `json:"scope,omitempty"` // "" all windows, "tenant/NAME" or "window/NAME"
	Reason           string     `json:"why,omitempty"`
}

// RequiresToken tells whether an operation needs the controller's token.
func (kind OperationKind) RequiresToken() bool {
	switch kind {
	case OpSchedule, OpReject, OpAwaitPermit, OpBeginDrain, OpExtendExclusion, OpCompleteDrain, OpBeginReturn, OpMarkOverrun, OpCompleteReturn:
		return true
	}
	return false
}

// advances tells whether an operation goes towards taking servers out: it is refused while there is doubt about time.
func (kind OperationKind) advances() bool {
	switch kind {
	case OpPropose, OpSchedule, OpAwaitPermit, OpBeginDrain, OpExtendExclusion, OpCompleteDrain:
		return true
	}
	return false
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	OutcomeApplied       Outcome = "done"
	OutcomeStale         Outcome = "stale"     // the token counts no more, or the window has moved on
	OutcomeClockFault    Outcome = "doubt"     // the times of the step cannot be trusted
	OutcomeOutsideHours  Outcome = "closed"    // outside the approved hours, or it would not fit before the close
	OutcomeBlocked       Outcome = "held"      // a halt, a bound of a contract or another window holds it
	OutcomeNotFound      Outcome = "not_found" // no such window or contract
	OutcomeLimitExceeded Outcome = "too_many"
	OutcomeInvalid       Outcome = "bad" // it cannot be
)

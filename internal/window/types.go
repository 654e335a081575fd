// Package window frees servers for maintenance in the hours that the tenants' contracts approve. Its table is a part of
// the list service's replicated state; its controller is a pure core that reads the table and what is seen of the fleet,
// and says what to write next.
//
// The rule: no request of a tenant is kept off a server for maintenance outside its approved hours. The table has no
// clock: each step brings the controller's time and the leader's, each with its uncertainty, and is checked when it is
// applied, on every replica alike, against the approved interval that stands in the table. What sidecars are told comes
// out of the same entry of the log, ends by itself within StepMS, and never later than the close.
package window

import (
	"fmt"
	"strconv"

	"milldeck/internal/window/contract"
	"milldeck/internal/window/hours"
)

// Times and bounds of what the table keeps.
const (
	// StepMS is how far ahead sidecars are told to keep off: what is approved can be taken back within this time even
	// where nobody can be told.
	StepMS = 30_000
	// TellEveryMS is how often that is prolonged: a third of StepMS, so that two lost tries do not end it.
	TellEveryMS = 10_000
	// GuardMS is left free before a close, for a line on its way to a sidecar and for a sidecar's own clock.
	GuardMS = 2_000
	// MaxApartMS is how far the times of controller and leader may differ: a step's way to the leader, an election in
	// between left out, and clocks kept by the hour are far below it.
	MaxApartMS = 5_000
	// MaxUncertaintyMS is the most uncertainty that a clock may own up to and still count.
	MaxUncertaintyMS = 5_000

	MaxWindows   = 2000
	MaxEnded     = 500 // windows that are over, kept for those who look them up; the oldest go first
	MaxServers   = 500 // of a window
	MaxContracts = 1000
	MaxHalts     = 2000
	MaxMonths    = 24 // of minutes, kept for each tenant
	MaxAttempts  = 8  // of a window that does not drain in time
	maxName      = 128
	maxWhy       = 512
	maxWorkMS    = 24 * 3600 * 1000 // longer work needs several windows
	// aDayMS bounds what is counted of a window that comes back while clocks disagree.
	aDayMS = 24 * 3600 * 1000
)

// Stage is where a window stands.
type Stage string

// The stages. The last five end a window, an overrun one once its servers are back.
const (
	Proposed  Stage = "proposed"
	Approved  Stage = "approved"  // it has a time that all contracts approve
	Waiting   Stage = "waiting"   // the time has come, a permit is asked for
	Draining  Stage = "draining"  // the permit is granted; tenants are told to keep off
	Free      Stage = "free"      // no sidecar has a request open on its servers: work may go on
	Returning Stage = "returning" // work is to end; until its servers are back tenants keep off, but not past the close
	Done      Stage = "done"
	Refused   Stage = "refused"
	Halted    Stage = "halted"
	Overrun   Stage = "overrun" // not back at the close
	Cancelled Stage = "cancelled"
)

// Grant is what one contract approves of a window, as it was computed from the contract of that version. Replicas check
// against it and never expand rules themselves, so that it does not matter whether all have the same zones.
type Grant struct {
	Tenant  string        `json:"tenant"`
	Version uint64        `json:"version"` // of the contract
	OpenMS  int64         `json:"open_ms"`
	CloseMS int64         `json:"close_ms"`
	Months  []hours.Month `json:"months"`  // from the opening to a day past the close
	Servers int           `json:"servers"` // that the tenant has in all
}

// Window is a request to free servers for work. Times are Unix ms as logged.
type Window struct {
	Name    string   `json:"name"`
	By      string   `json:"by"`
	Servers []string `json:"servers"` // by uid, sorted
	WorkMS  int64    `json:"work_ms"`
	AfterMS int64    `json:"after_ms,omitempty"` // not before

	Stage   Stage   `json:"stage"`
	End     Stage   `json:"end,omitempty"` // what a return ends in; Proposed: it is to be planned again
	Why     string  `json:"why,omitempty"`
	Attempt int     `json:"attempt"` // permits asked for; the last is PermitID
	Grants  []Grant `json:"grants,omitempty"`
	FromMS  int64   `json:"from_ms,omitempty"`  // planned start
	CloseMS int64   `json:"close_ms,omitempty"` // the first close of its grants

	ProposedMS int64  `json:"proposed_ms"`
	OutMS      int64  `json:"out_ms,omitempty"`    // of this attempt, as the times below: the drain began
	FreeMS     int64  `json:"free_ms,omitempty"`   // nothing was open any more
	ReturnMS   int64  `json:"return_ms,omitempty"` // the way back began
	BackMS     int64  `json:"back_ms,omitempty"`   // all servers were back
	NeedMS     int64  `json:"need_ms,omitempty"`   // to drain, work and come back, as estimated when it began
	ToldMS     int64  `json:"told_ms,omitempty"`   // until when tenants were last told to keep off; 0: not told
	ToldRev    uint64 `json:"told_rev,omitempty"`  // of the log, when they were first told
	Rev        uint64 `json:"rev"`                 // of its last change
}

// Out tells whether the window's servers are out or on their way back.
func (w *Window) Out() bool { return w.OutMS != 0 && w.BackMS == 0 }

// Ended tells whether nothing more will happen to the window by itself.
func (w *Window) Ended() bool {
	switch w.Stage {
	case Done, Refused, Cancelled, Overrun:
		return !w.Out()
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

// Kept is a contract in force.
type Kept struct {
	contract.Contract
	Version uint64 `json:"version"` // revision of the log at which it was set
}

// Stamp is the time of a step, in Unix ms: the controller's when it wrote the step and the leader's when it took it in,
// each with what its clock may be off.
type Stamp struct {
	ControllerMS        int64 `json:"controller_ms"`
	UncertaintyMS       int64 `json:"uncertainty_ms"`
	LeaderMS            int64 `json:"leader_ms"`
	LeaderUncertaintyMS int64 `json:"leader_uncertainty_ms"`
}

// span is the earliest and the latest that it may be.
func (s Stamp) span() (earliest, latest int64) {
	return min(s.ControllerMS-s.UncertaintyMS, s.LeaderMS-s.LeaderUncertaintyMS),
		max(s.ControllerMS+s.UncertaintyMS, s.LeaderMS+s.LeaderUncertaintyMS)
}

// doubt says why the stamp cannot be trusted, or "".
func (s Stamp) doubt() string {
	apart := max(s.ControllerMS-s.LeaderMS, s.LeaderMS-s.ControllerMS)
	uncertain := max(s.UncertaintyMS, s.LeaderUncertaintyMS)
	switch {
	case s.ControllerMS <= 0 || s.LeaderMS <= 0 || min(s.UncertaintyMS, s.LeaderUncertaintyMS) < 0:
		return "a clock is missing"
	case apart > MaxApartMS:
		return fmt.Sprintf("the clocks of controller and leader are %d ms apart, at most %d", apart, MaxApartMS)
	case uncertain > MaxUncertaintyMS:
		return fmt.Sprintf("a clock may be off by %d ms, at most %d", uncertain, MaxUncertaintyMS)
	}
	return ""
}

// OpKind is what an operation does.
type OpKind string

// The operations. Operators write the first group; the second is the controller's, under its token.
const (
	OpContract OpKind = "contract" // Contract is in force from here on; Grant: what it approves now, if it does
	OpWithdraw OpKind = "withdraw" // the contract of Tenant ends
	OpPropose  OpKind = "propose"  // Name, By, Servers, WorkMS, AfterMS
	OpCancel   OpKind = "cancel"   // Name
	OpFinish   OpKind = "finish"   // the work of Name is done before its time
	OpHalt     OpKind = "halt"     // Scope, Why
	OpResume   OpKind = "resume"   // Scope
	OpForget   OpKind = "forget"   // what drains and returns took, after a night that was like no other

	OpPlan    OpKind = "plan"    // Name may begin at FromMS under Grants
	OpRefuse  OpKind = "refuse"  // Name cannot be, Why
	OpWait    OpKind = "wait"    // a permit is about to be asked for
	OpDrain   OpKind = "drain"   // the permit is there, the drain begins
	OpTell    OpKind = "tell"    // tenants keep off until UntilMS
	OpFree    OpKind = "free"    // evidence says that nothing is open
	OpReturn  OpKind = "return"  // the way back begins; End is what it ends in, Why
	OpOverrun OpKind = "overrun" // the close has passed
	OpBack    OpKind = "back"    // evidence says that all servers are back
)

// Op is one operation.
type Op struct {
	Kind  OpKind `json:"kind"`
	Name  string `json:"name,omitempty"`  // of a window
	Token uint64 `json:"token,omitempty"` // of the duty "window", for the controller's

	Tenant   string             `json:"tenant,omitempty"`
	Contract *contract.Contract `json:"contract,omitempty"`
	Grant    *Grant             `json:"grant,omitempty"`

	By      string   `json:"by,omitempty"`
	Servers []string `json:"servers,omitempty"`
	WorkMS  int64    `json:"work_ms,omitempty"`
	AfterMS int64    `json:"after_ms,omitempty"`

	Grants  []Grant `json:"grants,omitempty"`
	FromMS  int64   `json:"from_ms,omitempty"`
	UntilMS int64   `json:"until_ms,omitempty"`
	End     Stage   `json:"end,omitempty"`
	Scope   string  `json:"scope,omitempty"` // "" all windows, "tenant/NAME" or "window/NAME"
	Why     string  `json:"why,omitempty"`
}

// Guarded tells whether an operation needs the controller's token.
func (k OpKind) Guarded() bool {
	switch k {
	case OpPlan, OpRefuse, OpWait, OpDrain, OpTell, OpFree, OpReturn, OpOverrun, OpBack:
		return true
	}
	return false
}

// forward tells whether an operation goes towards taking servers out: it is refused while there is doubt about time.
func (k OpKind) forward() bool {
	switch k {
	case OpPropose, OpPlan, OpWait, OpDrain, OpTell, OpFree:
		return true
	}
	return false
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	Applied  Outcome = "done"
	Stale    Outcome = "stale"     // the token counts no more, or the window has moved on
	Doubt    Outcome = "doubt"     // the times of the step cannot be trusted
	Closed   Outcome = "closed"    // outside the approved hours, or it would not fit before the close
	Held     Outcome = "held"      // a halt, a bound of a contract or another window holds it
	NotFound Outcome = "not_found" // no such window or contract
	TooMany  Outcome = "too_many"
	Bad      Outcome = "bad" // it cannot be
)

package maintenance

import (
	"strconv"

	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
)

// idPrefix is how the IDs of windows' permits and directives begin. Both are stored.
const idPrefix = "window/"

// Stage is the position of a window in its life cycle. The strings are stored in snapshots and the log.
type Stage string

// The stages. StageDone, StageRejected and StageCancelled are final, StageOverrun is once the servers are back; a halted
// window can be resumed.
const (
	StageProposed       Stage = "proposed"  // an operator has asked for it
	StageApproved       Stage = "approved"  // it has a start that all contracts approve
	StageAwaitingPermit Stage = "waiting"   // the start has come, a permit of the disruption ledger is requested
	StageDraining       Stage = "draining"  // the permit is granted, sidecars exclude the servers
	StageDrained        Stage = "free"      // no sidecar has a request in flight on the servers: work may proceed
	StageReturning      Stage = "returning" // the servers come back; they stay excluded, but not past the close
	StageDone           Stage = "done"
	StageRejected       Stage = "refused" // no contract or budget permits it
	StageHalted         Stage = "halted"
	StageOverrun        Stage = "overrun" // the servers were not back at the close
	StageCancelled      Stage = "cancelled"
)

// beforeDrain reports whether the window has not taken any server out yet.
func (s Stage) beforeDrain() bool {
	return s == StageProposed || s.hasPlannedStart()
}

// hasPlannedStart reports whether the window is expected to start its drain at PlannedStartMS.
func (s Stage) hasPlannedStart() bool { return s == StageApproved || s == StageAwaitingPermit }

// Approval is what one contract approves of a window, computed from the contract at ContractVersion. Replicas check
// operations against it and never expand recurrence rules, so it does not matter whether all have the same time zone
// data. Times are Unix ms.
type Approval struct {
	Tenant          string           `json:"tenant"`
	ContractVersion uint64           `json:"version"`
	OpensAtMS       int64            `json:"open_ms"`
	ClosesAtMS      int64            `json:"close_ms"`
	Months          []calendar.Month `json:"months"`  // of the tenant's time zone, from the opening to a day past the close
	ServerCount     int              `json:"servers"` // all servers of the tenant
}

// Window is a request to take servers out of service for maintenance. Times are Unix ms, as recorded in the log.
type Window struct {
	Name        string   `json:"name"`
	Operator    string   `json:"by"`      // who proposed it
	ServerUIDs  []string `json:"servers"` // sorted
	WorkMS      int64    `json:"work_ms"` // time for the work, without drain and return
	NotBeforeMS int64    `json:"after_ms,omitempty"`

	Stage            Stage      `json:"stage"`
	StageAfterReturn Stage      `json:"end,omitempty"` // StageProposed: it is planned again
	Reason           string     `json:"why,omitempty"` // of the stage
	Attempt          int        `json:"attempt"`       // number of permits requested; PermitID names the last
	Approvals        []Approval `json:"grants,omitempty"`
	PlannedStartMS   int64      `json:"from_ms,omitempty"`
	ClosesAtMS       int64      `json:"close_ms,omitempty"` // the earliest close of its approvals

	ProposedAtMS int64 `json:"proposed_ms"`
	// The times below are those of the present attempt; 0: not yet.
	DrainStartedAtMS  int64  `json:"out_ms,omitempty"`
	DrainedAtMS       int64  `json:"free_ms,omitempty"`
	ReturnStartedAtMS int64  `json:"return_ms,omitempty"`
	ReturnedAtMS      int64  `json:"back_ms,omitempty"`  // all servers were back
	EstimatedTotalMS  int64  `json:"need_ms,omitempty"`  // drain, work and return, as estimated when the drain started
	ExcludedUntilMS   int64  `json:"told_ms,omitempty"`  // expiry of the exclusion directives; 0: there are none
	ExclusionRevision uint64 `json:"told_rev,omitempty"` // log revision since which the exclusion has had no gap
	ModRevision       uint64 `json:"rev"`                // log revision of the last change
}

// OutOfService reports whether the window has servers out or on their way back.
func (w *Window) OutOfService() bool { return w.DrainStartedAtMS != 0 && w.ReturnedAtMS == 0 }

// Finished reports whether the window is in a final stage and its servers are back.
func (w *Window) Finished() bool {
	switch w.Stage {
	case StageDone, StageRejected, StageCancelled, StageOverrun:
		return !w.OutOfService()
	}
	return false
}

// PermitID is the disruption permit of the present attempt; "" before the first.
func (w *Window) PermitID() string {
	if w.Attempt == 0 {
		return ""
	}
	return idPrefix + w.Name + "/" + strconv.Itoa(w.Attempt)
}

// involves reports whether an approval of the tenant belongs to the window.
func (w *Window) involves(tenant string) bool {
	for i := range w.Approvals {
		if w.Approvals[i].Tenant == tenant {
			return true
		}
	}
	return false
}

// beginReturn moves the window to StageReturning; next is the stage that follows once the servers are back.
func (w *Window) beginReturn(next Stage, reason string, now timeBounds) {
	w.Stage = StageReturning
	w.StageAfterReturn = next
	w.Reason = reason
	w.ReturnStartedAtMS = now.earliest
}

// earliestClose returns the first close of the approvals, of which there is at least one.
func earliestClose(approvals []Approval) int64 {
	earliest := approvals[0].ClosesAtMS
	for _, approval := range approvals {
		earliest = min(earliest, approval.ClosesAtMS)
	}
	return earliest
}

// shareServer reports whether two sorted lists have a server in common.
func shareServer(a, b []string) bool {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			return true
		case a[0] < b[0]:
			a = a[1:]
		default:
			b = b[1:]
		}
	}
	return false
}

// ActiveContract is a contract in force. Version is the log revision at which it was set.
type ActiveContract struct {
	contract.Contract
	Version uint64 `json:"version"`
}

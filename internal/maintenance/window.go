package maintenance

import (
	"strconv"

	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
)

// idPrefix is the prefix of the IDs of windows' permits and exclusion directives. Both kinds of IDs are stored.
const idPrefix = "window/"

// Stage is the position of a window in its life cycle. The strings are stored in snapshots and the log.
type Stage string

// The stages. StageDone, StageRejected and StageCancelled are final. StageOverrun is final once the servers are
// back. A window at StageHalted can be resumed.
const (
	StageProposed       Stage = "proposed"  // an operator has proposed the window
	StageApproved       Stage = "approved"  // the window has a planned start that all contracts approve
	StageAwaitingPermit Stage = "waiting"   // the planned start is reached, and a permit of the disruption ledger is requested
	StageDraining       Stage = "draining"  // the permit is granted, and sidecars exclude the servers
	StageDrained        Stage = "free"      // no sidecar has a request in flight on the servers: the work may proceed
	StageReturning      Stage = "returning" // the servers return to service; they stay excluded, at most until the close
	StageDone           Stage = "done"
	StageRejected       Stage = "refused" // the contracts or the disruption budgets do not permit the window
	StageHalted         Stage = "halted"
	StageOverrun        Stage = "overrun" // the servers were not back at the close
	StageCancelled      Stage = "cancelled"
)

// beforeDrain reports whether the stage precedes the drain, so that no server is out of service.
func (s Stage) beforeDrain() bool {
	return s == StageProposed || s.hasPlannedStart()
}

// hasPlannedStart reports whether a window at this stage is expected to start its drain at PlannedStartMS.
func (s Stage) hasPlannedStart() bool { return s == StageApproved || s == StageAwaitingPermit }

// Approval is the interval that one contract approves for a window, computed from the contract at
// ContractVersion. Replicas check operations against the approval and never expand recurrence rules, so replicas
// with different time zone data agree. Times are Unix ms.
type Approval struct {
	Tenant          string           `json:"tenant"`
	ContractVersion uint64           `json:"version"`
	OpensAtMS       int64            `json:"open_ms"`
	ClosesAtMS      int64            `json:"close_ms"`
	Months          []calendar.Month `json:"months"`  // in the tenant's time zone, from OpensAtMS to a day after ClosesAtMS
	ServerCount     int              `json:"servers"` // number of all servers of the tenant
}

// Window is a request to take servers out of service for maintenance. Times are Unix ms, as recorded in the log.
type Window struct {
	Name        string   `json:"name"`
	Operator    string   `json:"by"`      // who proposed it
	ServerUIDs  []string `json:"servers"` // sorted
	WorkMS      int64    `json:"work_ms"` // time for the work, without drain and return
	NotBeforeMS int64    `json:"after_ms,omitempty"`

	Stage            Stage      `json:"stage"`
	StageAfterReturn Stage      `json:"end,omitempty"` // next stage once the servers are back; StageProposed: scheduled again
	Reason           string     `json:"why,omitempty"` // why the window is at this stage
	Attempt          int        `json:"attempt"`       // number of permits requested; PermitID returns the ID of the last one
	Approvals        []Approval `json:"grants,omitempty"`
	PlannedStartMS   int64      `json:"from_ms,omitempty"`
	ClosesAtMS       int64      `json:"close_ms,omitempty"` // earliest close of Approvals

	ProposedAtMS int64 `json:"proposed_ms"`
	// The fields below, except ModRevision, belong to the current attempt. A time of 0 means that the event has not
	// happened yet.
	DrainStartedAtMS  int64  `json:"out_ms,omitempty"`
	DrainedAtMS       int64  `json:"free_ms,omitempty"`
	ReturnStartedAtMS int64  `json:"return_ms,omitempty"`
	ReturnedAtMS      int64  `json:"back_ms,omitempty"`  // when all servers were back in service
	EstimatedTotalMS  int64  `json:"need_ms,omitempty"`  // drain, work and return, as estimated when the drain started
	ExcludedUntilMS   int64  `json:"told_ms,omitempty"`  // expiry of the exclusion directives; 0: there are none
	ExclusionRevision uint64 `json:"told_rev,omitempty"` // log revision from which on the exclusion has had no gap
	ModRevision       uint64 `json:"rev"`                // log revision of the last change
}

// OutOfService reports whether the drain of the window has started and its servers are not back yet.
func (w *Window) OutOfService() bool { return w.DrainStartedAtMS != 0 && w.ReturnedAtMS == 0 }

// Finished reports whether the window is in a final stage and its servers are back.
func (w *Window) Finished() bool {
	switch w.Stage {
	case StageDone, StageRejected, StageCancelled, StageOverrun:
		return !w.OutOfService()
	}
	return false
}

// PermitID returns the ID of the disruption permit of the current attempt; "" before the first attempt.
func (w *Window) PermitID() string {
	if w.Attempt == 0 {
		return ""
	}
	return idPrefix + w.Name + "/" + strconv.Itoa(w.Attempt)
}

// involves reports whether the window has an approval of the tenant's contract.
func (w *Window) involves(tenant string) bool {
	for i := range w.Approvals {
		if w.Approvals[i].Tenant == tenant {
			return true
		}
	}
	return false
}

// beginReturn moves the window to StageReturning. nextStage is the stage that follows once the servers are back.
func (w *Window) beginReturn(nextStage Stage, reason string, now timeBounds) {
	w.Stage = StageReturning
	w.StageAfterReturn = nextStage
	w.Reason = reason
	w.ReturnStartedAtMS = now.earliest
}

// earliestClose returns the earliest close of the approvals, of which there must be at least one.
func earliestClose(approvals []Approval) int64 {
	earliest := approvals[0].ClosesAtMS
	for _, approval := range approvals {
		earliest = min(earliest, approval.ClosesAtMS)
	}
	return earliest
}

// shareServer reports whether two sorted lists of server UIDs have a server in common.
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

// ActiveContract is a contract in force. Version is the log revision that set it.
type ActiveContract struct {
	contract.Contract
	Version uint64 `json:"version"`
}

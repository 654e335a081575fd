package disruption

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Priority orders grants: the lower value first, and within a priority the older permit first.
type Priority int

// The priorities. They apply to taking units out only: bringing a unit back takes no further unit out and needs no permit.
const (
	PriorityRollback Priority = iota // a rollback that has to take a unit out to reinstall the earlier version; no halt defers it
	PriorityDeadline                 // a maintenance window that is about to close
	PriorityDrain
	PriorityRollout // steps of releases
)

// Stage is the stage of a permit's life cycle.
type Stage string

// The stages, in order. Completed and cancelled permits are closed; the ledger retains the last MaxClosedPermits of them.
const (
	StageRequested Stage = "asked"
	StageGranted   Stage = "granted"   // its units count as unavailable from the grant on
	StageActive    Stage = "out"       // its owner has begun to take the units out
	StageReturning Stage = "returning" // its owner has begun to bring the units back
	StageCompleted Stage = "settled"   // evidence shows that all units are back, replaced or retired
	StageCancelled Stage = "cancelled" // closed before its begin: no unit was taken out
)

// Disposition is what happens to the units of a permit after they were taken out.
type Disposition string

// The dispositions.
const (
	DispositionReturn  Disposition = "back"    // the same unit is up again, on the evidence that unitState.returned checks
	DispositionReplace Disposition = "replace" // another unit replaces it, and is up
	DispositionRetire  Disposition = "retire"  // it is removed for good: completed once it is out of the endpoint list
)

// Permit allows its owner to take units out of service.
type Permit struct {
	ID             string      `json:"id"`    // chosen by the owner; makes the request idempotent
	Owner          string      `json:"owner"` // the lease whose token is needed for operations on the permit, or "operator/NAME"
	Purpose        string      `json:"purpose"`
	Units          []string    `json:"units"`
	Priority       Priority    `json:"rank"`
	Disposition    Disposition `json:"end"`
	Stage          Stage       `json:"stage"`
	CompletedUnits []string    `json:"settled,omitempty"` // the part of Units with accepted evidence

	RequestRevision uint64 `json:"asked_at"` // this and the other revisions are log revisions
	GrantRevision   uint64 `json:"got_at,omitempty"`
	WaitReason      string `json:"why,omitempty"` // why it is not granted yet, such as the budget or halt that defers it

	// Substitutes maps a unit that is the only one of its pod group or zone to its substitute: a unit elsewhere that is
	// up and carries what only the first unit had. From the grant of this permit until its end, the ledger defers permits
	// for the substitute.
	// WithoutSubstitute, which only operators may set, waives the substitutes.
	Substitutes       map[string]string `json:"instead,omitempty"`
	WithoutSubstitute bool              `json:"alone,omitempty"`
	BeginRevision     uint64            `json:"out_at,omitempty"`
	ReturnRevision    uint64            `json:"back_at,omitempty"`
	// Aborted says that the permit was cancelled after its begin. A unit that is up again is then completed, whatever the
	// disposition.
	Aborted bool `json:"undone,omitempty"`
}

// closed reports whether the permit's stage is final.
func (p *Permit) closed() bool { return p.Stage == StageCompleted || p.Stage == StageCancelled }

// clonePermit copies a permit with its slices and maps.
func clonePermit(original *Permit) *Permit {
	copied := *original
	copied.Units = slices.Clone(original.Units)
	copied.CompletedUnits = slices.Clone(original.CompletedUnits)
	copied.Substitutes = maps.Clone(original.Substitutes)
	return &copied
}

// newPermit returns a permit in StageRequested, with the fields of the request that a requester may choose.
func newPermit(request *Permit, revision uint64) *Permit {
	permit := clonePermit(request)
	permit.Stage, permit.RequestRevision = StageRequested, revision
	permit.CompletedUnits, permit.WaitReason, permit.Aborted = nil, "", false
	permit.GrantRevision, permit.BeginRevision, permit.ReturnRevision = 0, 0, 0
	return permit
}

// sameRequest reports whether two permits have equal request fields, so that one is a repeat of the other.
func sameRequest(a, b *Permit) bool {
	return a.Owner == b.Owner && a.Purpose == b.Purpose && a.Priority == b.Priority && a.Disposition == b.Disposition &&
		a.WithoutSubstitute == b.WithoutSubstitute && slices.Equal(a.Units, b.Units) && maps.Equal(a.Substitutes, b.Substitutes)
}

// permitState is an open permit with its derived state, which is not saved with it.
type permitState struct {
	Permit
	completed map[string]bool
	pending   *pendingPermit // nil unless the permit waits for its grant
}

func newPermitState(permit *Permit) *permitState {
	state := &permitState{Permit: *permit, completed: make(map[string]bool, len(permit.Units))}
	for _, id := range permit.CompletedUnits {
		state.completed[id] = true
	}
	return state
}

// remainingUnits returns the permit's units that are not completed yet.
func (p *permitState) remainingUnits() []string {
	var remaining []string
	for _, id := range p.Units {
		if !p.completed[id] {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// referencedUnits returns the permit's units and their substitutes.
func (p *permitState) referencedUnits() []string {
	ids := slices.Clone(p.Units)
	for _, substitute := range p.Substitutes {
		ids = append(ids, substitute)
	}
	return ids
}

// compareGrantOrder orders permits as they are considered for a grant: by priority, then by age.
func compareGrantOrder(a, b *permitState) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.RequestRevision, b.RequestRevision), strings.Compare(a.ID, b.ID))
}

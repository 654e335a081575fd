package disruption

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Priority orders grants: the lower value first, and within a priority the older permit.
type Priority int

// The priorities. Bringing a unit back takes nothing further out and needs no permit; a priority is about taking out.
const (
	PriorityRollback Priority = iota // a rollback that has to take a unit out to reinstall the earlier version; halts do not defer it
	PriorityDeadline                 // a maintenance window that is about to close
	PriorityDrain
	PriorityRollout // steps of releases
)

// Stage is how far a permit has come.
type Stage string

// The stages, in order. Completed and cancelled permits are closed: the ledger retains the last MaxClosedPermits.
const (
	StageRequested Stage = "asked"
	StageGranted   Stage = "granted"   // its units count as unavailable from here on
	StageActive    Stage = "out"       // its owner has begun to take the units out
	StageReturning Stage = "returning" // its owner has begun to bring them back
	StageCompleted Stage = "settled"   // evidence shows that all units are back, replaced or retired
	StageCancelled Stage = "cancelled" // it was never granted, or nothing was taken out under it
)

// Disposition is what becomes of a permit's units.
type Disposition string

// The dispositions.
const (
	DispositionReturn  Disposition = "back"    // the same unit returns: up again after a transition later than the permit's begin
	DispositionReplace Disposition = "replace" // another unit is up in its place
	DispositionRetire  Disposition = "retire"  // it leaves for good: completed once it is out of the endpoint list
)

// Permit allows its owner to take units out of service.
type Permit struct {
	ID             string      `json:"id"`    // chosen by the owner: a request is idempotent by it
	Owner          string      `json:"owner"` // the lease under whose token everything about it is written, or "operator/NAME"
	Purpose        string      `json:"purpose"`
	Units          []string    `json:"units"`
	Priority       Priority    `json:"rank"`
	Disposition    Disposition `json:"end"`
	Stage          Stage       `json:"stage"`
	CompletedUnits []string    `json:"settled,omitempty"` // of Units, those for which evidence has been accepted

	RequestRevision uint64 `json:"asked_at"` // revisions of the log
	GrantRevision   uint64 `json:"got_at,omitempty"`
	WaitReason      string `json:"why,omitempty"` // why it is not granted yet: the budget or halt that defers it

	// Substitutes names, for a unit that is the only one of its pod group or zone, a unit elsewhere that is up and
	// carries what only that one had. It is not taken out while the permit is open. WithoutSubstitute, which operators
	// alone may set, does without.
	Substitutes       map[string]string `json:"instead,omitempty"`
	WithoutSubstitute bool              `json:"alone,omitempty"`
	BeginRevision     uint64            `json:"out_at,omitempty"`
	ReturnRevision    uint64            `json:"back_at,omitempty"`
	// Aborted: it was cancelled after its begin. A unit that is up again completes it, whatever its disposition.
	Aborted bool `json:"undone,omitempty"`
}

// closed reports whether the permit's stage is a final one.
func (p *Permit) closed() bool { return p.Stage == StageCompleted || p.Stage == StageCancelled }

// clonePermit copies a permit with its slices and maps.
func clonePermit(original *Permit) *Permit {
	copied := *original
	copied.Units = slices.Clone(original.Units)
	copied.CompletedUnits = slices.Clone(original.CompletedUnits)
	copied.Substitutes = maps.Clone(original.Substitutes)
	return &copied
}

// newPermit is a requested permit: only what a requester may choose is taken over.
func newPermit(request *Permit, revision uint64) *Permit {
	permit := clonePermit(request)
	permit.Stage, permit.RequestRevision = StageRequested, revision
	permit.CompletedUnits, permit.WaitReason, permit.Aborted = nil, "", false
	permit.GrantRevision, permit.BeginRevision, permit.ReturnRevision = 0, 0, 0
	return permit
}

// sameRequest reports whether two permits were requested alike, so that one is a repeat of the other.
func sameRequest(a, b *Permit) bool {
	return a.Owner == b.Owner && a.Purpose == b.Purpose && a.Priority == b.Priority && a.Disposition == b.Disposition &&
		a.WithoutSubstitute == b.WithoutSubstitute && slices.Equal(a.Units, b.Units) && maps.Equal(a.Substitutes, b.Substitutes)
}

// permitState is an open permit with what the ledger tracks about it.
type permitState struct {
	Permit
	completed map[string]bool
	pending   *pendingPermit // nil unless it waits for its grant
}

func newPermitState(permit *Permit) *permitState {
	state := &permitState{Permit: *permit, completed: make(map[string]bool, len(permit.Units))}
	for _, id := range permit.CompletedUnits {
		state.completed[id] = true
	}
	return state
}

// remainingUnits are the permit's units that nothing has completed yet.
func (p *permitState) remainingUnits() []string {
	var remaining []string
	for _, id := range p.Units {
		if !p.completed[id] {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// referencedUnits are the permit's units and their substitutes.
func (p *permitState) referencedUnits() []string {
	ids := slices.Clone(p.Units)
	for _, substitute := range p.Substitutes {
		ids = append(ids, substitute)
	}
	return ids
}

// compareGrantOrder orders permits as they are considered for a grant.
func compareGrantOrder(a, b *permitState) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.RequestRevision, b.RequestRevision), strings.Compare(a.ID, b.ID))
}

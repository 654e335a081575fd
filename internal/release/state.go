package release

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// Phase is the progress of a release as a whole. The values are stored.
type Phase string

// The phases. The last three are final.
const (
	PhaseRollout    Phase = "forward"
	PhaseHalted     Phase = "held"     // no further unit is taken out; a unit that is out finishes its update or returns
	PhaseRollback   Phase = "back"     // every changed unit returns to its previous image
	PhaseCompleted  Phase = "done"     // every unit runs the target image
	PhaseRolledBack Phase = "backed"   // every unit runs its previous image
	PhaseStranded   Phase = "stranded" // the rollback ended, but the units in Status.Stranded may not run their previous image
)

// Finished reports whether the phase is final: the controller has nothing left to do.
func (p Phase) Finished() bool {
	return p == PhaseCompleted || p == PhaseRolledBack || p == PhaseStranded
}

// Image is what a unit runs: a program version and the name of a configuration.
type Image struct {
	Version    string `json:"version"`
	ConfigName string `json:"config,omitempty"`
}

// String returns the version and the configuration name as the stored permits and reasons contain them.
func (i Image) String() string { return strings.TrimSpace(i.Version + " " + i.ConfigName) }

// Stage is the progress of one unit. The values are stored.
type Stage string

// The stages, in order. A unit passes through them on the way to its target image or, in a rollback, to its previous one.
const (
	StagePending             Stage = "todo"   // not started in this direction (rollout or rollback)
	StageRequestingPermit    Stage = "ask"    // the unit waits until the ledger grants its permit
	StagePreparing           Stage = "make"   // everything that only this unit serves is being made available on other units
	StageBeginningDisruption Stage = "begin"  // the ledger records that the disruption begins
	StageDraining            Stage = "drain"  // Terminating in the endpoint list, until no request can be open on the unit
	StageStopping            Stage = "stop"   // the platform stops the unit
	StageStarting            Stage = "start"  // the platform starts the unit with the desired image
	StageReloading           Stage = "reload" // a sidecar reloads its configuration while it keeps serving
	StageWarmingUp           Stage = "rise"   // the unit runs, but is not yet registered, ready and warm
	StageCancelling          Stage = "cancel" // the permit is cancelled before the unit was changed; a drain is undone
	StageConverged           Stage = "rest"   // the unit runs the desired image
	StageFailed              Stage = "lost"   // the unit could not be rolled back; an operator has to complete its permit
)

// PlatformRequest is a request to the platform. It is written to the log before it is first sent, so that a succeeding
// controller sends the same request.
type PlatformRequest struct {
	Sequence    int           `json:"n"` // number of the request among this unit's requests in this release, from 1
	Op          supervisor.Op `json:"op"`
	Epoch       uint64        `json:"memory"` // the platform's epoch in the list from which the request was created
	Incarnation uint64        `json:"incarnation"`
	CreatedAtMS int64         `json:"at_ms"` // by the controller's clock
}

// Unit is the stored state of one unit of a release.
type Unit struct {
	ID       string  `json:"id"`   // in the ledger
	Name     string  `json:"name"` // in the endpoint list and on the platform
	Wave     int     `json:"wave"`
	Previous Image   `json:"was"`
	Target   Image   `json:"to"`
	Listen   string  `json:"listen,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Capacity float64 `json:"capacity"`

	Rollback      bool  `json:"back,omitempty"` // the desired image is Previous, not Target
	Stage         Stage `json:"stage"`
	FromLaterWave bool  `json:"widened,omitempty"` // moved from a later wave, because Wave had too little traffic
	PermitAttempt int   `json:"try,omitempty"`     // number of the unit's latest permit, from 1
	// RollbackPermit says that a rollback requested the permit. A unit that is rolled back while it is out keeps the
	// permit of the rollout.
	RollbackPermit bool             `json:"asked_back,omitempty"`
	FailedStarts   int              `json:"fails,omitempty"` // in the present direction (rollout or rollback)
	RequestCount   int              `json:"calls,omitempty"` // requests to the platform, in this release
	Request        *PlatformRequest `json:"call,omitempty"`  // the latest request of the present stage
	StageSinceMS   int64            `json:"since_ms,omitempty"`
	Reason         string           `json:"why,omitempty"` // why the unit waits or has failed
}

// desiredImage returns the image that the unit has to run: Previous in a rollback, otherwise Target.
func (u *Unit) desiredImage() Image {
	if u.Rollback {
		return u.Previous
	}
	return u.Target
}

// inProgress reports whether the unit has left StagePending and has neither converged nor failed.
func (u *Unit) inProgress() bool {
	return u.Stage != StagePending && u.Stage != StageConverged && u.Stage != StageFailed
}

// Status is the stored progress of a release as a whole.
type Status struct {
	Phase             Phase    `json:"phase"`
	Wave              int      `json:"wave"`
	BakeStartMS       int64    `json:"bake_ms,omitempty"`  // when the last unit of the wave converged; 0: not all have
	Token             uint64   `json:"token"`              // fencing token of the last writer
	HandledCommands   int      `json:"commands"`           // number of operators' commands that have been handled
	HaltedBy          string   `json:"by,omitempty"`       // who halted the release or rolled it back
	HaltReason        string   `json:"why,omitempty"`      // why the release was halted or rolled back
	Finalized         bool     `json:"final,omitempty"`    // the release can no longer be rolled back
	StalledSinceMS    int64    `json:"stuck_ms,omitempty"` // since when a rollback with a failed unit only waits for permits
	RollbackAbandoned bool     `json:"gave_up,omitempty"`  // the rollback takes no further unit out
	Stranded          []string `json:"stranded,omitempty"` // units that did not return to their previous image, one line each
}

// State is a release as stored in the replicated log.
type State struct {
	Name          string     `json:"name"`
	StartRevision uint64     `json:"run"` // log revision of the start; distinguishes two releases of the same name
	Plan          *plan.Plan `json:"plan,omitempty"`
	PlanHash      string     `json:"hash"`
	DrainOnly     bool       `json:"drain,omitempty"` // units are drained and stopped, not updated
	StartedAtMS   int64      `json:"start_ms"`
	Status        Status     `json:"head"`
	Units         []Unit     `json:"units"` // in the order in which they are updated
	Sequence      uint64     `json:"seq"`   // number of changes applied so far
}

// Delta is one change of a release's state. It applies only to the state from which it was computed.
type Delta struct {
	Sequence uint64  `json:"seq"` // State.Sequence of the state from which it was computed
	Status   *Status `json:"head,omitempty"`
	Units    []Unit  `json:"units,omitempty"` // the changed units, with all their fields
}

// Apply applies a change. If the change was computed from another state or names an unknown unit, Apply returns an error
// and leaves the state unchanged.
func (s *State) Apply(delta Delta) error {
	if delta.Sequence != s.Sequence {
		return fmt.Errorf("release %s: delta for sequence %d does not apply at %d", s.Name, delta.Sequence, s.Sequence)
	}
	indexes := make([]int, len(delta.Units))
	for i := range delta.Units {
		index, ok := s.unitIndex(delta.Units[i].ID)
		if !ok {
			return fmt.Errorf("release %s: delta names unknown unit %s", s.Name, delta.Units[i].ID)
		}
		indexes[i] = index
	}
	for i, unit := range delta.Units {
		s.Units[indexes[i]] = unit
	}
	if delta.Status != nil {
		s.Status = *delta.Status
	}
	s.Sequence++
	return nil
}

func (s *State) unitIndex(id string) (int, bool) {
	for i := range s.Units {
		if s.Units[i].ID == id {
			return i, true
		}
	}
	return 0, false
}

// unitKind returns the kind of the release's units: the selector's kind or, without one, the kind that the plan changes.
func (s *State) unitKind() disruption.Kind {
	if s.Plan.Selector.Kind != "" {
		return s.Plan.Selector.Kind
	}
	return s.Plan.Kind()
}

// platformKind returns unitKind as the platform names it.
func (s *State) platformKind() supervisor.Kind {
	if s.unitKind() == disruption.KindSidecar {
		return supervisor.Sidecar
	}
	return supervisor.Server
}

// firstUpdateStage returns the first stage that changes a unit. This stage follows the begin of the disruption and, for a
// server, the drain.
func (s *State) firstUpdateStage() Stage {
	if s.reloadsInPlace() {
		return StageReloading
	}
	return StageStopping
}

// reloadsInPlace reports whether units keep serving during their update, because only their configuration changes.
func (s *State) reloadsInPlace() bool {
	return !s.DrainOnly && !s.Plan.RestartsUnits()
}

// retires reports whether the unit leaves the fleet permanently: the release is a drain and does not roll the unit back.
func (s *State) retires(unit *Unit) bool {
	return s.DrainOnly && !unit.Rollback
}

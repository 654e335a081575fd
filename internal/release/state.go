package release

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// Phase is the progress of a release as a whole. Its values are stored.
type Phase string

// The phases. The last three are final: the controller has nothing left to do.
const (
	PhaseRollout    Phase = "forward"
	PhaseHalted     Phase = "held"     // no unit is taken out; those that are out finish or return
	PhaseRollback   Phase = "back"     // every unit that was changed returns to its previous image
	PhaseCompleted  Phase = "done"     // every unit runs the target image
	PhaseRolledBack Phase = "backed"   // every unit runs its previous image
	PhaseStranded   Phase = "stranded" // the rollback is over, and Status.Stranded lists the units it could not return
)

// Finished reports whether the controller has nothing left to do in this phase.
func (p Phase) Finished() bool {
	return p == PhaseCompleted || p == PhaseRolledBack || p == PhaseStranded
}

// Image is what a unit runs: the version of its program and the name of its configuration.
type Image struct {
	Version    string `json:"version"`
	ConfigName string `json:"config,omitempty"`
}

// String is the version and the configuration's name, as permits and reasons quote them.
func (i Image) String() string { return strings.TrimSpace(i.Version + " " + i.ConfigName) }

// Stage is the progress of one unit. Its values are stored.
type Stage string

// The stages, in order. A unit passes through them towards its target image or, in a rollback, its previous one.
const (
	StagePending             Stage = "todo"   // not started in this direction
	StageRequestingPermit    Stage = "ask"    // waiting for the ledger to grant its permit
	StagePreparing           Stage = "make"   // granted; what only this unit serves is being made available elsewhere
	StageBeginningDisruption Stage = "begin"  // the ledger records that the disruption begins
	StageDraining            Stage = "drain"  // Terminating in the endpoint list, until it is proved to have no open request
	StageStopping            Stage = "stop"   // the platform is asked to stop it
	StageStarting            Stage = "start"  // the platform is asked to start it with the desired image
	StageReloading           Stage = "reload" // a sidecar is given another configuration while it keeps serving
	StageWarmingUp           Stage = "rise"   // it runs, but is not registered, ready and warm yet
	StageCancelling          Stage = "cancel" // its permit is cancelled before the unit was changed; a drain is undone
	StageConverged           Stage = "rest"   // it runs the desired image
	StageFailed              Stage = "lost"   // it could not be returned; an operator has to complete its permit
)

// PlatformRequest is a request to the platform. It is written before it is first sent, so that a successor sends the same.
type PlatformRequest struct {
	Sequence    int           `json:"n"` // counts this unit's requests in this release, from 1
	Op          supervisor.Op `json:"op"`
	Epoch       uint64        `json:"memory"` // the platform's, as listed when the request was decided
	Incarnation uint64        `json:"incarnation"`
	CreatedAtMS int64         `json:"at_ms"` // by the controller's clock
}

// Unit is the stored state of one unit of a release.
type Unit struct {
	ID       string  `json:"id"`   // in the ledger
	Name     string  `json:"name"` // in the endpoint list and at the platform
	Wave     int     `json:"wave"`
	Previous Image   `json:"was"`
	Target   Image   `json:"to"`
	Listen   string  `json:"listen,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Capacity float64 `json:"capacity"`

	Rollback      bool  `json:"back,omitempty"` // its desired image is Previous, not Target
	Stage         Stage `json:"stage"`
	FromLaterWave bool  `json:"widened,omitempty"` // it was moved into its wave because the wave met too little traffic
	PermitAttempt int   `json:"try,omitempty"`     // counts its permits, from 1
	// RollbackPermit says that the permit was requested by a rollback. A unit that is rolled back while it is out keeps
	// the permit of the rollout.
	RollbackPermit bool             `json:"asked_back,omitempty"`
	FailedStarts   int              `json:"fails,omitempty"` // in this direction
	RequestCount   int              `json:"calls,omitempty"` // to the platform
	Request        *PlatformRequest `json:"call,omitempty"`  // the latest of this stage
	StageSinceMS   int64            `json:"since_ms,omitempty"`
	Reason         string           `json:"why,omitempty"` // why it waits or failed
}

// desiredImage is the image that the unit is to run in its present direction.
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
	HandledCommands   int      `json:"commands"`           // how many of the operators' commands have been handled
	HaltedBy          string   `json:"by,omitempty"`       // who halted the release or rolled it back
	HaltReason        string   `json:"why,omitempty"`      // why
	Finalized         bool     `json:"final,omitempty"`    // it can no longer be rolled back
	StalledSinceMS    int64    `json:"stuck_ms,omitempty"` // since when a rollback gets no permit after a failure
	RollbackAbandoned bool     `json:"gave_up,omitempty"`  // no further unit is taken out for the rollback
	Stranded          []string `json:"stranded,omitempty"` // units that did not return to their previous image, one line each
}

// State is a release as it stands in the log.
type State struct {
	Name          string     `json:"name"`
	StartRevision uint64     `json:"run"` // of the log; tells two releases of one name apart
	Plan          *plan.Plan `json:"plan,omitempty"`
	PlanHash      string     `json:"hash"`
	DrainOnly     bool       `json:"drain,omitempty"` // units are drained and stopped, not updated
	StartedAtMS   int64      `json:"start_ms"`
	Status        Status     `json:"head"`
	Units         []Unit     `json:"units"` // in the order in which they are updated
	Sequence      uint64     `json:"seq"`   // counts the changes that were applied
}

// Delta is one change of a release's state. It applies only to the state that it was computed from.
type Delta struct {
	Sequence uint64  `json:"seq"` // of the state that it was computed from
	Status   *Status `json:"head,omitempty"`
	Units    []Unit  `json:"units,omitempty"` // those that changed, complete
}

// Apply applies a change. It changes nothing and returns an error if the change was computed from another state or names
// an unknown unit.
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

// unitKind is the kind of the release's units, by the plan's selector or else by what the plan changes.
func (s *State) unitKind() disruption.Kind {
	if s.Plan.Selector.Kind != "" {
		return s.Plan.Selector.Kind
	}
	return s.Plan.Kind()
}

// platformKind is unitKind in the platform's terms.
func (s *State) platformKind() supervisor.Kind {
	if s.unitKind() == disruption.KindSidecar {
		return supervisor.Sidecar
	}
	return supervisor.Server
}

// firstUpdateStage is the first stage that changes a unit once it is out and drained.
func (s *State) firstUpdateStage() Stage {
	if s.reloadsInPlace() {
		return StageReloading
	}
	return StageStopping
}

// reloadsInPlace reports whether units keep serving while they are updated: only their configuration changes.
func (s *State) reloadsInPlace() bool {
	return !s.DrainOnly && !s.Plan.RestartsUnits()
}

// retires reports whether the unit leaves the fleet for good: it is drained, and not being returned.
func (s *State) retires(unit *Unit) bool {
	return s.DrainOnly && !unit.Rollback
}

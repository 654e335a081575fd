// Package release moves units of a fleet to another version, or drains them, within the budgets of the ledger. Its core
// is pure: the state of a release as it stands in the log, and what is seen of the fleet, go in with a time; effects and
// the next state come out. What a step does to the world follows from what is written already, so every step is written
// before it is done, and again once evidence says that it is. Effects may be done twice or never: requests to the
// platform carry ids that follow from what is written, and the ledger's operations are the same when repeated. So a
// successor under the next token goes on exactly where the last one stopped, at whatever point that was.
package release

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// Phase is where a release stands.
type Phase string

// The phases. In the last three nothing is done any more.
const (
	PhaseRollout    Phase = "forward"
	PhaseHalted     Phase = "held"     // halted: nothing new goes out; what is out comes to rest
	PhaseRollback   Phase = "back"     // every unit that was touched goes back
	PhaseCompleted  Phase = "done"     // all units are on the new version
	PhaseRolledBack Phase = "backed"   // all units are on the version that they had
	PhaseStranded   Phase = "stranded" // the way back is over, and Head.Stranded lists who is not on the old version
)

// Finished tells whether a release in this phase does nothing any more.
func (p Phase) Finished() bool {
	return p == PhaseCompleted || p == PhaseRolledBack || p == PhaseStranded
}

// Image is what a unit runs.
type Image struct {
	Version    string `json:"version"`
	ConfigName string `json:"config,omitempty"`
}

// Stage is where a unit stands within its permit.
type Stage string

// The stages, in order. A unit whose Back is set goes through them towards Was.
const (
	StagePending             Stage = "todo"   // untouched in this direction
	StageRequestingPermit    Stage = "ask"    // its permit is asked for
	StagePreparing           Stage = "make"   // granted: what stands only there is made ready elsewhere
	StageBeginningDisruption Stage = "begin"  // the ledger is told that it goes out
	StageDraining            Stage = "drain"  // Terminating in the list, until it is proved to be empty
	StageStopping            Stage = "stop"   // the platform is asked to end it
	StageStarting            Stage = "start"  // the platform is asked to start it as the image that it goes to
	StageReloading           Stage = "reload" // a sidecar is given another configuration while it serves on
	StageWarmingUp           Stage = "rise"   // it runs: until it is registered, ready, warm, and its permit settled
	StageCancelling          Stage = "cancel" // its permit is given back before anything was done under it, or by a drain that is undone
	StageConverged           Stage = "rest"   // it is as its direction wants it
	StageFailed              Stage = "lost"   // it could not be brought back; its permit is for an operator to settle
)

// PlatformRequest is one request to the platform, complete before it is first made.
type PlatformRequest struct {
	Sequence    int           `json:"n"` // of this unit in this release
	Op          supervisor.Op `json:"op"`
	Epoch       uint64        `json:"memory"`
	Incarnation uint64        `json:"incarnation"`
	DecidedAtMS int64         `json:"at_ms"` // when it was decided
}

// Unit is one unit of a release, as it is written.
type Unit struct {
	ID       string  `json:"id"` // in the ledger
	Name     string  `json:"name"`
	Wave     int     `json:"wave"`
	Previous Image   `json:"was"`
	Target   Image   `json:"to"`
	Listen   string  `json:"listen,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Capacity float64 `json:"capacity"`

	Rollback      bool  `json:"back,omitempty"`
	Stage         Stage `json:"stage"`
	FromLaterWave bool  `json:"widened,omitempty"` // it was of a later wave
	PermitAttempt int   `json:"try,omitempty"`     // of permits
	// RollbackPermit says that its permit was asked for by the way back: one that is turned while it is out keeps its permit.
	RollbackPermit bool             `json:"asked_back,omitempty"`
	FailedStarts   int              `json:"fails,omitempty"` // starts that came to nothing, in this direction
	RequestCount   int              `json:"calls,omitempty"`
	Request        *PlatformRequest `json:"call,omitempty"` // the last, while its stage lasts
	StageSinceMS   int64            `json:"since_ms,omitempty"`
	Reason         string           `json:"why,omitempty"`
}

// desiredImage is the image that the unit goes to.
func (u *Unit) desiredImage() Image {
	if u.Rollback {
		return u.Previous
	}
	return u.Target
}

// inProgress tells whether the unit is between its asking and its rest.
func (u *Unit) inProgress() bool {
	return u.Stage != StagePending && u.Stage != StageConverged && u.Stage != StageFailed
}

// Status is the release without its units and plan, as it is written.
type Status struct {
	Phase             Phase    `json:"phase"`
	Wave              int      `json:"wave"`
	BakeStartMS       int64    `json:"bake_ms,omitempty"` // when the wave's last unit came to rest; 0: not yet
	Token             uint64   `json:"token"`             // under which it was written: another one's watch begins anew
	HandledCommands   int      `json:"commands"`          // of operators that were taken in
	HaltedBy          string   `json:"by,omitempty"`      // who halted it or sent it back
	HaltReason        string   `json:"why,omitempty"`
	Finalized         bool     `json:"final,omitempty"`    // nobody goes back any more: records may be of the new form
	StalledSinceMS    int64    `json:"stuck_ms,omitempty"` // since when a way back that has lost a unit gets no permit; 0: it does
	RollbackAbandoned bool     `json:"gave_up,omitempty"`  // nothing further is taken out for the way back
	Stranded          []string `json:"stranded,omitempty"` // units that are not on the old version, with what is known
}

// State is a release as it stands in the log.
type State struct {
	Name          string     `json:"name"`
	StartRevision uint64     `json:"run"` // revision of its start: two releases of one name are two
	Plan          *plan.Plan `json:"plan,omitempty"`
	PlanHash      string     `json:"hash"`
	DrainOnly     bool       `json:"drain,omitempty"` // no new version: the units are emptied and stopped
	StartedAtMS   int64      `json:"start_ms"`
	Status        Status     `json:"head"`
	Units         []Unit     `json:"units"` // in the order in which they go
	Sequence      uint64     `json:"seq"`   // deltas so far
}

// Delta is one step as it is written. It counts only on the state that it was made from.
type Delta struct {
	Sequence uint64  `json:"seq"` // of the state before
	Status   *Status `json:"head,omitempty"`
	Units    []Unit  `json:"units,omitempty"`
}

// Apply takes a step in. One that was made from another state is refused and changes nothing.
func (s *State) Apply(delta Delta) error {
	if delta.Sequence != s.Sequence {
		return fmt.Errorf("release %s: a step from %d, it stands at %d", s.Name, delta.Sequence, s.Sequence)
	}
	indexes := make([]int, len(delta.Units))
	for i, u := range delta.Units {
		if indexes[i] = s.unitIndex(u.ID); indexes[i] < 0 {
			return fmt.Errorf("release %s: %s is none of its units", s.Name, u.ID)
		}
	}
	for i, u := range delta.Units {
		s.Units[indexes[i]] = u
	}
	if delta.Status != nil {
		s.Status = *delta.Status
	}
	s.Sequence++
	return nil
}

func (s *State) unitIndex(id string) int {
	for i := range s.Units {
		if s.Units[i].ID == id {
			return i
		}
	}
	return -1
}

// Owner is the duty under whose token a release is written, and the owner of its permits.
func Owner(name string) string { return "release/" + name }

// PermitID is the permit of a unit's try.
func (s *State) PermitID(unit *Unit) string {
	direction := "to"
	if unit.RollbackPermit {
		direction = "back"
	}
	return fmt.Sprintf("%s@%d/%s/%d/%s", Owner(s.Name), s.StartRevision, direction, unit.PermitAttempt, unit.ID)
}

// RequestID names a call: it follows from what is written, so that whoever makes the call makes the same one.
func (s *State) RequestID(unit *Unit) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s\x00%d", s.Name, s.StartRevision, unit.ID, unit.Request.Sequence))
	return "rel-" + hex.EncodeToString(sum[:12])
}

// platformRequest is the call in the platform's form. The configuration's text is for whoever makes the call: it follows from
// the unit and the configuration's name.
func (s *State) platformRequest(unit *Unit) supervisor.Request {
	request := supervisor.Request{ID: s.RequestID(unit), Op: unit.Request.Op, Epoch: unit.Request.Epoch, Unit: unit.Name, Incarnation: unit.Request.Incarnation}
	switch unit.Request.Op {
	case supervisor.Start:
		request.Kind, request.Version, request.ConfigName = s.platformKind(), unit.desiredImage().Version, unit.desiredImage().ConfigName
		request.Listen, request.Zone = unit.Listen, unit.Zone
	case supervisor.Reload:
		request.ConfigName = unit.desiredImage().ConfigName
	}
	return request
}

func (s *State) platformKind() supervisor.Kind {
	if s.unitKind() == disruption.KindSidecar {
		return supervisor.Sidecar
	}
	return supervisor.Server
}

func (s *State) unitKind() disruption.Kind {
	if s.Plan.Selector.Kind != "" {
		return s.Plan.Selector.Kind
	}
	return s.Plan.Kind()
}

// replacementStage is what is done first to a unit that its permit has taken out, and that is empty.
func (s *State) replacementStage() Stage {
	if s.reloadsInPlace() {
		return StageReloading
	}
	return StageStopping
}

// reloadsInPlace tells whether the units serve on while they move.
func (s *State) reloadsInPlace() bool {
	return !s.DrainOnly && s.Plan.Change.ServerVersion == "" && s.Plan.Change.SidecarVersion == ""
}

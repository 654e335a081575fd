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
	Forward  Phase = "forward"
	Held     Phase = "held"     // halted: nothing new goes out; what is out comes to rest
	Back     Phase = "back"     // every unit that was touched goes back
	Done     Phase = "done"     // all units are on the new version
	Backed   Phase = "backed"   // all units are on the version that they had
	Stranded Phase = "stranded" // the way back is over, and Head.Stranded lists who is not on the old version
)

// Over tells whether a release in this phase does nothing any more.
func (p Phase) Over() bool { return p == Done || p == Backed || p == Stranded }

// Image is what a unit runs.
type Image struct {
	Version string `json:"version"`
	Config  string `json:"config,omitempty"`
}

// Stage is where a unit stands within its permit.
type Stage string

// The stages, in order. A unit whose Back is set goes through them towards Was.
const (
	Todo   Stage = "todo"   // untouched in this direction
	Ask    Stage = "ask"    // its permit is asked for
	Make   Stage = "make"   // granted: what stands only there is made ready elsewhere
	Begin  Stage = "begin"  // the ledger is told that it goes out
	Drain  Stage = "drain"  // Terminating in the list, until it is proved to be empty
	Stop   Stage = "stop"   // the platform is asked to end it
	Start  Stage = "start"  // the platform is asked to start it as the image that it goes to
	Reload Stage = "reload" // a sidecar is given another configuration while it serves on
	Rise   Stage = "rise"   // it runs: until it is registered, ready, warm, and its permit settled
	Cancel Stage = "cancel" // its permit is given back before anything was done under it, or by a drain that is undone
	Rest   Stage = "rest"   // it is as its direction wants it
	Lost   Stage = "lost"   // it could not be brought back; its permit is for an operator to settle
)

// Call is one request to the platform, complete before it is first made.
type Call struct {
	N           int           `json:"n"` // of this unit in this release
	Op          supervisor.Op `json:"op"`
	Memory      uint64        `json:"memory"`
	Incarnation uint64        `json:"incarnation"`
	AtMS        int64         `json:"at_ms"` // when it was decided
}

// Unit is one unit of a release, as it is written.
type Unit struct {
	ID       string  `json:"id"` // in the ledger
	Name     string  `json:"name"`
	Wave     int     `json:"wave"`
	Was      Image   `json:"was"`
	To       Image   `json:"to"`
	Listen   string  `json:"listen,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Capacity float64 `json:"capacity"`

	Back    bool  `json:"back,omitempty"`
	Stage   Stage `json:"stage"`
	Widened bool  `json:"widened,omitempty"` // it was of a later wave
	Try     int   `json:"try,omitempty"`     // of permits
	// AskedBack says that its permit was asked for by the way back: one that is turned while it is out keeps its permit.
	AskedBack bool   `json:"asked_back,omitempty"`
	Fails     int    `json:"fails,omitempty"` // starts that came to nothing, in this direction
	Calls     int    `json:"calls,omitempty"`
	Call      *Call  `json:"call,omitempty"` // the last, while its stage lasts
	SinceMS   int64  `json:"since_ms,omitempty"`
	Why       string `json:"why,omitempty"`
}

// goal is the image that the unit goes to.
func (u *Unit) goal() Image {
	if u.Back {
		return u.Was
	}
	return u.To
}

// flying tells whether the unit is between its asking and its rest.
func (u *Unit) flying() bool { return u.Stage != Todo && u.Stage != Rest && u.Stage != Lost }

// Head is the release without its units and plan, as it is written.
type Head struct {
	Phase    Phase    `json:"phase"`
	Wave     int      `json:"wave"`
	BakeMS   int64    `json:"bake_ms,omitempty"` // when the wave's last unit came to rest; 0: not yet
	Token    uint64   `json:"token"`             // under which it was written: another one's watch begins anew
	Commands int      `json:"commands"`          // of operators that were taken in
	By       string   `json:"by,omitempty"`      // who halted it or sent it back
	Why      string   `json:"why,omitempty"`
	Final    bool     `json:"final,omitempty"`    // nobody goes back any more: records may be of the new form
	StuckMS  int64    `json:"stuck_ms,omitempty"` // since when a way back that has lost a unit gets no permit; 0: it does
	GaveUp   bool     `json:"gave_up,omitempty"`  // nothing further is taken out for the way back
	Stranded []string `json:"stranded,omitempty"` // units that are not on the old version, with what is known
}

// State is a release as it stands in the log.
type State struct {
	Name    string     `json:"name"`
	Run     uint64     `json:"run"` // revision of its start: two releases of one name are two
	Plan    *plan.Plan `json:"plan,omitempty"`
	Hash    string     `json:"hash"`
	Drain   bool       `json:"drain,omitempty"` // no new version: the units are emptied and stopped
	StartMS int64      `json:"start_ms"`
	Head    Head       `json:"head"`
	Units   []Unit     `json:"units"` // in the order in which they go
	Seq     uint64     `json:"seq"`   // deltas so far
}

// Delta is one step as it is written. It counts only on the state that it was made from.
type Delta struct {
	Seq   uint64 `json:"seq"` // of the state before
	Head  *Head  `json:"head,omitempty"`
	Units []Unit `json:"units,omitempty"`
}

// Apply takes a step in. One that was made from another state is refused and changes nothing.
func (s *State) Apply(d Delta) error {
	if d.Seq != s.Seq {
		return fmt.Errorf("release %s: a step from %d, it stands at %d", s.Name, d.Seq, s.Seq)
	}
	at := make([]int, len(d.Units))
	for i, u := range d.Units {
		if at[i] = s.index(u.ID); at[i] < 0 {
			return fmt.Errorf("release %s: %s is none of its units", s.Name, u.ID)
		}
	}
	for i, u := range d.Units {
		s.Units[at[i]] = u
	}
	if d.Head != nil {
		s.Head = *d.Head
	}
	s.Seq++
	return nil
}

func (s *State) index(id string) int {
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
func (s *State) PermitID(u *Unit) string {
	way := "to"
	if u.AskedBack {
		way = "back"
	}
	return fmt.Sprintf("%s@%d/%s/%d/%s", Owner(s.Name), s.Run, way, u.Try, u.ID)
}

// RequestID names a call: it follows from what is written, so that whoever makes the call makes the same one.
func (s *State) RequestID(u *Unit) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s\x00%d", s.Name, s.Run, u.ID, u.Call.N))
	return "rel-" + hex.EncodeToString(sum[:12])
}

// request is the call in the platform's form. The configuration's text is for whoever makes the call: it follows from
// the unit and the configuration's name.
func (s *State) request(u *Unit) supervisor.Request {
	r := supervisor.Request{ID: s.RequestID(u), Op: u.Call.Op, Epoch: u.Call.Memory, Unit: u.Name, Incarnation: u.Call.Incarnation}
	switch u.Call.Op {
	case supervisor.Start:
		r.Kind, r.Version, r.ConfigName = s.kind(), u.goal().Version, u.goal().Config
		r.Listen, r.Zone = u.Listen, u.Zone
	case supervisor.Reload:
		r.ConfigName = u.goal().Config
	}
	return r
}

func (s *State) kind() supervisor.Kind {
	if s.ledgerKind() == disruption.KindSidecar {
		return supervisor.Sidecar
	}
	return supervisor.Server
}

func (s *State) ledgerKind() disruption.Kind {
	if s.Plan.Select.Kind != "" {
		return s.Plan.Select.Kind
	}
	return s.Plan.Kind()
}

// first is what is done first to a unit that its permit has taken out, and that is empty.
func (s *State) first() Stage {
	if s.reloads() {
		return Reload
	}
	return Stop
}

// reloads tells whether the units serve on while they move.
func (s *State) reloads() bool {
	return !s.Drain && s.Plan.What.Server == "" && s.Plan.What.Sidecar == ""
}

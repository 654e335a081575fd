// Package supervisor is how milldeck meets the platform that starts and stops processes: a small interface, its
// types, and a client of its HTTP form. Package standin beneath it is a platform of the lab's own, package fake one
// in virtual time.
//
// A caller looks at List, decides, and asks with Do. Each request names what the decision rests on, the platform's
// memory and the unit's incarnation, so that one that comes late, or twice, or to a platform that has forgotten, is
// refused instead of done to something else.
package supervisor

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// Bounds of requests.
const (
	MaxRequests    = 256     // in one call
	MaxConfigBytes = 1 << 20 // bytes of a configuration; one with 2,000 known servers has a third of it
	MaxGraceMS     = 600_000 // ten minutes: longer than any drain waits for what is open
	maxNameBytes   = 64      // bytes of a name: it also names files
	maxIDBytes     = 160     // bytes of a request's id: names of what is done, of a step and of a unit fit in
)

// Supervisor is the platform.
type Supervisor interface {
	// Do carries out requests one after the other and tells what became of each, in their order. An error that is
	// ErrOutcomeUnknown says that some may have been done, others not: look at List, or ask again with the same ids. Any
	// other error says that none was done.
	Do(ctx context.Context, requests ...Request) ([]Outcome, error)
	// List tells what the platform knows of. An error says nothing about any unit.
	List(ctx context.Context) (*List, error)
}

// ErrOutcomeUnknown marks a call whose outcome is not known.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// Kind is what a unit is.
type Kind string

// The kinds of units.
const (
	Server  Kind = "server"
	Sidecar Kind = "sidecar"
)

// Op is what is asked for.
type Op string

// What can be asked for. Each is done once it is under way: List tells how it goes on.
const (
	Start   Op = "start"   // a unit that is not listed or has exited
	Stop    Op = "stop"    // SIGTERM, and SIGKILL after the grace; ends a restart that has not started yet too
	Restart Op = "restart" // as stop, and then as start
	Reload  Op = "reload"  // a new configuration file, then SIGHUP
)

// Request asks for one thing.
type Request struct {
	// ID names the request, in parts between slashes, as "release/step/unit". Its repeat, as long as the platform
	// remembers, has the first outcome and changes nothing.
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Memory is the platform's, as listed. A platform that has forgotten since refuses.
	Epoch uint64 `json:"memory"`
	Unit  string `json:"unit"`
	// Incarnation is the unit's as listed, 0 where it is not listed. A unit that has another since is left alone.
	Incarnation uint64 `json:"incarnation"`

	Kind       Kind   `json:"kind,omitempty"`    // start, restart
	Version    string `json:"version,omitempty"` // start, restart
	Listen     string `json:"listen,omitempty"`  // start, restart: the unit's address, on loopback
	Zone       string `json:"zone,omitempty"`    // start, restart
	ConfigName string `json:"config,omitempty"`  // start, restart, reload: the configuration's name
	ConfigText string `json:"file,omitempty"`    // start, restart, reload: its text; empty: the unit's last one
	GraceMS    int64  `json:"grace_ms,omitempty"`
	// GraceMS is for stop and restart, from SIGTERM to SIGKILL; 0: the version's own.
}

// RejectionReason says why a request was refused; empty: it was not.
type RejectionReason string

// Reasons of refusals. None changes anything, and but for Forgotten and Reused a repeat is refused alike.
const (
	EpochMismatch       RejectionReason = "forgotten" // the platform has lost its memory since; what was asked there may have been done
	RequestIDReused     RejectionReason = "reused"    // the id was used for something else
	IncarnationMismatch RejectionReason = "stale"     // the unit has another incarnation than the request names
	InvalidState        RejectionReason = "busy"      // the unit is not in a state for this
	UnknownVersion      RejectionReason = "no_version"
	LimitReached        RejectionReason = "full" // no more units can be had
)

// Outcome is what became of a request.
type Outcome struct {
	ID       string          `json:"id"`
	Unit     string          `json:"unit"`
	Rejected RejectionReason `json:"refused,omitempty"`
	Detail   string          `json:"text,omitempty"` // one line, where it was refused
	// Memory and Incarnation are the platform's and the unit's after it: for start and restart the new one.
	Epoch       uint64 `json:"memory"`
	Incarnation uint64 `json:"incarnation"`
}

// Err is the refusal as an error, nil where there is none.
func (o *Outcome) Err() error {
	if o.Rejected == "" {
		return nil
	}
	return fmt.Errorf("%s: %s: %s", o.Unit, o.Rejected, o.Detail)
}

// State is how far a unit has come.
type State string

// States of units. A unit that has exited may be started again by the platform, as its version says; one that is being
// restarted goes from stopping to starting, so that one that has exited waits for no start that was asked for.
const (
	Starting State = "starting"
	Running  State = "running" // it has been ready once
	Stopping State = "stopping"
	Exited   State = "exited"
)

// Unit is a unit as listed.
type Unit struct {
	Name       string `json:"name"`
	Kind       Kind   `json:"kind"`
	Version    string `json:"version"`
	ConfigName string `json:"config,omitempty"`
	Zone       string `json:"zone,omitempty"`
	Listen     string `json:"listen"`
	State      State  `json:"state"`
	// Incarnation is another with each start that was asked for, unique within a memory.
	Incarnation uint64 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`       // of the state, in ms by the platform's clock
	Restarts    int    `json:"restarts"`       // of this incarnation, by the platform itself
	Exit        string `json:"exit,omitempty"` // how its last process ended: "exit status 0", "signal: killed", or what failed
}

// List is what the platform knows of.
type List struct {
	// Memory names the span since which the platform remembers: it grows when the platform has forgotten all.
	Epoch uint64 `json:"memory"`
	// Complete says that the platform has seen all that it runs. Until then a unit that is not listed may run.
	// After, it was not started in this memory or has exited long ago.
	Complete bool   `json:"complete"`
	AtMS     int64  `json:"at_ms"` // by the platform's clock
	Units    []Unit `json:"units"` // by name
}

// Find is the unit of that name, nil where it is not listed.
func (l *List) Find(name string) *Unit {
	for i := range l.Units {
		if l.Units[i].Name == name {
			return &l.Units[i]
		}
	}
	return nil
}

// Digest tells requests of one id apart.
func (r *Request) Digest() [sha256.Size]byte {
	data, _ := json.Marshal(r) // strings and numbers alone
	return sha256.Sum256(data)
}

// Validate tells what a request lacks or has too much.
func (r *Request) Validate() error {
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return fmt.Errorf("id: %d bytes, 1 to %d can be", len(r.ID), maxIDBytes)
	}
	for part := range strings.SplitSeq(r.ID, "/") {
		if err := validateName(part); err != nil {
			return fmt.Errorf("id: %w", err)
		}
	}
	for _, name := range []struct {
		key, value string
		must       bool
	}{
		{"unit", r.Unit, true}, {"version", r.Version, r.startsProcess()}, {"config", r.ConfigName, r.Op == Reload},
		{"zone", r.Zone, false},
	} {
		if name.value == "" && !name.must {
			continue
		}
		if err := validateName(name.value); err != nil {
			return fmt.Errorf("%s: %w", name.key, err)
		}
	}
	switch r.Op {
	case Start, Restart:
		if err := r.Kind.validate(); err != nil {
			return err
		}
		if at, err := netip.ParseAddrPort(r.Listen); err != nil || !at.Addr().IsLoopback() || at.Port() == 0 {
			return fmt.Errorf("listen: %q is no address and port on loopback", r.Listen)
		}
	case Stop, Reload:
		if r.Kind != "" || r.Version != "" || r.Listen != "" || r.Zone != "" {
			return fmt.Errorf("op: %s takes no kind, version, listen or zone", r.Op)
		}
	default:
		return fmt.Errorf("op: %q is none of start, stop, restart, reload", r.Op)
	}
	switch {
	case r.Epoch == 0:
		return errors.New("memory: is not named")
	case r.Incarnation == 0 && r.Op != Start:
		return fmt.Errorf("incarnation: %s has to name one", r.Op)
	case r.GraceMS < 0 || r.GraceMS > MaxGraceMS:
		return fmt.Errorf("grace_ms: %d is not within 0 to %d", r.GraceMS, MaxGraceMS)
	case r.GraceMS != 0 && r.Op != Stop && r.Op != Restart:
		return fmt.Errorf("grace_ms: %s takes none", r.Op)
	case len(r.ConfigText) > MaxConfigBytes:
		return fmt.Errorf("file: %d bytes, at most %d are taken", len(r.ConfigText), MaxConfigBytes)
	case r.ConfigText == "" && r.Op == Reload:
		return errors.New("file: reload needs one")
	case r.Op == Stop && r.ConfigText+r.ConfigName != "":
		return errors.New("op: stop takes no config or file")
	}
	return nil
}

func (r *Request) startsProcess() bool { return r.Op == Start || r.Op == Restart }

func (k Kind) validate() error {
	if k != Server && k != Sidecar {
		return fmt.Errorf("kind: %q is neither server nor sidecar", string(k))
	}
	return nil
}

// validateName holds names to what is safe in a path, an argument and a log line.
func validateName(name string) error {
	if name == "" || len(name) > maxNameBytes || name[0] == '.' || name[0] == '-' {
		return fmt.Errorf("%.80q is no name of 1 to %d characters that begins with neither a dot nor a dash", name, maxNameBytes)
	}
	for _, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_', c == '+', c == ':':
		default:
			return fmt.Errorf("%q: only letters, digits and . - _ + : stand in a name", name)
		}
	}
	return nil
}

// ValidateVersion holds the name and kind of a version to what requests can ask for.
func ValidateVersion(k Kind, name string) error {
	if err := k.validate(); err != nil {
		return err
	}
	return validateName(name)
}

// ValidateBatch tells what is wrong with the requests of one call.
func ValidateBatch(requests []Request) error {
	if len(requests) == 0 || len(requests) > MaxRequests {
		return fmt.Errorf("%d requests in a call, 1 to %d can be", len(requests), MaxRequests)
	}
	ids := make(map[string]bool, len(requests))
	for i := range requests {
		if err := requests[i].Validate(); err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
		if ids[requests[i].ID] {
			return fmt.Errorf("request %d: id %s stands twice in the call", i, requests[i].ID)
		}
		ids[requests[i].ID] = true
	}
	return nil
}

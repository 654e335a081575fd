// Package supervisor is the interface to the platform that starts and stops processes, with its types and a client of
// its HTTP form. Package standin beneath it is the lab's own platform, package fake one in virtual time.
//
// A caller reads List, decides, and calls Do. Each request names what the decision rests on, the platform's epoch and the
// unit's incarnation. So one that arrives late, twice, or at a platform that has lost its state is rejected, and is not
// done to something else.
//
// The package does not start or stop anything itself, and does not decide what is to run.
package supervisor

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
)

// Bounds of requests.
const (
	// MaxRequests is the number of requests in one batch.
	MaxRequests = 256
	// MaxConfigBytes is the size of a configuration; one with 2,000 known servers has a third of it.
	MaxConfigBytes = 1 << 20
	// MaxGraceMS is ten minutes in ms: longer than any drain waits for requests in flight.
	MaxGraceMS = 600_000

	maxNameBytes = 64  // names also name files
	maxIDBytes   = 160 // of a request's id: the names of a release, a step and a unit fit in
)

// Supervisor is the platform.
type Supervisor interface {
	// Do carries out requests one after the other, and returns their outcomes in the same order. An ErrOutcomeUnknown
	// says that some may have been done, others not: the caller reads List, or repeats the call with the same ids. Any
	// other error says that none was done.
	Do(ctx context.Context, requests ...Request) ([]Outcome, error)
	// List returns the units that the platform knows. An error says nothing about any unit.
	List(ctx context.Context) (*List, error)
}

// ErrOutcomeUnknown marks a call that may have been carried out in part.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// Kind is the kind of a unit.
type Kind string

// The kinds of units.
const (
	Server  Kind = "server"
	Sidecar Kind = "sidecar"
)

// Op is what a request asks for.
type Op string

// The operations. Each is done once it is under way: List shows how it goes on.
const (
	Start   Op = "start"   // a unit that isn't listed or has exited
	Stop    Op = "stop"    // SIGTERM, and SIGKILL after the grace period; also ends a restart that hasn't started yet
	Restart Op = "restart" // as stop, and then as start
	Reload  Op = "reload"  // a new configuration file, then SIGHUP
)

// Request asks for one operation on a unit.
type Request struct {
	// ID names the request, in parts between slashes: "release/step/unit". As long as the platform remembers it, a repeat
	// gets the first outcome and changes nothing.
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Epoch is the platform's, as listed. A platform that has lost its state since rejects the request.
	Epoch uint64 `json:"memory"`
	Unit  string `json:"unit"`
	// Incarnation is the unit's as listed, 0 where it isn't listed. A unit that has another one by now is left alone.
	Incarnation uint64 `json:"incarnation"`

	// For start and restart:

	Kind    Kind   `json:"kind,omitempty"`
	Version string `json:"version,omitempty"`
	Listen  string `json:"listen,omitempty"` // the unit's address, on loopback
	Zone    string `json:"zone,omitempty"`

	// For start, restart and reload:

	ConfigName string `json:"config,omitempty"`
	ConfigText string `json:"file,omitempty"` // empty: the unit's last one

	// GraceMS is for stop and restart: the time from SIGTERM to SIGKILL in ms; 0: the version's own.
	GraceMS int64 `json:"grace_ms,omitempty"`
}

// Digest tells requests with the same id apart.
func (r *Request) Digest() [sha256.Size]byte {
	data, _ := json.Marshal(r) // a struct of strings and numbers always marshals
	return sha256.Sum256(data)
}

// startsProcess reports whether the request starts a process.
func (r *Request) startsProcess() bool { return r.Op == Start || r.Op == Restart }

// RejectionReason says why a request was rejected; empty: it wasn't.
type RejectionReason string

// The reasons. A rejected request has changed nothing. Its repeat is rejected alike, but for EpochMismatch and
// RequestIDReused.
const (
	EpochMismatch       RejectionReason = "forgotten"  // the platform has lost its state; what was asked before may be done
	RequestIDReused     RejectionReason = "reused"     // the id was used for another request
	IncarnationMismatch RejectionReason = "stale"      // the unit has another incarnation than the request names
	InvalidState        RejectionReason = "busy"       // the unit's state doesn't allow the operation
	UnknownVersion      RejectionReason = "no_version" // the platform doesn't have the version
	LimitReached        RejectionReason = "full"       // the platform can't have more units
)

// Outcome is what became of a request.
type Outcome struct {
	ID       string          `json:"id"`
	Unit     string          `json:"unit"`
	Rejected RejectionReason `json:"refused,omitempty"`
	Detail   string          `json:"text,omitempty"` // of the rejection, one line
	// Epoch and Incarnation are the platform's and the unit's after the request: for start and restart the new one.
	Epoch       uint64 `json:"memory"`
	Incarnation uint64 `json:"incarnation"`
}

// Err is the rejection as a *RejectedError, nil where there is none.
func (o *Outcome) Err() error {
	if o.Rejected == "" {
		return nil
	}
	return &RejectedError{Unit: o.Unit, Reason: o.Rejected, Detail: o.Detail}
}

// RejectedError says that a request for a unit was rejected.
type RejectedError struct {
	Unit   string
	Reason RejectionReason
	Detail string // one line
}

// Error implements the error interface.
func (e *RejectedError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Unit, e.Reason, e.Detail) }

// State is the state of a unit.
type State string

// The states of a unit. One that has exited may be started again by the platform, as its version says. One that is being
// restarted goes from stopping to starting; so one that has exited waits for no start that was requested.
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
	// Incarnation is a new one with each start that is requested, unique within an epoch.
	Incarnation uint64 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`       // when the state began, by the platform's clock in ms
	Restarts    int    `json:"restarts"`       // of this incarnation, by the platform itself
	Exit        string `json:"exit,omitempty"` // how its last process ended: "exit status 0", "signal: killed", or what failed
}

// List is what the platform knows.
type List struct {
	// Epoch names the span of time since which the platform remembers. It grows when the platform has lost its state.
	Epoch uint64 `json:"memory"`
	// Complete says that the platform has found all that it runs. Before that, a unit that isn't listed may run. After, it
	// wasn't started in this epoch or has exited long ago.
	Complete bool   `json:"complete"`
	AtMS     int64  `json:"at_ms"` // by the platform's clock
	Units    []Unit `json:"units"` // by name
}

// Find returns the unit of a name, nil where it isn't listed.
func (l *List) Find(name string) *Unit {
	for i := range l.Units {
		if l.Units[i].Name == name {
			return &l.Units[i]
		}
	}
	return nil
}

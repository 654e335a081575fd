// Package supervisor defines the interface to the platform that starts and stops processes, its types, and a client of its
// HTTP interface. Package standin implements the platform with real processes for the lab, package fake in virtual time.
//
// A caller calls List, decides, and calls Do. Each request names the platform's epoch and the unit's incarnation on which
// the decision is based. The platform rejects a request that arrives late or after the platform has lost its state, instead
// of applying it to another incarnation of the unit. A repeated request has no further effect.
//
// The package does not start or stop processes itself, and does not decide which units run.
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
	// MaxRequests is the maximum number of requests in one batch.
	MaxRequests = 256
	// MaxConfigBytes is the maximum size of a configuration. A configuration with 2,000 known servers takes a third of this size.
	MaxConfigBytes = 1 << 20
	// MaxGraceMS is the maximum grace period of ten minutes, in ms. No drain waits longer for requests in flight.
	MaxGraceMS = 600_000

	maxNameBytes = 64  // names are also used as file names
	maxIDBytes   = 160 // of a request's ID: enough for the names of a release, a step and a unit
)

// Supervisor is the interface to the platform.
type Supervisor interface {
	// Do executes requests one after the other, and returns their outcomes in the same order. After an ErrOutcomeUnknown,
	// any of the requests may have been executed or not: the caller calls List, or repeats the call with the same IDs.
	// Any other error guarantees that no request was executed.
	Do(ctx context.Context, requests ...Request) ([]Outcome, error)
	// List returns the units that the platform knows. After an error, the state of all units is unknown.
	List(ctx context.Context) (*List, error)
}

// ErrOutcomeUnknown says that the platform may have executed the call, in part or completely.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// Kind is the kind of a unit.
type Kind string

// The kinds of units.
const (
	Server  Kind = "server"
	Sidecar Kind = "sidecar"
)

// Op is an operation on a unit.
type Op string

// The operations. The platform responds once it has begun an operation; List shows the progress.
const (
	Start   Op = "start"   // starts a unit that is not listed or has exited
	Stop    Op = "stop"    // sends SIGTERM, and SIGKILL after the grace period; also cancels the pending start of a restart
	Restart Op = "restart" // stops the unit and then starts it
	Reload  Op = "reload"  // writes a new configuration file and sends SIGHUP
)

// Request is a request for one operation on a unit.
type Request struct {
	// ID identifies the request. It consists of names separated by slashes, such as "release/step/unit". While the platform
	// remembers the ID, a repeated request returns the first outcome and changes nothing.
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Epoch is the platform's epoch from the list. A platform that has lost its state since then rejects the request.
	Epoch uint64 `json:"memory"`
	Unit  string `json:"unit"`
	// Incarnation is the unit's incarnation from the list, 0 for a unit that is not listed. The platform rejects the request
	// if the unit has another incarnation.
	Incarnation uint64 `json:"incarnation"`

	// Fields for start and restart:

	Kind    Kind   `json:"kind,omitempty"`
	Version string `json:"version,omitempty"`
	Listen  string `json:"listen,omitempty"` // the unit's address, on loopback
	Zone    string `json:"zone,omitempty"`

	// Fields for start, restart and reload:

	ConfigName string `json:"config,omitempty"`
	ConfigText string `json:"file,omitempty"` // empty: the unit keeps its configuration file

	// GraceMS, for stop and restart, is the time from SIGTERM to SIGKILL in ms; 0: the grace period of the version.
	GraceMS int64 `json:"grace_ms,omitempty"`
}

// Digest returns a hash of all fields. It distinguishes a repeated request from another one with the same ID.
func (r *Request) Digest() [sha256.Size]byte {
	data, _ := json.Marshal(r) // cannot fail for a struct of strings and numbers
	return sha256.Sum256(data)
}

// startsProcess reports whether the request starts a process.
func (r *Request) startsProcess() bool { return r.Op == Start || r.Op == Restart }

// RejectionReason is the reason why a request was rejected; empty if it was executed.
type RejectionReason string

// The reasons of rejections. A rejected request has changed nothing. The platform remembers rejections and repeats them for
// repeated requests, except EpochMismatch and RequestIDReused.
const (
	EpochMismatch       RejectionReason = "forgotten"  // the platform has lost its state; earlier requests may have been executed
	RequestIDReused     RejectionReason = "reused"     // another request had the same ID
	IncarnationMismatch RejectionReason = "stale"      // the unit has another incarnation than the request names
	InvalidState        RejectionReason = "busy"       // the unit's state does not allow the operation
	UnknownVersion      RejectionReason = "no_version" // the platform does not have the version
	LimitReached        RejectionReason = "full"       // the platform has reached its limit of units or processes
)

// Outcome is the result of a request.
type Outcome struct {
	ID       string          `json:"id"`
	Unit     string          `json:"unit"`
	Rejected RejectionReason `json:"refused,omitempty"`
	Detail   string          `json:"text,omitempty"` // of the rejection, one line
	// Epoch is the epoch of the platform, and Incarnation the incarnation of the unit, after the request. A start or
	// restart returns the new incarnation.
	Epoch       uint64 `json:"memory"`
	Incarnation uint64 `json:"incarnation"`
}

// Err returns the rejection as a *RejectedError, nil if the request was executed.
func (o *Outcome) Err() error {
	if o.Rejected == "" {
		return nil
	}
	return &RejectedError{Unit: o.Unit, Reason: o.Rejected, Detail: o.Detail}
}

// RejectedError is the error of a rejected request for a unit.
type RejectedError struct {
	Unit   string
	Reason RejectionReason
	Detail string // one line
}

// Error implements the error interface.
func (e *RejectedError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Unit, e.Reason, e.Detail) }

// State is the state of a unit.
type State string

// The states of a unit. The platform itself may restart an exited unit, as configured for the version. A requested restart
// changes the state from stopping to starting directly, so an exited unit never has a requested start pending.
const (
	Starting State = "starting"
	Running  State = "running" // the unit has passed its readiness check
	Stopping State = "stopping"
	Exited   State = "exited"
)

// Unit is an entry of the list of units.
type Unit struct {
	Name       string `json:"name"`
	Kind       Kind   `json:"kind"`
	Version    string `json:"version"`
	ConfigName string `json:"config,omitempty"`
	Zone       string `json:"zone,omitempty"`
	Listen     string `json:"listen"`
	State      State  `json:"state"`
	// Incarnation identifies a requested start of the unit. It is unique within an epoch.
	Incarnation uint64 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`       // start of the state, by the platform's clock in ms
	Restarts    int    `json:"restarts"`       // restarts of this incarnation by the platform itself
	Exit        string `json:"exit,omitempty"` // how the last process ended: "exit status 0", "signal: killed", or an error
}

// List lists the units that the platform knows.
type List struct {
	// Epoch identifies the platform's state. It increases each time the platform loses its state.
	Epoch uint64 `json:"memory"`
	// Complete says that the platform has found all processes that it runs. While it is false, a unit that is not
	// listed may be running. While it is true, a unit that is not listed was not started in this epoch, or exited long
	// ago.
	Complete bool   `json:"complete"`
	AtMS     int64  `json:"at_ms"` // by the platform's clock
	Units    []Unit `json:"units"` // by name
}

// Find returns the unit with a name, nil if it is not listed.
func (l *List) Find(name string) *Unit {
	for i := range l.Units {
		if l.Units[i].Name == name {
			return &l.Units[i]
		}
	}
	return nil
}

// Package registry is the project's own discovery: a replicated list of server instances with leases, watches and
// one revision. Its core is a state machine without sockets or clocks (State), which hashicorp/raft drives from
// its log; the revision of a change is the index of its log entry, so it is the list's version, the cursor of a
// watch and a fencing token at once. A Replica puts it behind HTTP, a Client talks to any of the replicas.
package registry

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// Target is an instance in the form in which PROTOCOL's discovery lists it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // Unix ms of its last start; 0: long ago
}

// The states of PROTOCOL. Gone appears only among changes.
const (
	InstanceReady       = "Ready"
	InstanceTerminating = "Terminating"
	InstanceRemoved     = "Gone"
)

// EndpointList is PROTOCOL's list or change, with the epoch of the cluster that told it; who does not know the field
// skips it.
type EndpointList struct {
	Revision uint64   `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []Target `json:"targets"`
	Epoch    uint64   `json:"epoch,omitempty"`
}

// Instance is a target as it is registered.
type Instance struct {
	Target
	Version  string `json:"version,omitempty"` // of its program; sidecars are not told
	TTLMS    int64  `json:"ttl_ms"`            // lease; 0: it never ends by itself
	Revision uint64 `json:"rev"`               // of its last change
	Suspect  bool   `json:"suspect,omitempty"`
}

// Bounds of what a writer may ask for.
const (
	maxNameLength   = 128
	maxCapacityHint = 1000        // capacity_hint beyond it is no size
	minTTLMS        = 100         // shorter than this no renewal could keep up
	maxTTLMS        = 3600 * 1000 // longer than an hour is no lease
	maxInstances    = 100_000
	maxBatchSize    = 10_000 // instances in one write
)

// FieldError is what is wrong with a write: the field and why, in one line.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// validate tells which field of an instance cannot be.
func (i *Instance) validate() error {
	switch {
	case i.UID == "" || len(i.UID) > maxNameLength:
		return fieldErrorf("uid", "%d characters, wanted 1 to %d", len(i.UID), maxNameLength)
	case i.State != InstanceReady && i.State != InstanceTerminating:
		return fieldErrorf("state", "%q is not %s or %s", i.State, InstanceReady, InstanceTerminating)
	case !(i.Capacity > 0 && i.Capacity <= maxCapacityHint):
		return fieldErrorf("capacity_hint", "%v is not above 0 and at most %d", i.Capacity, maxCapacityHint)
	case !(i.BootMS >= 0 && i.BootMS < 1e15):
		return fieldErrorf("boot_ms", "%v is no time", i.BootMS)
	case i.TTLMS != 0 && (i.TTLMS < minTTLMS || i.TTLMS > maxTTLMS):
		return fieldErrorf("ttl_ms", "%d is not 0 or within %d to %d", i.TTLMS, minTTLMS, maxTTLMS)
	case len(i.Zone) > maxNameLength:
		return fieldErrorf("az", "over %d characters", maxNameLength)
	case len(i.Model) > maxNameLength:
		return fieldErrorf("model", "over %d characters", maxNameLength)
	case len(i.Version) > maxNameLength:
		return fieldErrorf("version", "over %d characters", maxNameLength)
	}
	address, err := netip.ParseAddrPort(i.Endpoint)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fieldErrorf("endpoint", "%q is no address and port", i.Endpoint)
	}
	return nil
}

// Op is what a record does.
type Op string

// The operations of the log.
const (
	OpRegister   Op = "register"   // Instances
	OpSetState   Op = "state"      // Refs, State
	OpDeregister Op = "deregister" // Refs
	OpExpire     Op = "expire"     // Refs: those whose leases ended, if they have not changed since
	OpSuspect    Op = "suspect"    // Refs, On: held back from expiry, or no longer
	OpEpoch      Op = "epoch"      // Epoch: this list does not continue the one before
	OpLease      Op = "duty"       // Duty
	OpPlacement  Op = "placement"  // Placement, under its owner's Guard or the leader's own
	OpRelease    Op = "release"    // Release; a step of it under its owner's Guard
	OpWindow     Op = "window"     // Window, at Stamp; a step of the controller under the duty of windows
	OpLedger     Op = "ledger"     // Ledger, under its owner's Guard
	OpSidecars   Op = "sidecars"   // Sidecars are registered; Refs: what State says became of others
	OpMirror     Op = "follow"     // Instances and Refs: set and removed unchecked, by an agent that follows a registry
)

// InstanceRef names an instance, and the revision that it must still have; 0: any.
type InstanceRef struct {
	UID      string `json:"uid"`
	Revision uint64 `json:"rev,omitempty"`
}

// Record is one entry of the log. Fields of a later version that are not known here are skipped.
type Record struct {
	Op         Op                    `json:"op"`
	ID         string                `json:"id,omitempty"` // of the write: a repeat after a lost answer is not done twice
	IfRevision *uint64               `json:"if_rev,omitempty"`
	Instances  []Instance            `json:"instances,omitempty"`
	Refs       []InstanceRef         `json:"refs,omitempty"`
	State      string                `json:"state,omitempty"`
	Suspected  bool                  `json:"on,omitempty"`
	Epoch      uint64                `json:"epoch,omitempty"`
	Lease      *leasetable.Operation `json:"duty,omitempty"`
	Guard      *Guard                `json:"guard,omitempty"` // the write counts only under this duty's token

	Placement *placement.Op          `json:"placement,omitempty"`
	Release   *release.Operation     `json:"release,omitempty"`
	Window    *maintenance.Operation `json:"window,omitempty"`
	Stamp     *maintenance.Timestamp `json:"stamp,omitempty"`
	Ledger    *disruption.Op         `json:"ledger,omitempty"`
	Sidecars  []Sidecar              `json:"sidecars,omitempty"`
}

// recordVersion is the first byte of a record; a newer one is refused, an older one read.
const recordVersion = 1

var (
	errChecksumMismatch = errors.New("checksum does not match")
	errNewerVersion     = errors.New("written by a newer version")
)

// Encode gives a record's bytes: version, checksum, JSON.
func (r *Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	encoded := make([]byte, 9, 9+len(body))
	encoded[0] = recordVersion
	binary.BigEndian.PutUint64(encoded[1:], xxhash.Sum64(body))
	return append(encoded, body...), nil
}

// DecodeRecord reads a record's bytes.
func DecodeRecord(data []byte) (*Record, error) {
	if len(data) < 9 {
		return nil, fmt.Errorf("record of %d bytes: %w", len(data), errChecksumMismatch)
	}
	if data[0] > recordVersion {
		return nil, fmt.Errorf("record of version %d: %w", data[0], errNewerVersion)
	}
	body := data[9:]
	if binary.BigEndian.Uint64(data[1:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("record: %w", errChecksumMismatch)
	}
	var record Record
	if err := json.Unmarshal(body, &record); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record, nil
}

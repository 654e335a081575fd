package registry

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// Op is the operation of a record.
type Op string

// The operations, each with the fields of the record that it uses.
const (
	OpRegister   Op = "register"   // Instances
	OpSetState   Op = "state"      // Refs, State
	OpDeregister Op = "deregister" // Refs
	OpExpire     Op = "expire"     // Refs: the leases have expired; an instance that has changed since stays
	OpSuspect    Op = "suspect"    // Refs, Suspected: whether the expiry is held back
	OpEpoch      Op = "epoch"      // Epoch: a new history starts
	OpLease      Op = "duty"       // Lease: an operation of leader election
	OpPlacement  Op = "placement"  // Placement, with the Guard of the directives' owner; no Guard to remove expired directives
	OpRelease    Op = "release"    // Release; a step of the controller needs the Guard of the release's lease
	OpWindow     Op = "window"     // Window, Timestamp; a step of the controller needs the Guard of maintenance windows
	OpLedger     Op = "ledger"     // Ledger, with the Guard of the operation's owner
	OpSidecars   Op = "sidecars"   // Sidecars to register; Refs, State: what happened to registered sidecars
	OpMirror     Op = "follow"     // Instances to set and Refs to remove without checks, by an agent that mirrors a registry
)

// InstanceRef refers to an instance that must still have Revision; 0 matches any revision. In a record about sidecars,
// UID is the name of a sidecar.
type InstanceRef struct {
	UID      string `json:"uid"`
	Revision uint64 `json:"rev,omitempty"`
}

// Guard makes a write conditional on a lease of leader election: the record has no effect unless Token is the fencing
// token of the current holder of the lease. The state machine checks the guard when it applies the record, not when the
// record is proposed.
type Guard struct {
	Lease string `json:"duty"`
	Token uint64 `json:"token"`
}

// Record is one entry of the raft log. Decoding skips unknown fields, which a later version has written.
type Record struct {
	Op         Op                    `json:"op"`
	ID         string                `json:"id,omitempty"` // idempotency key of the write; "": none
	IfRevision *uint64               `json:"if_rev,omitempty"`
	Instances  []Instance            `json:"instances,omitempty"`
	Refs       []InstanceRef         `json:"refs,omitempty"`
	State      string                `json:"state,omitempty"`
	Suspected  bool                  `json:"on,omitempty"`
	Epoch      uint64                `json:"epoch,omitempty"`
	Lease      *leasetable.Operation `json:"duty,omitempty"`
	Guard      *Guard                `json:"guard,omitempty"`

	Placement *placement.Op          `json:"placement,omitempty"`
	Release   *release.Operation     `json:"release,omitempty"`
	Window    *maintenance.Operation `json:"window,omitempty"`
	Timestamp *maintenance.Timestamp `json:"stamp,omitempty"`
	Ledger    *disruption.Op         `json:"ledger,omitempty"`
	Sidecars  []Sidecar              `json:"sidecars,omitempty"`
}

const (
	// recordVersion is the first byte of a stored record. DecodeRecord rejects newer versions and reads older ones.
	recordVersion = 1

	checksumSize     = 8 // XXH64, big-endian
	recordHeaderSize = 1 + checksumSize
)

var (
	errChecksumMismatch = errors.New("checksum does not match")
	errNewerVersion     = errors.New("written by a newer version")
)

// Encode returns the stored form of a record: version, checksum, JSON.
func (r *Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	encoded := make([]byte, recordHeaderSize, recordHeaderSize+len(body))
	encoded[0] = recordVersion
	binary.BigEndian.PutUint64(encoded[1:], xxhash.Sum64(body))
	return append(encoded, body...), nil
}

// DecodeRecord reads the stored form of a record. It returns an error if the data is corrupt or of a newer version.
func DecodeRecord(data []byte) (*Record, error) {
	if len(data) < recordHeaderSize {
		return nil, fmt.Errorf("record of %d bytes: %w", len(data), errChecksumMismatch)
	}
	if data[0] > recordVersion {
		return nil, fmt.Errorf("record of version %d: %w", data[0], errNewerVersion)
	}
	body := data[recordHeaderSize:]
	if binary.BigEndian.Uint64(data[1:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("record: %w", errChecksumMismatch)
	}
	var record Record
	if err := json.Unmarshal(body, &record); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record, nil
}

package leasetable

import (
	"fmt"
	"slices"

	"milldeck/internal/validation"
)

// OperationKind identifies what an operation does to a lease.
type OperationKind string

// The kinds of operations. Their values are stored in the log and are part of HTTP paths.
const (
	Campaign   OperationKind = "seek"       // Candidate acquires the lease or joins its queue; TTLMS applies if the lease is free
	Release    OperationKind = "release"    // the holder releases the lease under Token; with Token 0 Candidate leaves the queue
	Expire     OperationKind = "lapse"      // the lease of Candidate under Token has expired; with Token 0 its place in the queue
	Handover   OperationKind = "handover"   // the holder is requested to step down in favour of Successor, a queued candidate
	Revoke     OperationKind = "takeaway"   // the holder's token becomes invalid at once
	Checkpoint OperationKind = "checkpoint" // the holder stores Data under its Token
)

var operationKinds = []OperationKind{Campaign, Release, Expire, Handover, Revoke, Checkpoint}

// Operation is an entry of the replicated log that applies to one lease.
type Operation struct {
	Kind        OperationKind `json:"kind"`
	Name        string        `json:"name"` // of the lease
	Candidate   string        `json:"who,omitempty"`
	Token       uint64        `json:"token,omitempty"`
	TTLMS       int64         `json:"ttl_ms,omitempty"`
	Successor   string        `json:"to,omitempty"`
	Data        []byte        `json:"data,omitempty"`
	ShortTenure bool          `json:"short,omitempty"` // for Release and Expire: the tenure was short, by the raft leader's clock
}

// Validate returns a *validation.Error for the first invalid field. Callers validate an operation before they write it to
// the log; Apply does not repeat the check.
func (o *Operation) Validate() error {
	needsCandidate := o.Kind != Handover && o.Kind != Revoke
	switch {
	case !slices.Contains(operationKinds, o.Kind):
		return validation.Errorf("kind", "%q is no operation", o.Kind)
	case o.Name == "" || len(o.Name) > MaxNameLength:
		return validation.Errorf("name", "%d characters, wanted 1 to %d", len(o.Name), MaxNameLength)
	case needsCandidate && o.Candidate == "" || len(o.Candidate) > MaxNameLength:
		return validation.Errorf("who", "%d characters, wanted 1 to %d", len(o.Candidate), MaxNameLength)
	case o.Kind == Handover && o.Successor == "":
		return validation.Errorf("to", "a handover names its candidate")
	case o.Kind == Campaign && (o.TTLMS < MinTTLMS || o.TTLMS > MaxTTLMS):
		return validation.Errorf("ttl_ms", "%d is not within %d to %d", o.TTLMS, MinTTLMS, MaxTTLMS)
	case len(o.Data) > MaxCheckpointBytes:
		return validation.Errorf("data", "%d bytes, at most %d", len(o.Data), MaxCheckpointBytes)
	}
	return nil
}

// Rejection classifies why an operation was rejected.
type Rejection string

// The classes of rejections.
const (
	StaleToken    Rejection = "stale" // the lease is free, held by another candidate, held under another token, or revoked
	NotFound      Rejection = "not_found"
	LimitExceeded Rejection = "too_many"
)

// RejectedError says why Apply rejected an operation and left the table unchanged.
type RejectedError struct {
	Rejection Rejection
	Reason    string // a description that the client receives
}

func (e *RejectedError) Error() string { return string(e.Rejection) + ": " + e.Reason }

func reject(rejection Rejection, format string, args ...any) error {
	return &RejectedError{rejection, fmt.Sprintf(format, args...)}
}

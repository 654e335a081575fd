package leasetable

import (
	"slices"
	"time"
)

// Limits of what the table stores.
const (
	MaxLeases             = 10_000
	MaxQueueLength        = 1000
	MaxCheckpointBytes    = 4096 // a checkpoint says where work resumes; it does not hold the work itself
	MaxShortTenureRecords = 16   // per lease: the candidates with the most recent short tenures are kept
	MaxShortTenureCount   = 8    // per candidate: the hold-down stops growing at this count
	MaxNameLength         = 128  // bytes, for names of leases, holders and candidates

	MinTTLMS = 500         // a shorter lease would expire during a raft election
	MaxTTLMS = 3600 * 1000 // one hour
)

// The holder stops using its lease before the lease expires. In the meantime work in progress can finish, and a holder that
// is scheduled late still stops before the expiry.
const (
	marginFraction = 0.1 // of the TTL
	minMargin      = 50 * time.Millisecond
)

// SafetyMargin returns how long before the expiry of a lease its holder stops using it.
func SafetyMargin(ttl time.Duration) time.Duration {
	return max(time.Duration(marginFraction*float64(ttl)), minMargin)
}

// Lease is the replicated state of one lease.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder,omitempty"` // "": the lease is free
	// Token is the fencing token: the log index at which the holder acquired the lease. It only increases.
	Token uint64   `json:"token"`
	TTLMS int64    `json:"ttl_ms"`
	Queue []string `json:"queue,omitempty"` // waiting candidates, first come first

	// PreferredSuccessor is the queued candidate that a handover named. It acquires the lease ahead of the queue.
	PreferredSuccessor string `json:"next,omitempty"`
	StepDownRequested  bool   `json:"asked,omitempty"`
	// Revoked makes the token invalid. The lease is not free until the holder releases it or it expires.
	Revoked     bool   `json:"revoked,omitempty"`
	Transitions uint64 `json:"changes"` // number of changes of the holder
	Revision    uint64 `json:"rev"`     // log index of the last change

	Checkpoint      []byte `json:"checkpoint,omitempty"`
	CheckpointToken uint64 `json:"checkpoint_token,omitempty"` // the token under which Checkpoint was written

	ShortTenures []ShortTenureCount `json:"falls,omitempty"` // most recent last
}

// ShortTenureCount counts the consecutive short tenures of a candidate. The table only records the count. The raft leader
// enforces the hold-down: it delays the next campaign of a candidate with many short tenures before the campaign reaches
// the log, so that replicas of versions without these counts still agree on the rest of the table.
type ShortTenureCount struct {
	Candidate string `json:"who"`
	Count     int    `json:"n"`
	Token     uint64 `json:"token"` // of the most recent of these tenures
}

// ShortTenuresOf returns the count of a candidate's short tenures since its last tenure that was not short.
func (l *Lease) ShortTenuresOf(candidate string) ShortTenureCount {
	for _, entry := range l.ShortTenures {
		if entry.Candidate == candidate {
			return entry
		}
	}
	return ShortTenureCount{Candidate: candidate}
}

// equalState reports whether two states of a lease agree in every field that an operation sets. It leaves out Transitions,
// which changes only together with Token, and Revision, which Apply sets if the states differ.
func equalState(a, b *Lease) bool {
	return a.Holder == b.Holder &&
		a.Token == b.Token &&
		a.TTLMS == b.TTLMS &&
		a.PreferredSuccessor == b.PreferredSuccessor &&
		a.StepDownRequested == b.StepDownRequested &&
		a.Revoked == b.Revoked &&
		a.CheckpointToken == b.CheckpointToken &&
		slices.Equal(a.Queue, b.Queue) &&
		slices.Equal(a.ShortTenures, b.ShortTenures) &&
		slices.Equal(a.Checkpoint, b.Checkpoint)
}

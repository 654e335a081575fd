package leasetable

import (
	"slices"
	"time"
)

// Limits of what the table stores.
const (
	MaxLeases             = 10_000
	MaxQueueLength        = 1000
	MaxCheckpointBytes    = 4096 // a checkpoint says where work resumes; it is not the work itself
	MaxShortTenureRecords = 16   // per lease: the candidates whose latest tenures were short
	MaxShortTenureCount   = 8    // per candidate: the hold-down does not grow beyond this count
	MaxNameLength         = 128  // bytes of a lease's, holder's or candidate's name

	MinTTLMS = 500         // a shorter lease would expire during a raft election
	MaxTTLMS = 3600 * 1000 // one hour
)

// The holder stops before its lease expires, so that what it has begun is over by then and a scheduling delay does not
// carry it past the expiry.
const (
	marginFraction = 0.1
	minMargin      = 50 * time.Millisecond
)

// SafetyMargin is how long before the expiry of a lease its holder stops using it.
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
	Queue []string `json:"queue,omitempty"` // waiting candidates, the next one first

	// PreferredSuccessor is a candidate that a handover named; it precedes the queue.
	PreferredSuccessor string `json:"next,omitempty"`
	StepDownRequested  bool   `json:"asked,omitempty"`
	// Revoked makes the token invalid while its holder is still waited for.
	Revoked     bool   `json:"revoked,omitempty"`
	Transitions uint64 `json:"changes"` // changes of the holder
	Revision    uint64 `json:"rev"`     // log index of the last change

	Checkpoint      []byte `json:"checkpoint,omitempty"`
	CheckpointToken uint64 `json:"checkpoint_token,omitempty"` // the token under which it was written

	ShortTenures []ShortTenureCount `json:"falls,omitempty"` // the latest last
}

// Failover counts the consecutive short tenures of a candidate. The table only records them. The raft leader delays the
// next campaign of a candidate with many of them before it reaches the log, so that versions which do not know of
// failovers still agree on the rest of the table.
type ShortTenureCount struct {
	Candidate string `json:"who"`
	Count     int    `json:"n"`
	Token     uint64 `json:"token"` // of the latest of these tenures
}

// FailoversOf returns how many short tenures a candidate has had since its last long one.
func (l *Lease) ShortTenuresOf(candidate string) ShortTenureCount {
	for _, record := range l.ShortTenures {
		if record.Candidate == candidate {
			return record
		}
	}
	return ShortTenureCount{Candidate: candidate}
}

// equalState compares two states of a lease by everything that an operation sets. Transitions changes with the token
// alone, and Revision follows from the comparison.
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

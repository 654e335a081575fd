// Package table is the replicated core of duties: who holds what only one process may do at a time, under which
// token, and who is next. It has no clock and no sockets: the same operations in the same order give the same table
// on every replica. That a lease has ended is an operation like any other, which the leader decides.
package leasetable

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds of what the table keeps.
const (
	MaxLeases          = 10_000
	MaxQueueLength     = 1000
	MaxCheckpointBytes = 4096 // bytes: where work goes on, not the work itself
	MaxFailoverRecords = 16   // candidates of a duty whose short tenures are counted, the latest
	MaxFailoverCount   = 8    // that are counted of one: no wait grows further
	MaxNameLength      = 128

	MinTTLMS = 500         // shorter leases do not outlive an election
	MaxTTLMS = 3600 * 1000 // longer than an hour is no lease
)

// A holder stops so long before its lease ends: what it began has to be over by then, and a scheduler that keeps it
// waiting for a moment must not carry it past the end.
const (
	marginFraction = 0.1
	minMargin      = 50 * time.Millisecond
)

// SafetyMargin is how long before the end of a lease its holder stops.
func SafetyMargin(ttl time.Duration) time.Duration {
	return max(time.Duration(marginFraction*float64(ttl)), minMargin)
}

// Lease is one duty. Token is the log's index at which the holder got it; it only rises.
type Lease struct {
	Name               string   `json:"name"`
	Holder             string   `json:"holder,omitempty"`
	Token              uint64   `json:"token"`
	TTLMS              int64    `json:"ttl_ms"`
	Queue              []string `json:"queue,omitempty"` // candidates in order
	PreferredSuccessor string   `json:"next,omitempty"`  // a candidate that goes before the queue
	StepDownRequested  bool     `json:"asked,omitempty"` // the holder is to step down
	Revoked            bool     `json:"revoked,omitempty"`
	Transitions        uint64   `json:"changes"` // of its holder
	Rev                uint64   `json:"rev"`     // of its last change

	Checkpoint      []byte `json:"checkpoint,omitempty"`
	CheckpointToken uint64 `json:"checkpoint_token,omitempty"` // under which it was written

	Failovers []Failover `json:"falls,omitempty"` // the latest last
}

// Failover counts the short tenures of a candidate since its last long one. The table does nothing by it: the leader has who
// fell several times wait before its next seek goes into the log, so versions that do not know of falls agree on the rest.
type Failover struct {
	Candidate string `json:"who"`
	Count     int    `json:"n"`
	Token     uint64 `json:"token"` // of the last of them
}

// FailoversOf is how many short tenures a candidate has had since its last long one.
func (l *Lease) FailoversOf(candidate string) Failover {
	for _, failover := range l.Failovers {
		if failover.Candidate == candidate {
			return failover
		}
	}
	return Failover{Candidate: candidate}
}

// OperationKind is what an operation does.
type OperationKind string

// The operations.
const (
	Campaign   OperationKind = "seek"       // Who gets the duty or a place in its queue; TTLMS
	Release    OperationKind = "release"    // Who gives it up under Token, or its place in the queue
	Expire     OperationKind = "lapse"      // the lease of Who under Token has ended; Token 0: its place in the queue
	Handover   OperationKind = "handover"   // the holder is asked to step down for To, a candidate
	Revoke     OperationKind = "takeaway"   // what the holder does under its token counts no more
	Checkpoint OperationKind = "checkpoint" // Who writes Data under Token
)

// Operation is one operation.
type Operation struct {
	Kind        OperationKind `json:"kind"`
	Name        string        `json:"name"`
	Candidate   string        `json:"who,omitempty"`
	Token       uint64        `json:"token,omitempty"`
	TTLMS       int64         `json:"ttl_ms,omitempty"`
	Successor   string        `json:"to,omitempty"`
	Data        []byte        `json:"data,omitempty"`
	ShortTenure bool          `json:"short,omitempty"` // of a release or lapse: the tenure was short, by the leader's clock
}

// FieldError is what is wrong with an operation: the field and why.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Validate tells which field cannot be, before the operation goes into the log.
func (o *Operation) Validate() error {
	needsCandidate := o.Kind != Handover && o.Kind != Revoke
	switch {
	case !slices.Contains([]OperationKind{Campaign, Release, Expire, Handover, Revoke, Checkpoint}, o.Kind):
		return &FieldError{"kind", fmt.Sprintf("%q is no operation", o.Kind)}
	case o.Name == "" || len(o.Name) > MaxNameLength:
		return &FieldError{"name", fmt.Sprintf("%d characters, wanted 1 to %d", len(o.Name), MaxNameLength)}
	case needsCandidate && o.Candidate == "" || len(o.Candidate) > MaxNameLength:
		return &FieldError{"who", fmt.Sprintf("%d characters, wanted 1 to %d", len(o.Candidate), MaxNameLength)}
	case o.Kind == Handover && o.Successor == "":
		return &FieldError{"to", "a handover names its candidate"}
	case o.Kind == Campaign && (o.TTLMS < MinTTLMS || o.TTLMS > MaxTTLMS):
		return &FieldError{"ttl_ms", fmt.Sprintf("%d is not within %d to %d", o.TTLMS, MinTTLMS, MaxTTLMS)}
	case len(o.Data) > MaxCheckpointBytes:
		return &FieldError{"data", fmt.Sprintf("%d bytes, at most %d", len(o.Data), MaxCheckpointBytes)}
	}
	return nil
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	Applied       Outcome = "done"
	Stale         Outcome = "stale" // another holds the duty, or the same under another token
	NotFound      Outcome = "not_found"
	LimitExceeded Outcome = "too_many"
)

// Table is all duties. It is not safe for concurrent use.
type Table struct {
	leases map[string]*Lease
	rev    uint64
}

// New is an empty table.
func New() *Table { return &Table{leases: map[string]*Lease{}} }

// FromSnapshot puts duties back, as Save gave them.
func FromSnapshot(leases []*Lease) *Table {
	t := New()
	for _, lease := range leases {
		t.leases[lease.Name] = lease
		t.rev = max(t.rev, lease.Rev)
	}
	return t
}

// Snapshot gives all duties by name. They are shared: nobody changes them.
func (t *Table) Snapshot() []*Lease {
	leases := make([]*Lease, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		leases = append(leases, t.leases[name])
	}
	return leases
}

// Rev is the index of the last change.
func (t *Table) Rev() uint64 { return t.rev }

// Get is one duty; its slices are shared and never changed in place.
func (t *Table) Get(name string) (Lease, bool) {
	lease := t.leases[name]
	if lease == nil {
		return Lease{}, false
	}
	return *lease, true
}

// TokenValid tells whether a token still counts: what a guarded write asks.
func (t *Table) TokenValid(name string, token uint64) bool {
	lease := t.leases[name]
	return lease != nil && token != 0 && lease.Holder != "" && lease.Token == token && !lease.Revoked
}

// Apply takes in an operation of the log. Index is its place there, which only grows.
func (t *Table) Apply(index uint64, op *Operation) (Outcome, string) {
	previous := t.leases[op.Name]
	if previous == nil {
		if op.Kind != Campaign {
			if op.Kind == Release || op.Kind == Expire {
				return Applied, "" // nothing is held
			}
			return NotFound, "there is no duty " + op.Name
		}
		if len(t.leases) >= MaxLeases {
			return LimitExceeded, fmt.Sprintf("there are %d duties", len(t.leases))
		}
		previous = &Lease{Name: op.Name, TTLMS: op.TTLMS}
	}
	updated := *previous // copied, so that who has read the old one keeps it as it was
	updated.Queue, updated.Failovers = slices.Clone(previous.Queue), slices.Clone(previous.Failovers)
	outcome, reason := updated.apply(index, op)
	if outcome == Applied && !equalState(&updated, previous) {
		updated.Rev, t.rev = index, index
		t.leases[op.Name] = &updated
	}
	return outcome, reason
}

func equalState(a, b *Lease) bool {
	return a.Holder == b.Holder && a.Token == b.Token && a.TTLMS == b.TTLMS && a.PreferredSuccessor == b.PreferredSuccessor && a.StepDownRequested == b.StepDownRequested &&
		a.Revoked == b.Revoked && a.CheckpointToken == b.CheckpointToken && slices.Equal(a.Queue, b.Queue) &&
		slices.Equal(a.Failovers, b.Failovers) &&
		slices.Equal(a.Checkpoint, b.Checkpoint)
}

func (l *Lease) apply(index uint64, op *Operation) (Outcome, string) {
	isHolder := l.Holder != "" && l.Holder == op.Candidate && l.Token == op.Token
	switch op.Kind {
	case Campaign:
		return l.campaign(index, op)
	case Release, Expire:
		if isHolder {
			l.recordTenure(op)
			l.assignNext(index)
		} else if op.Token == 0 && op.Candidate != l.Holder {
			l.removeFromQueue(op.Candidate)
		}
		return Applied, "" // a repeat, or what was lost already
	case Handover:
		if !slices.Contains(l.Queue, op.Successor) {
			return NotFound, op.Successor + " is no candidate"
		}
		l.PreferredSuccessor, l.StepDownRequested = op.Successor, true
		return Applied, ""
	case Revoke:
		if l.Holder == "" {
			return NotFound, "nobody holds " + l.Name
		}
		l.Revoked, l.StepDownRequested = true, true
		return Applied, ""
	case Checkpoint:
		if !isHolder || l.Revoked {
			return Stale, l.describeHolder()
		}
		l.Checkpoint, l.CheckpointToken = op.Data, op.Token
		return Applied, ""
	}
	return Stale, fmt.Sprintf("unknown operation %q", op.Kind) // of a later version: all replicas of this one skip it
}

func (l *Lease) describeHolder() string {
	switch {
	case l.Holder == "":
		return "nobody holds " + l.Name
	case l.Revoked:
		return l.Name + " was taken away"
	}
	return fmt.Sprintf("%s is held by %s under token %d", l.Name, l.Holder, l.Token)
}

func (l *Lease) campaign(index uint64, op *Operation) (Outcome, string) {
	switch {
	case l.Holder == op.Candidate || slices.Contains(l.Queue, op.Candidate):
		return Applied, "" // a client that asks again does not wait for itself
	case len(l.Queue) >= MaxQueueLength:
		return LimitExceeded, fmt.Sprintf("%d candidates wait", len(l.Queue))
	}
	l.Queue = append(l.Queue, op.Candidate)
	if l.Holder == "" {
		l.TTLMS = op.TTLMS
		l.assignNext(index)
	}
	return Applied, ""
}

// assignNext gives the duty to the next in line, in the same entry of the log in which it became free.
func (l *Lease) assignNext(index uint64) {
	next := l.PreferredSuccessor
	if !slices.Contains(l.Queue, next) {
		next = ""
		if len(l.Queue) > 0 {
			next = l.Queue[0]
		}
	}
	l.removeFromQueue(next)
	l.Holder, l.Token, l.PreferredSuccessor, l.StepDownRequested, l.Revoked = next, index, "", false, false
	l.Transitions++
}

// recordTenure takes into account how long the holder that goes has held. Who was asked to, or had it taken away, did not fall.
func (l *Lease) recordTenure(op *Operation) {
	if l.StepDownRequested || l.Revoked {
		return
	}
	count := l.FailoversOf(op.Candidate).Count
	l.Failovers = slices.DeleteFunc(l.Failovers, func(failover Failover) bool { return failover.Candidate == op.Candidate })
	if op.ShortTenure {
		l.Failovers = append(l.Failovers, Failover{op.Candidate, min(count+1, MaxFailoverCount), op.Token})
		l.Failovers = l.Failovers[max(0, len(l.Failovers)-MaxFailoverRecords):]
	}
}

func (l *Lease) removeFromQueue(candidate string) {
	if i := slices.Index(l.Queue, candidate); i >= 0 {
		l.Queue = slices.Delete(l.Queue, i, i+1)
	}
}

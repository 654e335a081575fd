// Package leasetable is the replicated table of leases. For each lease it holds the holder, the fencing token and the queue
// of waiting candidates, and it implements the rules by which a lease changes hands.
//
// The table has no clock and opens no sockets: the same operations in the same order produce the same table on every
// replica. The expiry of a lease is an operation too, which the registry's raft leader proposes (package registry).
// Package leaderelection is the client.
package leasetable

import (
	"fmt"
	"maps"
	"slices"
)

// Table holds all leases. It is not safe for concurrent use.
type Table struct {
	leases   map[string]*Lease
	revision uint64
}

// New returns an empty table.
func New() *Table { return &Table{leases: map[string]*Lease{}} }

// FromSnapshot returns a table with the leases that Snapshot returned.
func FromSnapshot(leases []*Lease) *Table {
	t := New()
	for _, lease := range leases {
		t.leases[lease.Name] = lease
		t.revision = max(t.revision, lease.Revision)
	}
	return t
}

// Snapshot returns all leases, sorted by name. They are shared with the table and must not be changed.
func (t *Table) Snapshot() []*Lease {
	leases := make([]*Lease, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		leases = append(leases, t.leases[name])
	}
	return leases
}

// Revision returns the log index of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns a lease and whether it exists. Its slices are shared with the table, which never changes them in place.
func (t *Table) Get(name string) (Lease, bool) {
	lease := t.leases[name]
	if lease == nil {
		return Lease{}, false
	}
	return *lease, true
}

// TokenValid reports whether a lease is held under a fencing token that is not revoked. Guarded writes require it.
func (t *Table) TokenValid(name string, token uint64) bool {
	lease := t.leases[name]
	return lease != nil && token != 0 && lease.Holder != "" && lease.Token == token && !lease.Revoked
}

// Apply applies the operation that the log has at index. Indexes only increase from call to call. If the operation is not
// permitted, Apply changes nothing and returns a *RejectedError. An operation that repeats an earlier one is permitted.
func (t *Table) Apply(index uint64, op *Operation) error {
	previous := t.leases[op.Name]
	if previous == nil {
		switch {
		case op.Kind == Release || op.Kind == Expire:
			return nil // there is nothing to release
		case op.Kind != Campaign:
			return reject(NotFound, "there is no duty %s", op.Name)
		case len(t.leases) >= MaxLeases:
			return reject(LimitExceeded, "there are %d duties", len(t.leases))
		}
		previous = &Lease{Name: op.Name, TTLMS: op.TTLMS}
	}
	updated := *previous // a copy, because readers share the previous state
	updated.Queue, updated.ShortTenures = slices.Clone(previous.Queue), slices.Clone(previous.ShortTenures)
	if err := updated.apply(index, op); err != nil {
		return err
	}
	if !equalState(&updated, previous) {
		updated.Revision, t.revision = index, index
		t.leases[op.Name] = &updated
	}
	return nil
}

func (l *Lease) apply(index uint64, op *Operation) error {
	switch op.Kind {
	case Campaign:
		return l.campaign(index, op)
	case Release, Expire:
		l.releaseOrExpire(index, op)
		return nil
	case Handover:
		return l.handOver(op.Successor)
	case Revoke:
		return l.revoke()
	case Checkpoint:
		return l.saveCheckpoint(op)
	}
	// A later version wrote this operation. All replicas of this version reject it alike.
	return reject(StaleToken, "unknown operation %q", op.Kind)
}

// isHeldBy reports whether the operation's candidate holds the lease under the operation's token.
func (l *Lease) isHeldBy(op *Operation) bool {
	return l.Holder != "" && l.Holder == op.Candidate && l.Token == op.Token
}

func (l *Lease) campaign(index uint64, op *Operation) error {
	switch {
	case l.Holder == op.Candidate || slices.Contains(l.Queue, op.Candidate):
		return nil // a retried campaign does not queue the candidate a second time
	case len(l.Queue) >= MaxQueueLength:
		return reject(LimitExceeded, "%d candidates wait", len(l.Queue))
	}
	l.Queue = append(l.Queue, op.Candidate)
	if l.Holder == "" {
		l.TTLMS = op.TTLMS
		l.assignNext(index)
	}
	return nil
}

// releaseOrExpire ends a tenure or removes a candidate from the queue. An operation with a token that is not the current token
// changes nothing: the operation is a repeat, or belongs to a tenure that has already ended.
func (l *Lease) releaseOrExpire(index uint64, op *Operation) {
	switch {
	case l.isHeldBy(op):
		l.recordTenure(op)
		l.assignNext(index)
	case op.Token == 0 && op.Candidate != l.Holder:
		l.removeFromQueue(op.Candidate)
	}
}

func (l *Lease) handOver(successor string) error {
	if !slices.Contains(l.Queue, successor) {
		return reject(NotFound, "%s is no candidate", successor)
	}
	l.PreferredSuccessor = successor
	l.StepDownRequested = true
	return nil
}

func (l *Lease) revoke() error {
	if l.Holder == "" {
		return reject(NotFound, "nobody holds %s", l.Name)
	}
	l.Revoked = true
	l.StepDownRequested = true
	return nil
}

func (l *Lease) saveCheckpoint(op *Operation) error {
	if !l.isHeldBy(op) || l.Revoked {
		return reject(StaleToken, "%s", l.describeHolder())
	}
	l.Checkpoint, l.CheckpointToken = op.Data, op.Token
	return nil
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

// assignNext assigns the lease to the preferred successor if that candidate is still queued, otherwise to the first
// candidate in the queue, otherwise to nobody. The log entry that ends a tenure also assigns the lease, so that a handover
// takes a single entry.
func (l *Lease) assignNext(index uint64) {
	next := l.PreferredSuccessor
	if !slices.Contains(l.Queue, next) {
		next = ""
		if len(l.Queue) > 0 {
			next = l.Queue[0]
		}
	}
	l.removeFromQueue(next)
	l.Holder = next
	l.Token = index
	l.PreferredSuccessor = ""
	l.StepDownRequested = false
	l.Revoked = false
	l.Transitions++
}

// recordTenure increments the holder's count of short tenures if the tenure that ends was short, and clears the count
// otherwise. A tenure that an operator ended is not the holder's failure: it leaves the count unchanged.
func (l *Lease) recordTenure(op *Operation) {
	if l.StepDownRequested || l.Revoked {
		return
	}
	count := l.ShortTenuresOf(op.Candidate).Count
	l.ShortTenures = slices.DeleteFunc(l.ShortTenures, func(entry ShortTenureCount) bool { return entry.Candidate == op.Candidate })
	if op.ShortTenure {
		l.ShortTenures = append(l.ShortTenures, ShortTenureCount{op.Candidate, min(count+1, MaxShortTenureCount), op.Token})
		l.ShortTenures = l.ShortTenures[max(0, len(l.ShortTenures)-MaxShortTenureRecords):]
	}
}

func (l *Lease) removeFromQueue(candidate string) {
	if i := slices.Index(l.Queue, candidate); i >= 0 {
		l.Queue = slices.Delete(l.Queue, i, i+1)
	}
}

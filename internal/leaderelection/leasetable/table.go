// Package leasetable is the replicated table of leases: who holds each lease, under which fencing token, and who waits
// for it. It owns the rules by which a lease changes hands.
//
// The table has no clock and opens no sockets: the same operations in the same order give the same table on every
// replica. That a lease has expired is an operation like any other; the raft leader decides it (package registry), and
// package leaderelection is the client.
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

// FromSnapshot returns a table of the leases that Snapshot returned.
func FromSnapshot(leases []*Lease) *Table {
	t := New()
	for _, lease := range leases {
		t.leases[lease.Name] = lease
		t.revision = max(t.revision, lease.Revision)
	}
	return t
}

// Snapshot returns all leases by name. They are shared with the table and must not be changed.
func (t *Table) Snapshot() []*Lease {
	leases := make([]*Lease, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		leases = append(leases, t.leases[name])
	}
	return leases
}

// Revision is the log index of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns a lease. Its slices are shared with the table, which never changes them in place.
func (t *Table) Get(name string) (Lease, bool) {
	lease := t.leases[name]
	if lease == nil {
		return Lease{}, false
	}
	return *lease, true
}

// TokenValid reports whether a lease is held under a fencing token. Guarded writes are checked by it.
func (t *Table) TokenValid(name string, token uint64) bool {
	lease := t.leases[name]
	return lease != nil && token != 0 && lease.Holder != "" && lease.Token == token && !lease.Revoked
}

// Apply applies an operation of the log at its index, which only increases. It returns a RejectedError where the
// operation changes nothing because it is not permitted; an operation that merely repeats an earlier one is permitted.
func (t *Table) Apply(index uint64, op *Operation) error {
	previous := t.leases[op.Name]
	if previous == nil {
		switch {
		case op.Kind == Release || op.Kind == Expire:
			return nil // there is nothing to give up
		case op.Kind != Campaign:
			return reject(NotFound, "there is no duty %s", op.Name)
		case len(t.leases) >= MaxLeases:
			return reject(LimitExceeded, "there are %d duties", len(t.leases))
		}
		previous = &Lease{Name: op.Name, TTLMS: op.TTLMS}
	}
	updated := *previous // a copy: readers keep the state that they were given
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
	// Written by a later version: all replicas of this version skip it.
	return reject(StaleToken, "unknown operation %q", op.Kind)
}

// isHeldBy reports whether the operation's candidate holds the lease under the operation's token.
func (l *Lease) isHeldBy(op *Operation) bool {
	return l.Holder != "" && l.Holder == op.Candidate && l.Token == op.Token
}

func (l *Lease) campaign(index uint64, op *Operation) error {
	switch {
	case l.Holder == op.Candidate || slices.Contains(l.Queue, op.Candidate):
		return nil // a client that retries does not queue behind itself
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

// giveUp ends a tenure or a place in the queue. A token that is not the current one is a repeat, or of a tenure that has
// ended already: it changes nothing.
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

// assignNext gives the lease to the preferred successor if it still waits, else to the first in the queue, else to nobody.
// It does so in the log entry that ended the tenure before, so that a handover takes a single entry.
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

// recordTenure counts the tenure that ends if it was short, and else clears the holder's count. A tenure that an operator
// ended is not the holder's failure and does not count.
func (l *Lease) recordTenure(op *Operation) {
	if l.StepDownRequested || l.Revoked {
		return
	}
	count := l.ShortTenuresOf(op.Candidate).Count
	l.ShortTenures = slices.DeleteFunc(l.ShortTenures, func(record ShortTenureCount) bool { return record.Candidate == op.Candidate })
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

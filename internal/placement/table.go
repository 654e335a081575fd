package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Table is the replicated placement. The same operations in the same order give the same table on every replica. A
// Table is not safe for concurrent use.
type Table struct {
	store
	totalBytes int // sum of accountedBytes over all directives
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{store: newStore()} }

// Snapshot is the part of the replicated state's snapshot that holds a table. It does not contain the history: watches
// that resume after a restore get a complete update.
type Snapshot struct {
	Revision   uint64      `json:"rev"`
	Directives []Directive `json:"entries"`
}

// Restore returns a table from a snapshot, under the epoch of the replicated state. Without a snapshot (nil) the table is
// empty.
func Restore(snapshot *Snapshot, epoch uint64) *Table {
	t := NewTable()
	if snapshot == nil {
		t.resetHistory(0, epoch)
		return t
	}
	t.resetHistory(snapshot.Revision, epoch)
	for _, d := range snapshot.Directives {
		t.directives[d.ID] = d
		t.totalBytes += d.accountedBytes()
	}
	return t
}

// Snapshot returns the table in the form of a snapshot, with the directives ordered by ID.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{Revision: t.revision, Directives: make([]Directive, 0, len(t.directives))}
	for _, id := range slices.Sorted(maps.Keys(t.directives)) {
		snapshot.Directives = append(snapshot.Directives, t.directives[id])
	}
	return snapshot
}

// StartEpoch starts another epoch with the directives unchanged, for example after a restore from a backup. Index is the
// log index of the record that starts the epoch.
func (t *Table) StartEpoch(index, epoch uint64) { t.resetHistory(index, epoch) }

// Apply applies an operation of the log that was written under a lease ("": none), whose fencing token the caller has
// checked. Index is the operation's log index, which increases with each call.
func (t *Table) Apply(index uint64, lease string, op *Op) Result {
	if err := op.Validate(); err != nil {
		return rejected("%v", err)
	}
	if skewMS := op.WriterTimeMS - op.LeaderTimeMS; op.WriterTimeMS != 0 && (skewMS > MaxClockSkewMS || skewMS < -MaxClockSkewMS) {
		return rejected("the writer's clock is %d ms from the leader's, at most %d are taken", skewMS, MaxClockSkewMS)
	}
	if result := t.admit(lease, op); result.Outcome != OutcomeApplied {
		return result
	}
	for _, id := range op.Delete {
		t.remove(index, id)
	}
	for i := range op.Set {
		t.set(index, op.Set[i])
	}
	for _, ref := range op.Expired {
		// A directive that was renewed after the leader found it expired has another revision and is retained.
		if d, ok := t.directives[ref.ID]; ok && d.Revision == ref.Revision && d.ExpiresAtMS <= op.LeaderTimeMS {
			t.remove(index, ref.ID)
		}
	}
	return Result{Outcome: OutcomeApplied}
}

// admit decides whether an operation may be applied: whether the lease owns all of its directives, whether their expiry
// is within bounds, and whether the table has capacity for them.
func (t *Table) admit(lease string, op *Op) Result {
	count, totalBytes := len(t.directives), t.totalBytes
	subtractExisting := func(id string) {
		if existing, ok := t.directives[id]; ok {
			count, totalBytes = count-1, totalBytes-existing.accountedBytes()
		}
	}
	for _, id := range op.Delete {
		if !OwnedBy(lease, id) {
			return rejected("%s is not of the duty %q", id, lease)
		}
		subtractExisting(id)
	}
	for i := range op.Set {
		d := &op.Set[i]
		switch {
		case !OwnedBy(lease, d.ID):
			return rejected("%s is not of the duty %q", d.ID, lease)
		case d.ExpiresAtMS <= op.LeaderTimeMS:
			return rejected("%s ended %d ms ago", d.ID, op.LeaderTimeMS-d.ExpiresAtMS)
		case d.ExpiresAtMS > op.LeaderTimeMS+MaxLifetimeMS:
			return rejected("%s would end in %d ms, at most %d are taken", d.ID, d.ExpiresAtMS-op.LeaderTimeMS, MaxLifetimeMS)
		}
		subtractExisting(d.ID)
		count, totalBytes = count+1, totalBytes+d.accountedBytes()
	}
	if count > MaxDirectives || totalBytes > MaxTotalBytes {
		reason := fmt.Sprintf("%d entries of %d bytes, at most %d of %d", count, totalBytes, MaxDirectives, MaxTotalBytes)
		return Result{OutcomeLimitReached, reason}
	}
	return Result{Outcome: OutcomeApplied}
}

func (t *Table) remove(index uint64, id string) {
	existing, ok := t.directives[id]
	if !ok {
		return
	}
	delete(t.directives, id)
	t.totalBytes -= existing.accountedBytes()
	t.recordChange(index, id)
}

func (t *Table) set(index uint64, d Directive) {
	existing, exists := t.directives[d.ID]
	if exists && sameContent(&existing, &d) {
		return // the directive has the same effect in sidecars
	}
	if exists {
		t.totalBytes -= existing.accountedBytes()
	}
	d.RemainingMS, d.Revision = 0, index
	t.directives[d.ID] = d
	t.totalBytes += d.accountedBytes()
	t.recordChange(index, d.ID)
}

// CompleteUpdate returns the complete placement for sending at a time (Unix ms): directives ordered by ID, without
// those that have expired.
func (t *Table) CompleteUpdate(nowMS int64) Update { return t.ChangesSince(0, 0, nowMS) }

// ChangesSince returns the changes after a revision of an epoch, for sending at a time (Unix ms). The update is complete
// if the history does not go back to that revision.
func (t *Table) ChangesSince(after, epoch uint64, nowMS int64) Update {
	return t.updateSince(after, epoch, func(d *Directive) int64 { return d.ExpiresAtMS - nowMS })
}

// Expired returns the directives that have expired at a time (Unix ms), at most limit, ordered by time of expiry.
func (t *Table) Expired(nowMS int64, limit int) []DirectiveRef {
	var expired []Directive
	for _, d := range t.directives {
		if d.ExpiresAtMS <= nowMS {
			expired = append(expired, d)
		}
	}
	slices.SortFunc(expired, func(a, b Directive) int {
		return cmp.Or(cmp.Compare(a.ExpiresAtMS, b.ExpiresAtMS), cmp.Compare(a.ID, b.ID))
	})
	var refs []DirectiveRef
	for _, d := range expired[:min(len(expired), limit)] {
		refs = append(refs, DirectiveRef{d.ID, d.Revision})
	}
	return refs
}

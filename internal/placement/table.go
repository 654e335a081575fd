package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Op is one operation of the log: entries set and dropped under their owner's duty, all or none, or entries that the
// leader found to have ended. It carries the times that it is judged by, as the state machine has no clock.
type Op struct {
	LeaderTimeMS int64          `json:"now_ms"`          // the leader's clock, Unix ms
	WriterTimeMS int64          `json:"at_ms,omitempty"` // the writer's clock, Unix ms; 0: it does not say, and is not compared
	Set          []Directive    `json:"set,omitempty"`
	Delete       []string       `json:"drop,omitempty"`  // ids; one that is not there counts as dropped
	Expired      []DirectiveRef `json:"ended,omitempty"` // the leader's own; it needs no duty
}

// DirectiveRef names an entry as it was at a revision.
type DirectiveRef struct {
	ID       string `json:"id"`
	Revision uint64 `json:"rev"`
}

// Validate tells what of an operation cannot be, before it goes into the log.
func (o *Op) Validate() error {
	switch total := len(o.Set) + len(o.Delete) + len(o.Expired); {
	case total == 0:
		return invalid("set", "nothing is set or dropped")
	case len(o.Set) > MaxSetPerOp:
		return invalid("set", "%d entries, at most %d", len(o.Set), MaxSetPerOp)
	case len(o.Delete) > MaxDirectives || len(o.Expired) > MaxDirectives:
		return invalid("drop", "%d ids, at most %d", max(len(o.Delete), len(o.Expired)), MaxDirectives)
	}
	seen := map[string]bool{}
	for i := range o.Set {
		d := &o.Set[i]
		if err := d.Validate(); err != nil {
			return err
		}
		if seen[d.ID] {
			return invalid("set", "%s is set twice", d.ID)
		}
		seen[d.ID] = true
	}
	for _, id := range o.Delete {
		if id == "" || len(id) > MaxIDLength || seen[id] {
			return invalid("drop", "%q is no id, or is set as well", id)
		}
	}
	return nil
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	OutcomeApplied      Outcome = "done"
	OutcomeRejected     Outcome = "refused"  // not the owner's, its times cannot be, or its form
	OutcomeLimitReached Outcome = "too_many" // the table is full
)

// Table is the replicated placement. The same operations in the same order give the same table on every replica. It
// is not safe for concurrent use.
type Table struct {
	store
	totalBytes int // of all entries
}

// NewTable is an empty table.
func NewTable() *Table { return &Table{store: store{directives: map[string]Directive{}}} }

// Snapshot is a table as a snapshot keeps it. History is left out: watches that come back get the whole.
type Snapshot struct {
	Revision   uint64      `json:"rev"`
	Directives []Directive `json:"entries"`
}

// Restore puts a table back, as Save gave it, under the epoch that the snapshot names; nil is an empty one.
func Restore(snapshot *Snapshot, epoch uint64) *Table {
	t := NewTable()
	if snapshot == nil {
		t.startHistory(0, epoch)
		return t
	}
	t.startHistory(snapshot.Revision, epoch)
	for _, d := range snapshot.Directives {
		t.directives[d.ID] = d
		t.totalBytes += d.accountedBytes()
	}
	return t
}

// Snapshot gives the table for a snapshot, entries by ID.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{Revision: t.revision, Directives: make([]Directive, 0, len(t.directives))}
	for _, id := range slices.Sorted(maps.Keys(t.directives)) {
		snapshot.Directives = append(snapshot.Directives, t.directives[id])
	}
	return snapshot
}

// StartEpoch has the table go on under another epoch, as after a restore; index is that of the record.
func (t *Table) StartEpoch(index, epoch uint64) { t.startHistory(index, epoch) }

// Apply takes in an operation of the log that is guarded by a duty ("": by none). Index is its place in the log, which
// only grows; that the duty's token counts has been checked.
func (t *Table) Apply(index uint64, lease string, op *Op) (Outcome, string) {
	if err := op.Validate(); err != nil {
		return OutcomeRejected, err.Error()
	}
	if skewMS := op.WriterTimeMS - op.LeaderTimeMS; op.WriterTimeMS != 0 && (skewMS > MaxClockSkewMS || skewMS < -MaxClockSkewMS) {
		return OutcomeRejected, fmt.Sprintf("the writer's clock is %d ms from the leader's, at most %d are taken", skewMS, MaxClockSkewMS)
	}
	count, totalBytes := len(t.directives), t.totalBytes
	for _, id := range op.Delete {
		if !OwnedBy(lease, id) {
			return OutcomeRejected, fmt.Sprintf("%s is not of the duty %q", id, lease)
		}
		if existing, ok := t.directives[id]; ok {
			count, totalBytes = count-1, totalBytes-existing.accountedBytes()
		}
	}
	for i := range op.Set {
		d := &op.Set[i]
		switch {
		case !OwnedBy(lease, d.ID):
			return OutcomeRejected, fmt.Sprintf("%s is not of the duty %q", d.ID, lease)
		case d.ExpiresAtMS <= op.LeaderTimeMS:
			return OutcomeRejected, fmt.Sprintf("%s ended %d ms ago", d.ID, op.LeaderTimeMS-d.ExpiresAtMS)
		case d.ExpiresAtMS > op.LeaderTimeMS+MaxLifetimeMS:
			return OutcomeRejected, fmt.Sprintf("%s would end in %d ms, at most %d are taken", d.ID, d.ExpiresAtMS-op.LeaderTimeMS, MaxLifetimeMS)
		}
		if existing, ok := t.directives[d.ID]; ok {
			count, totalBytes = count-1, totalBytes-existing.accountedBytes()
		}
		count, totalBytes = count+1, totalBytes+d.accountedBytes()
	}
	if count > MaxDirectives || totalBytes > MaxTotalBytes {
		return OutcomeLimitReached, fmt.Sprintf("%d entries of %d bytes, at most %d of %d", count, totalBytes, MaxDirectives, MaxTotalBytes)
	}
	for _, id := range op.Delete {
		t.remove(index, id)
	}
	for i := range op.Set {
		t.set(index, op.Set[i])
	}
	for _, ref := range op.Expired {
		// Prolonged since: the leader's finding is out of date.
		if d, ok := t.directives[ref.ID]; ok && d.Revision == ref.Revision && d.ExpiresAtMS <= op.LeaderTimeMS {
			t.remove(index, ref.ID)
		}
	}
	return OutcomeApplied, ""
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

func (t *Table) set(index uint64, directive Directive) {
	directive.RemainingMS, directive.Revision = 0, 0
	existing, exists := t.directives[directive.ID]
	if exists {
		revision := existing.Revision
		existing.Revision = 0
		if sameContent(&existing, &directive) {
			return // nothing that anybody would be told
		}
		existing.Revision = revision
		t.totalBytes -= existing.accountedBytes()
	}
	directive.Revision = index
	t.directives[directive.ID] = directive
	t.totalBytes += directive.accountedBytes()
	t.recordChange(index, directive.ID)
}

func sameContent(a, b *Directive) bool {
	return a.Kind == b.Kind && a.Tenant == b.Tenant && a.MinAvailable == b.MinAvailable && a.KeyHash == b.KeyHash && a.Cohort == b.Cohort &&
		a.ExpiresAtMS == b.ExpiresAtMS && slices.Equal(a.Servers, b.Servers) && slices.Equal(a.Copies, b.Copies)
}

// CompleteUpdate is the whole placement as it is told at a time (Unix ms): entries by ID, without those that have ended.
func (t *Table) CompleteUpdate(nowMS int64) Update { return t.ChangesSince(0, 0, nowMS) }

// ChangesSince is what changed after a revision of an epoch, told at a time (Unix ms); it is the whole where that is not
// known any more.
func (t *Table) ChangesSince(after, epoch uint64, nowMS int64) Update {
	return t.changesSince(after, epoch, func(directive *Directive) int64 { return directive.ExpiresAtMS - nowMS })
}

// Expired are entries that ended at a time (Unix ms) or before, the oldest end first, at most this many.
func (t *Table) Expired(nowMS int64, limit int) []DirectiveRef {
	var expired []Directive
	for _, directive := range t.directives {
		if directive.ExpiresAtMS <= nowMS {
			expired = append(expired, directive)
		}
	}
	slices.SortFunc(expired, func(a, b Directive) int {
		return cmp.Or(cmp.Compare(a.ExpiresAtMS, b.ExpiresAtMS), cmp.Compare(a.ID, b.ID))
	})
	var refs []DirectiveRef
	for _, directive := range expired[:min(len(expired), limit)] {
		refs = append(refs, DirectiveRef{directive.ID, directive.Revision})
	}
	return refs
}

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
	NowMS int64    `json:"now_ms"`          // the leader's clock, Unix ms
	AtMS  int64    `json:"at_ms,omitempty"` // the writer's clock, Unix ms; 0: it does not say, and is not compared
	Set   []Entry  `json:"set,omitempty"`
	Drop  []string `json:"drop,omitempty"`  // ids; one that is not there counts as dropped
	Ended []Ref    `json:"ended,omitempty"` // the leader's own; it needs no duty
}

// Ref names an entry as it was at a revision.
type Ref struct {
	ID  string `json:"id"`
	Rev uint64 `json:"rev"`
}

// Check tells what of an operation cannot be, before it goes into the log.
func (o *Op) Check() error {
	switch n := len(o.Set) + len(o.Drop) + len(o.Ended); {
	case n == 0:
		return bad("set", "nothing is set or dropped")
	case len(o.Set) > MaxSet:
		return bad("set", "%d entries, at most %d", len(o.Set), MaxSet)
	case len(o.Drop) > MaxEntries || len(o.Ended) > MaxEntries:
		return bad("drop", "%d ids, at most %d", max(len(o.Drop), len(o.Ended)), MaxEntries)
	}
	seen := map[string]bool{}
	for k := range o.Set {
		e := &o.Set[k]
		if err := e.Check(); err != nil {
			return err
		}
		if seen[e.ID] {
			return bad("set", "%s is set twice", e.ID)
		}
		seen[e.ID] = true
	}
	for _, id := range o.Drop {
		if id == "" || len(id) > MaxID || seen[id] {
			return bad("drop", "%q is no id, or is set as well", id)
		}
	}
	return nil
}

// Outcome says what became of an operation.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"
	Refused Outcome = "refused"  // not the owner's, its times cannot be, or its form
	TooMany Outcome = "too_many" // the table is full
)

// Table is the replicated placement. The same operations in the same order give the same table on every replica. It
// is not safe for concurrent use.
type Table struct {
	view
	bytes int // of all entries
}

// New is an empty table.
func New() *Table { return &Table{view: view{entries: map[string]Entry{}}} }

// Saved is a table as a snapshot keeps it. History is left out: watches that come back get the whole.
type Saved struct {
	Rev     uint64  `json:"rev"`
	Entries []Entry `json:"entries"`
}

// Load puts a table back, as Save gave it, under the epoch that the snapshot names; nil is an empty one.
func Load(s *Saved, epoch uint64) *Table {
	t := New()
	if s == nil {
		t.begin(0, epoch)
		return t
	}
	t.begin(s.Rev, epoch)
	for _, e := range s.Entries {
		t.entries[e.ID] = e
		t.bytes += e.size()
	}
	return t
}

// Save gives the table for a snapshot, entries by ID.
func (t *Table) Save() *Saved {
	s := &Saved{Rev: t.rev, Entries: make([]Entry, 0, len(t.entries))}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		s.Entries = append(s.Entries, t.entries[id])
	}
	return s
}

// Begin has the table go on under another epoch, as after a restore; index is that of the record.
func (t *Table) Begin(index, epoch uint64) { t.begin(index, epoch) }

// Apply takes in an operation of the log that is guarded by a duty ("": by none). Index is its place in the log, which
// only grows; that the duty's token counts has been checked.
func (t *Table) Apply(index uint64, duty string, o *Op) (Outcome, string) {
	if err := o.Check(); err != nil {
		return Refused, err.Error()
	}
	if apart := o.AtMS - o.NowMS; o.AtMS != 0 && (apart > MaxApartMS || apart < -MaxApartMS) {
		return Refused, fmt.Sprintf("the writer's clock is %d ms from the leader's, at most %d are taken", apart, MaxApartMS)
	}
	entries, bytes := len(t.entries), t.bytes
	for _, id := range o.Drop {
		if !Owned(duty, id) {
			return Refused, fmt.Sprintf("%s is not of the duty %q", id, duty)
		}
		if old, is := t.entries[id]; is {
			entries, bytes = entries-1, bytes-old.size()
		}
	}
	for k := range o.Set {
		e := &o.Set[k]
		switch {
		case !Owned(duty, e.ID):
			return Refused, fmt.Sprintf("%s is not of the duty %q", e.ID, duty)
		case e.UntilMS <= o.NowMS:
			return Refused, fmt.Sprintf("%s ended %d ms ago", e.ID, o.NowMS-e.UntilMS)
		case e.UntilMS > o.NowMS+MaxAheadMS:
			return Refused, fmt.Sprintf("%s would end in %d ms, at most %d are taken", e.ID, e.UntilMS-o.NowMS, MaxAheadMS)
		}
		if old, is := t.entries[e.ID]; is {
			entries, bytes = entries-1, bytes-old.size()
		}
		entries, bytes = entries+1, bytes+e.size()
	}
	if entries > MaxEntries || bytes > MaxBytes {
		return TooMany, fmt.Sprintf("%d entries of %d bytes, at most %d of %d", entries, bytes, MaxEntries, MaxBytes)
	}
	for _, id := range o.Drop {
		t.drop(index, id)
	}
	for k := range o.Set {
		t.set(index, o.Set[k])
	}
	for _, ref := range o.Ended {
		// Prolonged since: the leader's finding is out of date.
		if e, is := t.entries[ref.ID]; is && e.Rev == ref.Rev && e.UntilMS <= o.NowMS {
			t.drop(index, ref.ID)
		}
	}
	return Done, ""
}

func (t *Table) drop(index uint64, id string) {
	old, is := t.entries[id]
	if !is {
		return
	}
	delete(t.entries, id)
	t.bytes -= old.size()
	t.tell(index, id)
}

func (t *Table) set(index uint64, e Entry) {
	e.LeftMS, e.Rev = 0, 0
	old, had := t.entries[e.ID]
	if had {
		rev := old.Rev
		old.Rev = 0
		if same(&old, &e) {
			return // nothing that anybody would be told
		}
		old.Rev = rev
		t.bytes -= old.size()
	}
	e.Rev = index
	t.entries[e.ID] = e
	t.bytes += e.size()
	t.tell(index, e.ID)
}

func same(a, b *Entry) bool {
	return a.Kind == b.Kind && a.Tenant == b.Tenant && a.Least == b.Least && a.Key == b.Key && a.Name == b.Name &&
		a.UntilMS == b.UntilMS && slices.Equal(a.Servers, b.Servers) && slices.Equal(a.Copies, b.Copies)
}

// Whole is the whole placement as it is told at a time (Unix ms): entries by ID, without those that have ended.
func (t *Table) Whole(nowMS int64) List { return t.Since(0, 0, nowMS) }

// Since is what changed after a revision of an epoch, told at a time (Unix ms); it is the whole where that is not
// known any more.
func (t *Table) Since(after, epoch uint64, nowMS int64) List {
	return t.since(after, epoch, func(e *Entry) int64 { return e.UntilMS - nowMS })
}

// Ended are entries that ended at a time (Unix ms) or before, the oldest end first, at most this many.
func (t *Table) Ended(nowMS int64, most int) []Ref {
	var over []Entry
	for _, e := range t.entries {
		if e.UntilMS <= nowMS {
			over = append(over, e)
		}
	}
	slices.SortFunc(over, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.UntilMS, b.UntilMS), cmp.Compare(a.ID, b.ID)) })
	var out []Ref
	for _, e := range over[:min(len(over), most)] {
		out = append(out, Ref{e.ID, e.Rev})
	}
	return out
}

package placement

import (
	"maps"
	"slices"
	"sort"
)

const (
	// keptChanges are kept at least, and up to twice as many, for watches that come back: beyond it they get the whole.
	keptChanges = 4096
	// mostTold entries are told as changes: the ids of more that are gone could take more than the whole.
	mostTold = 1000
)

// view is a placement at a revision and what changed before. The slices of its entries are shared with those who
// have read them and never changed in place.
type view struct {
	rev, epoch uint64
	entries    map[string]Entry
	history    []change // by revision, the newest last
	forgotten  uint64   // the revision of the newest change that history has lost
}

type change struct {
	rev uint64
	id  string
}

// Rev is the revision of the last change.
func (v *view) Rev() uint64 { return v.rev }

// Epoch names the history that the revisions belong to.
func (v *view) Epoch() uint64 { return v.epoch }

// Len is the number of entries, those among them that have ended and were not dropped yet.
func (v *view) Len() int { return len(v.entries) }

// begin makes the view the first of a history: who followed another one, or this one before, gets the whole.
func (v *view) begin(rev, epoch uint64) {
	v.rev, v.epoch, v.forgotten, v.history = rev, epoch, rev, nil
}

// tell notes that an entry changed. Several changes of one revision share it.
func (v *view) tell(rev uint64, id string) {
	v.rev = rev
	v.history = append(v.history, change{rev, id})
	if len(v.history) < 2*keptChanges {
		return
	}
	// Half goes at a time: moving all for each change would cost more than the change. A revision is kept whole or
	// not at all.
	extra := len(v.history) - keptChanges
	v.forgotten = v.history[extra-1].rev
	for extra < len(v.history) && v.history[extra].rev == v.forgotten {
		extra++
	}
	v.history = append(v.history[:0], v.history[extra:]...)
}

// keeps tells whether the history holds all that changed after a revision of an epoch.
func (v *view) keeps(after, epoch uint64) bool {
	return after != 0 && epoch == v.epoch && after >= v.forgotten && after <= v.rev
}

// since is what changed after a revision of an epoch, the newest state of each entry, by ID; it is the whole where
// that is not known any more. Left says what is left of an entry, in ms; one without anything left is not told, so
// that who does not look at LeftMS does not begin it anew.
func (v *view) since(after, epoch uint64, left func(*Entry) int64) List {
	l := List{Rev: v.rev, Epoch: v.epoch, All: !v.keeps(after, epoch), Entries: []Entry{}}
	var ids []string
	if l.All {
		ids = slices.Sorted(maps.Keys(v.entries))
	} else {
		from := sort.Search(len(v.history), func(k int) bool { return v.history[k].rev > after })
		for _, c := range v.history[from:] {
			ids = append(ids, c.id)
		}
		slices.Sort(ids)
		ids = slices.Compact(ids)
		if len(ids) > mostTold {
			return v.since(0, epoch, left)
		}
	}
	for _, id := range ids {
		e, is := v.entries[id]
		if is {
			e.LeftMS = min(left(&e), MaxAheadMS)
		}
		switch {
		case is && e.LeftMS > 0:
			l.Entries = append(l.Entries, e)
		case !l.All:
			l.Gone = append(l.Gone, id)
		}
	}
	return l
}

package placement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Reader is the placement as one who follows it has it. It ends entries by itself, at whichever comes first: the wall
// clock at UntilMS, or LeftMS on the monotonic clock since the line came. What has ended stays ended, also when the
// wall clock goes back or another replica tells the same entry again with more time; only a newer revision of the
// entry begins it anew. It is not safe for concurrent use.
type Reader struct {
	view
	known bool
	ends  map[string]end
}

type end struct {
	monoMS int64 // by the monotonic clock
	over   bool
}

// ErrStrange tells that changes do not continue what is known: the whole has to be asked for.
var ErrStrange = errors.New("the changes do not continue the placement that is known")

// NewReader knows nothing yet.
func NewReader() *Reader {
	return &Reader{view: view{entries: map[string]Entry{}}, ends: map[string]end{}}
}

// Known tells whether any placement has been taken in.
func (r *Reader) Known() bool { return r.known }

// Take takes in a line that was read at a time of the wall clock (Unix ms) and the monotonic clock (ms). News tells
// whether there was anything in it; a line that is older than what is known is no news. Nothing of a line that
// cannot be is taken.
func (r *Reader) Take(l *List, wallMS, monoMS int64) (news bool, err error) {
	switch {
	case r.known && l.Epoch == r.epoch && (l.Rev < r.rev || l.Rev == r.rev && !l.All):
		return false, nil
	case !l.All && (!r.known || l.Epoch != r.epoch):
		return false, ErrStrange
	}
	if err := r.check(l); err != nil {
		return false, err
	}
	r.pass(wallMS, monoMS) // what ended meanwhile is not begun anew by this line
	if !r.known || l.Epoch != r.epoch {
		r.begin(l.Rev, l.Epoch)
	}
	r.known = true
	gone := l.Gone
	if l.All {
		stay := map[string]bool{}
		for k := range l.Entries {
			stay[l.Entries[k].ID] = true
		}
		gone = nil
		for _, id := range slices.Sorted(maps.Keys(r.entries)) {
			if !stay[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if _, had := r.entries[id]; had {
			delete(r.entries, id)
			delete(r.ends, id)
			r.tell(l.Rev, id)
		}
	}
	for _, e := range l.Entries {
		now := end{monoMS: monoMS + min(max(e.LeftMS, 0), MaxAheadMS), over: e.LeftMS <= 0}
		old, had := r.entries[e.ID]
		if repeated := had && old.Rev == e.Rev && old.UntilMS == e.UntilMS; repeated {
			now.monoMS, now.over = min(now.monoMS, r.ends[e.ID].monoMS), now.over || r.ends[e.ID].over
		} else {
			r.tell(l.Rev, e.ID)
		}
		e.LeftMS = 0
		r.entries[e.ID], r.ends[e.ID] = e, now
	}
	r.rev = l.Rev
	r.pass(wallMS, monoMS)
	return true, nil
}

// check tells what of a line cannot be kept.
func (r *Reader) check(l *List) error {
	n, fresh := 0, 0
	for k := range l.Entries {
		e := &l.Entries[k]
		if err := e.bounded(); err != nil {
			return err
		}
		n += e.size()
		if _, had := r.entries[e.ID]; !had {
			fresh++
		}
	}
	if !l.All {
		fresh += len(r.entries) // at most: some may go with this line
		for _, id := range l.Gone {
			if _, had := r.entries[id]; had {
				fresh--
			}
		}
	}
	if len(l.Entries) > MaxEntries || fresh > MaxEntries || n > MaxBytes {
		return fmt.Errorf("a placement of %d entries, %d bytes: at most %d, %d", max(len(l.Entries), fresh), n, MaxEntries, MaxBytes)
	}
	return nil
}

// pass ends what has ended.
func (r *Reader) pass(wallMS, monoMS int64) {
	for id, at := range r.ends {
		if !at.over && (wallMS >= r.entries[id].UntilMS || monoMS >= at.monoMS) {
			at.over = true
			r.ends[id] = at
		}
	}
}

// At is what is in force at a time of both clocks, by ID, with what is left of each entry.
func (r *Reader) At(wallMS, monoMS int64) List { return r.Since(0, 0, wallMS, monoMS) }

// Since is what changed after a revision of an epoch, for who follows this reader, told at a time of both clocks; it
// is the whole where that is not known any more.
func (r *Reader) Since(after, epoch uint64, wallMS, monoMS int64) List {
	r.pass(wallMS, monoMS)
	return r.since(after, epoch, func(e *Entry) int64 {
		if at := r.ends[e.ID]; !at.over {
			return min(e.UntilMS-wallMS, at.monoMS-monoMS)
		}
		return 0
	})
}

// Save is what a file keeps: all entries, those that have ended with nothing left.
func (r *Reader) Save(wallMS, monoMS int64) List {
	l := r.At(wallMS, monoMS)
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		if r.ends[id].over {
			l.Entries = append(l.Entries, r.entries[id])
		}
	}
	return l
}

// Restore takes up what Save gave at a time of the wall clock (Unix ms), as at a start. It counts only if the wall
// clock has not gone back since, and no entry for longer than was left of it then minus the time passed since.
func (r *Reader) Restore(l List, savedMS, wallMS, monoMS int64) error {
	passed := wallMS - savedMS
	if passed < 0 {
		return fmt.Errorf("the clock has gone back by %d ms since it was saved", -passed)
	}
	l.All = true
	l.Entries = slices.Clone(l.Entries)
	for k := range l.Entries {
		l.Entries[k].LeftMS -= passed
	}
	_, err := r.Take(&l, wallMS, monoMS)
	return err
}

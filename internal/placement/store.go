package placement

import (
	"maps"
	"slices"
	"sort"
)

const (
	// minHistory are kept at least, and up to twice as many, for watches that come back: beyond it they get the whole.
	minHistory = 4096
	// maxIncremental entries are told as changes: the ids of more that are gone could take more than the whole.
	maxIncremental = 1000
)

// store is a placement at a revision and what changed before. The slices of its entries are shared with those who
// have read them and never changed in place.
type store struct {
	revision, epoch   uint64
	directives        map[string]Directive
	history           []change // by revision, the newest last
	compactedRevision uint64   // the revision of the newest change that history has lost
}

type change struct {
	revision uint64
	id       string
}

// Revision is the revision of the last change.
func (s *store) Revision() uint64 { return s.revision }

// Epoch names the history that the revisions belong to.
func (s *store) Epoch() uint64 { return s.epoch }

// Len is the number of entries, those among them that have ended and were not dropped yet.
func (s *store) Len() int { return len(s.directives) }

// startHistory makes the view the first of a history: who followed another one, or this one before, gets the whole.
func (s *store) startHistory(revision, epoch uint64) {
	s.revision, s.epoch, s.compactedRevision, s.history = revision, epoch, revision, nil
}

// recordChange notes that an entry changed. Several changes of one revision share it.
func (s *store) recordChange(revision uint64, id string) {
	s.revision = revision
	s.history = append(s.history, change{revision, id})
	if len(s.history) < 2*minHistory {
		return
	}
	// Half goes at a time: moving all for each change would cost more than the change. A revision is kept whole or
	// not at all.
	discarded := len(s.history) - minHistory
	s.compactedRevision = s.history[discarded-1].revision
	for discarded < len(s.history) && s.history[discarded].revision == s.compactedRevision {
		discarded++
	}
	s.history = append(s.history[:0], s.history[discarded:]...)
}

// historyCovers tells whether the history holds all that changed after a revision of an epoch.
func (s *store) historyCovers(after, epoch uint64) bool {
	return after != 0 && epoch == s.epoch && after >= s.compactedRevision && after <= s.revision
}

// changesSince is what changed after a revision of an epoch, the newest state of each entry, by ID; it is the whole where
// that is not known any more. Left says what is left of an entry, in ms; one without anything left is not told, so
// that who does not look at RemainingMS does not begin it anew.
func (s *store) changesSince(after, epoch uint64, remaining func(*Directive) int64) Update {
	update := Update{Revision: s.revision, Epoch: s.epoch, Complete: !s.historyCovers(after, epoch), Directives: []Directive{}}
	var ids []string
	if update.Complete {
		ids = slices.Sorted(maps.Keys(s.directives))
	} else {
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
		for _, c := range s.history[from:] {
			ids = append(ids, c.id)
		}
		slices.Sort(ids)
		ids = slices.Compact(ids)
		if len(ids) > maxIncremental {
			return s.changesSince(0, epoch, remaining)
		}
	}
	for _, id := range ids {
		directive, ok := s.directives[id]
		if ok {
			directive.RemainingMS = min(remaining(&directive), MaxLifetimeMS)
		}
		switch {
		case ok && directive.RemainingMS > 0:
			update.Directives = append(update.Directives, directive)
		case !update.Complete:
			update.Removed = append(update.Removed, id)
		}
	}
	return update
}

package placement

import (
	"maps"
	"slices"
	"sort"
)

const (
	// minHistory changes are retained at least, and up to twice as many, for watches that resume: from further back
	// they get a complete update.
	minHistory = 4096
	// maxIncrementalChanges directives are sent in an incremental update: the IDs of more removed ones could take more bytes than a
	// complete update.
	maxIncrementalChanges = 1000
)

// store is a set of directives at a revision, with the history of changes that led there. The slices of directives are
// shared with readers and never changed in place.
type store struct {
	revision, epoch   uint64
	directives        map[string]Directive
	history           []change // by revision, the newest last
	compactedRevision uint64   // the newest change that history no longer holds
}

type change struct {
	revision uint64
	id       string
}

func newStore() store { return store{directives: map[string]Directive{}} }

// Revision is the log revision of the last change.
func (s *store) Revision() uint64 { return s.revision }

// Epoch names the history that the revisions belong to: a restore from a backup starts another one.
func (s *store) Epoch() uint64 { return s.epoch }

// Len is the number of directives, including those that have expired and were not removed yet.
func (s *store) Len() int { return len(s.directives) }

// startHistory starts an empty history: watches of an earlier one get a complete update.
func (s *store) startHistory(revision, epoch uint64) {
	s.revision, s.epoch, s.compactedRevision, s.history = revision, epoch, revision, nil
}

// recordChange notes that a directive changed. Several changes may share a revision.
func (s *store) recordChange(revision uint64, id string) {
	s.revision = revision
	s.history = append(s.history, change{revision, id})
	if len(s.history) >= 2*minHistory {
		s.compactHistory()
	}
}

// compactHistory discards the older half of the history. It does so for many changes at once, as it moves the others; a
// revision is retained completely or not at all.
func (s *store) compactHistory() {
	discarded := len(s.history) - minHistory
	s.compactedRevision = s.history[discarded-1].revision
	for discarded < len(s.history) && s.history[discarded].revision == s.compactedRevision {
		discarded++
	}
	s.history = append(s.history[:0], s.history[discarded:]...)
}

// historyCovers reports whether the history holds all that changed after a revision of an epoch.
func (s *store) historyCovers(after, epoch uint64) bool {
	return after != 0 && epoch == s.epoch && after >= s.compactedRevision && after <= s.revision
}

// changedSince are the IDs of the directives that changed after a revision, sorted, each once.
func (s *store) changedSince(after uint64) []string {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
	var ids []string
	for _, c := range s.history[first:] {
		ids = append(ids, c.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// changesSince is what changed after a revision of an epoch: the newest state of each directive, by ID. It is a complete
// update where the history does not cover that. Remaining gives a directive's remaining time in ms; one that has none
// left is listed as removed, so that a reader that ignores RemainingMS does not follow it.
func (s *store) changesSince(after, epoch uint64, remaining func(*Directive) int64) Update {
	update := Update{Revision: s.revision, Epoch: s.epoch, Directives: []Directive{}}
	var ids []string
	if s.historyCovers(after, epoch) {
		ids = s.changedSince(after)
	}
	if update.Complete = !s.historyCovers(after, epoch) || len(ids) > maxIncrementalChanges; update.Complete {
		ids = slices.Sorted(maps.Keys(s.directives))
	}
	for _, id := range ids {
		d, exists := s.directives[id]
		if exists {
			d.RemainingMS = min(remaining(&d), MaxLifetimeMS)
		}
		switch {
		case exists && d.RemainingMS > 0:
			update.Directives = append(update.Directives, d)
		case !update.Complete:
			update.Removed = append(update.Removed, id)
		}
	}
	return update
}

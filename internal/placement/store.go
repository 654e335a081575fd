package placement

import (
	"maps"
	"slices"
	"sort"
)

const (
	// minHistory is the minimum number of changes in the history, for watches that resume. The history holds fewer than
	// 2*minHistory changes. A watch that resumes from an older revision gets a complete update.
	minHistory = 4096
	// maxIncrementalChanges is the largest number of directives in an incremental update. With more directives, the IDs of
	// the removed ones could take more bytes than a complete update.
	maxIncrementalChanges = 1000
)

// store holds the directives at a revision and the history of their last changes. The slices within directives are
// shared with readers and never changed in place.
type store struct {
	revision, epoch   uint64
	directives        map[string]Directive
	history           []change // ordered by revision, the newest last
	compactedRevision uint64   // revision of the newest change that history no longer holds
}

type change struct {
	revision uint64
	id       string
}

func newStore() store { return store{directives: map[string]Directive{}} }

// Revision returns the log revision of the last change.
func (s *store) Revision() uint64 { return s.revision }

// Epoch returns the number of the epoch to which the revisions belong. A restore from a backup starts another epoch.
func (s *store) Epoch() uint64 { return s.epoch }

// Len returns the number of directives, including those that have expired and were not removed yet.
func (s *store) Len() int { return len(s.directives) }

// resetHistory starts an empty history at a revision of an epoch. Watches that resume from an earlier position get a
// complete update.
func (s *store) resetHistory(revision, epoch uint64) {
	s.revision, s.epoch, s.compactedRevision, s.history = revision, epoch, revision, nil
}

// recordChange appends a change to the history. Several changes may have the same revision.
func (s *store) recordChange(revision uint64, id string) {
	s.revision = revision
	s.history = append(s.history, change{revision, id})
	if len(s.history) >= 2*minHistory {
		s.compactHistory()
	}
}

// compactHistory discards the older half of the history. It discards many changes at once, because each discard moves the
// remaining changes. It retains all changes of a revision or none.
func (s *store) compactHistory() {
	discarded := len(s.history) - minHistory
	s.compactedRevision = s.history[discarded-1].revision
	for discarded < len(s.history) && s.history[discarded].revision == s.compactedRevision {
		discarded++
	}
	s.history = append(s.history[:0], s.history[discarded:]...)
}

// historyCovers reports whether the history holds all changes after a revision of an epoch.
func (s *store) historyCovers(after, epoch uint64) bool {
	return after != 0 && epoch == s.epoch && after >= s.compactedRevision && after <= s.revision
}

// changedIDsSince returns the IDs of the directives that changed after a revision, sorted and without duplicates.
func (s *store) changedIDsSince(after uint64) []string {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
	var ids []string
	for _, c := range s.history[first:] {
		ids = append(ids, c.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// updateSince returns an update with the directives that changed after a revision of an epoch, in their newest state
// and ordered by ID. If the history does not cover the changes, or there are more than maxIncrementalChanges, the update
// is complete. The function remaining returns a directive's remaining time in ms. A directive without remaining time is
// left out of a complete update and listed as removed in an incremental one, so that a reader that ignores RemainingMS
// does not follow the directive.
func (s *store) updateSince(after, epoch uint64, remaining func(*Directive) int64) Update {
	update := Update{Revision: s.revision, Epoch: s.epoch, Directives: []Directive{}}
	var ids []string
	if s.historyCovers(after, epoch) {
		ids = s.changedIDsSince(after)
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

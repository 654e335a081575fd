package placement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Cache is the placement as one who follows it has it. It ends entries by itself, at whichever comes first: the wall
// clock at ExpiresAtMS, or RemainingMS on the monotonic clock since the line came. What has ended stays ended, also when the
// wall clock goes back or another replica tells the same entry again with more time; only a newer revision of the
// entry begins it anew. It is not safe for concurrent use.
type Cache struct {
	store
	synced   bool
	expiries map[string]expiry
}

type expiry struct {
	monotonicMS int64 // by the monotonic clock
	expired     bool
}

// ErrDiscontinuous tells that changes do not continue what is known: the whole has to be asked for.
var ErrDiscontinuous = errors.New("the changes do not continue the placement that is known")

// NewCache knows nothing yet.
func NewCache() *Cache {
	return &Cache{store: store{directives: map[string]Directive{}}, expiries: map[string]expiry{}}
}

// Synced tells whether any placement has been taken in.
func (c *Cache) Synced() bool { return c.synced }

// Apply takes in a line that was read at a time of the wall clock (Unix ms) and the monotonic clock (ms). News tells
// whether there was anything in it; a line that is older than what is known is no news. Nothing of a line that
// cannot be is taken.
func (c *Cache) Apply(update *Update, wallMS, monotonicMS int64) (changed bool, err error) {
	switch {
	case c.synced && update.Epoch == c.epoch && (update.Revision < c.revision || update.Revision == c.revision && !update.Complete):
		return false, nil
	case !update.Complete && (!c.synced || update.Epoch != c.epoch):
		return false, ErrDiscontinuous
	}
	if err := c.validate(update); err != nil {
		return false, err
	}
	c.expire(wallMS, monotonicMS) // what ended meanwhile is not begun anew by this line
	if !c.synced || update.Epoch != c.epoch {
		c.startHistory(update.Revision, update.Epoch)
	}
	c.synced = true
	removed := update.Removed
	if update.Complete {
		listed := map[string]bool{}
		for i := range update.Directives {
			listed[update.Directives[i].ID] = true
		}
		removed = nil
		for _, id := range slices.Sorted(maps.Keys(c.directives)) {
			if !listed[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if _, exists := c.directives[id]; exists {
			delete(c.directives, id)
			delete(c.expiries, id)
			c.recordChange(update.Revision, id)
		}
	}
	for _, directive := range update.Directives {
		next := expiry{monotonicMS: monotonicMS + min(max(directive.RemainingMS, 0), MaxLifetimeMS), expired: directive.RemainingMS <= 0}
		previous, exists := c.directives[directive.ID]
		if repeated := exists && previous.Revision == directive.Revision && previous.ExpiresAtMS == directive.ExpiresAtMS; repeated {
			next.monotonicMS, next.expired = min(next.monotonicMS, c.expiries[directive.ID].monotonicMS), next.expired || c.expiries[directive.ID].expired
		} else {
			c.recordChange(update.Revision, directive.ID)
		}
		directive.RemainingMS = 0
		c.directives[directive.ID], c.expiries[directive.ID] = directive, next
	}
	c.revision = update.Revision
	c.expire(wallMS, monotonicMS)
	return true, nil
}

// validate tells what of a line cannot be kept.
func (c *Cache) validate(update *Update) error {
	totalBytes, added := 0, 0
	for i := range update.Directives {
		directive := &update.Directives[i]
		if err := directive.validateBounds(); err != nil {
			return err
		}
		totalBytes += directive.accountedBytes()
		if _, exists := c.directives[directive.ID]; !exists {
			added++
		}
	}
	if !update.Complete {
		added += len(c.directives) // at most: some may go with this line
		for _, id := range update.Removed {
			if _, exists := c.directives[id]; exists {
				added--
			}
		}
	}
	if len(update.Directives) > MaxDirectives || added > MaxDirectives || totalBytes > MaxTotalBytes {
		return fmt.Errorf("a placement of %d entries, %d bytes: at most %d, %d", max(len(update.Directives), added), totalBytes, MaxDirectives, MaxTotalBytes)
	}
	return nil
}

// expire ends what has ended.
func (c *Cache) expire(wallMS, monotonicMS int64) {
	for id, entry := range c.expiries {
		if !entry.expired && (wallMS >= c.directives[id].ExpiresAtMS || monotonicMS >= entry.monotonicMS) {
			entry.expired = true
			c.expiries[id] = entry
		}
	}
}

// Active is what is in force at a time of both clocks, by ID, with what is left of each entry.
func (c *Cache) Active(wallMS, monotonicMS int64) Update {
	return c.ChangesSince(0, 0, wallMS, monotonicMS)
}

// ChangesSince is what changed after a revision of an epoch, for who follows this reader, told at a time of both clocks; it
// is the whole where that is not known any more.
func (c *Cache) ChangesSince(after, epoch uint64, wallMS, monotonicMS int64) Update {
	c.expire(wallMS, monotonicMS)
	return c.changesSince(after, epoch, func(directive *Directive) int64 {
		if expiry := c.expiries[directive.ID]; !expiry.expired {
			return min(directive.ExpiresAtMS-wallMS, expiry.monotonicMS-monotonicMS)
		}
		return 0
	})
}

// Snapshot is what a file keeps: all entries, those that have ended with nothing left.
func (c *Cache) Snapshot(wallMS, monotonicMS int64) Update {
	update := c.Active(wallMS, monotonicMS)
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		if c.expiries[id].expired {
			update.Directives = append(update.Directives, c.directives[id])
		}
	}
	return update
}

// Restore takes up what Save gave at a time of the wall clock (Unix ms), as at a start. It counts only if the wall
// clock has not gone back since, and no entry for longer than was left of it then minus the time passed since.
func (c *Cache) Restore(saved Update, savedMS, wallMS, monotonicMS int64) error {
	elapsedMS := wallMS - savedMS
	if elapsedMS < 0 {
		return fmt.Errorf("the clock has gone back by %d ms since it was saved", -elapsedMS)
	}
	saved.Complete = true
	saved.Directives = slices.Clone(saved.Directives)
	for i := range saved.Directives {
		saved.Directives[i].RemainingMS -= elapsedMS
	}
	_, err := c.Apply(&saved, wallMS, monotonicMS)
	return err
}

package placement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrDiscontinuous means that an incremental update does not continue from the cache's revision and epoch. The consumer has
// to request a complete update.
var ErrDiscontinuous = errors.New("the changes do not continue the placement that is known")

// Cache is a consumer's copy of the placement, to which the consumer applies the updates of a watch. A directive in the
// cache expires when the wall clock reaches ExpiresAtMS or when RemainingMS has elapsed on the monotonic clock since the
// update was received, whichever comes first. An expired directive stays expired, even if the wall clock is set back or
// another replica sends the directive with more time remaining; only a newer revision puts it in force again. A Cache is
// not safe for concurrent use.
type Cache struct {
	store
	synced   bool
	expiries map[string]expiry // of all directives in the cache, by ID
}

// expiry is the time at which a directive expires by the monotonic clock, and whether it has expired by either clock.
type expiry struct {
	monotonicMS int64
	expired     bool
}

// NewCache returns a cache that has not received any update.
func NewCache() *Cache {
	return &Cache{store: newStore(), expiries: map[string]expiry{}}
}

// Synced reports whether any update has been applied.
func (c *Cache) Synced() bool { return c.synced }

// Apply applies an update that was received at a time of the wall clock (Unix ms) and of the monotonic clock (ms). It
// reports whether it applied the update; an update that is older than the cache is ignored. After an error the cache is
// unchanged: ErrDiscontinuous means that a complete update is needed, any other error that the update is invalid.
func (c *Cache) Apply(update *Update, wallMS, monotonicMS int64) (changed bool, err error) {
	sameEpoch := c.synced && update.Epoch == c.epoch
	switch {
	case sameEpoch && (update.Revision < c.revision || update.Revision == c.revision && !update.Complete):
		return false, nil
	case !update.Complete && !sameEpoch:
		return false, ErrDiscontinuous
	}
	if err := c.validate(update); err != nil {
		return false, err
	}
	c.expire(wallMS, monotonicMS) // a directive that has expired stays expired, even if this update states remaining time
	if !sameEpoch {
		c.resetHistory(update.Revision, update.Epoch)
	}
	c.synced = true
	for _, id := range c.removedBy(update) {
		c.remove(update.Revision, id)
	}
	for _, d := range update.Directives {
		c.set(update.Revision, d, monotonicMS)
	}
	c.revision = update.Revision
	c.expire(wallMS, monotonicMS)
	return true, nil
}

// removedBy returns the IDs of the directives that an update removes. For an incremental update they may include unknown
// IDs.
func (c *Cache) removedBy(update *Update) []string {
	if !update.Complete {
		return update.Removed
	}
	listed := map[string]bool{}
	for i := range update.Directives {
		listed[update.Directives[i].ID] = true
	}
	var removed []string
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	return removed
}

func (c *Cache) remove(revision uint64, id string) {
	if _, exists := c.directives[id]; exists {
		delete(c.directives, id)
		delete(c.expiries, id)
		c.recordChange(revision, id)
	}
}

// set stores a directive. If the cache has the same revision of the directive, set can shorten its time until expiry
// but not extend it.
func (c *Cache) set(revision uint64, d Directive, monotonicMS int64) {
	newExpiry := expiry{monotonicMS: monotonicMS + min(max(d.RemainingMS, 0), MaxLifetimeMS), expired: d.RemainingMS <= 0}
	previous, exists := c.directives[d.ID]
	if exists && previous.Revision == d.Revision && previous.ExpiresAtMS == d.ExpiresAtMS {
		previousExpiry := c.expiries[d.ID]
		newExpiry.monotonicMS, newExpiry.expired = min(newExpiry.monotonicMS, previousExpiry.monotonicMS),
			newExpiry.expired || previousExpiry.expired
	} else {
		c.recordChange(revision, d.ID)
	}
	d.RemainingMS = 0
	c.directives[d.ID], c.expiries[d.ID] = d, newExpiry
}

// validate returns an error if the cache cannot hold the directives of an update.
func (c *Cache) validate(update *Update) error {
	totalBytes, count := 0, 0
	for i := range update.Directives {
		d := &update.Directives[i]
		if err := d.validateBounds(); err != nil {
			return err
		}
		totalBytes += d.accountedBytes()
		if _, exists := c.directives[d.ID]; !exists {
			count++
		}
	}
	if !update.Complete {
		count += len(c.directives)
		for _, id := range update.Removed {
			if _, exists := c.directives[id]; exists {
				count--
			}
		}
	}
	if len(update.Directives) > MaxDirectives || count > MaxDirectives || totalBytes > MaxTotalBytes {
		return fmt.Errorf("update too large: %d directives, %d bytes; at most %d directives, %d bytes are accepted",
			max(len(update.Directives), count), totalBytes, MaxDirectives, MaxTotalBytes)
	}
	return nil
}

// expire marks the directives that have expired by the wall clock or the monotonic clock.
func (c *Cache) expire(wallMS, monotonicMS int64) {
	for id, entry := range c.expiries {
		if !entry.expired && (wallMS >= c.directives[id].ExpiresAtMS || monotonicMS >= entry.monotonicMS) {
			entry.expired = true
			c.expiries[id] = entry
		}
	}
}

// Active returns the directives in force at a time of the wall clock (Unix ms) and the monotonic clock (ms), ordered by
// ID and with their remaining time.
func (c *Cache) Active(wallMS, monotonicMS int64) Update {
	return c.ChangesSince(0, 0, wallMS, monotonicMS)
}

// ChangesSince returns the changes after a revision of an epoch, for watchers of this cache, with the remaining times at
// a time of the wall clock (Unix ms) and the monotonic clock (ms). The update is complete if the history does not go
// back to that revision.
func (c *Cache) ChangesSince(after, epoch uint64, wallMS, monotonicMS int64) Update {
	c.expire(wallMS, monotonicMS)
	return c.updateSince(after, epoch, func(d *Directive) int64 {
		entry := c.expiries[d.ID]
		if entry.expired {
			return 0
		}
		return min(d.ExpiresAtMS-wallMS, entry.monotonicMS-monotonicMS)
	})
}

// Snapshot returns the content of the cache for a file: all directives, the expired ones without remaining time.
func (c *Cache) Snapshot(wallMS, monotonicMS int64) Update {
	update := c.Active(wallMS, monotonicMS)
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		if c.expiries[id].expired {
			update.Directives = append(update.Directives, c.directives[id])
		}
	}
	return update
}

// Restore applies an update that Snapshot returned at the wall clock's time savedMS (Unix ms), after a restart. It fails
// if the wall clock was set back after the save. Restore subtracts the time since the save from the remaining time of each
// directive.
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

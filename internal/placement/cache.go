package placement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrDiscontinuous means that an incremental update does not continue what a cache holds: a complete one is needed.
var ErrDiscontinuous = errors.New("the changes do not continue the placement that is known")

// Cache is a consumer's copy of the placement, kept current by the updates of a watch. It expires directives by itself,
// at whichever comes first: the wall clock at ExpiresAtMS, or RemainingMS on the monotonic clock since the update was
// received. An expired directive stays expired, also when the wall clock is set back or another replica sends it again
// with more time remaining; only a newer revision of the directive puts it in force again. It is not safe for concurrent use.
type Cache struct {
	store
	synced   bool
	expiries map[string]expiry // of all directives, by ID
}

// expiry is when a directive expires by the monotonic clock, and whether it has.
type expiry struct {
	monotonicMS int64
	expired     bool
}

// NewCache returns a cache that has not received any update.
func NewCache() *Cache {
	return &Cache{store: newStore(), expiries: map[string]expiry{}}
}

// Synced reports whether any update was applied.
func (c *Cache) Synced() bool { return c.synced }

// Apply applies an update that was received at a time of the wall clock (Unix ms) and the monotonic clock (ms). It
// reports whether the update was applied; one that is older than the cache is ignored. An update with an error has
// changed nothing: ErrDiscontinuous calls for a complete update, any other error means that it is invalid.
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
	c.expire(wallMS, monotonicMS) // what has expired by now stays expired, whatever time this update gives it
	if !sameEpoch {
		c.startHistory(update.Revision, update.Epoch)
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

// removedBy are the IDs of the directives that an update removes; an incremental one may name unknown ones as well.
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

// set stores a directive. Where it is a repeat of the one that the cache has, that can only shorten its time.
func (c *Cache) set(revision uint64, d Directive, monotonicMS int64) {
	next := expiry{monotonicMS: monotonicMS + min(max(d.RemainingMS, 0), MaxLifetimeMS), expired: d.RemainingMS <= 0}
	previous, exists := c.directives[d.ID]
	if exists && previous.Revision == d.Revision && previous.ExpiresAtMS == d.ExpiresAtMS {
		known := c.expiries[d.ID]
		next.monotonicMS, next.expired = min(next.monotonicMS, known.monotonicMS), next.expired || known.expired
	} else {
		c.recordChange(revision, d.ID)
	}
	d.RemainingMS = 0
	c.directives[d.ID], c.expiries[d.ID] = d, next
}

// validate reports what of an update the cache cannot hold.
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
		return fmt.Errorf("a placement of %d entries, %d bytes: at most %d, %d",
			max(len(update.Directives), count), totalBytes, MaxDirectives, MaxTotalBytes)
	}
	return nil
}

// expire marks the directives that have expired by either clock.
func (c *Cache) expire(wallMS, monotonicMS int64) {
	for id, entry := range c.expiries {
		if !entry.expired && (wallMS >= c.directives[id].ExpiresAtMS || monotonicMS >= entry.monotonicMS) {
			entry.expired = true
			c.expiries[id] = entry
		}
	}
}

// Active is the directives in force at a time of both clocks, by ID, with their remaining time.
func (c *Cache) Active(wallMS, monotonicMS int64) Update {
	return c.ChangesSince(0, 0, wallMS, monotonicMS)
}

// ChangesSince is what changed after a revision of an epoch, for watchers of this cache, with the time that remains at a time of both
// clocks; it is a complete update where the history does not go back so far.
func (c *Cache) ChangesSince(after, epoch uint64, wallMS, monotonicMS int64) Update {
	c.expire(wallMS, monotonicMS)
	return c.changesSince(after, epoch, func(d *Directive) int64 {
		entry := c.expiries[d.ID]
		if entry.expired {
			return 0
		}
		return min(d.ExpiresAtMS-wallMS, entry.monotonicMS-monotonicMS)
	})
}

// Snapshot is what a file retains of the cache: all directives, the expired ones with no time remaining.
func (c *Cache) Snapshot(wallMS, monotonicMS int64) Update {
	update := c.Active(wallMS, monotonicMS)
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		if c.expiries[id].expired {
			update.Directives = append(update.Directives, c.directives[id])
		}
	}
	return update
}

// Restore applies, as at a start, what Snapshot returned at a time of the wall clock (Unix ms). It fails if the wall
// clock was set back since, and gives no directive more time than remained then less the time elapsed since.
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

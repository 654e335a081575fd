package agent

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

const (
	// writeAllowanceMS is how far ahead what is left of an entry is told, as a line may be written so long after it was made.
	writeAllowanceMS = 50
	// firstAnswerTimeout is how long the first who asks may wait for the registry's first answer.
	firstAnswerTimeout = time.Second

	placementFileMagic = "milldeck-agent-placement 1\n"
)

// placementCache is the placement as the agent has it and tells it on. It is followed once a sidecar has asked for it: one
// that knows no placement costs the registry no second watch.
type placementCache struct {
	path  string                        // of the last placement; "": none
	clock func() (wallMS, monoMS int64) // the machine's

	mu     sync.Mutex
	reader *placement.Cache
	dirty  bool // the saved placement is out of date

	feed            *registry.PlacementFeed
	registryHeardMS atomic.Int64  // when the registry last spoke, ms of the monotonic clock + 1; 0: never
	requested       chan struct{} // closed when a sidecar asks
	requestOnce     sync.Once
	settled         chan struct{} // closed when a placement is known, or that there is none to be known
	settleOnce      sync.Once
	unsupported     atomic.Bool // no replica knows of a placement
}

// newPlacementCache takes up a saved placement where there is one that still counts.
func newPlacementCache(path string, clock func() (wallMS, monoMS int64)) *placementCache {
	c := &placementCache{path: path, clock: clock, reader: placement.NewCache(), requested: make(chan struct{}), settled: make(chan struct{})}
	c.feed = registry.NewPlacementFeed(func(after, epoch uint64) placement.Update {
		c.mu.Lock()
		defer c.mu.Unlock()
		wallMS, monoMS := c.clock()
		return c.reader.ChangesSince(after, epoch, wallMS+writeAllowanceMS, monoMS+writeAllowanceMS)
	})
	if path == "" {
		return c
	}
	if err := c.load(); err != nil {
		slog.Warn("the saved placement is not used", "file", path, "error", err)
	}
	if c.reader.Synced() {
		c.settleOnce.Do(func() { close(c.settled) })
		slog.Info("serves the saved placement until a replica answers", "rev", c.reader.Revision(), "entries", c.reader.Len())
	}
	return c
}

type placementFile struct {
	SavedAtMS int64            `json:"saved_ms"` // by the wall clock
	List      placement.Update `json:"list"`     // with what was left of each entry then
}

// encode gives the bytes of the saved placement; the caller holds the lock.
func (c *placementCache) encode() ([]byte, error) {
	wallMS, monoMS := c.clock()
	body, err := json.Marshal(placementFile{wallMS, c.reader.Snapshot(wallMS, monoMS)})
	if err != nil {
		return nil, err
	}
	return encodeChecksummed(placementFileMagic, body), nil
}

func (c *placementCache) load() error {
	data, err := readStateFile(c.path)
	if data == nil || err != nil {
		return err
	}
	body, err := decodeChecksummed(placementFileMagic, data)
	if err != nil {
		return err
	}
	var file placementFile
	if err := json.Unmarshal(body, &file); err != nil {
		return err
	}
	wallMS, monoMS := c.clock()
	return c.reader.Restore(file.List, file.SavedAtMS, wallMS, monoMS)
}

// saveIfDirty saves the placement if it has changed.
func (c *placementCache) saveIfDirty() {
	if c.path == "" {
		return
	}
	c.mu.Lock()
	dirty := c.dirty
	c.dirty = false
	data, err := []byte(nil), error(nil)
	if dirty {
		data, err = c.encode()
	}
	c.mu.Unlock()
	if dirty && err == nil {
		err = writeStateFile(c.path, data)
	}
	if err != nil {
		slog.Error("the placement is not saved", "file", c.path, "error", err)
	}
}

// position is what is known, as a watch continues it.
func (c *placementCache) position() (rev, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Revision(), c.reader.Epoch()
}

// merge takes over what a replica told.
func (c *placementCache) merge(list *placement.Update) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	wallMS, monoMS := c.clock()
	changed, err := c.reader.Apply(list, wallMS, monoMS)
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	if changed {
		c.dirty = true
		c.feed.Notify()
		c.settleOnce.Do(func() { close(c.settled) })
	}
	return nil
}

// markAlive notes that the registry has spoken.
func (c *placementCache) markAlive() {
	_, monoMS := c.clock()
	c.registryHeardMS.Store(monoMS + 1)
	c.unsupported.Store(false)
}

// registryAlive tells whether the agent's silence is news.
func (c *placementCache) registryAlive() bool {
	_, monoMS := c.clock()
	heardMS := c.registryHeardMS.Load()
	return heardMS != 0 && monoMS+1-heardMS < registryHeartbeatTimeout.Milliseconds()
}

// followPlacement follows the placement once it was asked for.
func (a *Agent) followPlacement() {
	select {
	case <-a.ctx.Done():
		return
	case <-a.placement.requested:
	}
	follower := a.newReplicaFollower()
	follower.onUnsupported = func() {
		a.placement.unsupported.Store(true)
		a.placement.settleOnce.Do(func() { close(a.placement.settled) })
	}
	follower.run(rand.IntN(len(a.opts.Replicas)), func(_ int, replica string, markAlive func()) error {
		rev, epoch := a.placement.position()
		return a.client.WatchPlacement(a.ctx, replica, rev, epoch, func(list *placement.Update, age time.Duration) error {
			if list != nil {
				stale := age > maxListAge && len(a.opts.Replicas) > 1
				if stale && rev != 0 && list.Epoch != epoch {
					return errReplicaStale // another history from one who may have missed the end of it
				}
				if err := a.placement.merge(list); err != nil {
					return err
				}
				if stale {
					return errReplicaStale
				}
			}
			markAlive()
			a.placement.markAlive()
			return nil
		})
	})
}

// servePlacement tells the placement to the sidecar, as a replica does, with what is left by this machine's clocks.
func (a *Agent) servePlacement(w http.ResponseWriter, r *http.Request) {
	cache := a.placement
	cache.requestOnce.Do(func() { close(cache.requested) })
	select {
	case <-cache.settled:
	case <-time.After(firstAnswerTimeout):
	case <-r.Context().Done():
		return
	}
	cache.mu.Lock()
	known := cache.reader.Synced()
	cache.mu.Unlock()
	switch {
	case !known && cache.unsupported.Load():
		http.Error(w, "the registry knows no placement", http.StatusNotFound)
		return
	case !known:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no placement yet", http.StatusServiceUnavailable)
		return
	}
	after, err := queryUint(r, "after")
	epoch := uint64(0)
	if err == nil {
		epoch, err = queryUint(r, "epoch")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		err = cache.feed.WriteFullList(w)
	} else {
		err = cache.feed.Watch(a.ctx, w, r, after, epoch, cache.registryAlive)
	}
	if err != nil {
		slog.Debug("placement not written", "error", err)
	}
}

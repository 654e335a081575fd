package agent

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

const (
	// writeAllowanceMS is subtracted from the remaining time of each served directive. It covers the delay between
	// encoding a response and writing it.
	writeAllowanceMS = 50

	placementFileHeader = "milldeck-agent-placement 1\n"
)

// placementCache holds the last placement and serves it to watches. The agent watches the registry's placement only after
// the sidecar has requested it, so that a sidecar without placement does not cost the registry a second watch.
type placementCache struct {
	clock func() (wallMS, monoMS int64)
	feed  *registry.PlacementFeed // serves watches

	mu    sync.Mutex
	cache *placement.Cache
	state savedState

	lastRegistryMessageMS atomic.Int64  // time of the registry's last message, in monotonic ms + 1; 0: none received
	requested             chan struct{} // closed at the sidecar's first request for the placement
	requestOnce           sync.Once
	initialized           chan struct{} // closed when a placement is known, or unsupported is set
	initOnce              sync.Once
	unsupported           atomic.Bool // no replica supports placements, because all are of an older version
}

// newPlacementCache returns a cache, with the saved placement if the file can be restored. clock returns the wall clock's
// time in Unix ms and a monotonic time in ms.
func newPlacementCache(path string, clock func() (wallMS, monotonicMS int64), logger *slog.Logger) *placementCache {
	c := &placementCache{clock: clock, cache: placement.NewCache(), requested: make(chan struct{}), initialized: make(chan struct{})}
	c.state = savedState{path: path, mu: &c.mu, encode: c.encode}
	c.feed = registry.NewPlacementFeed(c.changesSince)
	if path == "" {
		return c
	}
	if err := c.load(); err != nil {
		logger.Warn("saved placement ignored", "file", path, "error", err)
	}
	if c.cache.Synced() {
		c.markInitialized()
		logger.Info("serving the saved placement until a replica answers", "revision", c.cache.Revision(), "directives", c.cache.Len())
	}
	return c
}

// changesSince returns the changes after a revision of an epoch, for the feed.
func (c *placementCache) changesSince(after, epoch uint64) placement.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	wallMS, monotonicMS := c.clock()
	return c.cache.ChangesSince(after, epoch, wallMS+writeAllowanceMS, monotonicMS+writeAllowanceMS)
}

// placementFile is the body of the saved placement.
type placementFile struct {
	SavedAtMS int64            `json:"saved_ms"` // by the wall clock
	Placement placement.Update `json:"list"`     // with each directive's remaining time at SavedAtMS
}

// encode returns the contents of the placement file. The caller holds mu.
func (c *placementCache) encode() ([]byte, error) {
	wallMS, monotonicMS := c.clock()
	body, err := json.Marshal(placementFile{wallMS, c.cache.Snapshot(wallMS, monotonicMS)})
	if err != nil {
		return nil, err
	}
	return encodeChecksummed(placementFileHeader, body), nil
}

func (c *placementCache) load() error {
	data, err := readStateFile(c.state.path)
	if data == nil || err != nil {
		return err
	}
	body, err := decodeChecksummed(placementFileHeader, data)
	if err != nil {
		return err
	}
	var file placementFile
	if err := json.Unmarshal(body, &file); err != nil {
		return err
	}
	wallMS, monotonicMS := c.clock()
	return c.cache.Restore(file.Placement, file.SavedAtMS, wallMS, monotonicMS)
}

// merge applies an update that a replica sent.
func (c *placementCache) merge(update *placement.Update) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	wallMS, monotonicMS := c.clock()
	changed, err := c.cache.Apply(update, wallMS, monotonicMS)
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	if changed {
		c.state.dirty = true
		c.feed.Notify()
		c.markInitialized()
	}
	return nil
}

// position returns the known revision and epoch, from which a watch continues.
func (c *placementCache) position() (revision, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.Revision(), c.cache.Epoch()
}

// known reports whether the cache holds a placement.
func (c *placementCache) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.Synced()
}

// activeDirectives returns the number of directives that have not expired.
func (c *placementCache) activeDirectives() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cache.Active(c.clock()).Directives)
}

// markRequested records that a sidecar has requested the placement.
func (c *placementCache) markRequested() { c.requestOnce.Do(func() { close(c.requested) }) }

// markInitialized releases the requests that wait for the registry's first response.
func (c *placementCache) markInitialized() { c.initOnce.Do(func() { close(c.initialized) }) }

// markAlive records the time of a message from the registry.
func (c *placementCache) markAlive() {
	_, monotonicMS := c.clock()
	c.lastRegistryMessageMS.Store(monotonicMS + 1)
	c.unsupported.Store(false)
}

// markUnsupported records that no replica supports placements.
func (c *placementCache) markUnsupported() {
	c.unsupported.Store(true)
	c.markInitialized()
}

// registryAlive reports whether the registry's last message is recent enough for the placement to count as current.
func (c *placementCache) registryAlive() bool {
	_, monotonicMS := c.clock()
	lastMessageMS := c.lastRegistryMessageMS.Load()
	return lastMessageMS != 0 && monotonicMS+1-lastMessageMS < registryHeartbeatTimeout.Milliseconds()
}

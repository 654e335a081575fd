package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/placement"
)

// lineLifetime is how long watchers share an encoded line of the placement. The line states the remaining time of each
// directive as of the end of the line's lifetime, so it never states more time than remains.
const lineLifetime = 50 * time.Millisecond

// PlacementFeed streams a placement to watchers, as a Hub does the endpoint list: each watcher is a cursor. A line states
// the remaining time of directives, so it cannot be encoded once for all watchers. The feed encodes it when watchers are
// woken, and the watchers that are woken together share it.
type PlacementFeed struct {
	read func(after, epoch uint64) placement.Update

	notifyMu      sync.Mutex // not held during read: a caller of Notify may hold a lock that read needs
	changed       broadcaster
	notifications uint64

	mu     sync.Mutex
	cached map[cursor]placementLine // lines encoded within the last lineLifetime
}

// placementLine is the encoded line for a watcher at a position.
type placementLine struct {
	encodedAt    time.Time
	notification uint64 // value of notifications before the line was encoded
	data         []byte // nil: nothing has changed
	position     cursor // of the watcher after the line
}

// NewPlacementFeed returns a feed of the placement that read returns: the changes after a revision of an epoch, with the
// remaining time of each directive as of 50 ms from now.
func NewPlacementFeed(read func(after, epoch uint64) placement.Update) *PlacementFeed {
	return &PlacementFeed{read: read, changed: newBroadcaster(), cached: map[cursor]placementLine{}}
}

// Notify wakes the watchers, after broadcastDelay, because the placement has changed.
func (f *PlacementFeed) Notify() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	// A watcher that this broadcast wakes must not get a line that was encoded before the broadcast.
	f.changed.schedule(&f.notifyMu, func() { f.notifications++ })
}

// next implements changeSource. One caller at a time encodes a line, and the others share the line.
func (f *PlacementFeed) next(position cursor) (watchBatch, error) {
	f.notifyMu.Lock()
	changed, notification := f.changed.changed, f.notifications
	f.notifyMu.Unlock()

	f.mu.Lock()
	defer f.mu.Unlock()
	line, ok := f.cached[position]
	if !ok || line.notification < notification || line.outdated() {
		f.dropOutdatedLocked()
		encoded, err := f.encode(position)
		if err != nil {
			return watchBatch{}, fmt.Errorf("placement: %w", err)
		}
		encoded.notification = notification
		f.cached[position], line = encoded, encoded
	}
	batch := watchBatch{position: line.position, changed: changed}
	if line.data != nil {
		batch.lines = [][]byte{line.data}
	}
	return batch, nil
}

func (l *placementLine) outdated() bool { return time.Since(l.encodedAt) >= lineLifetime }

// dropOutdatedLocked removes the cached lines that must not be shared any more. The caller holds the lock.
func (f *PlacementFeed) dropOutdatedLocked() {
	for position, line := range f.cached {
		if line.outdated() {
			delete(f.cached, position)
		}
	}
}

// encode encodes the line for a watcher at a position.
func (f *PlacementFeed) encode(position cursor) (placementLine, error) {
	line := placementLine{encodedAt: time.Now()}
	update := f.read(position.revision, position.epoch)
	line.position = cursor{update.Revision, update.Epoch, true}
	if line.position == position {
		return line, nil
	}
	var err error
	line.data, err = jsonLine(&update)
	return line, err
}

// Watch streams the changes after a revision of an epoch to a watcher, as Hub.Watch does those of the endpoint list.
func (f *PlacementFeed) Watch(
	ctx context.Context, w http.ResponseWriter, request *http.Request, after, epoch uint64, mayHeartbeat func() bool,
) error {
	return streamChanges(ctx, w, request, cursor{revision: after, epoch: epoch}, mayHeartbeat, f)
}

// WriteComplete responds with the complete placement. It uses no cached line, because a linearizable read has to see every
// write before it.
func (f *PlacementFeed) WriteComplete(w http.ResponseWriter) error {
	data, err := json.Marshal(f.read(0, 0))
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(append(data, '\n'))
	return err
}

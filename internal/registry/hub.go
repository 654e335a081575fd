package registry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/placement"
)

const (
	// maxEncodedChanges is the number of encoded changes that the hub keeps for all watchers. A watcher that is further
	// behind gets a change that is encoded from the state.
	maxEncodedChanges = 1024
	// maxSeparateChanges is the number of changes up to which a watcher that is behind gets each change separately.
	maxSeparateChanges = 64
)

// Hub holds the state and streams its changes to watchers. Each watcher is a cursor without a queue, so a slow watcher takes
// no memory and delays no other watcher: when it reads again, it gets the newest state of each changed instance.
type Hub struct {
	mu            sync.RWMutex
	state         *StateMachine
	encoded       []encodedChange // sorted by revision, newest last
	listChanged   broadcaster
	leasesChanged broadcaster // separate: a change of a lease must not wake the thousands of watchers of the list
	placementFeed *PlacementFeed

	completeListMu sync.Mutex
	completeList   encodedList // last encoded; thousands of watchers that connect at once share the bytes
}

// encodedChange is the watch event of one revision, encoded once for all watchers.
type encodedChange struct {
	previous uint64 // revision before the change
	line     []byte
}

// encodedList is the encoded complete list at a revision.
type encodedList struct {
	revision, epoch uint64
	line            []byte // nil: not encoded yet
}

// NewHub returns a hub with an empty state.
func NewHub() *Hub {
	hub := &Hub{state: NewStateMachine(), listChanged: newBroadcaster(), leasesChanged: newBroadcaster()}
	hub.placementFeed = NewPlacementFeed(hub.readPlacement)
	return hub
}

// Apply applies a record to the state, and streams the changes to watchers.
func (h *Hub) Apply(index uint64, record *Record) (Result, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision, epoch := h.state.Revision(), h.state.Epoch()
	leasesRevision, placementRevision := h.state.leases.Revision(), h.state.placement.Revision()
	confirmsRestore := h.state.restorePending
	result := h.state.Apply(index, record)
	if confirmsRestore || h.state.placement.Revision() != placementRevision {
		h.placementFeed.Notify()
	}
	if confirmsRestore || h.state.leases.Revision() != leasesRevision {
		h.leasesChanged.schedule(&h.mu, nil)
	}
	if confirmsRestore || h.state.Epoch() != epoch {
		h.encoded = nil
		h.listChanged.schedule(&h.mu, nil)
		return result, nil
	}
	if h.state.Revision() == revision {
		return result, nil
	}
	if err := h.encodeChangeLocked(revision); err != nil {
		return result, err
	}
	h.listChanged.schedule(&h.mu, nil)
	return result, nil
}

// encodeChangeLocked encodes the watch event for the changes after a revision. The caller holds the lock.
func (h *Hub) encodeChangeLocked(previous uint64) error {
	changes := h.state.ChangesSince(previous, 0)
	if previous == 0 {
		changes = h.state.CompleteList()
	}
	line, err := jsonLine(changes)
	if err != nil {
		return err
	}
	h.encoded = append(h.encoded, encodedChange{previous, line})
	if excess := len(h.encoded) - maxEncodedChanges; excess > 0 {
		h.encoded = append(h.encoded[:0], h.encoded[excess:]...)
	}
	return nil
}

// Replace replaces the state, for example with that of a snapshot.
func (h *Hub) Replace(state *StateMachine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.encoded = state, nil
	h.listChanged.schedule(&h.mu, nil)
	h.leasesChanged.schedule(&h.mu, nil)
	h.placementFeed.Notify()
}

// Read calls view with the state, which view must neither change nor retain.
func (h *Hub) Read(view func(*StateMachine)) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	view(h.state)
}

// Lease returns the current state of a lease, and a channel that is closed when any lease changes.
func (h *Hub) Lease(name string) (lease leasetable.Lease, changed <-chan struct{}) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	lease, _ = h.state.leases.Get(name)
	return lease, h.leasesChanged.changed
}

// readPlacement returns the changes of the placement, with the remaining time of each directive at the end of
// lineLifetime.
func (h *Hub) readPlacement(after, epoch uint64) placement.Update {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.state.restorePending {
		return placement.Update{Revision: after, Epoch: epoch} // nothing has changed yet
	}
	return h.state.placement.ChangesSince(after, epoch, time.Now().Add(lineLifetime).UnixMilli())
}

// next implements changeSource for the endpoint list.
func (h *Hub) next(position cursor) (watchBatch, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.state.restorePending {
		return watchBatch{position: position, changed: h.listChanged.changed}, nil
	}
	batch := watchBatch{position: cursor{h.state.Revision(), h.state.Epoch(), true}, changed: h.listChanged.changed}
	if position == batch.position {
		return batch, nil
	}
	lines, err := h.linesAfterLocked(position)
	if err != nil {
		return watchBatch{}, err
	}
	batch.lines = lines
	return batch, nil
}

// linesAfterLocked returns the lines for a watcher that is behind the state or has received no lines yet. The caller holds
// the lock for reading.
func (h *Hub) linesAfterLocked(position cursor) ([][]byte, error) {
	revision, epoch := h.state.Revision(), h.state.Epoch()
	if position.revision == revision && position.epoch == epoch { // a new watcher gets an event at once, even if it is up to date
		return [][]byte{fmt.Appendf(nil, "{\"rev\":%d,\"all\":false,\"targets\":[],\"epoch\":%d}\n", revision, epoch)}, nil
	}
	if position.epoch == epoch && position.revision != 0 {
		if lines := h.encodedAfterLocked(position.revision); lines != nil {
			return lines, nil
		}
	}
	if !h.state.HasHistorySince(position.revision, position.epoch) {
		line, err := h.encodeCompleteListLocked()
		return [][]byte{line}, err
	}
	line, err := jsonLine(h.state.ChangesSince(position.revision, position.epoch))
	return [][]byte{line}, err
}

// encodedAfterLocked returns the encoded changes after a revision, or nil if there are more than maxSeparateChanges or the
// hub no longer has them. The caller holds the lock for reading.
func (h *Hub) encodedAfterLocked(revision uint64) (lines [][]byte) {
	for i := len(h.encoded) - 1; i >= 0 && len(h.encoded)-i <= maxSeparateChanges; i-- {
		if h.encoded[i].previous != revision {
			continue
		}
		for _, change := range h.encoded[i:] {
			lines = append(lines, change.line)
		}
		return lines
	}
	return nil
}

// encodeCompleteListLocked returns the complete list as a line, encoded once per revision. The caller holds the lock for
// reading.
func (h *Hub) encodeCompleteListLocked() ([]byte, error) {
	h.completeListMu.Lock()
	defer h.completeListMu.Unlock()
	revision, epoch := h.state.Revision(), h.state.Epoch()
	if h.completeList.line != nil && h.completeList.revision == revision && h.completeList.epoch == epoch {
		return h.completeList.line, nil
	}
	line, err := jsonLine(h.state.CompleteList())
	if err != nil {
		return nil, err
	}
	h.completeList = encodedList{revision, epoch, line}
	return line, nil
}

// Watch streams the changes after a revision of an epoch to a watcher, in the format of the platform's protocol, until ctx
// or the request ends. While nothing changes, it writes a heartbeat (an empty line) every 2 s if mayHeartbeat returns true,
// which means that the hub would learn of a change.
func (h *Hub) Watch(
	ctx context.Context, w http.ResponseWriter, request *http.Request, after, epoch uint64, mayHeartbeat func() bool,
) error {
	return streamChanges(ctx, w, request, cursor{revision: after, epoch: epoch}, mayHeartbeat, h)
}

// WriteCompleteList responds with the complete endpoint list.
func (h *Hub) WriteCompleteList(w http.ResponseWriter) error {
	h.mu.RLock()
	line, err := h.encodeCompleteListLocked()
	h.mu.RUnlock()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(line)
	return err
}

package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/placement"
)

const (
	// lineLifetime is how long watchers of the placement are written the same bytes. What is left of an entry is told as
	// of the end of it, so that it is never told as more.
	lineLifetime = 50 * time.Millisecond
	// expiredEntryRetention is how long after an entry's end the leader drops it; its readers have ended it by themselves.
	expiredEntryRetention = 2 * time.Second
	// placementSweepInterval is the time between two looks for entries that have ended, maxSweptEntries what one drops.
	placementSweepInterval = time.Second
	maxSweptEntries        = 1000
)

// Placement is the table of the placement, for reading.
func (s *StateMachine) Placement() *placement.Table { return s.placement }

func (s *StateMachine) applyPlacement(index uint64, record *Record) Result {
	if record.Placement == nil {
		return Result{OutcomeConflict, s.placement.Revision(), "no operation"}
	}
	owner := ""
	if record.Guard != nil {
		owner = record.Guard.Lease
	}
	result := s.placement.Apply(index, owner, record.Placement)
	outcomes := map[placement.Outcome]Outcome{placement.OutcomeApplied: OutcomeDone, placement.OutcomeRejected: OutcomeConflict, placement.OutcomeLimitReached: OutcomeLimitExceeded}
	return Result{outcomes[result.Outcome], s.placement.Revision(), result.Reason}
}

// readPlacement reads what changed, with what is left of each entry after lineLifetime.
func (h *Hub) readPlacement(after, epoch uint64) placement.Update {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.placement.ChangesSince(after, epoch, time.Now().Add(lineLifetime).UnixMilli())
}

// PlacementFeed lets watchers follow a placement, as a Hub does for the list: a watcher is a cursor. As each line says
// what is left of its entries, a line is encoded at each wake-up and shared by those who are woken with it.
type PlacementFeed struct {
	read func(after, epoch uint64) placement.Update

	notifyMu      sync.Mutex // never held while anything is read: who rings may hold what read waits for
	changed       broadcaster
	notifications uint64

	mu     sync.Mutex
	cached map[cursor]placementLine // of the last lineLifetime
}

type placementLine struct {
	encodedAt    time.Time
	notification uint64 // the last one before it was read
	data         []byte // nil: there is nothing new
	next         cursor
}

// NewPlacementFeed makes a feed of what read gives: what changed after a revision of an epoch, with what is left of
// each entry 50 ms from now.
func NewPlacementFeed(read func(after, epoch uint64) placement.Update) *PlacementFeed {
	return &PlacementFeed{read: read, changed: broadcaster{changed: make(chan struct{})}, cached: map[cursor]placementLine{}}
}

// Notify tells that there is news.
func (f *PlacementFeed) Notify() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.changed.broadcast(&f.notifyMu, func() { f.notifications++ }) // nobody who is woken by it is written a line from before
}

// next is what a watcher is to be written. One at a time encodes, the others find the line there.
func (f *PlacementFeed) next(position cursor) ([][]byte, cursor, <-chan struct{}, error) {
	f.notifyMu.Lock()
	changed, notification := f.changed.changed, f.notifications
	f.notifyMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	cached, ok := f.cached[position]
	if !ok || cached.notification < notification || time.Since(cached.encodedAt) >= lineLifetime {
		for key, entry := range f.cached {
			if time.Since(entry.encodedAt) >= lineLifetime {
				delete(f.cached, key)
			}
		}
		cached = placementLine{encodedAt: time.Now(), notification: notification}
		list := f.read(position.revision, position.epoch)
		cached.next = cursor{list.Revision, list.Epoch, true}
		if cached.next != position {
			data, err := json.Marshal(&list)
			if err != nil {
				return nil, position, nil, fmt.Errorf("placement: %w", err)
			}
			cached.data = append(data, '\n')
		}
		f.cached[position] = cached
	}
	if cached.data == nil {
		return nil, cached.next, changed, nil
	}
	return [][]byte{cached.data}, cached.next, changed, nil
}

// Watch writes the changes after a revision of an epoch to a watcher, as Hub.Watch does those of the list.
func (f *PlacementFeed) Watch(ctx context.Context, w http.ResponseWriter, request *http.Request, after, epoch uint64, alive func() bool) error {
	return streamChanges(ctx, w, request, cursor{revision: after, epoch: epoch}, alive, f)
}

// WriteFullList answers with the whole placement.
func (f *PlacementFeed) WriteFullList(w http.ResponseWriter) error {
	data, err := json.Marshal(f.read(0, 0)) // not shared: a fresh read sees every write before it
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(append(data, '\n'))
	return err
}

// servePlacement answers with the placement or follows it for one watcher.
func (r *Replica) servePlacement(w http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("watch") != "" {
		r.serveWatchOf(w, request, r.hub.placementFeed.Watch)
		return
	}
	if !r.ensureFresh(w, request) {
		return
	}
	r.setFreshnessHeaders(w)
	if err := r.hub.placementFeed.WriteFullList(w); err != nil {
		slog.Debug("placement not written", "error", err)
	}
}

// PlacementRequest is the body of a write of the placement.
type PlacementRequest struct {
	ID           string                `json:"id"`
	Guard        *Guard                `json:"guard"` // the owner's duty; no write counts without
	WriterTimeMS int64                 `json:"at_ms"` // the writer's clock, Unix ms; 0: it is not compared with the leader's
	Set          []placement.Directive `json:"set,omitempty"`
	Remove       []string              `json:"drop,omitempty"`
}

func (r *Replica) serveSetPlacement(w http.ResponseWriter, request *http.Request) {
	var body PlacementRequest
	if !readJSON(w, request, &body) {
		return
	}
	op := &placement.Op{LeaderTimeMS: time.Now().UnixMilli(), WriterTimeMS: body.WriterTimeMS, Set: body.Set, Delete: body.Remove}
	err := checkWriteID(body.ID)
	if err == nil && body.Guard == nil {
		err = fieldErrorf("guard", "a placement is written under its owner's duty")
	}
	if err == nil {
		err = op.Validate()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, &Record{Op: OpPlacement, ID: body.ID, Guard: body.Guard, Placement: op}, nil)
}

// dropExpiredPlacement drops entries that ended a while ago. Only the leader's loop calls it.
func (r *Replica) dropExpiredPlacement() {
	now := time.Now()
	if now.Sub(r.placementSweptAt) < placementSweepInterval {
		return
	}
	r.placementSweptAt = now
	var expired []placement.DirectiveRef
	r.hub.Read(func(state *StateMachine) {
		expired = state.placement.Expired(now.Add(-expiredEntryRetention).UnixMilli(), maxSweptEntries)
	})
	if len(expired) == 0 {
		return
	}
	op := &placement.Op{LeaderTimeMS: now.UnixMilli(), Expired: expired}
	if _, err := r.propose(&Record{Op: OpPlacement, Placement: op}); err != nil {
		return // found again, by this leader or the next
	}
	slog.Info("ended entries of the placement dropped", "entries", len(expired), "first", expired[0].ID)
}

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
	// sharedFor is how long watchers of the placement are written the same bytes. What is left of an entry is told as
	// of the end of it, so that it is never told as more.
	sharedFor = 50 * time.Millisecond
	// sweptAfter is how long after an entry's end the leader drops it; its readers have ended it by themselves.
	sweptAfter = 2 * time.Second
	// sweepPlacement is the time between two looks for entries that have ended, mostSwept what one drops.
	sweepPlacement = time.Second
	mostSwept      = 1000
)

// Placement is the table of the placement, for reading.
func (s *State) Placement() *placement.Table { return s.places }

func (s *State) doPlacement(index uint64, r *Record) Result {
	if r.Placement == nil {
		return Result{Conflict, s.places.Revision(), "no operation"}
	}
	duty := ""
	if r.Guard != nil {
		duty = r.Guard.Duty
	}
	outcome, why := s.places.Apply(index, duty, r.Placement)
	of := map[placement.Outcome]Outcome{placement.OutcomeApplied: Done, placement.OutcomeRejected: Conflict, placement.OutcomeLimitReached: TooMany}
	return Result{of[outcome], s.places.Revision(), why}
}

// placement reads what changed, with what is left of each entry after sharedFor.
func (h *Hub) placement(after, epoch uint64) placement.Update {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.places.ChangesSince(after, epoch, time.Now().Add(sharedFor).UnixMilli())
}

// PlacementFeed lets watchers follow a placement, as a Hub does for the list: a watcher is a cursor. As each line says
// what is left of its entries, a line is encoded at each wake-up and shared by those who are woken with it.
type PlacementFeed struct {
	read func(after, epoch uint64) placement.Update

	ring  sync.Mutex // never held while anything is read: who rings may hold what read waits for
	news  bell
	rings uint64

	mu    sync.Mutex
	lines map[cursor]placementLine // of the last sharedFor
}

type placementLine struct {
	at   time.Time
	ring uint64 // the last one before it was read
	data []byte // nil: there is nothing new
	now  cursor
}

// NewPlacementFeed makes a feed of what read gives: what changed after a revision of an epoch, with what is left of
// each entry 50 ms from now.
func NewPlacementFeed(read func(after, epoch uint64) placement.Update) *PlacementFeed {
	return &PlacementFeed{read: read, news: bell{woken: make(chan struct{})}, lines: map[cursor]placementLine{}}
}

// Ring tells that there is news.
func (f *PlacementFeed) Ring() {
	f.ring.Lock()
	defer f.ring.Unlock()
	f.news.wake(&f.ring, func() { f.rings++ }) // nobody who is woken by it is written a line from before
}

// next is what a watcher is to be written. One at a time encodes, the others find the line there.
func (f *PlacementFeed) next(at cursor) ([][]byte, cursor, <-chan struct{}, error) {
	f.ring.Lock()
	woken, ring := f.news.woken, f.rings
	f.ring.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	l, known := f.lines[at]
	if !known || l.ring < ring || time.Since(l.at) >= sharedFor {
		for key, old := range f.lines {
			if time.Since(old.at) >= sharedFor {
				delete(f.lines, key)
			}
		}
		l = placementLine{at: time.Now(), ring: ring}
		list := f.read(at.rev, at.epoch)
		l.now = cursor{list.Revision, list.Epoch, true}
		if l.now != at {
			data, err := json.Marshal(&list)
			if err != nil {
				return nil, at, nil, fmt.Errorf("placement: %w", err)
			}
			l.data = append(data, '\n')
		}
		f.lines[at] = l
	}
	if l.data == nil {
		return nil, l.now, woken, nil
	}
	return [][]byte{l.data}, l.now, woken, nil
}

// Watch writes the changes after a revision of an epoch to a watcher, as Hub.Watch does those of the list.
func (f *PlacementFeed) Watch(ctx context.Context, w http.ResponseWriter, req *http.Request, after, epoch uint64, alive func() bool) error {
	return watch(ctx, w, req, cursor{rev: after, epoch: epoch}, alive, f)
}

// WriteWhole answers with the whole placement.
func (f *PlacementFeed) WriteWhole(w http.ResponseWriter) error {
	data, err := json.Marshal(f.read(0, 0)) // not shared: a fresh read sees every write before it
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(append(data, '\n'))
	return err
}

// servePlacement answers with the placement or follows it for one watcher.
func (r *Replica) servePlacement(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("watch") != "" {
		r.watch(w, req, r.hub.places.Watch)
		return
	}
	if !r.fresh(w, req) {
		return
	}
	r.mark(w)
	if err := r.hub.places.WriteWhole(w); err != nil {
		slog.Debug("placement not written", "error", err)
	}
}

// PlacementChange is the body of a write of the placement.
type PlacementChange struct {
	ID    string                `json:"id"`
	Guard *Guard                `json:"guard"` // the owner's duty; no write counts without
	AtMS  int64                 `json:"at_ms"` // the writer's clock, Unix ms; 0: it is not compared with the leader's
	Set   []placement.Directive `json:"set,omitempty"`
	Drop  []string              `json:"drop,omitempty"`
}

func (r *Replica) serveSetPlacement(w http.ResponseWriter, req *http.Request) {
	var in PlacementChange
	if !body(w, req, &in) {
		return
	}
	op := &placement.Op{LeaderTimeMS: time.Now().UnixMilli(), WriterTimeMS: in.AtMS, Set: in.Set, Delete: in.Drop}
	err := writeID(in.ID)
	if err == nil && in.Guard == nil {
		err = bad("guard", "a placement is written under its owner's duty")
	}
	if err == nil {
		err = op.Validate()
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	r.done(w, &Record{Op: OpPlacement, ID: in.ID, Guard: in.Guard, Placement: op}, nil)
}

// endPlacement drops entries that ended a while ago. Only the leader's loop calls it.
func (r *Replica) endPlacement() {
	now := time.Now()
	if now.Sub(r.swept) < sweepPlacement {
		return
	}
	r.swept = now
	var over []placement.DirectiveRef
	r.hub.Read(func(s *State) { over = s.places.Expired(now.Add(-sweptAfter).UnixMilli(), mostSwept) })
	if len(over) == 0 {
		return
	}
	op := &placement.Op{LeaderTimeMS: now.UnixMilli(), Expired: over}
	if _, err := r.write(&Record{Op: OpPlacement, Placement: op}); err != nil {
		return // found again, by this leader or the next
	}
	slog.Info("ended entries of the placement dropped", "entries", len(over), "first", over[0].ID)
}

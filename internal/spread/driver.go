package spread

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"milldeck/internal/collect"
	"milldeck/internal/duty"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// Duty is the duty under whose token spread keys are placed.
const Duty = "spread"

const (
	decideEvery = 150 * time.Millisecond // a copy carries 0.2 s sooner than with 250 ms, at 3% of a core
	viewEvery   = time.Second            // between two looks at the list and the placement
	writeWait   = 2 * time.Second        // for one write: an election takes about as long
	firstPause  = 250 * time.Millisecond
	mostPause   = 4 * time.Second  // between writes that fail; entries hold for Config.Until
	askedFor    = 30 * time.Second // for which a server is emptied without being asked for again
	mostLeaving = 4096             // servers emptied at a time
)

// Store is what the Driver needs of the list service; registry.Client is one.
type Store interface {
	List(ctx context.Context, fresh bool) (registry.List, error)
	PlacementView(ctx context.Context, fresh bool) (placement.Update, error)
	SetPlacement(ctx context.Context, w registry.Write, atMS int64, set []placement.Directive, drop ...string) (registry.Result, error)
}

// Reports is where sidecars' reports come from; collect.Collector is one.
type Reports interface {
	SetAccepting(open bool)
	Snapshot() ([]collect.ReceivedReport, time.Duration)
}

// Driver runs a Decider while the duty is held. Its Work is what duty.Run calls.
type Driver struct {
	Store   Store
	Reports Reports
	Config  Config
	ColdFor time.Duration // after its start a server counts as cold, and gets no copy

	mu      sync.Mutex // holds for decider and leaving: others ask beside Work
	decider *Decider   // nil while the duty is another's
	leaving map[string]time.Time
}

// view is what the list service told last.
type view struct {
	servers []Server
	places  placement.Update
}

// Work decides until ctx ends or the placement cannot be taken over. The table goes on from the placement and stays in
// it: the next holder, or none, finds the entries until they end.
func (dr *Driver) Work(ctx context.Context, l *duty.Lease) error {
	dr.Reports.SetAccepting(true)
	defer dr.Reports.SetAccepting(false)
	v, err := dr.look(ctx, true)
	if err != nil {
		return err
	}
	// By the wall clock as it is now and the monotonic one since: a clock that is put does not move entries' ends.
	began := time.Now()
	clock := func() float64 { return float64(began.UnixMicro())/1e6 + time.Since(began).Seconds() }
	epoch := v.places.Epoch
	if err := dr.takeOver(clock(), v); err != nil {
		return err
	}
	defer dr.giveUp()
	views := make(chan *view, 1)
	var around sync.WaitGroup
	defer around.Wait()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	around.Go(func() { dr.watch(ctx, views) })

	seen := map[string]time.Duration{}
	pause, notBefore := time.Duration(0), time.Time{}
	for tick := time.NewTicker(decideEvery); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return context.Cause(ctx)
		case v := <-views:
			if v.places.Epoch != epoch { // another history, in which revisions mean something else
				epoch = v.places.Epoch
				if err := dr.takeOver(clock(), v); err != nil {
					return err
				}
			}
			dr.mu.Lock()
			dr.decider.Servers(v.servers)
			dr.mu.Unlock()
			continue
		case <-tick.C:
		}
		effects := dr.decide(clock, seen)
		if len(effects) == 0 || time.Now().Before(notBefore) {
			continue
		}
		if err := dr.write(ctx, l, int64(clock()*1000), effects); err != nil {
			pause = min(max(2*pause, firstPause), mostPause)
			notBefore = time.Now().Add(pause/2 + rand.N(pause/2))
			slog.Warn("spread keys not placed", "changes", len(effects), "again_in", pause, "error", err)
			continue
		}
		pause = 0
	}
}

func (dr *Driver) takeOver(now float64, v *view) error {
	d, err := New(dr.Config)
	if err != nil {
		return err
	}
	d.Servers(v.servers)
	d.Resume(now, v.places.Directives)
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.decider, dr.leaving = d, map[string]time.Time{}
	return nil
}

func (dr *Driver) giveUp() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.decider, dr.leaving = nil, nil
}

// decide hands new reports on and decides. What seen holds is the time of each sidecar's last report.
func (dr *Driver) decide(clock func() float64, seen map[string]time.Duration) []Effect {
	reports, at := dr.Reports.Snapshot()
	now := clock()
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for uid, asked := range dr.leaving {
		if time.Since(asked) > askedFor {
			delete(dr.leaving, uid)
			dr.decider.Stay(uid)
		}
	}
	there := make(map[string]bool, len(reports))
	for i := range reports {
		r := &reports[i]
		there[r.Sidecar] = true
		if last, ok := seen[r.Sidecar]; ok && last == r.ReceivedAt {
			continue
		}
		seen[r.Sidecar] = r.ReceivedAt
		dr.decider.Report(now-math.Max((at-r.ReceivedAt).Seconds(), 0), &r.LoadReport)
	}
	for name := range seen {
		if !there[name] {
			delete(seen, name)
		}
	}
	return dr.decider.Decide(now)
}

// write places effects under the lease's token, all or none.
func (dr *Driver) write(ctx context.Context, l *duty.Lease, atMS int64, effects []Effect) error {
	var set []placement.Directive
	var drop, ids []string
	for _, f := range effects {
		if f.Put != nil {
			set = append(set, *f.Put)
			ids = append(ids, f.Put.ID)
		} else {
			drop = append(drop, f.Drop)
			ids = append(ids, f.Drop)
		}
	}
	ctx, stop := context.WithTimeout(ctx, writeWait)
	defer stop()
	res, err := dr.Store.SetPlacement(ctx, registry.Write{Guard: l.Guard()}, atMS, set, drop...)
	if err != nil {
		return err
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, id := range ids {
		dr.decider.Wrote(id, res.Rev)
	}
	return nil
}

// watch looks at list and placement until ctx ends. A look that fails leaves what was known: absence of news is none.
func (dr *Driver) watch(ctx context.Context, to chan<- *view) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(viewEvery/2 + rand.N(viewEvery)):
		}
		v, err := dr.look(ctx, false)
		if err != nil {
			slog.Debug("list or placement not read", "error", err)
			continue
		}
		select {
		case to <- v:
		case <-ctx.Done():
			return
		}
	}
}

func (dr *Driver) look(ctx context.Context, fresh bool) (*view, error) {
	ctx, stop := context.WithTimeout(ctx, 2*writeWait)
	defer stop()
	list, err := dr.Store.List(ctx, fresh)
	if err != nil {
		return nil, fmt.Errorf("spread: the list: %w", err)
	}
	if len(list.Targets) == 0 {
		return nil, errors.New("spread: the list is empty, which tells nothing")
	}
	places, err := dr.Store.PlacementView(ctx, fresh)
	if err != nil {
		return nil, fmt.Errorf("spread: the placement: %w", err)
	}
	return &view{servers: dr.serversOf(&list, &places), places: places}, nil
}

// serversOf makes servers of the list and of what the placement keeps off.
func (dr *Driver) serversOf(list *registry.List, places *placement.Update) []Server {
	off := map[string]bool{}
	for i := range places.Directives {
		if e := &places.Directives[i]; e.Kind == placement.KindExclude {
			for _, uid := range e.Servers {
				off[uid] = true
			}
		}
	}
	coldAfter := float64(time.Now().Add(-dr.ColdFor).UnixMilli())
	out := make([]Server, 0, len(list.Targets))
	for i := range list.Targets {
		t := &list.Targets[i]
		out = append(out, Server{UID: t.UID, Zone: t.Zone, Pod: t.Pod, Capacity: t.Capacity, Boot: t.BootMS,
			Ready: t.State == registry.Ready, KeptOff: off[t.UID], Cold: t.BootMS > coldAfter})
	}
	return out
}

// ErrNotHeld tells that the duty is another's, or nobody's, at this moment.
var ErrNotHeld = errors.New("the duty " + Duty + " is not held here")

// MakeBeforeBreak has a server emptied of what it carries of spread keys, and tells whether that is done: what was there
// is warm elsewhere. Who drains it asks again, at least every 10 s, until it may be sent away and until it is gone; asked
// for no more, it counts as one that stays.
func (dr *Driver) MakeBeforeBreak(uid string) (ready bool, err error) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.decider == nil {
		return false, ErrNotHeld
	}
	if _, ok := dr.leaving[uid]; !ok && len(dr.leaving) >= mostLeaving {
		return false, fmt.Errorf("spread: over %d servers leave already", mostLeaving)
	}
	if strings.TrimSpace(uid) == "" {
		return false, errors.New("spread: which server is to leave?")
	}
	dr.leaving[uid] = time.Now()
	dr.decider.Leave(uid)
	return dr.decider.May(uid), nil
}

// Table returns the table as it is decided now.
func (dr *Driver) Table() ([]Row, error) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.decider == nil {
		return nil, ErrNotHeld
	}
	return dr.decider.Table(), nil
}

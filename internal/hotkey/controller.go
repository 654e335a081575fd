package hotkey

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

	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// LeaseName is the name of the lease under whose fencing token the directives of replicated keys are written.
const LeaseName = "spread"

const (
	planInterval     = 150 * time.Millisecond // replicas are active 0.2 s sooner than with 250 ms, at 3% of a core
	writeTimeout     = 2 * time.Second        // of one write: about as long as an election takes
	initialBackoff   = 250 * time.Millisecond
	maxBackoff       = 4 * time.Second  // between writes that fail; directives are valid for Config.DirectiveTTL
	drainRequestTTL  = 30 * time.Second // for which a server drains without another request
	maxDrainRequests = 4096             // servers that drain at a time
)

// ErrNotLeader says that this controller doesn't hold the lease at the moment. The text is part of the HTTP interface.
var ErrNotLeader = errors.New("the duty " + LeaseName + " is not held here")

// Store is what a Controller needs of the registry; registry.Client implements it.
type Store interface {
	List(ctx context.Context, fresh bool) (registry.EndpointList, error)
	PlacementView(ctx context.Context, fresh bool) (placement.Update, error)
	SetPlacement(ctx context.Context, options registry.WriteOptions, atMS int64, directives []placement.Directive,
		removedIDs ...string) (registry.Result, error)
}

// ReportSource provides the sidecars' load reports; loadreport.Collector implements it.
type ReportSource interface {
	SetAccepting(open bool)
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller runs a Planner while it holds the lease. Its exported fields are set before Run; its methods are safe for
// concurrent use.
type Controller struct {
	Store   Store
	Reports ReportSource
	Config  Config
	// ServerWarmup is how long after its start a server counts as warming up, and gets no replica.
	ServerWarmup time.Duration

	mu            sync.Mutex           // guards what follows: other methods are called beside Run
	planner       *Planner             // nil while the lease isn't held
	drainRequests map[string]time.Time // by server uid, when its drain was requested last
}

// tenure is one span in which a Controller holds the lease.
type tenure struct {
	*Controller
	lease   *leaderelection.Lease
	logger  *slog.Logger
	started time.Time
	epoch   uint64 // of the placement

	reportTimes map[string]time.Duration // by sidecar, when its last report was received

	backoff time.Duration // after the last write; 0: it succeeded
	retryAt time.Time     // no write is attempted before
}

// Run plans and writes directives until ctx ends, and returns why it did; any other error says that the placement
// couldn't be restored. It goes on from the directives in force and leaves them there: the next leader, or no one, finds
// them until they expire. leaderelection.Run calls it while the lease is held.
func (c *Controller) Run(ctx context.Context, lease *leaderelection.Lease) error {
	c.Reports.SetAccepting(true)
	defer c.Reports.SetAccepting(false)
	t := &tenure{
		Controller:  c,
		lease:       lease,
		logger:      slog.With("component", "hotkey"),
		reportTimes: map[string]time.Duration{},
	}
	initial, err := c.fetchSnapshot(ctx, true)
	if err != nil {
		return err
	}
	t.started, t.epoch = time.Now(), initial.placement.Epoch
	if err := c.restorePlanner(t.now(), initial); err != nil {
		return err
	}
	defer c.clearPlanner()
	ctx, cancel := context.WithCancelCause(ctx)
	snapshots := make(chan *snapshot, 1)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel(nil)
	background.Go(func() { c.pollSnapshots(ctx, t.logger, snapshots) })
	return t.loop(ctx, snapshots)
}

// now is the Unix time in s: the wall clock's at the start of the tenure and the monotonic clock's since, so that a wall
// clock that is set doesn't move the ends of directives.
func (t *tenure) now() float64 {
	return float64(t.started.UnixMicro())/1e6 + time.Since(t.started).Seconds()
}

// loop handles snapshots and plans until ctx ends.
func (t *tenure) loop(ctx context.Context, snapshots <-chan *snapshot) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case current := <-snapshots:
			if err := t.handleSnapshot(current); err != nil {
				return err
			}
		case <-ticker.C:
			t.planAndWrite(ctx)
		}
	}
}

// handleSnapshot gives the planner the servers. Where the placement has another epoch, its revisions mean something else,
// and the planner is restored from it.
func (t *tenure) handleSnapshot(current *snapshot) error {
	if current.placement.Epoch != t.epoch {
		t.epoch = current.placement.Epoch
		if err := t.restorePlanner(t.now(), current); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planner.SetServers(current.servers)
	return nil
}

// planAndWrite plans, and writes what has changed unless the last write failed a moment ago.
func (t *tenure) planAndWrite(ctx context.Context) {
	changes := t.plan()
	if len(changes) == 0 || time.Now().Before(t.retryAt) {
		return
	}
	err := t.write(ctx, changes)
	if err == nil {
		t.backoff = 0
		return
	}
	t.backoff = min(max(2*t.backoff, initialBackoff), maxBackoff)
	t.retryAt = time.Now().Add(t.backoff/2 + rand.N(t.backoff/2))
	t.logger.Warn("placement write failed", "changes", len(changes), "backoff", t.backoff, "error", err)
}

// plan gives the planner the new reports and returns what it plans.
func (t *tenure) plan() []Change {
	reports, collectedAt := t.Reports.Snapshot()
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireDrainRequests()
	present := make(map[string]bool, len(reports))
	for i := range reports {
		r := &reports[i]
		present[r.Sidecar] = true
		if last, ok := t.reportTimes[r.Sidecar]; ok && last == r.ReceivedAt {
			continue
		}
		t.reportTimes[r.Sidecar] = r.ReceivedAt
		age := math.Max((collectedAt - r.ReceivedAt).Seconds(), 0)
		t.planner.AddReport(now-age, &r.LoadReport) // an invalid one counts as lost
	}
	for sidecar := range t.reportTimes {
		if !present[sidecar] {
			delete(t.reportTimes, sidecar)
		}
	}
	return t.planner.Plan(now)
}

// write writes changes under the lease's token, all or none, and confirms them.
func (t *tenure) write(ctx context.Context, changes []Change) error {
	var directives []placement.Directive
	var removals []string
	for _, change := range changes {
		if change.Set != nil {
			directives = append(directives, *change.Set)
		} else {
			removals = append(removals, change.RemoveID)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	options := registry.WriteOptions{Guard: t.lease.Guard()}
	result, err := t.Store.SetPlacement(ctx, options, int64(t.now()*1000), directives, removals...)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, change := range changes {
		t.planner.Confirm(change.DirectiveID(), result.Revision)
	}
	return nil
}

// restorePlanner replaces the planner by one that goes on from a snapshot.
func (c *Controller) restorePlanner(now float64, current *snapshot) error {
	planner, err := NewPlanner(c.Config)
	if err != nil {
		return err
	}
	planner.SetServers(current.servers)
	planner.Restore(now, current.placement.Directives)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner, c.drainRequests = planner, map[string]time.Time{}
	return nil
}

func (c *Controller) clearPlanner() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner, c.drainRequests = nil, nil
}

// expireDrainRequests ends drains that weren't requested again. The caller holds mu.
func (c *Controller) expireDrainRequests() {
	for uid, requestedAt := range c.drainRequests {
		if time.Since(requestedAt) > drainRequestTTL {
			delete(c.drainRequests, uid)
			c.planner.CancelDrain(uid)
		}
	}
}

// Drain requests the drain of a server, and reports whether what it served of replicated keys is warm on other servers.
// The caller repeats the request, at least every 10 s, until the server is stopped; without that the drain ends and the
// server counts as one that stays. The error is ErrNotLeader where the lease isn't held.
func (c *Controller) Drain(uid string) (drained bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return false, ErrNotLeader
	}
	if _, ok := c.drainRequests[uid]; !ok && len(c.drainRequests) >= maxDrainRequests {
		return false, fmt.Errorf("spread: more than %d servers drain already", maxDrainRequests)
	}
	if strings.TrimSpace(uid) == "" {
		return false, errors.New("spread: which server is to leave?")
	}
	c.drainRequests[uid] = time.Now()
	c.planner.StartDrain(uid)
	return c.planner.Drained(uid), nil
}

// Status returns the replicated keys, ordered by key, or ErrNotLeader.
func (c *Controller) Status() ([]KeyStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return nil, ErrNotLeader
	}
	return c.planner.Status(), nil
}

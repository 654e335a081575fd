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
	planInterval     = 150 * time.Millisecond // replicas become active 0.2 s sooner than with 250 ms; uses 3% of a core
	writeTimeout     = 2 * time.Second        // of one write; about the duration of an election
	initialBackoff   = 250 * time.Millisecond
	maxBackoff       = 4 * time.Second  // between failed writes; directives are valid for Config.DirectiveTTL
	drainRequestTTL  = 30 * time.Second // a drain ends if it is not requested again within this time
	maxDrainRequests = 4096             // limit of servers that drain at a time
)

// ErrNotLeader reports that this controller does not hold the lease. The text is part of the HTTP interface.
var ErrNotLeader = errors.New("the duty " + LeaseName + " is not held here")

// Store contains the registry operations that a Controller uses; registry.Client implements it.
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

// Controller runs a Planner while it holds the lease. The exported fields are set before Run; the methods are safe for
// concurrent use.
type Controller struct {
	Store   Store
	Reports ReportSource
	Config  Config
	// ServerWarmup is the time after a server's start in which it counts as warming up and gets no new replica.
	ServerWarmup time.Duration

	mu            sync.Mutex           // guards the fields below: other methods run concurrently with Run
	planner       *Planner             // nil while the lease is not held
	drainRequests map[string]time.Time // time of the last drain request, by server UID
}

// tenure is a period in which a Controller holds the lease.
type tenure struct {
	*Controller
	lease   *leaderelection.Lease
	logger  *slog.Logger
	started time.Time
	epoch   uint64 // of the placement

	reportTimes map[string]time.Duration // time at which the last report was received, by sidecar

	backoff time.Duration // after the last write; 0 if it succeeded
	retryAt time.Time     // time before which no write is attempted
}

// Run plans and writes directives until ctx ends, and returns the cause of ctx's end. Any other error reports that the planner
// could not be restored. Run starts from the directives in force and does not remove directives when it ends: they stay
// in force until another leader takes them over or they expire. leaderelection.Run calls it while the lease is held.
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

// now returns the Unix time in s: the wall clock at the start of the tenure plus the monotonic time since. A change of the
// wall clock thus does not move the expiry of directives.
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

// handleSnapshot passes the servers to the planner. When the epoch of the placement has changed, its revisions cannot be
// compared with earlier ones, and the planner is restored from the snapshot first.
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

// planAndWrite plans and writes the changes. After a failed write, it writes nothing until the backoff has passed.
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

// plan passes the new reports to the planner and returns the changes that it plans.
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
		t.planner.AddReport(now-age, &r.LoadReport) // an invalid report counts as lost
	}
	for sidecar := range t.reportTimes {
		if !present[sidecar] {
			delete(t.reportTimes, sidecar)
		}
	}
	return t.planner.Plan(now)
}

// write writes all changes or none under the lease's fencing token, and confirms them to the planner.
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

// restorePlanner replaces the planner by a new one whose state is restored from a snapshot.
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

// expireDrainRequests cancels drains that were not requested again within drainRequestTTL. The caller holds mu.
func (c *Controller) expireDrainRequests() {
	for uid, requestedAt := range c.drainRequests {
		if time.Since(requestedAt) > drainRequestTTL {
			delete(c.drainRequests, uid)
			c.planner.CancelDrain(uid)
		}
	}
}

// Drain requests the drain of a server, and reports whether the replicated keys that the server served are warm on other
// servers. The caller repeats the request at least every 10 s until the server is stopped; otherwise the drain is
// cancelled and the server may get replicas again. The error is ErrNotLeader if the lease is not held.
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

// Status returns the replicated keys, ordered by key. The error is ErrNotLeader if the lease is not held.
func (c *Controller) Status() ([]KeyStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return nil, ErrNotLeader
	}
	return c.planner.Status(), nil
}

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

// LeaseName is the duty under whose token spread keys are placed.
const LeaseName = "spread"

const (
	planInterval     = 150 * time.Millisecond // a copy carries 0.2 s sooner than with 250 ms, at 3% of a core
	refreshInterval  = time.Second            // between two looks at the list and the placement
	writeTimeout     = 2 * time.Second        // for one write: an election takes about as long
	initialBackoff   = 250 * time.Millisecond
	maxBackoff       = 4 * time.Second  // between writes that fail; entries hold for Config.Until
	drainRequestTTL  = 30 * time.Second // for which a server is emptied without being asked for again
	maxDrainRequests = 4096             // servers emptied at a time
)

// Store is what the Driver needs of the list service; registry.Client is one.
type Store interface {
	List(ctx context.Context, fresh bool) (registry.EndpointList, error)
	PlacementView(ctx context.Context, fresh bool) (placement.Update, error)
	SetPlacement(ctx context.Context, w registry.WriteOptions, atMS int64, set []placement.Directive, drop ...string) (registry.Result, error)
}

// ReportSource is where sidecars' reports come from; collect.Collector is one.
type ReportSource interface {
	SetAccepting(open bool)
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller runs a Decider while the duty is held. Its Work is what duty.Run calls.
type Controller struct {
	Store        Store
	Reports      ReportSource
	Config       Config
	ServerWarmup time.Duration // after its start a server counts as cold, and gets no copy

	mu            sync.Mutex // holds for decider and leaving: others ask beside Work
	planner       *Planner   // nil while the duty is another's
	drainRequests map[string]time.Time
}

// snapshot is what the list service told last.
type snapshot struct {
	servers   []Server
	placement placement.Update
}

// Run decides until ctx ends or the placement cannot be taken over. The table goes on from the placement and stays in
// it: the next holder, or none, finds the entries until they end.
func (c *Controller) Run(ctx context.Context, lease *leaderelection.Lease) error {
	c.Reports.SetAccepting(true)
	defer c.Reports.SetAccepting(false)
	current, err := c.fetchSnapshot(ctx, true)
	if err != nil {
		return err
	}
	// By the wall clock as it is now and the monotonic one since: a clock that is put does not move entries' ends.
	started := time.Now()
	clock := func() float64 { return float64(started.UnixMicro())/1e6 + time.Since(started).Seconds() }
	epoch := current.placement.Epoch
	if err := c.restorePlanner(clock(), current); err != nil {
		return err
	}
	defer c.clearPlanner()
	snapshots := make(chan *snapshot, 1)
	var background sync.WaitGroup
	defer background.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	background.Go(func() { c.pollSnapshots(ctx, snapshots) })

	reportTimes := map[string]time.Duration{}
	backoff, retryAt := time.Duration(0), time.Time{}
	for ticker := time.NewTicker(planInterval); ; {
		select {
		case <-ctx.Done():
			ticker.Stop()
			return context.Cause(ctx)
		case current := <-snapshots:
			if current.placement.Epoch != epoch { // another history, in which revisions mean something else
				epoch = current.placement.Epoch
				if err := c.restorePlanner(clock(), current); err != nil {
					return err
				}
			}
			c.mu.Lock()
			c.planner.SetServers(current.servers)
			c.mu.Unlock()
			continue
		case <-ticker.C:
		}
		changes := c.plan(clock, reportTimes)
		if len(changes) == 0 || time.Now().Before(retryAt) {
			continue
		}
		if err := c.apply(ctx, lease, int64(clock()*1000), changes); err != nil {
			backoff = min(max(2*backoff, initialBackoff), maxBackoff)
			retryAt = time.Now().Add(backoff/2 + rand.N(backoff/2))
			slog.Warn("spread keys not placed", "changes", len(changes), "again_in", backoff, "error", err)
			continue
		}
		backoff = 0
	}
}

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

// plan hands new reports on and decides. What seen holds is the time of each sidecar's last report.
func (c *Controller) plan(clock func() float64, reportTimes map[string]time.Duration) []Change {
	reports, collectedAt := c.Reports.Snapshot()
	now := clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for uid, requestedAt := range c.drainRequests {
		if time.Since(requestedAt) > drainRequestTTL {
			delete(c.drainRequests, uid)
			c.planner.CancelDrain(uid)
		}
	}
	present := make(map[string]bool, len(reports))
	for i := range reports {
		r := &reports[i]
		present[r.Sidecar] = true
		if last, ok := reportTimes[r.Sidecar]; ok && last == r.ReceivedAt {
			continue
		}
		reportTimes[r.Sidecar] = r.ReceivedAt
		c.planner.AddReport(now-math.Max((collectedAt-r.ReceivedAt).Seconds(), 0), &r.LoadReport)
	}
	for name := range reportTimes {
		if !present[name] {
			delete(reportTimes, name)
		}
	}
	return c.planner.Plan(now)
}

// apply places effects under the lease's token, all or none.
func (c *Controller) apply(ctx context.Context, lease *leaderelection.Lease, atMS int64, changes []Change) error {
	var directives []placement.Directive
	var removals, ids []string
	for _, change := range changes {
		if change.Set != nil {
			directives = append(directives, *change.Set)
			ids = append(ids, change.Set.ID)
		} else {
			removals = append(removals, change.RemoveID)
			ids = append(ids, change.RemoveID)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result, err := c.Store.SetPlacement(ctx, registry.WriteOptions{Guard: lease.Guard()}, atMS, directives, removals...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.planner.Confirm(id, result.Revision)
	}
	return nil
}

// pollSnapshots looks at list and placement until ctx ends. A look that fails leaves what was known: absence of news is none.
func (c *Controller) pollSnapshots(ctx context.Context, snapshots chan<- *snapshot) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(refreshInterval/2 + rand.N(refreshInterval)):
		}
		current, err := c.fetchSnapshot(ctx, false)
		if err != nil {
			slog.Debug("list or placement not read", "error", err)
			continue
		}
		select {
		case snapshots <- current:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) fetchSnapshot(ctx context.Context, fresh bool) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*writeTimeout)
	defer cancel()
	list, err := c.Store.List(ctx, fresh)
	if err != nil {
		return nil, fmt.Errorf("spread: the list: %w", err)
	}
	if len(list.Targets) == 0 {
		return nil, errors.New("spread: the list is empty, which tells nothing")
	}
	directives, err := c.Store.PlacementView(ctx, fresh)
	if err != nil {
		return nil, fmt.Errorf("spread: the placement: %w", err)
	}
	return &snapshot{servers: c.serversFrom(&list, &directives), placement: directives}, nil
}

// serversFrom makes servers of the list and of what the placement keeps off.
func (c *Controller) serversFrom(list *registry.EndpointList, directives *placement.Update) []Server {
	excluded := map[string]bool{}
	for i := range directives.Directives {
		if directive := &directives.Directives[i]; directive.Kind == placement.KindExclude {
			for _, uid := range directive.Servers {
				excluded[uid] = true
			}
		}
	}
	warmBeforeMS := float64(time.Now().Add(-c.ServerWarmup).UnixMilli())
	servers := make([]Server, 0, len(list.Targets))
	for i := range list.Targets {
		target := &list.Targets[i]
		servers = append(servers, Server{UID: target.UID, Zone: target.Zone, Pod: target.PodGroup, Capacity: target.Capacity, BootMS: target.BootMS,
			Ready: target.State == registry.InstanceReady, Excluded: excluded[target.UID], WarmingUp: target.BootMS > warmBeforeMS})
	}
	return servers
}

// ErrNotLeader tells that the duty is another's, or nobody's, at this moment.
var ErrNotLeader = errors.New("the duty " + LeaseName + " is not held here")

// Drain has a server emptied of what it carries of spread keys, and tells whether that is done: what was there
// is warm elsewhere. Who drains it asks again, at least every 10 s, until it may be sent away and until it is gone; asked
// for no more, it counts as one that stays.
func (c *Controller) Drain(uid string) (drained bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return false, ErrNotLeader
	}
	if _, ok := c.drainRequests[uid]; !ok && len(c.drainRequests) >= maxDrainRequests {
		return false, fmt.Errorf("spread: over %d servers leave already", maxDrainRequests)
	}
	if strings.TrimSpace(uid) == "" {
		return false, errors.New("spread: which server is to leave?")
	}
	c.drainRequests[uid] = time.Now()
	c.planner.StartDrain(uid)
	return c.planner.Drained(uid), nil
}

// Status returns the table as it is decided now.
func (c *Controller) Status() ([]KeyStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return nil, ErrNotLeader
	}
	return c.planner.Status(), nil
}

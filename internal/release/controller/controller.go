// Package controller carries a release out while it holds the release's lease. It observes the registry, the platform and
// the sidecars' load reports, has package release decide, executes the effects, and writes the next state to the log.
//
// It owns no state that lasts: what a lease holder keeps between two steps is observations and evidence, which its
// successor collects anew. It decides nothing; all decisions are those of release.State.Reconcile.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

const (
	reconcileInterval = 500 * time.Millisecond // between two steps while nothing is written
	writtenStepDelay  = 50 * time.Millisecond  // after a step that was written: updating a unit takes some ten of them
	callTimeout       = 3 * time.Second        // of one observation or write; a registry election takes about two
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 5 * time.Second
	judgeInterval     = time.Second // of the judge's observations

	// cohortTTL is how long a cohort's directive lasts after it was written, and cohortRefreshInterval how long until it is
	// written again: two writes in a row may fail.
	cohortTTL             = 60 * time.Second
	cohortRefreshInterval = 20 * time.Second
)

// Store is the registry as the controller uses it; registry.Client is one.
type Store interface {
	Release(ctx context.Context, name string, brief, fresh bool) (registry.ReleaseView, error)
	WriteRelease(
		ctx context.Context, options registry.WriteOptions, name string, op release.Operation,
	) (registry.Result, error)
	List(ctx context.Context, fresh bool) (registry.EndpointList, error)
	SetState(ctx context.Context, options registry.WriteOptions, uid, state string) (registry.Result, error)
	SetPlacement(
		ctx context.Context, options registry.WriteOptions, atMS int64, set []placement.Directive, drop ...string,
	) (registry.Result, error)
	LedgerView(ctx context.Context, fresh, units bool) (disruption.View, error)
	Sidecars(ctx context.Context) ([]registry.Sidecar, error)
	ApplyLedgerOp(ctx context.Context, options registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error)
}

// ReportSource is where the sidecars' load reports arrive; loadreport.Collector is one.
type ReportSource interface {
	// SetAccepting says whether reports are accepted. Only the lease holder accepts them.
	SetAccepting(accepting bool)
	// Snapshot returns the latest report of each sidecar, and for how long reports have been accepted.
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller carries out one release. Its Run is for leaderelection.Run, on the lease release.Owner(Name).
type Controller struct {
	Name     string
	Store    Store
	Platform supervisor.Supervisor
	Reports  ReportSource
	// MaxRequestDuration is the longest that a request may take at the servers: the largest hard limit of the settings.
	MaxRequestDuration time.Duration
	// WarmUpTime is how long after it is ready a restarted server counts as warm; 0: another process reports that.
	WarmUpTime time.Duration
	// Strata is how many classes × zones are expected, which share the judge's false-alarm rate.
	Strata int
	// ConfigText returns the text of a unit's configuration, the same at each call. Nil: the platform has it.
	ConfigText func(unit, config string) (string, error)
	// PrepareUnit makes what only this server serves available elsewhere, and reports whether it is. Nil: nothing is
	// served by one server only.
	PrepareUnit func(ctx context.Context, unit string) (bool, error)
}

// Run carries the release out until it is finished and every command to it is handled, or until ctx ends, whose cause it
// returns then.
func (c *Controller) Run(ctx context.Context, lease *leaderelection.Lease) error {
	c.Reports.SetAccepting(true)
	defer c.Reports.SetAccepting(false)
	term := c.newTerm(lease)
	backoff := time.Duration(0)
	for {
		wrote, err := term.reconcile(ctx)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case err != nil:
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			term.logger.Warn("reconciliation failed", "backoff", backoff, "error", err)
		default:
			backoff = 0
		}
		if term.finished() {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(nextDelay(backoff, wrote)):
		}
	}
}

// nextDelay is the time until the next step: a jittered backoff after an error, and little after a step that was written.
func nextDelay(backoff time.Duration, wrote bool) time.Duration {
	switch {
	case backoff > 0:
		return backoff/2 + rand.N(backoff/2)
	case wrote:
		return writtenStepDelay
	}
	return reconcileInterval
}

func (c *Controller) newTerm(lease *leaderelection.Lease) *leaseTerm {
	return &leaseTerm{
		Controller:    c,
		logger:        slog.With("component", "release", "release", c.Name),
		guard:         lease.Guard(),
		outcomes:      map[string]supervisor.Outcome{},
		deniedPermits: map[string]string{},
		prepared:      map[string]bool{},
		analysis:      release.NewWaveAnalysis(c.Strata),
		drains:        release.NewDrainTracker(c.MaxRequestDuration.Milliseconds()),
		startedAt:     time.Now(),
		reportTimes:   map[string]time.Duration{},
	}
}

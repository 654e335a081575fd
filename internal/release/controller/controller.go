// Package controller executes a release while it holds the release's lease. In each step it observes the registry, the
// platform and the sidecars' load reports, has package release decide, executes the resulting effects, and writes the next
// state to the registry's log.
//
// It owns no lasting state: between two steps a lease holder keeps only observations and evidence, which its successor
// collects anew. It makes no decisions; release.State.Reconcile makes all of them.
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
	reconcileInterval = 500 * time.Millisecond // between two steps if the first wrote no state
	delayAfterWrite   = 50 * time.Millisecond  // after a step that wrote a state; the update of a unit takes about ten such steps
	callTimeout       = 3 * time.Second        // of one observation or write; a registry election takes about two seconds
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 5 * time.Second
	judgeInterval     = time.Second // minimum length of an interval of the judge

	// cohortTTL is how long a cohort's directive is valid after it was written, and cohortRefreshInterval the time until it is
	// written again, so that two consecutive writes may fail.
	cohortTTL             = 60 * time.Second
	cohortRefreshInterval = 20 * time.Second
)

// Store is the part of the registry that the controller uses; registry.Client implements it.
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

// ReportSource receives the sidecars' load reports; loadreport.Collector implements it.
type ReportSource interface {
	// SetAccepting sets whether reports are accepted. Only the lease holder accepts them.
	SetAccepting(accepting bool)
	// Snapshot returns the latest report of each sidecar, and how long reports have been accepted.
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller executes one release. Pass its Run to leaderelection.Run, with the lease release.Owner(Name).
type Controller struct {
	Name     string
	Store    Store
	Platform supervisor.Supervisor
	Reports  ReportSource
	// MaxRequestDuration is the longest time that a request may take at a server: the largest hard limit in the settings.
	MaxRequestDuration time.Duration
	// WarmUpTime is how long a restarted server has to be ready to count as warm. 0: another process reports warm servers.
	WarmUpTime time.Duration
	// Strata is the expected number of classes × zones, which share the judge's false-alarm rate.
	Strata int
	// ConfigText returns the text of a unit's configuration, the same text at each call. Nil: the platform has the text.
	ConfigText func(unit, config string) (string, error)
	// PrepareUnit makes everything that only this server serves available on other servers, and reports whether all of it is
	// available there. Nil: nothing is served by only one server.
	PrepareUnit func(ctx context.Context, unit string) (bool, error)
}

// Run executes the release until it is finished and every command to it is handled. If ctx ends first, Run returns the cause
// of ctx.
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

// nextDelay returns the time until the next step: a jittered backoff after an error, and a short delay after a written state.
func nextDelay(backoff time.Duration, wrote bool) time.Duration {
	switch {
	case backoff > 0:
		return backoff/2 + rand.N(backoff/2)
	case wrote:
		return delayAfterWrite
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

package controller

import (
	"context"
	"fmt"
	"strings"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// unitName returns the name of a unit in the endpoint list and on the platform, given its ledger ID.
func unitName(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

// observation is what one step has read from the registry and the platform.
type observation struct {
	ledger   disruption.View
	list     registry.EndpointList
	sidecars []registry.Sidecar // only live ones
	platform *supervisor.List   // nil: the platform did not answer
}

// read reads the registry and the platform. An error of the registry ends the step, because no decision is possible without
// the registry. If the platform does not answer, the observation has no platform list.
func (t *leaseTerm) read(ctx context.Context) (*observation, error) {
	ledger, err := t.Store.LedgerView(ctx, true, true)
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	if ledger.Revision < t.ledgerRevision {
		return nil, fmt.Errorf("%w: revision %d, after %d", errLedgerBehind, ledger.Revision, t.ledgerRevision)
	}
	t.ledgerRevision = ledger.Revision
	list, err := t.Store.List(ctx, true)
	if err != nil {
		return nil, fmt.Errorf("read endpoint list: %w", err)
	}
	sidecars, err := t.Store.Sidecars(ctx)
	if err != nil {
		return nil, fmt.Errorf("read sidecars: %w", err)
	}
	platform, err := t.Platform.List(ctx)
	if err != nil {
		t.logger.Debug("platform list not read", "error", err)
		platform = nil
	}
	return &observation{ledger: ledger, list: list, sidecars: sidecars, platform: platform}, nil
}

// observe reads the state of the fleet, records evidence from it, and returns the view from which Reconcile decides.
func (t *leaseTerm) observe(ctx context.Context) (*release.View, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	observed, err := t.read(ctx)
	if err != nil {
		return nil, err
	}
	units := make(map[string]disruption.Unit, len(observed.ledger.Units))
	for _, unit := range observed.ledger.Units {
		units[unit.ID] = unit
	}
	permits := make(map[string]disruption.Permit, len(observed.ledger.Permits))
	for _, permit := range observed.ledger.Permits {
		permits[permit.ID] = permit
	}
	nowMS := t.elapsedMS()
	t.recordReports(observed, nowMS)
	t.reportWarmServers(ctx, units, observed.platform)
	return &release.View{
		NowMS:         time.Now().UnixMilli(),
		Token:         t.guard.Token,
		Commands:      t.commands,
		Verdict:       t.analysis.Verdict(t.state),
		Platform:      observed.platform,
		Outcomes:      t.outcomes,
		DeniedPermits: t.deniedPermits,
		Permit:        lookupIn(permits),
		Unit:          lookupIn(units),
		Prepared:      func(id string) bool { return t.PrepareUnit == nil || t.prepared[id] },
		Drained:       func(id string) bool { return t.drains.Drained(nowMS, id) },
		// No sidecar reports yet which configuration it has read, so a release of a configuration alone halts at its
		// first unit for lack of evidence.
		ReportedImage:   func(string) (release.Image, bool) { return release.Image{}, false },
		ConfigRejection: func(string, string) string { return "" },
	}, nil
}

// lookupIn returns a function that looks up IDs in a map.
func lookupIn[T any](byID map[string]T) func(id string) (T, bool) {
	return func(id string) (T, bool) {
		value, ok := byID[id]
		return value, ok
	}
}

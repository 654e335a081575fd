package drive

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// uid is a unit's name in the list and at the platform.
func uid(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

// look sees the fleet as it is. Without the ledger or the list nothing is decided; the platform may be silent.
func (t *tenure) look(ctx context.Context) (*release.View, error) {
	ctx, stop := limited(ctx)
	defer stop()
	ledger, err := t.Store.LedgerView(ctx, true, true)
	if err != nil {
		return nil, fmt.Errorf("release %s: the ledger: %w", t.Name, err)
	}
	if ledger.Revision < t.ledgerRev { // a replica that has fallen behind: what it lacks is no news
		return nil, fmt.Errorf("release %s: the ledger at revision %d, after %d", t.Name, ledger.Revision, t.ledgerRev)
	}
	t.ledgerRev = ledger.Revision
	list, err := t.Store.List(ctx, true)
	if err != nil {
		return nil, fmt.Errorf("release %s: the list: %w", t.Name, err)
	}
	sidecars, err := t.Store.Sidecars(ctx)
	if err != nil {
		return nil, fmt.Errorf("release %s: the sidecars: %w", t.Name, err)
	}
	platform, err := t.Platform.List(ctx)
	if err != nil {
		platform = nil
	}
	units := make(map[string]disruption.Unit, len(ledger.Units))
	for _, u := range ledger.Units {
		units[u.ID] = u
	}
	has := make(map[string]uint64, len(sidecars)) // the list of each sidecar that lives
	for i := range sidecars {
		has[sidecars[i].Name] = sidecars[i].ListRevision
	}
	permits := make(map[string]disruption.Permit, len(ledger.Permits))
	for _, p := range ledger.Permits {
		permits[p.ID] = p
	}
	var terminating []string
	for _, i := range list.Targets {
		if i.State == registry.InstanceTerminating {
			terminating = append(terminating, disruption.UnitID(disruption.KindServer, i.UID))
		}
	}
	now := t.clock()
	t.report(has, terminating, list.Revision, platform, now)
	t.see(ctx, units, platform)
	return &release.View{
		NowMS: time.Now().UnixMilli(), Token: t.guard.Token, Platform: platform, Answers: t.answers, Denied: t.denied, Commands: t.told,
		Verdict: t.watch.Verdict(t.state),
		Permits: func(id string) (disruption.Permit, bool) { p, is := permits[id]; return p, is },
		Unit:    func(id string) (disruption.Unit, bool) { u, is := units[id]; return u, is },
		Made:    func(id string) bool { return t.Made == nil || t.made[id] },
		Empty:   func(id string) bool { return t.empty.Empty(now, id) },
		// What configuration a sidecar has read is not told by any sidecar yet: a release of a configuration alone halts at
		// its first unit, as there is no evidence.
		Running: func(string) (release.Image, bool) { return release.Image{}, false },
		Refused: func(string, string) string { return "" },
	}, nil
}

// clock is monotonic, in ms, above 0.
func (t *tenure) clock() int64 { return time.Since(t.began).Milliseconds() + 1 }

// report takes sidecars' reports in: what lists they have, and once a second what the judge compares.
func (t *tenure) report(has map[string]uint64, terminating []string, rev uint64, platform *supervisor.List, now int64) {
	seen, _ := t.Reports.Snapshot()
	living := slices.Sorted(maps.Keys(has))
	for i := range seen {
		if r, lives := has[seen[i].Sidecar]; lives {
			has[seen[i].Sidecar] = max(r, seen[i].EndpointRevision)
		}
	}
	t.empty.Look(now, terminating, rev, living, has)
	if time.Since(t.judged) < judgeEvery {
		return
	}
	t.judged = time.Now()
	var news []placement.LoadReport
	for i := range seen {
		if at, known := t.seen[seen[i].Sidecar]; !known || at != seen[i].ReceivedAt {
			news = append(news, seen[i].LoadReport)
		}
	}
	clear(t.seen)
	for i := range seen {
		t.seen[seen[i].Sidecar] = seen[i].ReceivedAt
	}
	t.watch.Add(t.state, t.state.Interval(news, len(living), t.before, platform))
	if platform != nil {
		t.before = platform
	}
}

// see tells the ledger of servers that come back and have been ready for long enough to be warm. A unit that has changed
// since it was looked at is left alone.
func (t *tenure) see(ctx context.Context, units map[string]disruption.Unit, platform *supervisor.List) {
	if t.Warm == 0 || platform == nil {
		return
	}
	var warm []disruption.Unit
	for i := range t.state.Units {
		u := &t.state.Units[i]
		d, at := units[u.ID], platform.Find(u.Name)
		if u.Stage == release.Rise && d.Kind == disruption.KindServer && (d.Condition == disruption.ConditionWarmingUp || d.Condition == disruption.ConditionUnready) &&
			at != nil && at.State == supervisor.Running && platform.AtMS-at.SinceMS >= t.Warm.Milliseconds() {
			warm = append(warm, disruption.Unit{ID: u.ID, Condition: disruption.ConditionUp, TransitionRevision: d.TransitionRevision})
		}
	}
	if len(warm) == 0 {
		return
	}
	op := disruption.Op{Kind: disruption.OpObserve, Owner: release.Owner(t.Name), Observed: warm}
	if _, err := t.Store.ApplyLedgerOp(ctx, registry.WriteOptions{Guard: t.guard}, op); err != nil {
		slog.Debug("not seen as warm", "release", t.Name, "units", len(warm), "error", err)
	}
}

package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"

	"milldeck/balance"
	"milldeck/internal/placement"
)

// clockJumpToleranceMS is by how much an entry has to end earlier than the module was told for it to be told again: the wall clock
// was put forward. Less is the rounding of two clocks.
const clockJumpToleranceMS = 50

// awaitRevision is the placement as the loop has it, whose alone it is. Nil where none is configured.
type activePlacement struct {
	*placementClient
	cancel   context.CancelFunc
	recorder *reportRecorder

	revision, epoch uint64
	directives      []activeDirective
	numberByID      map[string]int // of entries, as the module names them
	lastNumber      int
	cohortByServer  map[balance.ServerID]string
}

type activeDirective struct {
	placement.Directive
	endsAtMS float64 // by the loop's clock
	tenant   int     // of a keep-off
	excluded map[balance.ServerID]bool
}

// followPlacement follows the placement at an address in place of the one before, whose entries stay until the new one has told
// or they end; at none, all end now.
func (l *eventLoop) followPlacement(nowMS float64, address string) {
	previous := l.placement
	if previous != nil && previous.address == address {
		return
	}
	if l.placement = nil; previous != nil {
		previous.cancel()
	}
	if address == "" {
		if previous != nil {
			l.dispatch(nowMS, balance.Placement{})
		}
		return
	}
	next := &activePlacement{recorder: newReportRecorder(l.config, nowMS), numberByID: map[string]int{}}
	generation := 0
	if previous != nil {
		*next, generation = *previous, previous.generation+1
	}
	next.placementClient = newPlacementClient(address, generation, l.post, l.placementTiming)
	ctx, cancel := context.WithCancel(l.ctx)
	next.cancel = cancel
	l.placement = next
	l.workers.Go(func() { next.runWatch(ctx) })
	l.workers.Go(func() { next.placementClient.runReporter(ctx) })
}

// applyPlacementUpdate brings the module up to date with what is in force, and fills a report where one is due.
func (l *eventLoop) applyPlacementUpdate(nowMS float64, update placementUpdate) {
	active := l.placement
	if active == nil || update.generation != active.generation {
		return
	}
	active.revision, active.epoch = update.placement.Revision, update.placement.Epoch
	takenAtMS := l.clock.unixMS(update.takenAt)
	if !active.holds(takenAtMS, update.placement.Directives) {
		l.replaceDirectives(nowMS, takenAtMS, update.placement.Directives)
	}
	if update.reportDue != nil {
		update.reportDue <- l.buildReport(nowMS)
	}
}

// holds tells whether entries are those that the module has been told, with the same ends.
func (f *activePlacement) holds(takenAtMS float64, directives []placement.Directive) bool {
	return slices.EqualFunc(f.directives, directives, func(active activeDirective, directive placement.Directive) bool {
		return active.repeatedBy(&directive) && takenAtMS+float64(directive.RemainingMS) > active.endsAtMS-clockJumpToleranceMS
	})
}

func (e *activeDirective) repeatedBy(directive *placement.Directive) bool {
	return e.ID == directive.ID && e.Revision == directive.Revision && e.ExpiresAtMS == directive.ExpiresAtMS
}

// replaceDirectives takes over entries and tells the module. What was told before keeps its end, if that is earlier.
func (l *eventLoop) replaceDirectives(nowMS, takenAtMS float64, directives []placement.Directive) {
	active := l.placement
	previous, numbers := active.directives, active.numberByID
	active.directives, active.numberByID, active.cohortByServer = nil, map[string]int{}, map[balance.ServerID]string{}
	var update balance.Placement
	for i := range directives {
		directive := activeDirective{Directive: directives[i], endsAtMS: takenAtMS + float64(directives[i].RemainingMS)}
		position, found := slices.BinarySearchFunc(previous, directive.ID, func(candidate activeDirective, id string) int { return cmp.Compare(candidate.ID, id) })
		if found && previous[position].repeatedBy(&directive.Directive) {
			directive.endsAtMS = math.Min(directive.endsAtMS, previous[position].endsAtMS)
		}
		switch directive.Kind {
		case placement.KindExclude:
			if l.resolveExclusion(&directive) {
				number, known := numbers[directive.ID]
				if !known {
					active.lastNumber++
					number = active.lastNumber
				}
				active.numberByID[directive.ID] = number
				position := balance.Exclusion{ID: number, Tenant: directive.tenant, MinAvailable: directive.MinAvailable, ExpiresAt: directive.endsAtMS}
				for _, uid := range directive.Servers {
					position.Servers = append(position.Servers, l.config.serverID(uid))
				}
				update.Exclusions = append(update.Exclusions, position)
			}
		case placement.KindSpreadKey:
			key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
			if err != nil {
				slog.Warn("placement: a spread of no key", "id", directive.ID, "error", err)
				break
			}
			hotKey := balance.HotKey{Key: key, ExpiresAt: directive.endsAtMS}
			for _, replica := range directive.Copies {
				hotKey.Replicas = append(hotKey.Replicas, balance.Replica{Server: l.config.serverID(replica.ServerUID), LoadFraction: replica.LoadFraction})
			}
			update.HotKeys = append(update.HotKeys, hotKey)
		case placement.KindCohort:
			for _, uid := range directive.Servers {
				if id := l.config.serverID(uid); active.cohortByServer[id] == "" { // of two the first by ID
					active.cohortByServer[id] = directive.Cohort
				}
			}
		}
		active.directives = append(active.directives, directive)
	}
	l.dispatch(nowMS, update)
}

// excludeDirective takes in whom a keep-off is for and what it keeps off; false: it is for none of this sidecar's requests.
// Where the settings name no tenants, the tenant of all is the application that this sidecar belongs to.
func (l *eventLoop) resolveExclusion(directive *activeDirective) bool {
	var ok bool
	if directive.tenant, ok = l.config.tenantNumbers[directive.Tenant]; !ok {
		if directive.tenant = balance.AllTenants; len(l.config.tenantNumbers) > 0 || directive.Tenant != l.config.Application || directive.Tenant == "" {
			return false
		}
	}
	directive.excluded = make(map[balance.ServerID]bool, len(directive.Servers))
	for _, uid := range directive.Servers {
		directive.excluded[l.config.serverID(uid)] = true
	}
	return true
}

// serverID is the number of a server; it follows from its uid alone, so what is placed needs no list.
func (cfg *Config) serverID(uid string) balance.ServerID { return cfg.toServer(&endpoint{UID: uid}).ID }

// recordRequest and ended count for the next report, where there are any.
func (f *activePlacement) recordRequest(nowMS float64, request *balance.Request) {
	if f != nil {
		f.recorder.recordRequest(nowMS, request)
	}
}

func (f *activePlacement) recordOutcome(nowMS float64, attempt *attempt, result balance.Result) {
	if f != nil {
		f.recorder.recordOutcome(nowMS, attempt, result, f.cohortByServer[attempt.upstream.id])
	}
}

// buildReport says what is in force here and what became of the requests since the last report.
func (l *eventLoop) buildReport(nowMS float64) *placement.LoadReport {
	active := l.placement
	report := &placement.LoadReport{
		Sidecar: l.config.Name, Version: l.version, PlacementRevision: active.revision, PlacementEpoch: active.epoch, EndpointRevision: uint64(max(l.discovery.revision.Load(), 0)),
		ExcludedInFlight: map[string]int{},
	}
	for name, i := range l.config.zoneNumbers {
		if i == l.config.settings.Zone {
			report.Zone = name
		}
	}
	for _, directive := range active.directives {
		switch {
		case directive.excluded != nil:
			report.ExcludedInFlight[directive.ID] = l.countInFlightAt(&directive)
		case directive.Kind == placement.KindExclude: // of no tenant here: in force all the same, which who waits for it has to know
			report.ExcludedInFlight[directive.ID] = 0
		}
	}
	if len(report.ExcludedInFlight) > placement.MaxExclusions { // too many to be told: none told means none open
		maps.DeleteFunc(report.ExcludedInFlight, func(_ string, number int) bool { return number == 0 })
	}
	suspended := l.balancer.SuspendedExclusions()
	for _, directive := range active.directives {
		if number, ok := active.numberByID[directive.ID]; ok && slices.Contains(suspended, number) && len(report.SuspendedDirectives) < placement.MaxExclusions {
			report.SuspendedDirectives = append(report.SuspendedDirectives, directive.ID)
		}
	}
	active.recorder.flushInto(report, nowMS)
	return report
}

// countInFlightAt counts the attempts that are out at the servers that an entry keeps off, of its tenant.
func (l *eventLoop) countInFlightAt(directive *activeDirective) int {
	count := 0
	for _, call := range l.calls {
		if directive.tenant != balance.AllTenants && directive.tenant != call.request.Tenant {
			continue
		}
		for _, attempt := range call.attempts {
			if !attempt.completed && directive.excluded[attempt.upstream.id] {
				count++
			}
		}
	}
	return count
}

package sidecar

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strconv"

	"milldeck/balance"
	"milldeck/internal/placement"
)

// clockJumpToleranceMS is by how much the end of an otherwise unchanged directive must become earlier for the event loop to
// notify the balancer again. A smaller difference comes from rounding the readings of two clocks; a larger difference means
// that the wall clock was set forward.
const clockJumpToleranceMS = 50

// placementState is the part of the event loop's state that concerns the placement.
type placementState struct {
	active  *activePlacement // nil: no placement address is configured
	timing  placementTiming  // for the next placementClient
	version string           // the sidecar's version label, for load reports
}

// activePlacement is the placement in force and the client that watches for changes. Only the event loop uses its fields;
// the client's goroutines use only the placementClient.
type activePlacement struct {
	*placementClient
	cancel   context.CancelFunc // ends the client's goroutines
	recorder *reportRecorder

	revision, epoch uint64
	directives      []activeDirective // ordered by ID
	cohortByServer  map[balance.ServerID]string

	balancerIDs    map[string]int // the balancer's IDs of exclusions, by directive ID
	lastBalancerID int
}

// activeDirective is a directive in force, resolved to the tenant and server IDs of this sidecar.
type activeDirective struct {
	placement.Directive
	endsAtMS float64 // by the event loop's clock
	// The tenant, or balance.AllTenants, and the excluded servers of an exclusion that applies to requests of this sidecar.
	// For all other directives excluded is nil.
	tenant   int
	excluded map[balance.ServerID]bool
}

// setPlacementAddress starts to watch the placement at an address and stops the client of the previous address. The
// directives in force stay until the new address sends a placement, or until they expire. An empty address ends all of
// them now.
func (l *eventLoop) setPlacementAddress(nowMS float64, address string) {
	previous := l.placement.active
	if previous != nil && previous.address == address {
		return
	}
	l.placement.active = nil
	if previous != nil {
		previous.cancel()
	}
	if address == "" {
		if previous != nil {
			l.dispatch(nowMS, balance.Placement{})
		}
		return
	}
	next := &activePlacement{recorder: newReportRecorder(l.config, nowMS), balancerIDs: map[string]int{}}
	generation := 0
	if previous != nil {
		*next = *previous
		generation = previous.generation + 1
	}
	next.placementClient = newPlacementClient(address, generation, l.post, l.placement.timing)
	ctx, cancel := context.WithCancel(l.ctx)
	next.cancel = cancel
	l.placement.active = next
	l.workers.Go(func() { next.runWatch(ctx) })
	l.workers.Go(func() { next.runReporter(ctx) })
}

// applyPlacementUpdate notifies the balancer of changed directives. If the update has a reportDue channel, it also builds a
// load report and sends it there.
func (l *eventLoop) applyPlacementUpdate(nowMS float64, update placementUpdate) {
	active := l.placement.active
	if active == nil || update.generation != active.generation {
		return
	}
	active.revision = update.placement.Revision
	active.epoch = update.placement.Epoch
	takenAtMS := l.clock.unixMS(update.takenAt)
	if !active.unchanged(takenAtMS, update.placement.Directives) {
		l.replaceDirectives(nowMS, takenAtMS, update.placement.Directives)
	}
	if update.reportDue != nil {
		update.reportDue <- l.buildReport(nowMS)
	}
}

// unchanged reports whether the balancer already has these directives and none of them ends earlier than before by
// clockJumpToleranceMS or more.
func (p *activePlacement) unchanged(takenAtMS float64, directives []placement.Directive) bool {
	return slices.EqualFunc(p.directives, directives, func(active activeDirective, directive placement.Directive) bool {
		return active.sameVersion(&directive) && takenAtMS+float64(directive.RemainingMS) > active.endsAtMS-clockJumpToleranceMS
	})
}

// sameVersion reports whether a received directive has the same ID, revision and expiry as this directive.
func (d *activeDirective) sameVersion(directive *placement.Directive) bool {
	return d.ID == directive.ID && d.Revision == directive.Revision && d.ExpiresAtMS == directive.ExpiresAtMS
}

// replaceDirectives puts directives in force and notifies the balancer. An unchanged directive never ends later than before.
func (l *eventLoop) replaceDirectives(nowMS, takenAtMS float64, directives []placement.Directive) {
	active := l.placement.active
	previous := active.directives
	previousIDs := active.balancerIDs
	active.directives = nil
	active.balancerIDs = map[string]int{}
	active.cohortByServer = map[balance.ServerID]string{}
	var update balance.Placement
	for i := range directives {
		directive := activeDirective{Directive: directives[i], endsAtMS: takenAtMS + float64(directives[i].RemainingMS)}
		retainEarlierEnd(&directive, previous)
		switch directive.Kind {
		case placement.KindExclude:
			if l.resolveExclusion(&directive) {
				balancerID := active.assignBalancerID(directive.ID, previousIDs)
				update.Exclusions = append(update.Exclusions, l.toExclusion(&directive, balancerID))
			}
		case placement.KindSpreadKey:
			if hotKey, err := l.toHotKey(&directive); err != nil {
				placementLog.Warn("hot key directive ignored: invalid key", "id", directive.ID, "error", err)
			} else {
				update.HotKeys = append(update.HotKeys, hotKey)
			}
		case placement.KindCohort:
			l.recordCohort(&directive)
		}
		active.directives = append(active.directives, directive)
	}
	l.dispatch(nowMS, update)
}

// retainEarlierEnd restores the previous end of an unchanged directive if the previous end is earlier.
func retainEarlierEnd(directive *activeDirective, previous []activeDirective) {
	position, found := slices.BinarySearchFunc(previous, directive.ID, func(candidate activeDirective, id string) int {
		return cmp.Compare(candidate.ID, id)
	})
	if found && previous[position].sameVersion(&directive.Directive) {
		directive.endsAtMS = math.Min(directive.endsAtMS, previous[position].endsAtMS)
	}
}

// assignBalancerID returns the balancer's ID for an exclusion: its previous ID, or a new one.
func (p *activePlacement) assignBalancerID(id string, previousIDs map[string]int) int {
	balancerID, known := previousIDs[id]
	if !known {
		p.lastBalancerID++
		balancerID = p.lastBalancerID
	}
	p.balancerIDs[id] = balancerID
	return balancerID
}

// resolveExclusion sets the tenant and the servers of an exclusion. It returns false if the exclusion applies to no request
// of this sidecar. If the settings name no tenants, the calling application is the only tenant.
func (l *eventLoop) resolveExclusion(directive *activeDirective) bool {
	tenant, ok := l.config.tenantIndexes[directive.Tenant]
	if !ok {
		tenant = balance.AllTenants
		if len(l.config.tenantIndexes) > 0 || directive.Tenant != l.config.Application || directive.Tenant == "" {
			return false
		}
	}
	directive.tenant = tenant
	directive.excluded = make(map[balance.ServerID]bool, len(directive.Servers))
	for _, uid := range directive.Servers {
		directive.excluded[l.config.serverID(uid)] = true
	}
	return true
}

// toExclusion converts a directive to an exclusion of the balancer.
func (l *eventLoop) toExclusion(directive *activeDirective, balancerID int) balance.Exclusion {
	exclusion := balance.Exclusion{
		ID:           balancerID,
		Tenant:       directive.tenant,
		MinAvailable: directive.MinAvailable,
		ExpiresAt:    directive.endsAtMS,
	}
	for _, uid := range directive.Servers {
		exclusion.Servers = append(exclusion.Servers, l.config.serverID(uid))
	}
	return exclusion
}

// toHotKey converts a directive to a hot key of the balancer.
func (l *eventLoop) toHotKey(directive *activeDirective) (balance.HotKey, error) {
	key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
	if err != nil {
		return balance.HotKey{}, err
	}
	hotKey := balance.HotKey{Key: key, ExpiresAt: directive.endsAtMS}
	for _, replica := range directive.Copies {
		hotKey.Replicas = append(hotKey.Replicas, balance.Replica{
			Server:       l.config.serverID(replica.ServerUID),
			LoadFraction: replica.LoadFraction,
		})
	}
	return hotKey, nil
}

// recordCohort assigns the servers of a directive to its cohort. A server that several directives name belongs to the
// cohort of the first directive by ID.
func (l *eventLoop) recordCohort(directive *activeDirective) {
	cohorts := l.placement.active.cohortByServer
	for _, uid := range directive.Servers {
		if id := l.config.serverID(uid); cohorts[id] == "" {
			cohorts[id] = directive.Cohort
		}
	}
}

// recordRequest counts a request for the next load report. A nil receiver means that no placement is configured: there are
// no load reports.
func (p *activePlacement) recordRequest(nowMS float64, request *balance.Request) {
	if p != nil {
		p.recorder.recordRequest(nowMS, request)
	}
}

// recordOutcome counts the outcome of an attempt for the next load report. It accepts a nil receiver.
func (p *activePlacement) recordOutcome(nowMS float64, attempt *attempt, result balance.Result) {
	if p != nil {
		p.recorder.recordOutcome(nowMS, attempt, result, p.cohortByServer[attempt.upstream.id])
	}
}

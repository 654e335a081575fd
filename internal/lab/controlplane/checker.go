package controlplane

import (
	"fmt"
	"strings"
	"time"

	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// Rules of the judge, in the order of reports.
const (
	ruleBudget   = "budget"
	ruleHours    = "hours"
	ruleOnce     = "once"
	ruleStranded = "stranded"
	ruleSpread   = "spread"
)

// RuleNames lists the rules.
var RuleNames = []string{ruleBudget, ruleHours, ruleOnce, ruleStranded, ruleSpread}

const (
	// detectionMS is how long what fails by itself may be unknown to the ledger: its lease and a look.
	detectionMS = endpointLeaseMS + 4*tickMS
	// restoreGraceMS is how long acts that were decided before a restore may still arrive.
	restoreGraceMS      = 15_000
	maxListedViolations = 20 // told of a night
)

// observation is what the judge keeps of a unit.
type observation struct {
	inService        bool
	outSinceMS       int64 // of its being out
	inServiceSinceMS int64 // of its being in
	granted          bool  // a grant takes it out
	leftService      bool  // since that grant
	stopRequested    bool  // its process was told to end
	servedBeforeStop bool  // and served then for a while
	version          string
	incarnation      uint64
}

// checker sees the world: processes, the list, what sidecars follow, and grants as they come. It asks no table what is out.
//
// budget: at the moment of a grant no more may be out, whatever the reason, than allowed, with all that was granted and
// is still to go; who fails alone counts once it can be known, and is no breach. Nobody is taken out without a grant.
type checker struct {
	cluster            *cluster
	enabled            bool
	violations         []Violation
	violationsByRule   map[string]int
	hours              map[string][]approvedHours
	outsideHoursMS     int64 // ms that tenants were kept off outside their hours, over all sidecars
	excludedMS         int64
	warmupWork         map[int64]float64 // ms of cold work that was begun, by second
	platformMisbehaved bool              // the platform starts twice or has forgotten what runs
	restoredMS         int64
	divertedReleases   map[string]bool // releases that were ever sent elsewhere than forward
	grantedUnits       map[string]*unit
	reportedUnits      map[string]bool
	upgradedUnits      map[string]bool // units that were started on another version than the first
}

// Violation is a broken rule.
type Violation struct {
	AtS    float64 `json:"at_s"`
	Rule   string  `json:"rule"`
	Detail string  `json:"what"`
}

// approvedHours are a tenant's hours from an instant on: those that open are known by the judge's own calendar.
type approvedHours struct {
	effectiveMS int64
	opens       time.Time
	length      time.Duration // 0: none
}

func newChecker(cluster *cluster) *checker {
	return &checker{cluster: cluster, violationsByRule: map[string]int{}, hours: map[string][]approvedHours{}, divertedReleases: map[string]bool{}, grantedUnits: map[string]*unit{},
		warmupWork: map[int64]float64{}, reportedUnits: map[string]bool{}, upgradedUnits: map[string]bool{}}
}

// start begins to judge: until then the fleet was being started.
func (c *checker) start() {
	c.enabled = true
	for _, member := range c.cluster.units {
		c.observe(member)
		if !member.observed.inService {
			c.report(ruleStranded, member.ID+" is out at the start")
		}
	}
	clear(c.upgradedUnits)
}

func (c *checker) report(rule, detail string) {
	if !c.enabled {
		return
	}
	c.violationsByRule[rule]++
	if len(c.violations) < maxListedViolations {
		c.violations = append(c.violations, Violation{float64(c.cluster.nowMS-c.cluster.startMS) / 1000, rule, detail})
	}
}

// observe takes in whether a unit serves.
func (c *checker) observe(target *unit) {
	observed := &target.observed
	inService := c.cluster.inService(target)
	switch {
	case inService && !observed.inService:
		if observed.granted && observed.leftService {
			observed.granted = false
			delete(c.grantedUnits, target.ID)
		}
		observed.inServiceSinceMS = c.cluster.nowMS
	case !inService && observed.inService:
		observed.outSinceMS = c.cluster.nowMS
	}
	if !inService && observed.granted {
		observed.leftService = true
	}
	observed.inService = inService
	if processes := c.cluster.platform.LiveProcesses(target.name); processes > 1 && !c.platformMisbehaved && !c.reportedUnits["twice "+target.ID] {
		c.reportedUnits["twice "+target.ID] = true
		c.report(ruleOnce, fmt.Sprintf("%s has %d processes", target.ID, processes))
	}
}

// checkGrants looks at what was granted since the last look.
func (c *checker) checkGrants() {
	registry := c.cluster.registry
	for _, name := range registry.releases.Names() {
		c.observePhase(name)
	}
	grants := registry.newGrants
	registry.newGrants = nil
	for _, unitID := range sortedKeys(c.grantedUnits) {
		member := c.grantedUnits[unitID]
		if _, ok := registry.permitByUnit[unitID]; !ok && (member.observed.inService || member.decommissioned && !member.alive) { // given back before anything was done, or drained
			member.observed.granted = false
			delete(c.grantedUnits, unitID)
		}
	}
	if !c.enabled || len(grants) == 0 {
		return
	}
	takenOut := map[*unit]string{}
	for _, permit := range grants {
		for _, unitID := range permit.Units {
			if member := c.cluster.unitsByID[unitID]; member != nil {
				if member.observed.inService && member.missingSinceMS == 0 { // who is out already, or cannot be seen and counts as out, is not taken out
					takenOut[member] = permit.ID
				}
				member.observed.granted, member.observed.leftService = true, !member.observed.inService
				c.grantedUnits[unitID] = member
			}
		}
	}
	for _, budget := range c.cluster.options.budgets() {
		count, permitID, unavailable := 0, "", []string(nil)
		for _, member := range c.cluster.units {
			if !budget.Selector.Matches(&member.Unit) {
				continue
			}
			if unitID, ok := takenOut[member]; ok {
				permitID = max(permitID, unitID)
			}
			if c.unavailable(member) {
				count++
				if len(unavailable) < 12 {
					unavailable = append(unavailable, member.name)
				}
			}
		}
		if permitID != "" && count > *budget.MaxUnavailable.Count {
			c.report(ruleBudget, fmt.Sprintf("%s is granted, and %d of %s are out, %d allowed: %s", permitID, count, budget.Name, *budget.MaxUnavailable.Count, strings.Join(unavailable, ", ")))
		}
	}
}

// unavailable tells whether a unit counts as out, as far as it can be known.
func (c *checker) unavailable(target *unit) bool {
	switch {
	case target.decommissioned && !target.alive && !target.observed.granted:
		return false // it has left for good
	case target.observed.granted:
		return true
	}
	return !target.observed.inService && c.cluster.registry.hasLeader() && c.cluster.nowMS-max(target.observed.outSinceMS, c.cluster.registry.leaderSinceMS) > detectionMS
}

// requirePermit: a unit that serves is taken out on purpose.
func (c *checker) requirePermit(target *unit, action string) {
	registry := c.cluster.registry
	registry.indexPermits()
	if _, ok := registry.permitByUnit[target.ID]; !ok && c.cluster.inService(target) && (c.restoredMS == 0 || c.cluster.nowMS-c.restoredMS > restoreGraceMS) {
		c.report(ruleBudget, fmt.Sprintf("%s is %s without a grant", target.ID, action))
	}
}

// observeRequests: the platform is asked to stop units. What names another life of a unit is refused.
func (c *checker) observeRequests(requests []supervisor.Request) {
	for index := range requests {
		target := c.cluster.unitsByName[requests[index].Unit]
		if requests[index].Op != supervisor.Stop || requests[index].Incarnation != target.observed.incarnation {
			continue
		}
		if !target.observed.stopRequested {
			c.requirePermit(target, "stopped")
		}
		// One that has only just come up may have been given up a moment before.
		if !target.observed.stopRequested {
			target.observed.servedBeforeStop = target.observed.inService && c.cluster.nowMS-target.observed.inServiceSinceMS > detectionMS
		}
		target.observed.stopRequested = true
	}
}

// observeLaunch: a process of a unit begins. One of the same incarnation is the platform's own restart, which nobody asked for.
func (c *checker) observeLaunch(target *unit, version string, incarnation uint64) {
	observed := &target.observed
	if repeated := observed.stopRequested && observed.servedBeforeStop && observed.version == version && observed.incarnation != incarnation; repeated && !c.platformMisbehaved && c.restoredMS == 0 && !c.divertedReleases[c.releaseOf(target)] {
		c.report(ruleOnce, fmt.Sprintf("%s served on version %s, was told to end and is started on it again", target.ID, version))
	}
	observed.stopRequested, observed.servedBeforeStop, observed.version, observed.incarnation = false, false, version, incarnation
	if version != "1" {
		c.upgradedUnits[target.ID] = true
	}
}

// releaseOf is the release that a unit is of.
func (c *checker) releaseOf(target *unit) string {
	for _, name := range c.cluster.registry.releases.Names() {
		state, _ := c.cluster.registry.releases.Get(name)
		for index := range state.Units {
			if state.Units[index].ID == target.ID {
				c.observePhase(name)
				return name
			}
		}
	}
	return ""
}

// observePhase notes whether a release is, or was, sent elsewhere than forward: what was stopped then starts as it was.
func (c *checker) observePhase(name string) {
	if state, _ := c.cluster.registry.releases.Get(name); state.Status.Phase != release.PhaseRollout && state.Status.Phase != release.PhaseCompleted {
		c.divertedReleases[name] = true
	}
}

// setHours has a tenant's hours be others from now on.
func (c *checker) setHours(tenant string, opens time.Time, length time.Duration) {
	c.hours[tenant] = append(c.hours[tenant], approvedHours{c.cluster.nowMS, opens, length})
}

// reconcilePeriodMS is how long after a change of hours sidecars may still follow what was told before.
const contractGraceMS = 30_000

// withinHours tells whether a tenant may be kept off at an instant.
func (c *checker) withinHours(tenant string, instantMS int64) bool {
	history := c.hours[tenant]
	for i := len(history) - 1; i >= 0; i-- {
		hours := history[i]
		if hours.effectiveMS <= instantMS && hours.length > 0 {
			local := time.UnixMilli(instantMS).In(hours.opens.Location())
			for day := -2; day <= 0; day++ {
				opening := time.Date(local.Year(), local.Month(), local.Day()+day, hours.opens.Hour(), hours.opens.Minute(), 0, 0, hours.opens.Location())
				if !local.Before(opening) && local.Before(opening.Add(hours.length)) {
					return true
				}
			}
		}
		if hours.effectiveMS+contractGraceMS <= instantMS {
			return false
		}
	}
	return false
}

// observeExclusion: a sidecar kept a tenant off servers from since to end.
func (c *checker) observeExclusion(source *unit, tenant string, startMS, endMS int64) {
	if !c.enabled || endMS <= startMS {
		return
	}
	c.excludedMS += endMS - startMS
	outside := int64(0)
	for instantMS := startMS; instantMS < endMS; instantMS += 1000 {
		if !c.withinHours(tenant, instantMS) || !c.withinHours(tenant, min(instantMS+999, endMS-1)) {
			outside += min(1000, endMS-instantMS)
		}
	}
	if outside > 0 {
		c.outsideHoursMS += outside
		c.report(ruleHours, fmt.Sprintf("%s keeps %s off for %d ms outside its hours, from %s to %s", source.ID, tenant, outside,
			time.UnixMilli(startMS).UTC().Format(time.TimeOnly), time.UnixMilli(endMS).UTC().Format(time.TimeOnly)))
	}
}

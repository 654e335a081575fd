package controlplane

import (
	"fmt"

	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// Rules that the checker checks. Their texts are stored in results.
const (
	ruleBudget        = "budget"   // a permit or a failure takes more units out of service than the disruption budget allows
	ruleApprovedHours = "hours"    // a tenant is excluded from servers outside its approved hours
	ruleSingleStart   = "once"     // a unit has two processes, or is restarted on the version on which it was in service
	ruleStranded      = "stranded" // a unit, release or window is left in an intermediate state
	ruleWarmupBudget  = "spread"   // a hot key gets too many replicas, or gets them faster than its warm-up budget allows
)

// RuleNames lists the rules in the order of reports.
var RuleNames = []string{ruleBudget, ruleApprovedHours, ruleSingleStart, ruleStranded, ruleWarmupBudget}

const (
	// detectionMS is how long a failure may be unknown to the ledger: the registration lease and a few ticks.
	detectionMS = endpointLeaseMS + 4*tickMS
	// restoreGraceMS is how long after a restore the platform may still get actions that were decided before the restore.
	restoreGraceMS = 15_000
	// maxListedViolations is the number of violations that the result of a simulation describes.
	maxListedViolations = 20
)

// observation is the checker's view of a unit.
type observation struct {
	inService        bool
	outSinceMS       int64 // when the unit last left service
	inServiceSinceMS int64 // when the unit last entered service
	granted          bool  // a permit to take the unit out of service is in effect
	outSinceGrant    bool  // the unit has been out of service at some time since the permit was granted
	stopRequested    bool  // the platform has a request to stop the unit's process
	servedBeforeStop bool  // when stopRequested was set, the process had been in service for longer than detectionMS
	version          string
	incarnation      uint64
}

// checker checks the rules. It observes processes, the endpoint list, the exclusions that sidecars apply, and grants as
// they are written. It never reads from a table of the control plane which units are unavailable.
type checker struct {
	cluster          *cluster
	enabled          bool
	violations       []Violation // the first maxListedViolations
	violationsByRule map[string]int

	restoredMS          int64           // when a backup was restored; 0: never
	platformMisbehaved  bool            // a fault may start units twice or lose running ones: ruleSingleStart is not checked
	duplicatedUnits     map[string]bool // units whose second process was already reported
	interruptedReleases map[string]bool // releases that were ever halted or rolled back
	upgradedUnits       map[string]bool // units that were started on another version than the initial one

	grantedUnits map[string]*unit // units with observation.granted, by ID

	hours          map[string][]approvedHours // by tenant, oldest first
	excludedMS     int64                      // exclusion of tenants, summed over all sidecars
	outsideHoursMS int64                      // part of excludedMS outside approved hours

	warmupWork map[int64]float64 // ms of warm-up work that was begun, by second
}

func newChecker(cluster *cluster) *checker {
	return &checker{
		cluster:             cluster,
		violationsByRule:    map[string]int{},
		duplicatedUnits:     map[string]bool{},
		interruptedReleases: map[string]bool{},
		upgradedUnits:       map[string]bool{},
		grantedUnits:        map[string]*unit{},
		hours:               map[string][]approvedHours{},
		warmupWork:          map[int64]float64{},
	}
}

// start enables the checker once the fleet has started.
func (c *checker) start() {
	c.enabled = true
	for _, member := range c.cluster.units {
		c.observe(member)
		if !member.observed.inService {
			c.report(ruleStranded, member.ID+" is out of service at the start")
		}
	}
	clear(c.upgradedUnits)
}

// report counts a violation, and retains the description of the first maxListedViolations violations.
func (c *checker) report(rule, detail string) {
	if !c.enabled {
		return
	}
	c.violationsByRule[rule]++
	if len(c.violations) < maxListedViolations {
		atS := float64(c.cluster.nowMS-c.cluster.startMS) / 1000
		c.violations = append(c.violations, Violation{AtS: atS, Rule: rule, Detail: detail})
	}
}

// violationCount is the number of violations of all rules.
func (c *checker) violationCount() int {
	count := 0
	for _, rule := range RuleNames {
		count += c.violationsByRule[rule]
	}
	return count
}

// observe updates whether a unit is in service, and checks that it has at most one process.
func (c *checker) observe(target *unit) {
	observed := &target.observed
	inService := c.cluster.inService(target)
	switch {
	case inService && !observed.inService:
		if observed.granted && observed.outSinceGrant {
			c.endGrant(target)
		}
		observed.inServiceSinceMS = c.cluster.nowMS
	case !inService && observed.inService:
		observed.outSinceMS = c.cluster.nowMS
	}
	if !inService && observed.granted {
		observed.outSinceGrant = true
	}
	observed.inService = inService

	processes := c.cluster.platform.LiveProcesses(target.name)
	if processes > 1 && !c.platformMisbehaved && !c.duplicatedUnits[target.ID] {
		c.duplicatedUnits[target.ID] = true
		c.report(ruleSingleStart, fmt.Sprintf("%s has %d processes", target.ID, processes))
	}
}

// observeRequests observes requests to the platform before they are sent. It ignores a stop of an incarnation other than
// the running one, because the platform rejects it.
func (c *checker) observeRequests(requests []supervisor.Request) {
	for index := range requests {
		request := &requests[index]
		target := c.cluster.unitsByName[request.Unit]
		observed := &target.observed
		if request.Op != supervisor.Stop || request.Incarnation != observed.incarnation || observed.stopRequested {
			continue
		}
		c.requirePermit(target, "stopped")
		// A controller may stop a unit as failed before it can know that the unit has just entered service.
		observed.servedBeforeStop = observed.inService && c.cluster.nowMS-observed.inServiceSinceMS > detectionMS
		observed.stopRequested = true
	}
}

// observeLaunch observes the start of a process. A start of the same incarnation is a restart by the platform itself.
func (c *checker) observeLaunch(target *unit, version string, incarnation uint64) {
	observed := &target.observed
	servedAlready := observed.stopRequested && observed.servedBeforeStop && observed.version == version
	excused := c.platformMisbehaved || c.restoredMS != 0
	if servedAlready && observed.incarnation != incarnation && !excused && !c.interruptedReleases[c.releaseOf(target)] {
		c.report(ruleSingleStart,
			fmt.Sprintf("%s was in service on version %s, was stopped and is started on it again", target.ID, version))
	}
	observed.stopRequested, observed.servedBeforeStop = false, false
	observed.version, observed.incarnation = version, incarnation
	if version != initialVersion {
		c.upgradedUnits[target.ID] = true
	}
}

// releaseOf returns the name of the release that a unit is part of, or "". It also calls observePhase for that release.
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

// observePhase records whether a release was ever halted or rolled back. Its stopped units then restart on the old version,
// which ruleSingleStart allows.
func (c *checker) observePhase(name string) {
	state, _ := c.cluster.registry.releases.Get(name)
	if state.Status.Phase != release.PhaseRollout && state.Status.Phase != release.PhaseCompleted {
		c.interruptedReleases[name] = true
	}
}

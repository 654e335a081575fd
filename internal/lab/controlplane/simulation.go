package controlplane

import (
	"math/rand/v2"
	"time"

	"milldeck/internal/maintenance"
)

const (
	maxSimulationMS  = 5400_000 // far longer than any simulation that settles
	operatorPeriodMS = 5000     // time between two rounds of the operator
	settleMS         = 30_000   // time without faults after the last fault
	secondsPerDay    = 86400
	hourMS           = 3600_000
)

// startDates are days on which daylight saving time begins or ends somewhere, ends of months, and an ordinary day.
var startDates = []string{"2026-03-28", "2026-10-24", "2026-04-04", "2026-09-30", "2026-02-27", "2026-06-10"}

// Run runs the simulation of a seed until the cluster has settled.
func Run(seed uint64, options Options) *Result {
	if options.StartMS == 0 {
		options.StartMS = drawStart(seed)
	}
	cluster := newCluster(seed, options)
	cluster.scenario = &scenario{hotKeyHash: cluster.random.Uint64()}
	cluster.setContracts()
	if !cluster.startOperations() {
		return cluster.result()
	}
	if !options.NoFaults {
		cluster.scheduleFaults()
	}
	if cluster.runUntilSettled() {
		cluster.checker.checkEnd()
	}
	return cluster.result()
}

// drawStart draws the wall-clock time at which a simulation starts, in Unix ms.
func drawStart(seed uint64) int64 {
	date, err := time.Parse(time.DateOnly, startDates[seed%uint64(len(startDates))])
	if err != nil {
		panic(err) // the dates are constants
	}
	second := rand.New(rand.NewPCG(seed, 3)).IntN(secondsPerDay)
	return date.UnixMilli() + int64(second)*1000
}

// runUntilSettled advances the simulation until it has settled, or for maxSimulationMS. It returns false if
// StopAtFirstViolation ended it earlier.
func (c *cluster) runUntilSettled() bool {
	for c.nowMS-c.startMS < maxSimulationMS {
		c.tick()
		if c.options.StopAtFirstViolation && len(c.checker.violations) > 0 {
			return false
		}
		if c.nowMS%1000 == 0 && c.options.Defects.StaleReads {
			c.recordUnavailable()
		}
		if c.nowMS%operatorPeriodMS != 0 {
			continue
		}
		c.runOperator()
		if c.settled() {
			break
		}
	}
	return true
}

// settled reports whether every operation has ended, every unit is in service and no fault is left.
func (c *cluster) settled() bool {
	if c.nowMS < c.scenario.faultsEndMS+settleMS || !c.registry.available() || c.hotKeyPlaced() {
		return false
	}
	return c.releasesSettled() && c.windowsSettled() && c.unitsSettled()
}

func (c *cluster) releasesSettled() bool {
	for _, name := range c.registry.releases.Names() {
		state, commands := c.registry.releases.Get(name)
		if !state.Status.Phase.Finished() || state.Status.HandledCommands != len(commands) {
			return false
		}
	}
	return true
}

// windowsSettled reports whether a window was proposed, and every window is finished or planned more than an hour ahead.
func (c *cluster) windowsSettled() bool {
	windows := c.registry.windows.Windows()
	for _, window := range windows {
		later := window.Stage == maintenance.StageApproved && window.PlannedStartMS > c.nowMS+hourMS
		if !window.Finished() && !later {
			return false
		}
	}
	return len(windows) > 0
}

func (c *cluster) unitsSettled() bool {
	for _, member := range c.units {
		if !member.observed.inService && !member.decommissioned {
			return false
		}
	}
	return true
}

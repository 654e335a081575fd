package controlplane

import (
	"fmt"

	"milldeck/internal/maintenance"
	"milldeck/internal/release"
	"milldeck/internal/supervisor/core"
)

const (
	// faultPeriodMS is the length of the period, from the start on, in which faults begin.
	faultPeriodMS = 300_000
	// clockFaultMS is how long the clock of a leader or controller is wrong.
	clockFaultMS = 120_000
	// crashText is the exit text of a process that crashes.
	crashText = "signal: killed"
)

// platformFaultKinds are the faults of the platform that are drawn in addition to a hang.
var platformFaultKinds = []core.FaultKind{
	core.FaultPartial,
	core.FaultDropResponse,
	core.FaultDuplicate,
	core.FaultWrongUnit,
	core.FaultLoseState,
	core.FaultError,
}

// scheduleFaults draws the faults of the simulation. The order of draws must not change, or a seed gives other faults.
func (c *cluster) scheduleFaults() {
	c.scheduleZoneLoss(10_000 + c.random.Int64N(120_000))
	c.scheduleLeaderCrashes()
	c.scheduleProcessFaults()
	c.scheduleMinorityPartition()
	c.scheduleAgentPartition()
	c.schedulePlatformFaults()
	c.scheduleServerCrashes()
	c.scheduleClockFaults()
	c.scheduleOperatorCommands()
	c.scheduleRestore()
}

// drawFaultTime draws when a fault begins, in ms from now.
func (c *cluster) drawFaultTime() int64 { return 5000 + c.random.Int64N(faultPeriodMS) }

func (c *cluster) drawProcess() *process { return c.processes[c.random.IntN(len(c.processes))] }

// scheduleFault schedules a fault and adds its description to the result.
func (c *cluster) scheduleFault(delayMS int64, description string, inject func()) {
	c.scenario.faults = append(c.scenario.faults, fmt.Sprintf("%4.0f s %s", float64(delayMS)/1000, description))
	c.schedule(delayMS, inject)
	c.extendFaults(delayMS)
}

// extendFaults records that a fault lasts for durationMS from now.
func (c *cluster) extendFaults(durationMS int64) {
	c.scenario.faultsEndMS = max(c.scenario.faultsEndMS, c.nowMS+durationMS)
}

// scheduleZoneLoss schedules the loss of a zone's power or network.
func (c *cluster) scheduleZoneLoss(delayMS int64) {
	zone := zones[c.random.IntN(len(zones))]
	powerLoss := c.random.IntN(2) == 0
	durationMS := 10_000 + c.random.Int64N(80_000)
	cause := "cut off"
	if powerLoss {
		cause = "without power"
	}
	c.scheduleFault(delayMS, fmt.Sprintf("zone %s %s for %d ms", zone, cause, durationMS), func() {
		if powerLoss {
			c.powerOffUntilMS[zone] = c.nowMS + durationMS
		}
		for _, member := range c.units {
			if member.Zone != zone {
				continue
			}
			member.registrationPending = true
			if powerLoss {
				c.platform.Crash(member.name, crashText)
			} else {
				member.unreachableUntilMS = c.nowMS + durationMS
			}
		}
	})
	c.extendFaults(delayMS + durationMS)
}

// scheduleLeaderCrashes schedules crashes of the registry's leader and, in a quarter of the simulations, of all replicas.
func (c *cluster) scheduleLeaderCrashes() {
	c.scheduleFault(c.drawFaultTime(), "leader killed between entry and answer", func() { c.registry.dropNextResponse = true })
	for range c.random.IntN(3) {
		c.scheduleFault(c.drawFaultTime(), "leader killed", func() { c.registry.crashLeader(1000 + c.random.Int64N(6000)) })
	}
	if c.random.IntN(4) == 0 {
		c.scheduleFault(c.drawFaultTime(), "all replicas killed and started", func() {
			c.registry.crashLeader(20_000 + c.random.Int64N(30_000))
		})
	}
}

// scheduleProcessFaults schedules crashes and pauses of lease holders, each at one of their effects.
func (c *cluster) scheduleProcessFaults() {
	for range 2 + c.random.IntN(5) {
		target, skipEffects, afterEffect := c.drawProcess(), c.random.IntN(30), c.random.IntN(2) == 0
		description := fmt.Sprintf("a holder of %s killed at its effect %d", target.leaseName, skipEffects)
		c.scheduleFault(c.drawFaultTime(), description, func() {
			c.leaderOf(target).scheduledFault = &processFault{skipEffects: skipEffects, afterEffect: afterEffect}
		})
	}
	for range 1 + c.random.IntN(3) {
		target, skipEffects, durationMS := c.drawProcess(), c.random.IntN(30), 4000+c.random.Int64N(56_000)
		description := fmt.Sprintf("a holder of %s frozen for %d ms", target.leaseName, durationMS)
		c.scheduleFault(c.drawFaultTime(), description, func() {
			c.leaderOf(target).scheduledFault = &processFault{skipEffects: skipEffects, pauseMS: durationMS}
		})
	}
}

// leaderOf returns the process that holds the lease for which target campaigns, or target if no process holds it.
func (c *cluster) leaderOf(target *process) *process {
	for _, candidate := range c.processes {
		if candidate.leaseName == target.leaseName && candidate.holdsLease() && !candidate.down {
			return candidate
		}
	}
	return target
}

// scheduleMinorityPartition schedules, in half of the simulations, a partition in which a lease holder reaches only a stale
// replica of the registry, and a tenth of the sidecars do not reach their agents.
func (c *cluster) scheduleMinorityPartition() {
	if c.random.IntN(2) != 0 {
		return
	}
	target, durationMS := c.drawProcess(), 5000+c.random.Int64N(60_000)
	description := fmt.Sprintf("a holder of %s and a tenth of the sidecars at a minority for %d ms", target.leaseName, durationMS)
	c.scheduleFault(c.drawFaultTime(), description, func() {
		leader := c.leaderOf(target)
		leader.staleState, leader.partitionedUntilMS = c.registry.clone(), c.nowMS+durationMS
		c.partitionAgents(len(c.sidecars)/10, durationMS)
	})
}

// scheduleAgentPartition schedules a partition of some sidecars from their agents.
func (c *cluster) scheduleAgentPartition() {
	count, durationMS := 1+c.random.IntN(max(len(c.sidecars)/50, 1)), 5000+c.random.Int64N(100_000)
	description := fmt.Sprintf("%d sidecars cut off from their agents for %d ms", count, durationMS)
	c.scheduleFault(c.drawFaultTime(), description, func() { c.partitionAgents(count, durationMS) })
}

// partitionAgents partitions up to count sidecars from their agents.
func (c *cluster) partitionAgents(count int, durationMS int64) {
	for range count {
		target := c.sidecars[c.random.IntN(len(c.sidecars))]
		target.sidecar.agentDownUntilMS, target.registrationPending = c.nowMS+durationMS, true
	}
}

// schedulePlatformFaults schedules a hang and some other faults of the platform.
func (c *cluster) schedulePlatformFaults() {
	hang := core.Fault{Kind: core.FaultHang, DurationMS: 2000 + c.random.Int64N(30_000)}
	c.schedulePlatformFault(fmt.Sprintf("the platform hangs for %d ms", hang.DurationMS), hang)
	for range 1 + c.random.IntN(4) {
		fault := core.Fault{Kind: platformFaultKinds[c.random.IntN(len(platformFaultKinds))], Count: 1 + c.random.IntN(3)}
		switch fault.Kind {
		case core.FaultLoseState:
			fault.Count, fault.DurationMS = 0, 1000+c.random.Int64N(20_000)
			c.checker.platformMisbehaved = true
		case core.FaultDuplicate:
			fault.On, fault.Count = core.OnDo, 1
			c.checker.platformMisbehaved = true
		case core.FaultPartial, core.FaultWrongUnit:
			fault.On = core.OnDo
		}
		c.schedulePlatformFault("the platform: "+string(fault.Kind), fault)
	}
}

func (c *cluster) schedulePlatformFault(description string, fault core.Fault) {
	c.scheduleFault(c.drawFaultTime(), description, func() {
		_ = c.platform.SetFault(fault) // rejected if the platform already has its maximum of faults; then this fault is not injected
	})
}

// scheduleServerCrashes schedules crashes of single servers.
func (c *cluster) scheduleServerCrashes() {
	for range 3 + c.random.IntN(10) {
		server := c.servers[c.random.IntN(len(c.servers))]
		c.scheduleFault(c.drawFaultTime(), server.ID+" ends by itself", func() { c.platform.Crash(server.name, crashText) })
	}
}

// scheduleClockFaults sets some clocks wrong by up to an hour for a limited time: the clocks of some sidecars and, in half
// of the simulations, the clock of the registry's leader or of a maintenance controller.
func (c *cluster) scheduleClockFaults() {
	drawOffset := func() int64 { return c.random.Int64N(2*hourMS) - hourMS }
	for range max(len(c.sidecars)/100, 1) {
		sidecar := c.sidecars[c.random.IntN(len(c.sidecars))].sidecar
		accurateMS := sidecar.offsetMS
		sidecar.offsetMS = drawOffset()
		c.schedule(faultPeriodMS, func() { sidecar.offsetMS = accurateMS })
	}
	offsetMS := drawOffset()
	switch c.random.IntN(4) {
	case 0:
		c.scheduleClockFault("the leader's clock", &c.registry.leaderClock, offsetMS)
		c.scenario.faultsEndMS += clockFaultMS
	case 1:
		c.scheduleControllerClockFault(offsetMS)
		c.scenario.faultsEndMS += clockFaultMS
	}
}

// scheduleControllerClockFault schedules a wrong clock of the first maintenance controller.
func (c *cluster) scheduleControllerClockFault(offsetMS int64) {
	for _, process := range c.processes {
		if maintainer, ok := process.controller.(*maintenanceController); ok {
			c.scheduleClockFault("the clock of "+process.name, &maintainer.clock, offsetMS)
			return
		}
	}
}

// scheduleClockFault schedules a clock to be wrong for clockFaultMS.
func (c *cluster) scheduleClockFault(name string, clock *wallClock, offsetMS int64) {
	c.scheduleFault(c.drawFaultTime(), fmt.Sprintf("%s off by %d ms", name, offsetMS), func() {
		accurate := *clock
		clock.offsetMS = offsetMS
		c.schedule(clockFaultMS, func() { *clock = accurate })
	})
}

// scheduleOperatorCommands schedules, in three of five simulations, a command of an operator: to halt a release, to roll
// it back or to withdraw a contract.
func (c *cluster) scheduleOperatorCommands() {
	name := []string{serverReleaseName, sidecarReleaseName}[c.random.IntN(2)]
	switch c.random.IntN(5) {
	case 0:
		c.scheduleReleaseCommand(name, "halted", release.ActionHalt)
	case 1:
		c.scheduleReleaseCommand(name, "sent back", release.ActionRollback)
	case 2:
		c.scheduleWithdrawal(tenants[c.random.IntN(len(tenants))].name)
	}
}

func (c *cluster) scheduleReleaseCommand(name, outcome string, action release.Action) {
	c.scheduleFault(c.drawFaultTime(), "release "+name+" "+outcome, func() {
		if !c.registry.available() {
			return
		}
		command := &release.Command{Action: action, Operator: "operator/eva"}
		// Rejected if the release does not accept the command now; then this fault is not injected.
		_ = c.registry.commitReleaseOp(&release.Operation{Name: name, Command: command})
	})
}

func (c *cluster) scheduleWithdrawal(tenant string) {
	c.scheduleFault(c.drawFaultTime(), "the contract of "+tenant+" withdrawn", func() {
		if c.withdrawContract(tenant) == string(maintenance.OutcomeApplied) {
			c.checker.setHours(tenant, c.checker.hours[tenant][0].opens, 0)
			c.scenario.windowFits = false
		}
	})
}

// scheduleRestore schedules, in a fifth of the simulations, a restore of the registry from a backup. Immediately after the
// restore the operator withdraws the contracts again that were withdrawn since the backup.
func (c *cluster) scheduleRestore() {
	if c.random.IntN(5) != 0 {
		return
	}
	backupMS := c.drawFaultTime()
	c.scheduleFault(backupMS, "backup", func() { c.registry.backup = c.registry.clone() })
	c.scheduleFault(backupMS+5000+c.random.Int64N(60_000), "restore from it", func() {
		c.checker.restoredMS = c.nowMS
		c.registry.restoreBackup()
		for _, tenant := range tenants {
			if c.checker.hoursWithdrawn(tenant.name) && c.registry.windows.Contract(tenant.name) != nil {
				c.withdrawContract(tenant.name)
			}
		}
		for _, member := range c.units {
			member.registrationPending = true
		}
	})
}

package controlplane

import (
	"context"
	"fmt"

	"milldeck/internal/maintenance"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// restartUnit has the platform start a unit that has ended as it was last, by an operator.
func (c *cluster) restartUnit(target *unit, reported *supervisor.Unit, epoch uint64) {
	incarnation := uint64(0)
	if reported != nil {
		if incarnation = reported.Incarnation; reported.State != supervisor.Exited {
			if reported.State == supervisor.Starting && !target.alive { // listed, and no process: half was done
				c.requestCount++
				c.platform.Do(context.Background(), supervisor.Request{ID: fmt.Sprintf("ops-%d", c.requestCount), Op: supervisor.Stop, Epoch: epoch, Unit: target.name, Incarnation: incarnation})
			}
			return
		}
	}
	c.requestCount++
	c.platform.Do(context.Background(), supervisor.Request{ID: fmt.Sprintf("ops-%d", c.requestCount), Op: supervisor.Start, Epoch: epoch, Unit: target.name,
		Incarnation: incarnation, Kind: supervisor.Kind(target.Kind), Version: target.version, ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: target.Zone})
}

// The night's faults come within faultPeriodMS of its begin.
const faultPeriodMS = 300_000

// scheduleFaults draws the night's faults.
func (c *cluster) scheduleFaults() {
	random := c.random
	drawTime := func() int64 { return 5000 + random.Int64N(faultPeriodMS) }
	c.scheduleZoneLoss(10_000 + random.Int64N(120_000))
	c.scheduleFault(drawTime(), "leader killed between entry and answer", func() { c.registry.dropNextResponse = true })
	for range random.IntN(3) {
		c.scheduleFault(drawTime(), "leader killed", func() { c.registry.crashLeader(1000 + random.Int64N(6000)) })
	}
	if random.IntN(4) == 0 {
		c.scheduleFault(drawTime(), "all replicas killed and started", func() { c.registry.crashLeader(20_000 + random.Int64N(30_000)) })
	}
	for range 2 + random.IntN(5) {
		process, effects, afterEffect := c.processes[random.IntN(len(c.processes))], random.IntN(30), random.IntN(2) == 0
		c.scheduleFault(drawTime(), fmt.Sprintf("a holder of %s killed at its effect %d", process.leaseName, effects), func() {
			c.leaderOf(process).plannedFault = &processFault{effectsUntil: effects, afterEffect: afterEffect}
		})
	}
	for range 1 + random.IntN(3) {
		process, effects, durationMS := c.processes[random.IntN(len(c.processes))], random.IntN(30), 4000+random.Int64N(56_000)
		c.scheduleFault(drawTime(), fmt.Sprintf("a holder of %s frozen for %d ms", process.leaseName, durationMS), func() { c.leaderOf(process).plannedFault = &processFault{effectsUntil: effects, pauseMS: durationMS} })
	}
	if random.IntN(2) == 0 {
		process, durationMS := c.processes[random.IntN(len(c.processes))], 5000+random.Int64N(60_000)
		c.scheduleFault(drawTime(), fmt.Sprintf("a holder of %s and a tenth of the sidecars at a minority for %d ms", process.leaseName, durationMS), func() {
			leader := c.leaderOf(process)
			leader.staleState, leader.partitionedUntilMS = c.registry.clone(), c.nowMS+durationMS
			c.partitionAgents(len(c.sidecars)/10, durationMS)
		})
	}
	count, durationMS := 1+random.IntN(max(len(c.sidecars)/50, 1)), 5000+random.Int64N(100_000)
	c.scheduleFault(drawTime(), fmt.Sprintf("%d sidecars cut off from their agents for %d ms", count, durationMS), func() { c.partitionAgents(count, durationMS) })
	c.schedulePlatformFaults(drawTime)
	for range 3 + random.IntN(10) {
		server := c.servers[random.IntN(len(c.servers))]
		c.scheduleFault(drawTime(), server.ID+" ends by itself", func() { c.platform.Crash(server.name, "signal: killed") })
	}
	c.scheduleClockFaults(drawTime)
	c.scheduleOperatorCommands(drawTime)
	if random.IntN(5) == 0 {
		t := drawTime()
		c.scheduleFault(t, "backup", func() { c.registry.backup = c.registry.clone() })
		c.scheduleFault(t+5000+random.Int64N(60_000), "restore from it", func() {
			c.checker.restoredMS = c.nowMS
			c.registry.restoreBackup()
			for _, t := range tenants { // whoever restores sets again first what was withdrawn since the backup
				if list := c.checker.hours[t.name]; list[len(list)-1].length == 0 && c.registry.windows.Contract(t.name) != nil {
					c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: t.name})
				}
			}
			for _, server := range c.units {
				server.changing = true
			}
		})
	}
}

// leaderOf is who holds a process's duty, or itself.
func (c *cluster) leaderOf(process *process) *process {
	for _, candidate := range c.processes {
		if candidate.leaseName == process.leaseName && candidate.holdsLease() && !candidate.down {
			return candidate
		}
	}
	return process
}

func (c *cluster) partitionAgents(count int, durationMS int64) {
	for range count {
		target := c.sidecars[c.random.IntN(len(c.sidecars))]
		target.sidecar.agentDownUntilMS, target.changing = c.nowMS+durationMS, true
	}
}

// scheduleZoneLoss has a zone lose its power, or be cut off.
func (c *cluster) scheduleZoneLoss(startMS int64) {
	zone, powerLoss, durationMS := zones[c.random.IntN(len(zones))], c.random.IntN(2) == 0, 10_000+c.random.Int64N(80_000)
	manner := "cut off"
	if powerLoss {
		manner = "without power"
	}
	c.scheduleFault(startMS, fmt.Sprintf("zone %s %s for %d ms", zone, manner, durationMS), func() {
		if powerLoss {
			c.powerOffUntilMS[zone] = c.nowMS + durationMS
		}
		for _, member := range c.units {
			if member.Zone != zone {
				continue
			}
			member.changing = true
			if powerLoss {
				c.platform.Crash(member.name, "signal: killed")
			} else {
				member.unreachableUntilMS = c.nowMS + durationMS
			}
		}
	})
	c.scenario.faultsEndMS = max(c.scenario.faultsEndMS, c.nowMS+startMS+durationMS)
}

func (c *cluster) schedulePlatformFaults(drawTime func() int64) {
	random := c.random
	hang := core.Fault{Kind: core.FaultHang, DurationMS: 2000 + random.Int64N(30_000)}
	c.scheduleFault(drawTime(), fmt.Sprintf("the platform hangs for %d ms", hang.DurationMS), c.platformFault(hang))
	for range 1 + random.IntN(4) {
		fault := core.Fault{Kind: []core.FaultKind{core.FaultPartial, core.FaultDropResponse, core.FaultDuplicate, core.FaultWrongUnit, core.FaultLoseState, core.FaultError}[random.IntN(6)], Count: 1 + random.IntN(3)}
		switch fault.Kind {
		case core.FaultLoseState:
			fault.Count, fault.DurationMS = 0, 1000+random.Int64N(20_000)
			c.checker.platformMisbehaved = true
		case core.FaultDuplicate:
			fault.On, fault.Count = core.OnDo, 1
			c.checker.platformMisbehaved = true
		case core.FaultPartial, core.FaultWrongUnit:
			fault.On = core.OnDo
		}
		c.scheduleFault(drawTime(), "the platform: "+string(fault.Kind), c.platformFault(fault))
	}
}

// scheduleClockFaults has some be wrong, by up to an hour; they are mended after a while.
func (c *cluster) scheduleClockFaults(drawTime func() int64) {
	random := c.random
	const hour = 3600_000
	drawOffset := func() int64 { return random.Int64N(2*hour) - hour }
	for range max(len(c.sidecars)/100, 1) {
		sidecar := c.sidecars[random.IntN(len(c.sidecars))].sidecar // one that is wrong keeps off for no time, and no window is empty of it
		earlier, offset := sidecar.offsetMS, drawOffset()
		sidecar.offsetMS = offset
		c.schedule(faultPeriodMS, func() { sidecar.offsetMS = earlier })
	}
	switch offset := drawOffset(); random.IntN(4) {
	case 0:
		c.scheduleFault(drawTime(), fmt.Sprintf("the leader's clock off by %d ms", offset), func() {
			earlier := c.registry.leaderClock
			c.registry.leaderClock.offsetMS = offset
			c.schedule(120_000, func() { c.registry.leaderClock = earlier })
		})
		c.scenario.faultsEndMS += 120_000
	case 1:
		for _, process := range c.processes {
			if sidecar, ok := process.controller.(*maintenanceController); ok {
				c.scheduleFault(drawTime(), fmt.Sprintf("the clock of %s off by %d ms", process.name, offset), func() {
					earlier := sidecar.clock
					sidecar.clock.offsetMS = offset
					c.schedule(120_000, func() { sidecar.clock = earlier })
				})
				break
			}
		}
		c.scenario.faultsEndMS += 120_000
	}
}

// scheduleOperatorCommands do what crosses what is under way.
func (c *cluster) scheduleOperatorCommands(drawTime func() int64) {
	random := c.random
	issue := func(name string, action release.Action) func() {
		return func() {
			if c.registry.hasLeader() {
				c.registry.revision++
				_ = c.registry.releases.Apply(c.registry.revision, &release.Operation{Name: name, Command: &release.Command{Action: action, Operator: "operator/eva"}})
			}
		}
	}
	name := []string{serverReleaseName, sidecarReleaseName}[random.IntN(2)]
	switch random.IntN(5) {
	case 0:
		c.scheduleFault(drawTime(), "release "+name+" halted", issue(name, release.CommandHalt))
	case 1:
		c.scheduleFault(drawTime(), "release "+name+" sent back", issue(name, release.CommandRollback))
	case 2:
		tenant := tenants[random.IntN(len(tenants))].name
		c.scheduleFault(drawTime(), "the contract of "+tenant+" withdrawn", func() {
			if c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: tenant}) == string(maintenance.OutcomeApplied) {
				c.checker.setHours(tenant, c.checker.hours[tenant][0].opens, 0)
				c.scenario.windowFits = false
			}
		})
	}
}

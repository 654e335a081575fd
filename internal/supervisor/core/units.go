package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/supervisor"
)

// apply does what a request asks for, or says why not.
func (c *Core) apply(now int64, r *request, fault *FaultKind) (supervisor.RejectionReason, string) {
	u := c.units[r.Unit]
	current := uint64(0)
	if u != nil {
		current = u.Incarnation
	}
	if r.Incarnation != current {
		return supervisor.IncarnationMismatch, fmt.Sprintf("it is incarnation %d, not %d", current, r.Incarnation)
	}
	if r.Op == supervisor.Start || r.Op == supervisor.Restart {
		if _, ok := c.options.Versions[Version{r.Kind, r.Version}]; !ok {
			return supervisor.UnknownVersion, fmt.Sprintf("there is no %s of version %s", r.Kind, r.Version)
		}
	}
	switch r.Op {
	case supervisor.Start:
		if u != nil && u.State != supervisor.Exited {
			return supervisor.InvalidState, fmt.Sprintf("it is %s", u.State)
		}
		if u == nil && len(c.units) >= c.options.MaxUnits && !c.evictExitedUnit() {
			return supervisor.LimitReached, fmt.Sprintf("%d units are listed, none has exited", len(c.units))
		}
		if len(c.processes) >= 2*c.options.MaxUnits { // more than are listed, after a memory was lost
			return supervisor.LimitReached, fmt.Sprintf("%d processes run", len(c.processes))
		}
		c.launch(now, c.newIncarnation(r), r.ConfigText, fault)
	case supervisor.Stop:
		u.pending = nil
		c.stopUnit(now, u, r.GraceMS, fault)
	case supervisor.Restart:
		next := c.newIncarnation(r)
		if u.State == supervisor.Exited {
			c.launch(now, next, r.ConfigText, fault)
			return "", ""
		}
		u.pending = &pendingLaunch{unit: next, configText: r.ConfigText}
		switch *fault {
		case FaultPartial:
			u.pending, *fault = nil, ""
		case FaultDuplicate:
			u.pending.fault, *fault = FaultDuplicate, ""
		}
		c.stopUnit(now, u, r.GraceMS, fault)
	case supervisor.Reload:
		if u.State != supervisor.Running {
			return supervisor.InvalidState, fmt.Sprintf("it is %s", u.State)
		}
		u.ConfigName = r.ConfigName
		c.emit(Rewrite{u.Name, r.ConfigName, r.ConfigText})
		if *fault == FaultPartial {
			*fault = ""
		} else {
			c.emit(Signal{u.process, Hangup})
		}
	}
	return "", ""
}

// newIncarnation is the unit that a request asks for, with an incarnation of its own.
func (c *Core) newIncarnation(r *request) supervisor.Unit {
	c.lastIncarnation++
	return supervisor.Unit{
		Name: r.Unit, Kind: r.Kind, Version: r.Version, ConfigName: r.ConfigName, Zone: r.Zone, Listen: r.Listen, Incarnation: c.lastIncarnation,
	}
}

// launch has a unit come up, in place of the one of its name.
func (c *Core) launch(now int64, planned supervisor.Unit, configText string, fault *FaultKind) {
	policy := c.options.Versions[Version{planned.Kind, planned.Version}]
	u := &unit{Unit: planned, policy: policy}
	u.State, u.SinceMS = supervisor.Starting, now
	c.units[u.Name] = u
	if *fault == FaultPartial {
		*fault = ""
		return
	}
	c.startProcess(u, configText)
	if *fault == FaultDuplicate {
		*fault = ""
		c.startProcess(&unit{Unit: u.Unit, policy: policy}, "")
	}
}

// startProcess starts a unit's process.
func (c *Core) startProcess(u *unit, configText string) {
	c.lastProcess++
	u.process = c.lastProcess
	c.processes[u.process] = u
	c.emit(Launch{u.process, u.Unit, configText})
}

// stopUnit asks a unit to end; a second time only to end sooner.
func (c *Core) stopUnit(now int64, u *unit, graceMS int64, fault *FaultKind) {
	if *fault == FaultWrongUnit {
		*fault = ""
		if u = c.nextRunning(u); u == nil {
			return
		}
	}
	graceMS = cmp.Or(graceMS, u.policy.GraceMS, defaultGraceMS)
	switch {
	case u.State == supervisor.Exited:
		u.restartAtMS = 0
		return
	case u.process == 0: // a start that was done by half
		c.unitExited(now, u, "never started")
		return
	case u.State != supervisor.Stopping:
		u.State, u.SinceMS = supervisor.Stopping, now
		c.emit(Signal{u.process, Terminate})
		if *fault == FaultPartial {
			*fault = ""
			return
		}
	}
	if dueMS := now + graceMS; u.killAtMS == 0 || dueMS < u.killAtMS {
		u.killAtMS = dueMS
		process := u.process
		c.schedule(dueMS, func(int64) {
			if u.process == process && u.killAtMS == dueMS {
				c.emit(Signal{process, Kill})
			}
		})
	}
}

// nextRunning is the next unit by name, round the list, of the same kind that runs.
func (c *Core) nextRunning(after *unit) *unit {
	names := slices.Sorted(maps.Keys(c.units))
	position, _ := slices.BinarySearch(names, after.Name)
	for i := range names {
		u := c.units[names[(position+1+i)%len(names)]]
		if u != after && u.Kind == after.Kind && u.State == supervisor.Running {
			return u
		}
	}
	return nil
}

// ProcessReady tells that a process has answered its ready check.
func (c *Core) ProcessReady(now int64, process uint64) {
	if u := c.processes[process]; u != nil && u.State == supervisor.Starting {
		u.State, u.SinceMS = supervisor.Running, now
	}
}

// ProcessExited tells that a process has ended or could not be started, and how: one line.
func (c *Core) ProcessExited(now int64, process uint64, exit string) {
	u := c.processes[process]
	if u == nil {
		return
	}
	delete(c.processes, process)
	u.process, u.killAtMS = 0, 0
	if c.units[u.Name] != u {
		return
	}
	requested := u.State == supervisor.Stopping
	c.unitExited(now, u, exit)
	if requested || u.Restarts >= u.policy.MaxRestarts {
		return
	}
	backoffMS := int64(maxRestartBackoffMS)
	if u.Restarts < 6 { // 200 ms doubled six times is above the most
		backoffMS = initialRestartBackoffMS << u.Restarts
	}
	dueMS := now + backoffMS
	u.restartAtMS = dueMS
	c.schedule(dueMS, func(now int64) {
		if c.units[u.Name] == u && u.restartAtMS == dueMS {
			u.restartAtMS = 0
			u.Restarts++
			u.State, u.SinceMS = supervisor.Starting, now
			c.startProcess(u, "")
		}
	})
}

// unitExited notes that a unit has no process, and has the one come up that waits for that.
func (c *Core) unitExited(now int64, u *unit, exit string) {
	u.State, u.SinceMS, u.Exit = supervisor.Exited, now, exit
	if pending := u.pending; pending != nil {
		c.launch(now, pending.unit, pending.configText, &pending.fault)
	}
}

// evictExitedUnit takes the unit off the list that has exited first and that nothing starts again.
func (c *Core) evictExitedUnit() bool {
	var oldest *unit
	for _, u := range c.units {
		if u.State == supervisor.Exited && u.restartAtMS == 0 && (oldest == nil || cmp.Or(cmp.Compare(u.SinceMS, oldest.SinceMS), cmp.Compare(u.Name, oldest.Name)) < 0) {
			oldest = u
		}
	}
	if oldest == nil {
		return false
	}
	delete(c.units, oldest.Name)
	c.emit(Dropped{oldest.Name})
	return true
}

// loseState loses ids, units and all that was to be done to them; processes run on.
func (c *Core) loseState(now, rediscoverAfterMS int64) {
	c.epoch = max(c.epoch+1, uint64(now))
	c.complete = false
	c.units = map[string]*unit{}
	c.records = map[string]*requestRecord{}
	c.recordOrder = nil
	c.lastIncarnation = 0
	for _, u := range c.processes {
		u.killAtMS, u.restartAtMS, u.pending = 0, 0, nil
	}
	if rediscoverAfterMS > 0 {
		epoch := c.epoch
		c.schedule(now+rediscoverAfterMS, func(now int64) {
			if c.epoch == epoch {
				c.rediscover(now)
			}
		})
	}
}

// rediscover lists again what runs and is not known, but for processes of a unit that has another by now.
func (c *Core) rediscover(now int64) {
	c.complete = true
	for _, process := range slices.Sorted(maps.Keys(c.processes)) {
		u := c.processes[process]
		if c.units[u.Name] != nil {
			continue
		}
		c.lastIncarnation++
		u.Incarnation, u.Restarts, u.Exit = c.lastIncarnation, 0, ""
		if u.SinceMS = now; u.State == supervisor.Stopping {
			u.State = supervisor.Running // that it was told to end is forgotten
		}
		c.units[u.Name] = u
	}
}

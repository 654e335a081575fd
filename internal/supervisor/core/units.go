package core

import (
	"cmp"
	"maps"
	"slices"

	"milldeck/internal/supervisor"
)

const (
	defaultGraceMS          = 10_000 // from SIGTERM to SIGKILL
	initialRestartBackoffMS = 200    // from the unrequested exit of a process to its restart; doubled with each restart
	maxRestartBackoffMS     = 10_000
	maxBackoffDoublings     = 5 // one more doubling of the initial backoff exceeds the maximum
)

// unit is a listed unit, or an unlisted unit with a running process: a unit from before a loss of state, or a
// duplicate.
type unit struct {
	supervisor.Unit
	process     uint64 // number of the running process; 0: none
	policy      ProcessPolicy
	killAtMS    int64          // time of the scheduled SIGKILL; 0: none
	restartAtMS int64          // time of the scheduled automatic restart; 0: none
	pending     *pendingLaunch // the start of a requested restart, due when the process has exited
}

// pendingLaunch is the start that completes a requested restart.
type pendingLaunch struct {
	unit       supervisor.Unit
	configText string
	fault      FaultKind // FaultDuplicate or noFault
}

// inTransition reports whether a unit is starting or stopping.
func (u *unit) inTransition() bool {
	return u.State == supervisor.Starting || u.State == supervisor.Stopping
}

// newIncarnation returns a new incarnation of the unit as described by a request.
func (c *Core) newIncarnation(r *request) supervisor.Unit {
	c.lastIncarnation++
	return supervisor.Unit{
		Name:        r.Unit,
		Kind:        r.Kind,
		Version:     r.Version,
		ConfigName:  r.ConfigName,
		Zone:        r.Zone,
		Listen:      r.Listen,
		Incarnation: c.lastIncarnation,
	}
}

// launch lists a unit, replacing the listed unit of the same name, and starts its process.
func (c *Core) launch(now int64, planned supervisor.Unit, configText string, fault *FaultKind) {
	policy := c.options.Versions[Version{planned.Kind, planned.Version}]
	u := &unit{Unit: planned, policy: policy}
	u.State, u.SinceMS = supervisor.Starting, now
	c.units[u.Name] = u
	if fault.consume(FaultPartial) {
		return
	}
	c.startProcess(u, configText)
	if fault.consume(FaultDuplicate) {
		c.startProcess(&unit{Unit: u.Unit, policy: policy}, "")
	}
}

func (c *Core) startProcess(u *unit, configText string) {
	c.lastProcess++
	u.process = c.lastProcess
	c.processes[u.process] = u
	c.emit(Launch{u.process, u.Unit, configText})
}

// stopUnit stops a unit. A further stop can only shorten the grace period.
func (c *Core) stopUnit(now int64, u *unit, graceMS int64, fault *FaultKind) {
	if fault.consume(FaultWrongUnit) {
		if u = c.nextRunning(u); u == nil {
			return
		}
	}
	graceMS = cmp.Or(graceMS, u.policy.GraceMS, defaultGraceMS)
	switch {
	case u.State == supervisor.Exited:
		u.restartAtMS = 0
		return
	case u.process == 0: // after FaultPartial of a start
		c.unitExited(now, u, "never started")
		return
	case u.State != supervisor.Stopping:
		u.State, u.SinceMS = supervisor.Stopping, now
		c.emit(Signal{u.process, Terminate})
		if fault.consume(FaultPartial) {
			return
		}
	}
	if dueMS := now + graceMS; u.killAtMS == 0 || dueMS < u.killAtMS {
		c.scheduleKill(u, dueMS)
	}
}

// scheduleKill schedules a SIGKILL for a unit's process. The signal is not sent if the process has exited by then, or if the
// kill was rescheduled.
func (c *Core) scheduleKill(u *unit, dueMS int64) {
	u.killAtMS = dueMS
	process := u.process
	c.schedule(dueMS, func(int64) {
		if u.process == process && u.killAtMS == dueMS {
			c.emit(Signal{process, Kill})
		}
	})
}

// nextRunning returns the next running unit of the same kind by name, cyclically; nil if there is none.
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

// ProcessReady handles the event that a process has passed its readiness check.
func (c *Core) ProcessReady(now int64, process uint64) {
	if u := c.processes[process]; u != nil && u.State == supervisor.Starting {
		u.State, u.SinceMS = supervisor.Running, now
	}
}

// ProcessExited handles the event that a process has exited or could not be started. exit is a one-line text that says how the
// process ended.
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
	if !requested && u.Restarts < u.policy.MaxRestarts {
		c.scheduleRestart(u, now+restartBackoffMS(u.Restarts))
	}
}

// restartBackoffMS returns the backoff before the next automatic restart of a unit.
func restartBackoffMS(restarts int) int64 {
	if restarts > maxBackoffDoublings {
		return maxRestartBackoffMS
	}
	return initialRestartBackoffMS << restarts
}

// scheduleRestart schedules an automatic restart of a unit. The restart is skipped if the unit has been stopped, replaced or
// started by then.
func (c *Core) scheduleRestart(u *unit, dueMS int64) {
	u.restartAtMS = dueMS
	c.schedule(dueMS, func(now int64) {
		if c.units[u.Name] != u || u.restartAtMS != dueMS {
			return
		}
		u.restartAtMS = 0
		u.Restarts++
		u.State, u.SinceMS = supervisor.Starting, now
		c.startProcess(u, "")
	})
}

// unitExited records that a unit has exited, and launches the pending incarnation of a requested restart.
func (c *Core) unitExited(now int64, u *unit, exit string) {
	u.State, u.SinceMS, u.Exit = supervisor.Exited, now, exit
	if pending := u.pending; pending != nil {
		c.launch(now, pending.unit, pending.configText, &pending.fault)
	}
}

// evictExitedUnit removes the unit that exited first among the exited units without a scheduled restart. It returns
// false if no unit qualifies.
func (c *Core) evictExitedUnit() bool {
	var oldest *unit
	for _, u := range c.units {
		if u.State != supervisor.Exited || u.restartAtMS != 0 {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(u.SinceMS, oldest.SinceMS), cmp.Compare(u.Name, oldest.Name)) < 0 {
			oldest = u
		}
	}
	if oldest == nil {
		return false
	}
	delete(c.units, oldest.Name)
	c.emit(UnitRemoved{oldest.Name})
	return true
}

// loseState begins a new epoch without units and remembered requests. Processes keep running, and their scheduled kills and
// restarts are dropped. The platform finds the processes again after rediscoverAfterMS; 0: never.
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
	if rediscoverAfterMS == 0 {
		return
	}
	epoch := c.epoch
	c.schedule(now+rediscoverAfterMS, func(now int64) {
		if c.epoch == epoch {
			c.rediscover(now)
		}
	})
}

// rediscover lists the units of unlisted processes, unless a unit of the same name is listed.
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
			u.State = supervisor.Running // the stop request was lost with the state
		}
		c.units[u.Name] = u
	}
}

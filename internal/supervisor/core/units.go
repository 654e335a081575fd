package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/supervisor"
)

// apply does what a request asks for, or says why not.
func (c *Core) apply(now int64, r *request, fault *FaultKind) (supervisor.Reason, string) {
	u := c.units[r.Unit]
	current := uint64(0)
	if u != nil {
		current = u.Incarnation
	}
	if r.Incarnation != current {
		return supervisor.Stale, fmt.Sprintf("it is incarnation %d, not %d", current, r.Incarnation)
	}
	if r.Op == supervisor.Start || r.Op == supervisor.Restart {
		if _, known := c.opts.Versions[Version{r.Kind, r.Version}]; !known {
			return supervisor.NoVersion, fmt.Sprintf("there is no %s of version %s", r.Kind, r.Version)
		}
	}
	switch r.Op {
	case supervisor.Start:
		if u != nil && u.State != supervisor.Exited {
			return supervisor.Busy, fmt.Sprintf("it is %s", u.State)
		}
		if u == nil && len(c.units) >= c.opts.MostUnits && !c.drop() {
			return supervisor.Full, fmt.Sprintf("%d units are listed, none has exited", len(c.units))
		}
		if len(c.procs) >= 2*c.opts.MostUnits { // more than are listed, after a memory was lost
			return supervisor.Full, fmt.Sprintf("%d processes run", len(c.procs))
		}
		c.launch(now, c.planned(r), r.File, fault)
	case supervisor.Stop:
		u.next = nil
		c.stop(now, u, r.GraceMS, fault)
	case supervisor.Restart:
		next := c.planned(r)
		if u.State == supervisor.Exited {
			c.launch(now, next, r.File, fault)
			return "", ""
		}
		u.next = &pendingLaunch{unit: next, file: r.File}
		switch *fault {
		case Half:
			u.next, *fault = nil, ""
		case Twice:
			u.next.fault, *fault = Twice, ""
		}
		c.stop(now, u, r.GraceMS, fault)
	case supervisor.Reload:
		if u.State != supervisor.Running {
			return supervisor.Busy, fmt.Sprintf("it is %s", u.State)
		}
		u.Config = r.Config
		c.effect(Rewrite{u.Name, r.Config, r.File})
		if *fault == Half {
			*fault = ""
		} else {
			c.effect(Signal{u.proc, Hup})
		}
	}
	return "", ""
}

// planned is the unit that a request asks for, with an incarnation of its own.
func (c *Core) planned(r *request) supervisor.Unit {
	c.lastIncarnation++
	return supervisor.Unit{
		Name: r.Unit, Kind: r.Kind, Version: r.Version, Config: r.Config, Zone: r.Zone, Listen: r.Listen, Incarnation: c.lastIncarnation,
	}
}

// launch has a unit come up, in place of the one of its name.
func (c *Core) launch(now int64, as supervisor.Unit, file string, fault *FaultKind) {
	rules := c.opts.Versions[Version{as.Kind, as.Version}]
	u := &unit{Unit: as, rules: rules}
	u.State, u.SinceMS = supervisor.Starting, now
	c.units[u.Name] = u
	if *fault == Half {
		*fault = ""
		return
	}
	c.run(u, file)
	if *fault == Twice {
		*fault = ""
		c.run(&unit{Unit: u.Unit, rules: rules}, "")
	}
}

// run starts a unit's process.
func (c *Core) run(u *unit, file string) {
	c.lastProc++
	u.proc = c.lastProc
	c.procs[u.proc] = u
	c.effect(Launch{u.proc, u.Unit, file})
}

// stop asks a unit to end; a second time only to end sooner.
func (c *Core) stop(now int64, u *unit, grace int64, fault *FaultKind) {
	if *fault == Wrong {
		*fault = ""
		if u = c.other(u); u == nil {
			return
		}
	}
	grace = cmp.Or(grace, u.rules.GraceMS, defaultGrace)
	switch {
	case u.State == supervisor.Exited:
		u.restartAt = 0
		return
	case u.proc == 0: // a start that was done by half
		c.exited(now, u, "never started")
		return
	case u.State != supervisor.Stopping:
		u.State, u.SinceMS = supervisor.Stopping, now
		c.effect(Signal{u.proc, Term})
		if *fault == Half {
			*fault = ""
			return
		}
	}
	if due := now + grace; u.killAt == 0 || due < u.killAt {
		u.killAt = due
		proc := u.proc
		c.at(due, func(int64) {
			if u.proc == proc && u.killAt == due {
				c.effect(Signal{proc, Kill})
			}
		})
	}
}

// other is the next unit by name, round the list, of the same kind that runs.
func (c *Core) other(than *unit) *unit {
	all := slices.Sorted(maps.Keys(c.units))
	at, _ := slices.BinarySearch(all, than.Name)
	for i := range all {
		u := c.units[all[(at+1+i)%len(all)]]
		if u != than && u.Kind == than.Kind && u.State == supervisor.Running {
			return u
		}
	}
	return nil
}

// Ready tells that a process has answered its ready check.
func (c *Core) Ready(now int64, proc uint64) {
	if u := c.procs[proc]; u != nil && u.State == supervisor.Starting {
		u.State, u.SinceMS = supervisor.Running, now
	}
}

// Ended tells that a process has ended or could not be started, and how: one line.
func (c *Core) Ended(now int64, proc uint64, how string) {
	u := c.procs[proc]
	if u == nil {
		return
	}
	delete(c.procs, proc)
	u.proc, u.killAt = 0, 0
	if c.units[u.Name] != u {
		return
	}
	asked := u.State == supervisor.Stopping
	c.exited(now, u, how)
	if asked || u.Restarts >= u.rules.Restarts {
		return
	}
	wait := int64(restartMost)
	if u.Restarts < 6 { // 200 ms doubled six times is above the most
		wait = restartFirst << u.Restarts
	}
	due := now + wait
	u.restartAt = due
	c.at(due, func(now int64) {
		if c.units[u.Name] == u && u.restartAt == due {
			u.restartAt = 0
			u.Restarts++
			u.State, u.SinceMS = supervisor.Starting, now
			c.run(u, "")
		}
	})
}

// exited notes that a unit has no process, and has the one come up that waits for that.
func (c *Core) exited(now int64, u *unit, how string) {
	u.State, u.SinceMS, u.Exit = supervisor.Exited, now, how
	if next := u.next; next != nil {
		c.launch(now, next.unit, next.file, &next.fault)
	}
}

// drop takes the unit off the list that has exited first and that nothing starts again.
func (c *Core) drop() bool {
	var first *unit
	for _, u := range c.units {
		if u.State == supervisor.Exited && u.restartAt == 0 && (first == nil || cmp.Or(cmp.Compare(u.SinceMS, first.SinceMS), cmp.Compare(u.Name, first.Name)) < 0) {
			first = u
		}
	}
	if first == nil {
		return false
	}
	delete(c.units, first.Name)
	c.effect(Dropped{first.Name})
	return true
}

// forget loses ids, units and all that was to be done to them; processes run on.
func (c *Core) forget(now, findIn int64) {
	c.memory = max(c.memory+1, uint64(now))
	c.complete = false
	c.units = map[string]*unit{}
	c.ids = map[string]*remembered{}
	c.order = nil
	c.lastIncarnation = 0
	for _, u := range c.procs {
		u.killAt, u.restartAt, u.next = 0, 0, nil
	}
	if findIn > 0 {
		memory := c.memory
		c.at(now+findIn, func(now int64) {
			if c.memory == memory {
				c.find(now)
			}
		})
	}
}

// find lists again what runs and is not known, but for processes of a unit that has another by now.
func (c *Core) find(now int64) {
	c.complete = true
	for _, proc := range slices.Sorted(maps.Keys(c.procs)) {
		u := c.procs[proc]
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

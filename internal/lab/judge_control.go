package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// ControlJudge decides whether the control plane broke a rule, from processes that begin, answer and end, from the list
// and from what sidecars are told; it asks no controller. Times are ms of the run. It may be called concurrently.
//
// A unit is in where its process answers and, of a server, the list calls it ready; otherwise it is out. It was taken
// out where it was told to end or the list calls it draining, and it failed where a fault of the lab's or its own end
// came first. Only what is taken out can break a budget: what fails counts against it once it may be known.
type ControlJudge struct {
	j      *Judge
	plan   *Plan
	file   *ControlFile
	units  map[string]*controlled
	kept   map[int]map[keptOff]span // by sidecar: what it keeps off, since when and until when
	copies map[int][]Copied         // by sidecar
	copied map[Copied]int           // how many sidecars are told of each
	cold   [spreadParts]struct {
		slot int
		work float64
	}
	keepings int
	outside  float64        // ms
	mostOut  map[string]int // by kind
	coldest  float64
	warned   float64 // when the rule on it was broken last; before the run at the start
	bears    float64 // work that all servers do in a second, ms
	excuses  []excuse
}

// controlled is a unit as the judge sees it.
type controlled struct {
	name, kind, zone, of string
	lives                map[string]*life
	listed               string // of a server, as the list has it; "": not at all
	out                  bool
	since                float64
	planned              bool
	fault                span   // of the lab's, that befalls it
	version              string // of the newest life
	last                 *life  // that ended newest
	wants                EndFile
}

// life is a process of a unit.
type life struct {
	version string
	ready   bool
	was     bool // ready once
	told    bool
}

type keptOff struct {
	tenant, server string
}

// excuse is a time in which the platform itself does wrong, as the lab had it.
type excuse struct {
	span
	what string
}

const (
	spreadParts = 20 // parts of the window in which cold work is counted
	// hourSlack in ms is what the judge's own news may be late by.
	hourSlack = 500
)

// Names of the states of the list.
const (
	listReady    = "Ready"
	listDraining = "Terminating"
)

// NewControlJudge makes the judge of a run's control plane; what it finds is part of j's verdict.
func NewControlJudge(p *Plan, j *Judge) *ControlJudge {
	c := &ControlJudge{j: j, plan: p, file: p.File.Control, units: map[string]*controlled{}, kept: map[int]map[keptOff]span{}, copies: map[int][]Copied{}, copied: map[Copied]int{}, mostOut: map[string]int{}, warned: math.Inf(-1)}
	wants := func(version string) EndFile { return EndFile{Version: version} }
	for i := range p.Servers {
		s := &p.Servers[i]
		c.bears += 1000 * float64(s.Kind.Cores) * s.Speed
		c.units[s.UID] = &controlled{
			name: s.UID, kind: "server", zone: p.File.Zones[s.Zone], of: s.Kind.Kind, lives: map[string]*life{}, out: true,
			wants: wants(c.file.ServerVersion),
		}
	}
	for i := range p.Sidecars {
		s := &p.Sidecars[i]
		c.units[s.Name] = &controlled{
			name: s.Name, kind: "sidecar", zone: p.File.Zones[s.Zone], lives: map[string]*life{}, out: true,
			wants: wants(c.file.SidecarVersion),
		}
	}
	for _, e := range c.file.Ends {
		of, beside := p.Units(e.Target)
		for _, i := range of {
			c.units[p.Servers[i].UID].wants = e
		}
		for _, i := range beside {
			c.units[p.Sidecars[i].Name].wants = e
		}
	}
	return c
}

// with has a unit changed and then looked at, under the lock.
func (c *ControlJudge) with(now float64, unit string, planned bool, do func(u *controlled)) {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	u := c.units[unit]
	if u == nil {
		return // none of the experiment's
	}
	do(u)
	in := u.in()
	switch {
	case in:
		u.out = false
	case !u.out:
		u.out, u.since = true, now
		if u.planned = planned && !u.failed(now); u.planned {
			c.budget(now, u)
			c.countOut(u.kind)
		}
	}
}

// countOut keeps the most units of a kind that were taken out at a time.
func (c *ControlJudge) countOut(kind string) {
	n := 0
	for _, u := range c.units {
		if u.kind == kind && u.out && u.planned {
			n++
		}
	}
	c.mostOut[kind] = max(c.mostOut[kind], n)
}

// in tells whether it serves.
func (u *controlled) in() bool {
	if u.kind == "server" && u.listed != listReady {
		return false
	}
	for _, l := range u.lives {
		if l.ready && !l.told {
			return true
		}
	}
	return false
}

// failed tells whether a fault of the lab's befalls it.
func (u *controlled) failed(now float64) bool { return now >= u.fault.from && now <= u.fault.to }

// budget looks whether a unit that was taken out now may be.
func (c *ControlJudge) budget(now float64, u *controlled) {
	for i := range c.file.Budgets {
		b := &c.file.Budgets[i]
		if !b.selects(u) {
			continue
		}
		var names []string
		for _, name := range slices.Sorted(maps.Keys(c.units)) {
			o := c.units[name]
			if o.out && b.selects(o) && (o.planned || now-o.since > c.file.SightMS) {
				names = append(names, name)
			}
		}
		if len(names) > b.Most {
			c.j.breaks(now, RuleBudget, nil, fmt.Sprintf("%s is taken out, of %s then %d are out, at most %d may be: %s",
				u.name, b.Name, len(names), b.Most, strings.Join(names, " ")))
		}
	}
}

func (b *BudgetFile) selects(u *controlled) bool {
	return b.Kind == u.kind && (b.Zone == "" || b.Zone == u.zone) && (b.Of == "" || b.Of == u.of)
}

// Began: a process of a unit has begun; life names it.
func (c *ControlJudge) Began(now float64, unit, life_, version string) {
	c.with(now, unit, false, func(u *controlled) {
		for _, name := range slices.Sorted(maps.Keys(u.lives)) {
			if name != life_ && !c.excused(now, "twice", "forget") {
				c.j.breaks(now, RuleOnce, nil, fmt.Sprintf("%s is started while its process %s still runs", unit, name))
			}
		}
		if l := u.last; l != nil && l.told && l.was && l.version == version && !u.failed(now) && !c.excused(now, "twice", "forget", "wrong") {
			c.j.breaks(now, RuleOnce, nil, fmt.Sprintf("%s was ready on version %s, was told to end and is started on it again", unit, version))
		}
		u.lives[life_], u.version = &life{version: version}, version
	})
}

// Ready: a process answers that it is, or that it is not any more.
func (c *ControlJudge) Ready(now float64, unit, life string, ready bool) {
	c.with(now, unit, false, func(u *controlled) {
		if l := u.lives[life]; l != nil {
			l.ready, l.was = ready, l.was || ready
		}
	})
}

// Told: a process has been told to end.
func (c *ControlJudge) Told(now float64, unit, life string) {
	c.with(now, unit, !c.excused(now, "wrong"), func(u *controlled) {
		if l := u.lives[life]; l != nil {
			l.told = true
		}
	})
}

// Ended: a process has ended.
func (c *ControlJudge) Ended(now float64, unit, life string) {
	c.with(now, unit, false, func(u *controlled) {
		if l := u.lives[life]; l != nil {
			delete(u.lives, life)
			u.last = l
		}
	})
}

// Listed: the list has a server in this state; "" is not at all.
func (c *ControlJudge) Listed(now float64, unit, state string) {
	c.with(now, unit, state == listDraining, func(u *controlled) { u.listed = state })
}

// Fault: the lab itself does something to a unit, which may be out for it within this time.
func (c *ControlJudge) Fault(unit string, from, to float64) {
	c.with(from, unit, false, func(u *controlled) { u.fault = span{from, max(to, u.fault.to)} })
}

// Platform: within this time the platform itself does wrong, in the way of its fault.
func (c *ControlJudge) Platform(what string, from, to float64) {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	if len(c.excuses) < mostSpans {
		c.excuses = append(c.excuses, excuse{span{from, to}, what})
	}
}

func (c *ControlJudge) excused(now float64, what ...string) bool {
	return slices.ContainsFunc(c.excuses, func(e excuse) bool {
		return now >= e.from && now <= e.to && slices.Contains(what, e.what)
	})
}

// Finish ends the run: all units have to stand as they should.
func (c *ControlJudge) Finish(now float64) {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	for _, i := range slices.Sorted(maps.Keys(c.kept)) {
		for _, key := range sortedKept(c.kept[i]) {
			s := c.kept[i][key]
			c.hours(now, i, key, span{s.from, min(s.to, now)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.units)) {
		u := c.units[name]
		if u.failed(now) {
			continue
		}
		switch {
		case u.wants.Gone && len(u.lives) > 0:
			c.j.breaks(now, RuleStranded, nil, name+" still runs, and should be gone")
		case u.wants.Gone:
		case u.out:
			c.j.breaks(now, RuleStranded, nil, fmt.Sprintf("%s is out since %.0f ms, %s", name, u.since, u.how()))
		case u.version != u.wants.Version && !c.file.Mixed:
			c.j.breaks(now, RuleStranded, nil, fmt.Sprintf("%s is on version %s, and should be on %s", name, u.version, u.wants.Version))
		}
	}
}

// how says in what state a unit that is out is.
func (u *controlled) how() string {
	switch {
	case len(u.lives) == 0:
		return "no process of it runs"
	case u.kind == "server" && u.listed != listReady:
		return fmt.Sprintf("the list has it as %q", u.listed)
	default:
		return "its process does not answer that it is ready"
	}
}

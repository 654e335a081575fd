package controlplane

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/hotkey"
	"milldeck/internal/placement"
)

// What servers bear and how hot the hot key is: 300 servers' load, met by all sidecars.
const (
	bearMS   = 1000 // of work a second, each server
	workMS   = 50   // a request
	hotPart  = 0.15 // of what all servers bear
	coldSpan = 10   // s over which cold work is judged
)

// spreader is the decider of hot keys.
type spreader struct {
	p     *process
	token uint64
	d     *hotkey.Planner
}

func (w *world) spreader(k int) *process {
	return w.process(fmt.Sprintf("spread-%d", k), hotkey.LeaseName, func(p *process) controller { return &spreader{p: p} })
}

func (w *world) spreadConfig() hotkey.Config { return hotkey.DefaultConfig(bearMS, workMS) }

func (c *spreader) take(token uint64) {
	d, err := hotkey.NewPlanner(c.p.w.spreadConfig())
	if err != nil {
		panic(err) // the default can be
	}
	c.token, c.d = token, d
	d.SetExpectedSidecars(len(c.p.w.sidecars))
	d.SetServers(c.servers())
	w := c.p.w
	d.Restore(float64(w.now)/1000, w.plane.places.CompleteUpdate(w.now+w.plane.leader.off).Directives)
}

func (c *spreader) servers() []hotkey.Server {
	w := c.p.w
	off := map[string]bool{}
	for _, win := range w.plane.windows.Windows() {
		if win.ExcludedUntilMS != 0 {
			for _, uid := range win.ServerUIDs {
				off[uid] = true
			}
		}
	}
	list := make([]hotkey.Server, 0, len(w.servers))
	for _, u := range w.servers {
		k, _ := w.plane.ledger.Unit(u.ID)
		if k.Condition == disruption.ConditionLost {
			continue
		}
		list = append(list, hotkey.Server{UID: u.name, Zone: u.Zone, Pod: u.PodGroup, Capacity: 1, BootMS: float64(u.bootMS), Excluded: off[u.name],
			Ready: k.Condition == disruption.ConditionUp || k.Condition == disruption.ConditionWarmingUp, WarmingUp: k.Condition == disruption.ConditionWarmingUp})
	}
	return list
}

// step decides once a second while there is a hot key or an entry is left of it.
func (c *spreader) step() {
	w := c.p.w
	now := float64(w.now) / 1000
	if w.now%1000 != 0 || c.p.cut > w.now || !w.heated() {
		return
	}
	c.d.SetServers(c.servers())
	all := hotPart * bearMS * float64(len(w.servers))
	for _, u := range w.sidecars {
		if !u.alive || u.car.mute > w.now {
			continue
		}
		r := placement.LoadReport{Sidecar: u.name, PlacementRevision: u.car.rev, IntervalMS: 1000, TotalKeyLoad: 2 * all / float64(len(w.sidecars))}
		if w.hot() {
			r.HotKeys = []placement.KeyLoad{{KeyHash: hotkey.FormatKey(w.night.hotKey), Load: all / float64(len(w.sidecars))}}
		}
		c.d.AddReport(now, &r)
	}
	for _, e := range c.d.Plan(now) {
		if !c.p.act(func() { c.carry(e) }) {
			return
		}
	}
}

func (c *spreader) carry(e hotkey.Change) {
	w, d := c.p.w, c.d
	op := &placement.Op{}
	id := e.RemoveID
	if e.Set != nil {
		id = e.Set.ID
		op.Set = []placement.Directive{*e.Set}
	} else {
		op.Delete = []string{e.RemoveID}
	}
	a, known := c.p.write(c.token, func() (string, string) {
		op.LeaderTimeMS = w.now + w.plane.leader.off
		had := map[string]bool{}
		if e.Set != nil {
			for _, old := range w.plane.places.CompleteUpdate(op.LeaderTimeMS).Directives {
				if old.ID == id {
					for _, k := range old.Copies {
						had[k.ServerUID] = true
					}
				}
			}
		}
		result := w.plane.places.Apply(w.plane.rev, hotkey.LeaseName, op)
		if result.Outcome == placement.OutcomeApplied && e.Set != nil {
			w.judge.copies(e.Set, had)
		}
		return string(result.Outcome), result.Reason
	})
	if known && a.outcome == string(placement.OutcomeApplied) {
		d.Confirm(id, w.plane.rev)
	}
}

// hot tells whether the key is hot now; heated, whether its spread may still stand.
func (w *world) hot() bool {
	return w.night != nil && w.now >= w.night.hotFrom && w.now < w.night.hotTo
}

func (w *world) heated() bool {
	return w.night != nil && w.now >= w.night.hotFrom-3000 && w.now < w.night.hotTo+60_000
}

// copies: an entry is told, and its copies that were not there before are to be warmed.
func (j *referee) copies(e *placement.Directive, had map[string]bool) {
	cfg := j.w.spreadConfig()
	added := 0
	for _, k := range e.Copies {
		if !had[k.ServerUID] {
			added++
		}
	}
	sec := j.w.now / 1000
	j.cold[sec] += float64(added) * cfg.WarmupWork
	sum := 0.0
	for s := sec - coldSpan + 1; s <= sec; s++ {
		sum += j.cold[s]
	}
	// A second of the budget may be saved up, and so may a second of the least.
	rate := max(cfg.WarmupBudget*bearMS*float64(len(j.w.servers)), cfg.MinWarmupBudget)
	if sum > rate*(coldSpan+1) {
		j.breaks(ruleSpread, fmt.Sprintf("%.0f ms of cold work within %d s, %.0f allowed", sum, coldSpan, rate*(coldSpan+1)))
	}
	if n := float64(len(e.Copies)); n > cfg.ReplicasPerServer*float64(len(j.w.servers)) {
		j.breaks(ruleSpread, fmt.Sprintf("%.0f copies", n))
	}
}

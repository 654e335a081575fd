package spread

import (
	"cmp"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// widen starts copies while the budgets last. Each goes to the key where it takes most work off servers that have too
// much, for the same cost; what stands in for a server that leaves goes first.
func (d *Decider) widen(now float64) {
	type want struct {
		k         *spreadKey
		own, have float64 // ms/s that all its servers bear
	}
	var wants []*want
	count := float64(d.copies())
	for _, k := range d.sorted() {
		own := k.ownBears(&d.fleet)
		_, all := k.bears(&d.fleet, &d.cfg)
		w := &want{k, own, own + all}
		if w.have >= k.need {
			continue
		}
		for _, c := range k.copies { // what still is warm comes back for nothing
			if c.stage == Cooling && !d.fleet.leaving[c.uid] && w.have < k.need {
				c.stage = Carrying
				w.have += d.fleet.bears(d.fleet.at[c.uid])
				k.narrowAt = math.Max(k.narrowAt, now+d.cfg.Hold)
			}
		}
		wants = append(wants, w)
	}
	// gain is what a further copy takes off the key's servers, of what is too much for them.
	gain := func(w *want) float64 {
		if len(w.k.copies) >= placement.MaxCopiesPerKey || w.have >= w.k.need || w.k.count(Warming) >= max(d.cfg.Warmers, w.k.count(Carrying)) {
			return 0
		}
		if w.k.keep > w.have {
			if w.k.count(Warming) >= max(d.cfg.Warmers/3, 1) { // what leaves still carries, and is not to lose its part at once
				return 0
			}
			return math.Inf(1)
		}
		if len(w.k.copies) >= widest {
			return 0
		}
		return math.Min(w.k.low-w.k.room*w.have, w.k.low*d.cfg.Bear/(w.have+d.cfg.Bear))
	}
	for len(wants) > 0 && d.cold >= d.cfg.ColdWork && d.start >= 1 && count < d.mostCopies() {
		w := slices.MaxFunc(wants, func(a, b *want) int { return cmp.Compare(gain(a), gain(b)) })
		if gain(w) <= 0 {
			return
		}
		i := d.choose(w.k)
		if i < 0 {
			wants = slices.DeleteFunc(wants, func(x *want) bool { return x == w })
			continue
		}
		w.k.copies = append(w.k.copies, &copyOf{uid: d.fleet.servers[i].UID, since: now})
		w.k.narrowAt = math.Max(w.k.narrowAt, now+d.cfg.Hold)
		w.have += d.fleet.bears(i)
		d.cold -= d.cfg.ColdWork
		d.start--
		count++
	}
}

// choose returns the first server in the key's order that may get a copy, or -1. Zones and pod groups that have less of
// the key go first: a server of a zone that has more than its part, or of a pod group that has one already, waits until
// there is no other.
func (d *Decider) choose(k *spreadKey) int {
	zones, pods := map[string]int{}, map[int]int{}
	taken := map[int]bool{}
	add := func(i int) {
		if !taken[i] {
			taken[i] = true
			zones[d.fleet.servers[i].Zone]++
			pods[d.fleet.servers[i].Pod]++
		}
	}
	d.fleet.eachOwn(k.key, add)
	for _, c := range k.copies {
		add(d.fleet.at[c.uid])
	}
	most := len(taken)/d.fleet.zones + 1
	second := -1
	for _, at := range d.fleet.order(k.key) {
		i := int(at)
		if taken[i] || !d.fleet.free(i) {
			continue
		}
		s := &d.fleet.servers[i]
		if zones[s.Zone] < most && pods[s.Pod] == 0 {
			return i
		}
		if second < 0 || zones[s.Zone] < zones[d.fleet.servers[second].Zone] {
			second = i
		}
	}
	return second
}

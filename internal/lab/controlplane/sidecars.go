package controlplane

import (
	"milldeck/internal/placement"
)

// walk has sidecars take in what their agents have, and end what is over.
func (w *world) walk() {
	if rev := max(w.plane.places.Revision(), w.plane.rev); rev != w.moved {
		w.moved, w.walkTo = rev, w.now+3000
	}
	if w.now > w.walkTo && w.now%5000 != 0 {
		return
	}
	leader := w.now + w.plane.leader.off
	whole := w.plane.places.CompleteUpdate(leader)
	for _, u := range w.sidecars {
		c := u.car
		for _, id := range sorted(c.forced) {
			if f := c.forced[id]; f.end <= w.now {
				w.lapse(u, id, f.end)
			}
		}
		if !u.alive || u.ready > w.now || c.mute > w.now || w.now%1000 < c.lag%1000-tickMS {
			continue
		}
		c.list = w.plane.rev
		if c.rev == whole.Revision && c.epoch == whole.Epoch {
			continue
		}
		had := c.rev
		if c.epoch != whole.Epoch {
			had = 0
		}
		c.rev, c.epoch = whole.Revision, whole.Epoch
		told := map[string]bool{}
		for i := range whole.Directives {
			if e := &whole.Directives[i]; e.Kind == placement.KindExclude {
				told[e.ID] = true
				if e.Revision > had || c.forced[e.ID] == nil {
					w.force(u, e, e.ExpiresAtMS-leader)
				}
			}
		}
		for _, id := range sorted(c.forced) {
			if !told[id] {
				w.lapse(u, id, w.now)
			}
		}
	}
}

// force has a sidecar follow an entry: until its own clock says that it is over, or what was left of it has passed.
func (w *world) force(u *unit, e *placement.Directive, left int64) {
	c := u.car
	end := min(e.ExpiresAtMS-c.off, w.now+left)
	f := c.forced[e.ID]
	if f != nil && f.end <= w.now {
		w.lapse(u, e.ID, f.end)
		f = nil
	}
	if end <= w.now {
		return
	}
	if f == nil {
		f = &forced{tenant: e.Tenant, since: w.now, drain: w.now + 1000 + w.rng.Int64N(8000)}
		c.forced[e.ID] = f
	}
	f.end = end
}

func (w *world) lapse(u *unit, id string, at int64) {
	f := u.car.forced[id]
	delete(u.car.forced, id)
	w.judge.kept(u, f.tenant, f.since, min(f.end, at))
}

func (w *world) lapseAll(u *unit) {
	for _, id := range sorted(u.car.forced) {
		w.lapse(u, id, w.now)
	}
}

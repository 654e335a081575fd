package controlplane

import (
	"context"
	"fmt"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// releaser is the controller of a release or a drain.
type releaser struct {
	p       *process
	name    string
	token   uint64
	state   *release.State
	answers map[string]supervisor.Outcome
	denied  map[string]string
	empty   *release.DrainTracker
	watch   *release.WaveAnalysis
	begun   int64
	seen    int64
	late    []release.Delta // by a planted fault: not written yet
}

func (w *world) releaser(name string, k int) *process {
	return w.process(fmt.Sprintf("%s-%d", name, k), release.Owner(name), func(p *process) controller { return &releaser{p: p, name: name} })
}

func (c *releaser) take(token uint64) {
	c.token, c.state = token, nil
	c.answers, c.denied, c.late = map[string]supervisor.Outcome{}, map[string]string{}, nil
	c.empty, c.watch, c.begun = release.NewDrainTracker(longest), release.NewWaveAnalysis(8), c.p.w.now
}

// load reads the release anew where it is not known, or was written by another.
func (c *releaser) load(s *state) bool {
	at, _ := s.releases.Get(c.name)
	if at == nil {
		c.state = nil
		return false
	}
	if c.state == nil || len(c.late) == 0 && (c.state.Sequence != at.Sequence || c.state.StartRevision != at.StartRevision) {
		own := *at
		own.Units = slices.Clone(at.Units)
		c.state = &own
	}
	return true
}

// stepsAtOnce is how many steps a controller takes in a tick while each writes something: it goes on 50 ms after a write,
// and a write takes about as long.
const stepsAtOnce = 4

func (c *releaser) step() {
	if c.p.w.now%c.p.w.stepMS != 0 {
		return
	}
	for range stepsAtOnce {
		if c.p.dead || c.p.frozen > c.p.w.now || !c.once() {
			return
		}
	}
}

// once takes one step, and tells whether it was written.
func (c *releaser) once() bool {
	w, s := c.p.w, c.p.reads()
	if s == nil || !c.load(s) {
		return false
	}
	_, told := s.releases.Get(c.name)
	if c.state.Status.Phase.Finished() && c.state.Status.HandledCommands == len(told) {
		return false
	}
	l := w.list()
	c.look(s, l)
	wall := w.now
	v := &release.View{
		NowMS: wall, Token: c.token, Platform: l, Outcomes: c.answers, DeniedPermits: c.denied, Commands: told,
		Unit:            s.ledger.Unit,
		Permit:          func(id string) (disruption.Permit, bool) { return c.permit(s, id) },
		Prepared:        func(string) bool { return true },
		Drained:         func(id string) bool { return c.empty.Drained(w.now-c.begun+1, id) },
		Running:         func(string) (release.Image, bool) { return release.Image{}, false },
		ConfigRejection: func(string, string) string { return "" },
		Verdict:         c.verdict(l),
	}
	effects := c.state.Reconcile(v)
	if !c.call(effects) {
		return false
	}
	wrote := false
	for _, e := range effects {
		if _, is := e.(release.CallPlatform); is {
			continue
		}
		if !c.p.act(func() { c.carry(e) }) || c.state == nil {
			return false
		}
		_, wrote = e.(release.WriteDelta)
	}
	if w.now%3000 == 0 {
		c.flush()
	}
	return wrote
}

func (c *releaser) permit(s *state, id string) (disruption.Permit, bool) {
	if s == c.p.w.plane.state {
		return c.p.w.plane.permit(id)
	}
	return s.ledger.Permit(id)
}

// look takes in which lists sidecars have.
func (c *releaser) look(s *state, _ *supervisor.List) {
	if !c.state.DrainOnly && c.state.Plan.Kind() != disruption.KindServer {
		return
	}
	var living []string
	has := make(map[string]uint64, len(c.p.w.sidecars))
	var drains []string
	rev := uint64(0)
	for _, id := range sorted(s.drains) {
		drains = append(drains, id)
		rev = max(rev, s.drains[id])
	}
	for _, u := range c.p.w.sidecars {
		if k, is := s.ledger.Unit(u.ID); is && k.Condition != disruption.ConditionLost {
			living = append(living, u.name)
			has[u.name] = u.car.list
		}
	}
	c.empty.Update(c.p.w.now-c.begun+1, drains, rev, living, has)
}

// verdict is the watch's, of what requests met in the second before.
func (c *releaser) verdict(l *supervisor.List) judge.Verdict {
	w := c.p.w
	if w.traffic == nil || c.state.Plan.Change.ServerVersion == "" || c.state.DrainOnly {
		return judge.Verdict{Outcome: judge.Pass}
	}
	if w.now-c.seen >= 1000 {
		c.seen = w.now
		c.watch.Add(c.state, w.traffic.interval(c.state))
	}
	return c.watch.Verdict(c.state)
}

// call asks the platform, all requests at once.
func (c *releaser) call(effects []release.Effect) bool {
	w := c.p.w
	var reqs []supervisor.Request
	for _, e := range effects {
		if do, is := e.(release.CallPlatform); is && len(reqs) < supervisor.MaxRequests {
			r := do.Request
			if r.Op == supervisor.Start && r.ConfigName != "" {
				r.ConfigText = r.ConfigName
			}
			reqs = append(reqs, r)
		}
	}
	if len(reqs) == 0 {
		return true
	}
	answers := c.answers
	return c.p.act(func() {
		w.judge.asked(reqs)
		out, err := w.platform.Do(context.Background(), reqs...)
		if err != nil {
			return
		}
		for _, o := range out {
			answers[o.ID] = o
		}
	})
}

// carry does one effect but a call.
func (c *releaser) carry(e release.Effect) {
	w, token := c.p.w, c.token
	switch e := e.(type) {
	case release.ApplyLedgerOp:
		op := e.Op
		a, known := c.p.write(token, func() (string, string) { return w.plane.ledgerOp(&op) })
		if known && op.Kind == disruption.OpRequest {
			delete(c.denied, op.Permit.ID)
			if a.outcome != string(disruption.OutcomeApplied) && a.outcome != stale {
				c.denied[op.Permit.ID] = a.why
			}
		}
	case release.MarkTerminating:
		c.p.write(token, func() (string, string) { return w.terminate(e.Unit), "" })
	case release.MarkReady:
		c.p.write(token, func() (string, string) {
			delete(w.plane.drains, e.Unit)
			w.by[e.Unit].active = true
			return okay, ""
		})
	case release.WriteDelta:
		if w.opt.Bugs.WrittenAfter {
			if c.state.Apply(e.Delta) == nil {
				c.late = append(c.late, e.Delta)
			}
			return
		}
		c.put(e.Delta)
	}
}

// put writes a step. Where it is not known whether it got there, the log is read again.
func (c *releaser) put(d release.Delta) {
	w := c.p.w
	a, known := c.p.write(c.token, func() (string, string) {
		if err := w.plane.releases.Apply(w.plane.rev, &release.Operation{Name: c.name, Delta: &d}); err != nil {
			return "refused", err.Error()
		}
		return okay, ""
	})
	if !known || a.outcome != okay || c.state == nil || c.state.Apply(d) != nil {
		c.state = nil
	}
}

// flush writes what a planted fault has put off.
func (c *releaser) flush() {
	w := c.p.w
	for _, d := range c.late {
		c.p.write(c.token, func() (string, string) {
			if err := w.plane.releases.Apply(w.plane.rev, &release.Operation{Name: c.name, Delta: &d}); err != nil {
				return "refused", err.Error()
			}
			return okay, ""
		})
	}
	c.late = nil
}

// terminate sets a server to Terminating in the list.
func (w *world) terminate(id string) string {
	u := w.by[id]
	if w.plane.drains[id] == 0 && u.alive && u.ready <= w.now {
		w.judge.taken(u, "set to Terminating")
		w.plane.drains[id] = w.plane.rev
		u.active = true
	}
	return okay
}

// free is the planted fault of permits that end with their owner's lease.
func (w *world) free(owner string) {
	for _, m := range w.plane.ledger.OpenPermits() {
		if m.Owner == owner && !over(m.Stage) && m.Stage != disruption.StageRequested {
			w.plane.rev++
			w.plane.ledger.Apply(w.plane.rev, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops", Permit: &disruption.Permit{ID: m.ID}})
		}
	}
}

package window

import (
	"fmt"
	"slices"
	"strings"

	"milldeck/internal/placement"
	"milldeck/internal/window/contract"
)

// Result is what became of an operation, and what sidecars are told in the same entry of the log.
type Result struct {
	Outcome Outcome
	Why     string
	Set     []placement.Directive
	Drop    []string // ids of entries
}

// Check tells what cannot be, before the operation goes into the log.
func (o *Op) Check() error {
	bad := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
	named := o.Kind != OpContract && o.Kind != OpWithdraw && o.Kind != OpHalt && o.Kind != OpResume && o.Kind != OpForget
	switch {
	case named && (o.Name == "" || len(o.Name) > maxName || strings.Contains(o.Name, "/")):
		return bad("name", "%q is not 1 to %d characters without a slash", o.Name, maxName)
	case o.Kind == OpContract && o.Contract == nil:
		return bad("contract", "none")
	case o.Kind == OpContract:
		return o.Contract.Check()
	case o.Kind == OpWithdraw && o.Tenant == "":
		return bad("tenant", "none")
	case o.Kind == OpPropose && (len(o.Servers) == 0 || len(o.Servers) > MaxServers):
		return bad("servers", "%d, wanted 1 to %d", len(o.Servers), MaxServers)
	case o.Kind == OpPropose && (o.WorkMS <= 0 || o.WorkMS > maxWorkMS):
		return bad("work_ms", "%d is not within 1 to %d", o.WorkMS, maxWorkMS)
	case (o.Kind == OpHalt || o.Kind == OpResume) && o.Scope != "" && !strings.HasPrefix(o.Scope, "tenant/") && !strings.HasPrefix(o.Scope, "window/"):
		return bad("scope", "%q is not empty, tenant/NAME or window/NAME", o.Scope)
	case len(o.Scope) > maxName+len("tenant/"):
		return bad("scope", "over %d characters", maxName+len("tenant/"))
	case len(o.Why) > maxWhy:
		return bad("why", "%d bytes, at most %d", len(o.Why), maxWhy)
	case o.Kind.Guarded() && o.Token == 0:
		return bad("token", "none")
	}
	return nil
}

// Apply takes in an operation of the log. Rev is its revision, which only grows; stamp its time. Whatever is not
// applied changes nothing but the note of doubt.
func (t *Table) Apply(rev uint64, o *Op, stamp Stamp) Result {
	t.set, t.drop = nil, nil
	if o.Kind.Guarded() && (o.Token == 0 || o.Token < t.token) {
		return Result{Outcome: Stale, Why: fmt.Sprintf("token %d counts no more, %d has written since", o.Token, t.token)}
	}
	at := t.clock(stamp)
	if at.doubt != t.doubt {
		t.doubt, t.rev = at.doubt, rev
	}
	if at.doubt != "" && (o.Kind.forward() || o.Kind == OpOverrun) {
		return Result{Outcome: Doubt, Why: at.doubt}
	}
	outcome, why := t.do(rev, o, at)
	if outcome != Applied {
		return Result{Outcome: outcome, Why: why}
	}
	if o.Kind.Guarded() {
		t.token = o.Token
	}
	if at.doubt == "" {
		t.nowMS = at.lo
	}
	t.rev = rev
	t.forget()
	return Result{Outcome: Applied, Set: t.set, Drop: t.drop}
}

// instant is the time of a step: surely not before lo, surely not after hi (Unix ms), unless there is doubt.
type instant struct {
	lo, hi int64
	off    int64 // ms that the clocks may be off
	stamp  Stamp
	doubt  string
}

// clock reads a stamp against the logged time, which never runs back.
func (t *Table) clock(s Stamp) instant {
	earliest, latest := s.span()
	at := instant{lo: max(earliest, t.nowMS), hi: max(latest, t.nowMS), off: max(s.UncertaintyMS, s.LeaderUncertaintyMS),
		stamp: s, doubt: s.doubt()}
	if at.doubt == "" && latest < t.nowMS {
		at.doubt = fmt.Sprintf("the time is %d ms before what is logged", t.nowMS-latest)
	}
	if at.doubt != "" {
		at.lo = t.nowMS
	}
	return at
}

func (t *Table) do(rev uint64, o *Op, at instant) (Outcome, string) {
	switch o.Kind {
	case OpContract:
		return t.setContract(rev, o, at)
	case OpWithdraw:
		return t.withdraw(rev, o.Tenant, at)
	case OpHalt, OpResume:
		return t.halt(rev, o, at)
	case OpPropose:
		return t.propose(rev, o, at)
	case OpForget:
		t.drains, t.returns = nil, nil
		return Applied, ""
	}
	old := t.windows[o.Name]
	if old == nil {
		return NotFound, "there is no window " + o.Name
	}
	w := *old // copied, so that who has read the old one keeps it as it was
	outcome, why := t.step(&w, rev, o, at)
	if outcome == Applied {
		t.put(rev, old, &w)
	}
	return outcome, why
}

// put keeps a window's new form and works out what sidecars are told.
func (t *Table) put(rev uint64, old, w *Window) {
	w.Rev = rev
	t.tell(old, w)
	t.windows[w.Name] = w
}

func (t *Table) propose(rev uint64, o *Op, at instant) (Outcome, string) {
	servers := slices.Compact(slices.Sorted(slices.Values(o.Servers)))
	if old := t.windows[o.Name]; old != nil {
		if slices.Equal(old.Servers, servers) && old.WorkMS == o.WorkMS && old.By == o.By && old.AfterMS == o.AfterMS {
			return Applied, "" // a repeat
		}
		return Bad, "there is another window " + o.Name
	}
	if len(t.windows) >= MaxWindows {
		return TooMany, fmt.Sprintf("there are %d windows", len(t.windows))
	}
	t.put(rev, nil, &Window{Name: o.Name, By: o.By, Servers: servers, WorkMS: o.WorkMS, AfterMS: o.AfterMS,
		Stage: Proposed, ProposedMS: at.hi})
	return Applied, ""
}

// setContract brings a contract into force. It acts at once on windows under way: whom it approves now goes on under
// it, for whom it does not the tenant is told nothing any more.
func (t *Table) setContract(rev uint64, o *Op, at instant) (Outcome, string) {
	c := o.Contract
	if c == nil || c.Tenant == "" || (o.Grant != nil && o.Grant.Tenant != c.Tenant) {
		return Bad, "no contract, or a grant of another tenant"
	}
	if t.contracts[c.Tenant] == nil && len(t.contracts) >= MaxContracts {
		return TooMany, fmt.Sprintf("there are %d contracts", len(t.contracts))
	}
	t.touching(rev, at, c.Tenant, func() { t.contracts[c.Tenant] = &Kept{Contract: *c, Version: rev} }, func(g *Grant) {
		if o.Grant != nil && len(o.Grant.Months) > 0 {
			servers := g.Servers
			*g = *o.Grant
			g.Version, g.Servers = rev, servers
		}
	})
	return Applied, ""
}

func (t *Table) withdraw(rev uint64, tenant string, at instant) (Outcome, string) {
	if t.contracts[tenant] == nil {
		return NotFound, "there is no contract of " + tenant
	}
	t.touching(rev, at, tenant, func() { delete(t.contracts, tenant) }, func(*Grant) {})
	return Applied, ""
}

// touching carries out a change of a tenant's contract, and regrants the tenant's windows that are out.
func (t *Table) touching(rev uint64, at instant, tenant string, change func(), regrant func(*Grant)) {
	type touched struct {
		old *Window
		ids []string
	}
	var list []touched
	for _, w := range t.Windows() {
		if i := slices.IndexFunc(w.Grants, func(g Grant) bool { return g.Tenant == tenant }); i >= 0 && w.Out() {
			var ids []string
			for _, e := range t.Entries(w) {
				ids = append(ids, e.ID)
			}
			list = append(list, touched{w, ids})
		}
	}
	change()
	for _, one := range list {
		w := *one.old
		w.Grants = slices.Clone(w.Grants)
		for i := range w.Grants {
			if g := &w.Grants[i]; g.Tenant == tenant {
				regrant(g)
			}
		}
		w.CloseMS = firstClose(w.Grants)
		w.Rev = rev
		shorter := false
		if until := w.CloseMS - GuardMS - at.off; w.ToldMS > until { // an earlier close: tenants keep off until that
			if w.ToldMS = until; until <= at.hi || at.doubt != "" {
				w.ToldMS = 0
			}
			shorter = true
		}
		t.windows[w.Name] = &w
		still := t.Entries(&w)
		for _, id := range one.ids {
			if !slices.ContainsFunc(still, func(e placement.Directive) bool { return e.ID == id }) {
				t.drop = append(t.drop, id)
			}
		}
		for _, e := range still { // a changed least share is told too
			if (e.Tenant == tenant || shorter) && e.ExpiresAtMS > at.hi && at.doubt == "" {
				t.set = append(t.set, e)
			}
		}
	}
}

func firstClose(grants []Grant) int64 {
	first := grants[0].CloseMS
	for _, g := range grants {
		first = min(first, g.CloseMS)
	}
	return first
}

// halt holds windows back, or lets them go on. A window by name that is out comes back.
func (t *Table) halt(rev uint64, o *Op, at instant) (Outcome, string) {
	name, one := strings.CutPrefix(o.Scope, "window/")
	if !one {
		if o.Kind == OpResume {
			delete(t.halts, o.Scope)
			return Applied, ""
		}
		if _, is := t.halts[o.Scope]; !is && len(t.halts) >= MaxHalts {
			return TooMany, fmt.Sprintf("there are %d halts", len(t.halts))
		}
		t.halts[o.Scope] = o.Why
		return Applied, ""
	}
	old := t.windows[name]
	if old == nil {
		return NotFound, "there is no window " + name
	}
	w := *old
	switch {
	case o.Kind == OpResume && w.Stage == Halted:
		w.Stage, w.Why = Proposed, ""
	case o.Kind == OpResume && w.End == Halted && w.Out():
		w.End = Proposed
	case o.Kind == OpHalt && before(w.Stage):
		w.Stage, w.Why = Halted, o.Why
	case o.Kind == OpHalt && (w.Stage == Draining || w.Stage == Free):
		w.turn(Halted, o.Why, at)
	default:
		return Applied, "" // over, or on its way back already
	}
	t.put(rev, old, &w)
	return Applied, ""
}

// before tells whether nothing has been taken out yet.
func before(s Stage) bool { return s == Proposed || s == Approved || s == Waiting }

// turn begins the way back.
func (w *Window) turn(end Stage, why string, at instant) {
	w.Stage, w.End, w.Why, w.ReturnMS = Returning, end, why, at.lo
}

// remedy acts on an overrun as the contracts ask for.
func (t *Table) remedy(w *Window) {
	for _, g := range w.Grants {
		scope := "tenant/" + g.Tenant
		c := t.contracts[g.Tenant]
		if _, is := t.halts[scope]; !is && c != nil && c.OnOverrun == contract.HaltOthers && len(t.halts) < MaxHalts {
			t.halts[scope] = "window " + w.Name + " was not over at the close"
		}
	}
}

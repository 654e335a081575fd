package window

import (
	"fmt"

	"milldeck/internal/disruption"
)

// step moves one window on, a copy that is kept only where the step is applied.
func (t *Table) step(w *Window, rev uint64, o *Op, at instant) (Outcome, string) {
	wrong := func() (Outcome, string) {
		return Stale, fmt.Sprintf("%s is %s: no %s", w.Name, w.Stage, o.Kind)
	}
	switch o.Kind {
	case OpPlan:
		if !before(w.Stage) {
			return wrong()
		}
		return t.plan(w, o)
	case OpRefuse:
		if !before(w.Stage) {
			return wrong()
		}
		w.Stage, w.Why = Refused, o.Why
	case OpWait:
		if w.Stage != Approved {
			return wrong()
		}
		if outcome, why := t.mayDrain(w, at); outcome != Applied {
			return outcome, why
		}
		w.Stage, w.Why = Waiting, ""
		w.Attempt++
	case OpDrain:
		if w.Stage != Waiting {
			return wrong()
		}
		if outcome, why := t.mayDrain(w, at); outcome != Applied {
			return outcome, why
		}
		if t.Permit != nil {
			if stage, is := t.Permit(w.PermitID()); !is || stage != disruption.StageGranted {
				return Held, "permit " + w.PermitID() + " is not granted"
			}
		}
		w.Stage, w.OutMS, w.NeedMS = Draining, at.lo, t.NeedMS(w.WorkMS)
		w.FreeMS, w.ReturnMS, w.BackMS, w.ToldMS, w.ToldRev = 0, 0, 0, 0, 0
	case OpTell:
		if w.Stage != Draining && w.Stage != Free && w.Stage != Returning {
			return wrong()
		}
		return t.prolong(w, rev, o, at)
	case OpFree:
		if w.Stage != Draining {
			return wrong()
		}
		if outcome, why := t.inHours(w, at, w.WorkMS+t.ReturnMS()); outcome != Applied {
			return outcome, why
		}
		if w.ToldMS <= at.hi {
			return Closed, "tenants may not keep off any more"
		}
		w.Stage, w.FreeMS = Free, at.lo
		t.drains = learn(t.drains, at.hi-w.OutMS, t.DrainMS())
	case OpFinish:
		if w.Stage != Free {
			return wrong()
		}
		w.turn(Done, "", at)
	case OpCancel:
		switch {
		case before(w.Stage) || w.Stage == Halted:
			w.Stage, w.Why = Cancelled, o.Why
		case w.Stage == Draining || w.Stage == Free:
			w.turn(Cancelled, o.Why, at)
		case w.Stage == Returning:
			w.End = Cancelled
		}
	case OpReturn:
		if w.Stage != Draining && w.Stage != Free {
			return wrong()
		}
		if w.Stage == Draining && at.doubt == "" { // it would have taken at least so long
			if took := at.hi - w.OutMS; took > t.DrainMS() {
				t.drains = learn(t.drains, took, t.DrainMS())
			}
		}
		end, why := o.End, o.Why
		if end == Done && at.doubt != "" { // whether the work's time is over cannot be told
			end, why = Halted, at.doubt
		}
		w.turn(end, why, at)
	case OpOverrun:
		if !w.Out() || w.Stage == Overrun {
			return wrong()
		}
		if at.hi < w.CloseMS {
			return Closed, "the close is still to come"
		}
		if w.ReturnMS == 0 {
			w.ReturnMS = at.lo
		}
		w.Stage = Overrun
		t.remedy(w)
	case OpBack:
		if w.Stage != Returning && w.Stage != Overrun || !w.Out() {
			return wrong()
		}
		t.back(w, at)
	default:
		return Bad, fmt.Sprintf("unknown operation %q", o.Kind) // of a later version: all replicas of this one skip it
	}
	return Applied, ""
}

// plan gives a window its time.
func (t *Table) plan(w *Window, o *Op) (Outcome, string) {
	if len(o.Grants) == 0 {
		return Bad, "no grants"
	}
	for i := range o.Grants {
		g := &o.Grants[i]
		c := t.contracts[g.Tenant]
		switch {
		case c == nil || c.Version != g.Version:
			return Stale, "the contract of " + g.Tenant + " has changed"
		case o.FromMS < g.OpenMS || o.FromMS >= g.CloseMS || len(g.Months) == 0:
			return Closed, "the start lies outside the hours of " + g.Tenant
		case o.FromMS < w.ProposedMS+c.NoticeMS():
			return Closed, "the notice of " + g.Tenant + " is longer"
		}
	}
	w.Stage, w.Why, w.Grants, w.FromMS, w.CloseMS = Approved, "", o.Grants, o.FromMS, firstClose(o.Grants)
	return Applied, ""
}

// inHours checks that a step lies within the hours of all contracts, by the uncertainty of its time, and that more ms
// fit after it before each close.
func (t *Table) inHours(w *Window, at instant, more int64) (Outcome, string) {
	for i := range w.Grants {
		g := &w.Grants[i]
		c := t.contracts[g.Tenant]
		switch {
		case c == nil || c.Version != g.Version:
			return Stale, "the contract of " + g.Tenant + " has changed"
		case at.lo < g.OpenMS:
			return Closed, fmt.Sprintf("the hours of %s open in %d ms", g.Tenant, g.OpenMS-at.lo)
		case at.hi+more+GuardMS > g.CloseMS:
			return Closed, fmt.Sprintf("%d ms do not fit before the close of %s", more, g.Tenant)
		}
	}
	return Applied, ""
}

// mayDrain checks all that a window needs to begin at an instant, but for its permit.
func (t *Table) mayDrain(w *Window, at instant) (Outcome, string) {
	need := t.NeedMS(w.WorkMS)
	if outcome, why := t.inHours(w, at, need); outcome != Applied {
		return outcome, why
	}
	if why := t.haltOf(w); why != "" {
		return Held, why
	}
	for _, other := range t.windows {
		if other.Out() && other.Name != w.Name && share(other.Servers, w.Servers) {
			return Held, "another window has taken one of its servers out"
		}
	}
	for i := range w.Grants {
		g := &w.Grants[i]
		c := t.contracts[g.Tenant]
		if at.lo < w.ProposedMS+c.NoticeMS() {
			return Closed, "the notice of " + g.Tenant + " is not over"
		}
		windows, servers := t.outOf(g.Tenant)
		switch {
		case windows+1 > c.WindowsAtOnce:
			return Held, fmt.Sprintf("%d windows of %s are out", windows, g.Tenant)
		case servers+len(w.Servers) > mayGo(g.Servers, c.LeastShare):
			return Held, fmt.Sprintf("less than the least share of %s would stay", g.Tenant)
		}
		for _, m := range monthsOf(g, at.lo, at.hi+need) {
			if over := t.spentMS(g.Tenant, m.Name, at.hi) + m.Until - m.From - int64(c.MinutesAMonth)*60_000; over > 0 {
				return Held, fmt.Sprintf("%s would be over its minutes of %s by %d ms", g.Tenant, m.Name, over)
			}
		}
	}
	return Applied, ""
}

// mayGo is how many of a tenant's servers may be out.
func mayGo(servers int, least float64) int {
	const rounding = 1e-9 // 0.9 of 10 is meant to be 9
	return int(float64(servers)*(1-least) + rounding)
}

// outOf counts a tenant's windows and servers that are out.
func (t *Table) outOf(tenant string) (windows, servers int) {
	for _, w := range t.windows {
		if w.Out() && touches(w, tenant) {
			windows++
			servers += len(w.Servers)
		}
	}
	return windows, servers
}

// spentMS is what a tenant has used of a month, with what its windows that are out will have used when they are back.
func (t *Table) spentMS(tenant, month string, now int64) int64 {
	spent := t.used[tenant][month]
	for _, w := range t.windows {
		if !w.Out() {
			continue
		}
		for i := range w.Grants {
			if g := &w.Grants[i]; g.Tenant == tenant {
				for _, m := range monthsOf(g, w.OutMS, max(w.OutMS+w.NeedMS, now)) {
					if m.Name == month {
						spent += m.Until - m.From
					}
				}
			}
		}
	}
	return spent
}

func touches(w *Window, tenant string) bool {
	for _, g := range w.Grants {
		if g.Tenant == tenant {
			return true
		}
	}
	return false
}

// haltOf says which halt holds a window, or "".
func (t *Table) haltOf(w *Window) string {
	if why, is := t.halts[""]; is {
		return "all windows are halted: " + why
	}
	for _, g := range w.Grants {
		if why, is := t.halts["tenant/"+g.Tenant]; is {
			return g.Tenant + " is halted: " + why
		}
	}
	return ""
}

// prolong tells tenants to keep off for a while longer. On the way back those whose contract is gone are left out.
func (t *Table) prolong(w *Window, rev uint64, o *Op, at instant) (Outcome, string) {
	if why := t.haltOf(w); why != "" && w.Stage == Draining {
		return Held, why
	}
	if o.UntilMS > min(at.stamp.ControllerMS, at.stamp.LeaderMS+MaxApartMS)+StepMS || o.UntilMS <= at.hi {
		return Closed, fmt.Sprintf("until is not within %d ms", StepMS)
	}
	if t.Permit != nil && w.Stage == Draining {
		if stage, is := t.Permit(w.PermitID()); !is || stage != disruption.StageActive {
			return Held, "permit " + w.PermitID() + " has not begun"
		}
	}
	valid := 0
	for i := range w.Grants {
		g := &w.Grants[i]
		c := t.contracts[g.Tenant]
		switch {
		case (c == nil || c.Version != g.Version) && w.Stage == Returning:
			continue
		case c == nil || c.Version != g.Version:
			return Stale, "the contract of " + g.Tenant + " has changed"
		case at.lo < g.OpenMS || o.UntilMS+at.off+GuardMS > g.CloseMS:
			return Closed, "outside the hours of " + g.Tenant
		}
		valid++
	}
	if valid == 0 {
		return Closed, "no contract approves it any more"
	}
	if w.ToldMS <= at.hi { // sidecars may have stopped keeping off meanwhile
		w.ToldRev = rev
	}
	w.ToldMS = o.UntilMS
	return Applied, ""
}

// back ends a window's time out.
func (t *Table) back(w *Window, at instant) {
	now := at.hi
	if at.doubt != "" {
		now = min(now, max(t.nowMS, w.CloseMS)+aDayMS)
	}
	now = max(now, w.OutMS)
	t.count(w, w.OutMS, now)
	if at.doubt == "" && w.FreeMS != 0 {
		t.returns = learn(t.returns, now-w.ReturnMS, t.ReturnMS())
	}
	w.BackMS, w.ToldMS = now, 0
	switch {
	case w.Stage == Overrun || now > w.CloseMS:
		if w.Stage != Overrun {
			t.remedy(w)
		}
		w.Stage = Overrun
	case w.End == Proposed && w.Attempt >= MaxAttempts:
		w.Stage = Refused
	default:
		w.Stage = w.End
	}
	if w.Stage == Proposed {
		w.OutMS, w.BackMS, w.Grants, w.End = 0, 0, nil, ""
	}
}

// share tells whether two sorted lists have a server in common.
func share(a, b []string) bool {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			return true
		case a[0] < b[0]:
			a = a[1:]
		default:
			b = b[1:]
		}
	}
	return false
}

package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"

	"milldeck/balance"
	"milldeck/internal/placement"
)

// jumpMS is by how much an entry has to end earlier than the module was told for it to be told again: the wall clock
// was put forward. Less is the rounding of two clocks.
const jumpMS = 50

// inForce is the placement as the loop has it, whose alone it is. Nil where none is configured.
type inForce struct {
	*placing
	stop   context.CancelFunc
	gather *gather

	rev, epoch uint64
	entries    []entryInForce
	numbers    map[string]int // of entries, as the module names them
	lastNumber int
	cohorts    map[balance.ServerID]string
}

type entryInForce struct {
	placement.Directive
	until  float64 // by the loop's clock
	tenant int     // of a keep-off
	off    map[balance.ServerID]bool
}

// place follows the placement at an address in place of the one before, whose entries stay until the new one has told
// or they end; at none, all end now.
func (l *loop) place(now float64, addr string) {
	old := l.placed
	if old != nil && old.addr == addr {
		return
	}
	if l.placed = nil; old != nil {
		old.stop()
	}
	if addr == "" {
		if old != nil {
			l.tell(now, balance.Placement{})
		}
		return
	}
	next := &inForce{gather: newGather(l.cfg, now), numbers: map[string]int{}}
	gen := 0
	if old != nil {
		*next, gen = *old, old.gen+1
	}
	next.placing = newPlacing(addr, gen, l.post, l.pace)
	ctx, stop := context.WithCancel(l.ctx)
	next.stop = stop
	l.placed = next
	l.workers.Go(func() { next.follow(ctx) })
	l.workers.Go(func() { next.placing.report(ctx) })
}

// takePlaced brings the module up to date with what is in force, and fills a report where one is due.
func (l *loop) takePlaced(now float64, ev placed) {
	f := l.placed
	if f == nil || ev.gen != f.gen {
		return
	}
	f.rev, f.epoch = ev.list.Revision, ev.list.Epoch
	base := l.clock.ms(ev.at)
	if !f.same(base, ev.list.Directives) {
		l.renew(now, base, ev.list.Directives)
	}
	if ev.report != nil {
		ev.report <- l.report(now)
	}
}

// same tells whether entries are those that the module has been told, with the same ends.
func (f *inForce) same(base float64, entries []placement.Directive) bool {
	return slices.EqualFunc(f.entries, entries, func(e entryInForce, of placement.Directive) bool {
		return e.again(&of) && base+float64(of.RemainingMS) > e.until-jumpMS
	})
}

func (e *entryInForce) again(of *placement.Directive) bool {
	return e.ID == of.ID && e.Revision == of.Revision && e.ExpiresAtMS == of.ExpiresAtMS
}

// renew takes over entries and tells the module. What was told before keeps its end, if that is earlier.
func (l *loop) renew(now, base float64, entries []placement.Directive) {
	f := l.placed
	old, numbers := f.entries, f.numbers
	f.entries, f.numbers, f.cohorts = nil, map[string]int{}, map[balance.ServerID]string{}
	var told balance.Placement
	for i := range entries {
		e := entryInForce{Directive: entries[i], until: base + float64(entries[i].RemainingMS)}
		k, found := slices.BinarySearchFunc(old, e.ID, func(o entryInForce, id string) int { return cmp.Compare(o.ID, id) })
		if found && old[k].again(&e.Directive) {
			e.until = math.Min(e.until, old[k].until)
		}
		switch e.Kind {
		case placement.KindExclude:
			if l.keepOff(&e) {
				n, known := numbers[e.ID]
				if !known {
					f.lastNumber++
					n = f.lastNumber
				}
				f.numbers[e.ID] = n
				k := balance.Exclusion{ID: n, Tenant: e.tenant, MinAvailable: e.MinAvailable, ExpiresAt: e.until}
				for _, uid := range e.Servers {
					k.Servers = append(k.Servers, l.cfg.serverID(uid))
				}
				told.Exclusions = append(told.Exclusions, k)
			}
		case placement.KindSpreadKey:
			key, err := strconv.ParseUint(e.KeyHash, 16, 64)
			if err != nil {
				slog.Warn("placement: a spread of no key", "id", e.ID, "error", err)
				break
			}
			s := balance.HotKey{Key: key, ExpiresAt: e.until}
			for _, c := range e.Copies {
				s.Replicas = append(s.Replicas, balance.Replica{Server: l.cfg.serverID(c.ServerUID), LoadFraction: c.LoadFraction})
			}
			told.HotKeys = append(told.HotKeys, s)
		case placement.KindCohort:
			for _, uid := range e.Servers {
				if id := l.cfg.serverID(uid); f.cohorts[id] == "" { // of two the first by ID
					f.cohorts[id] = e.Cohort
				}
			}
		}
		f.entries = append(f.entries, e)
	}
	l.tell(now, told)
}

// keepOff takes in whom a keep-off is for and what it keeps off; false: it is for none of this sidecar's requests.
// Where the settings name no tenants, the tenant of all is the application that this sidecar belongs to.
func (l *loop) keepOff(e *entryInForce) bool {
	var is bool
	if e.tenant, is = l.cfg.tenants[e.Tenant]; !is {
		if e.tenant = balance.AllTenants; len(l.cfg.tenants) > 0 || e.Tenant != l.cfg.Application || e.Tenant == "" {
			return false
		}
	}
	e.off = make(map[balance.ServerID]bool, len(e.Servers))
	for _, uid := range e.Servers {
		e.off[l.cfg.serverID(uid)] = true
	}
	return true
}

// serverID is the number of a server; it follows from its uid alone, so what is placed needs no list.
func (cfg *Config) serverID(uid string) balance.ServerID { return cfg.entry(&target{UID: uid}).ID }

// arrived and ended count for the next report, where there are any.
func (f *inForce) arrived(now float64, r *balance.Request) {
	if f != nil {
		f.gather.arrived(now, r)
	}
}

func (f *inForce) ended(now float64, a *attempt, result balance.Result) {
	if f != nil {
		f.gather.ended(now, a, result, f.cohorts[a.up.id])
	}
}

// report says what is in force here and what became of the requests since the last report.
func (l *loop) report(now float64) *placement.LoadReport {
	f := l.placed
	r := &placement.LoadReport{
		Sidecar: l.cfg.Name, Version: l.version, PlacementRevision: f.rev, PlacementEpoch: f.epoch, EndpointRevision: uint64(max(l.disc.rev.Load(), 0)),
		ExcludedInFlight: map[string]int{},
	}
	for name, i := range l.cfg.zones {
		if i == l.cfg.balance.Zone {
			r.Zone = name
		}
	}
	for _, e := range f.entries {
		switch {
		case e.off != nil:
			r.ExcludedInFlight[e.ID] = l.openAt(&e)
		case e.Kind == placement.KindExclude: // of no tenant here: in force all the same, which who waits for it has to know
			r.ExcludedInFlight[e.ID] = 0
		}
	}
	if len(r.ExcludedInFlight) > placement.MaxExclusions { // too many to be told: none told means none open
		maps.DeleteFunc(r.ExcludedInFlight, func(_ string, n int) bool { return n == 0 })
	}
	suspended := l.bal.SuspendedExclusions()
	for _, e := range f.entries {
		if n, is := f.numbers[e.ID]; is && slices.Contains(suspended, n) && len(r.SuspendedDirectives) < placement.MaxExclusions {
			r.SuspendedDirectives = append(r.SuspendedDirectives, e.ID)
		}
	}
	f.gather.into(r, now)
	return r
}

// openAt counts the attempts that are out at the servers that an entry keeps off, of its tenant.
func (l *loop) openAt(e *entryInForce) int {
	n := 0
	for _, c := range l.calls {
		if e.tenant != balance.AllTenants && e.tenant != c.ev.Tenant {
			continue
		}
		for _, a := range c.attempts {
			if !a.ended && e.off[a.up.id] {
				n++
			}
		}
	}
	return n
}

package controlplane

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// state is what the replicas agree on: the tables themselves, and of the list only who drains.
type state struct {
	rev      uint64
	epoch    uint64
	ledger   *disruption.Ledger
	releases *release.Table
	windows  *maintenance.Table
	places   *placement.Table
	duties   *leasetable.Table
	drains   map[string]uint64 // servers that are Terminating, by unit: the revision that says so
	done     map[string]answer // of writes, by id
}

// answer is what became of a write.
type answer struct{ outcome, why string }

// Outcomes of writes beside those of the tables.
const (
	okay  = "done"
	stale = "stale"
)

func newState() *state {
	s := &state{ledger: disruption.NewLedger(), releases: release.NewTable(), windows: maintenance.New(), places: placement.NewTable(),
		duties: leasetable.New(), drains: map[string]uint64{}, done: map[string]answer{}, epoch: 1}
	s.places.StartEpoch(0, 1)
	s.join()
	return s
}

// join lets the tables see each other as the list service does.
func (s *state) join() {
	s.windows.LookupPermit = func(id string) (disruption.Stage, bool) {
		p, is := s.ledger.Permit(id)
		return p.Stage, is
	}
}

// saved is a state as a backup or a replica that is left behind has it. Duties are no part of it: tokens never run back.
type saved struct {
	Rev      uint64
	Epoch    uint64
	Ledger   disruption.Snapshot
	Releases *release.Snapshot
	Windows  *maintenance.Snapshot
	Places   *placement.Snapshot
	Drains   map[string]uint64
}

// copied is a state of its own, equal to this one.
func (s *state) copied() *state {
	data, err := json.Marshal(&saved{s.rev, s.epoch, s.ledger.Snapshot(), s.releases.Snapshot(), s.windows.Snapshot(), s.places.Snapshot(), s.drains})
	if err != nil {
		panic(err) // all of it is made for snapshots
	}
	var v saved
	if err := json.Unmarshal(data, &v); err != nil {
		panic(err)
	}
	ledger, err := disruption.Restore(v.Ledger)
	if err != nil {
		panic(fmt.Sprintf("a ledger that was saved: %v", err))
	}
	out := &state{rev: v.Rev, epoch: v.Epoch, ledger: ledger, releases: release.Restore(v.Releases), windows: maintenance.Restore(v.Windows),
		places: placement.Restore(v.Places, v.Epoch), duties: s.duties, drains: v.Drains, done: maps.Clone(s.done)}
	if out.drains == nil {
		out.drains = map[string]uint64{}
	}
	out.join()
	return out
}

// plane is the list service: a log whose leader may be gone, and may go between an entry and its answer.
type plane struct {
	*state
	w      *world
	leader clock // of whoever leads
	down   int64 // ms: until then there is no leader
	since  int64 // ms: since when there is one
	lose   bool  // the next write is applied, and the leader dies before it answers
	backup *state

	renewed map[string]int64 // by duty: when its holder last showed
	forged  map[string]*disruption.Permit
	at      map[string]disruption.Permit // by unit: the permit that it is under, as of atRev
	fresh   []disruption.Permit          // granted since they were last taken
	got     map[string]uint64            // by permit: the grant that was seen
	atRev   uint64
}

// clock is a wall clock: how far it is off, and what it owns up to, in ms.
type clock struct{ off, unc int64 }

func newPlane(w *world) *plane {
	return &plane{state: newState(), w: w, renewed: map[string]int64{}, forged: map[string]*disruption.Permit{},
		at: map[string]disruption.Permit{}, got: map[string]uint64{}}
}

// leads tells whether anything can be written or read.
func (p *plane) leads() bool { return p.w.now >= p.down }

// kill ends the leader; another leads after some ms. Leases begin anew with it.
func (p *plane) kill(ms int64) {
	p.down = p.w.now + ms
	p.since = p.down
	for duty := range p.renewed {
		p.renewed[duty] = p.down
	}
}

// write has a record applied, once for each id. Known is false where no answer came: it may have been applied or not.
func (p *plane) write(id, duty string, token uint64, do func() (string, string)) (a answer, known bool) {
	if !p.leads() {
		return answer{}, false
	}
	if old, is := p.done[id]; is {
		return old, true
	}
	p.rev++
	if duty != "" && !p.w.opt.Bugs.NoToken && !p.duties.TokenValid(duty, token) {
		a = answer{stale, fmt.Sprintf("token %d of %s counts no more", token, duty)}
	} else {
		a.outcome, a.why = do()
	}
	p.done[id] = a
	if p.lose {
		p.lose = false
		p.kill(1500 + p.w.rng.Int64N(4000))
		return answer{}, false
	}
	return a, true
}

// ledgerOp applies an operation to the ledger; a planted fault may stand in for it.
func (p *plane) ledgerOp(op *disruption.Op) (string, string) {
	if p.w.opt.Bugs.Torn && p.torn(op) {
		return okay, ""
	}
	result := p.ledger.Apply(p.rev, op)
	return string(result.Outcome), result.Reason
}

// permit is the ledger's word on a permit.
func (p *plane) permit(id string) (disruption.Permit, bool) {
	if f := p.forged[id]; f != nil {
		return *f, true
	}
	return p.ledger.Permit(id)
}

// torn is the planted fault of a grant that is not atomic: what there is room for is looked up in the ledger as it was a
// second ago, and written now. The permits live beside the table.
func (p *plane) torn(op *disruption.Op) bool {
	if op.Permit == nil {
		return false
	}
	f := p.forged[op.Permit.ID]
	switch {
	case op.Kind == disruption.OpRequest && f == nil && p.w.roomy(op.Permit):
		c := *op.Permit
		c.Stage, c.GrantRevision = disruption.StageGranted, p.rev
		p.forged[c.ID] = &c
		return true
	case f == nil:
		return false
	case op.Kind == disruption.OpBegin && f.Stage == disruption.StageGranted:
		f.Stage, f.BeginRevision = disruption.StageActive, p.rev
	case op.Kind == disruption.OpReturn && f.Stage == disruption.StageActive:
		f.Stage, f.ReturnRevision = disruption.StageReturning, p.rev
	case op.Kind == disruption.OpCancel:
		f.Stage = disruption.StageCancelled
	case op.Kind == disruption.OpComplete:
		for _, id := range f.Units {
			if u, _ := p.ledger.Unit(id); u.Condition != disruption.ConditionUp {
				return true
			}
		}
		f.Stage = disruption.StageCompleted
	}
	return true
}

// stamped is a controller's time with the leader's.
func (p *plane) stamped(s maintenance.Timestamp) maintenance.Timestamp {
	s.LeaderMS, s.LeaderUncertaintyMS = p.w.now+p.leader.off, p.leader.unc
	if p.w.opt.Bugs.EarlyHours { // the hours were looked up by the controller; the log takes its word
		s.LeaderMS, s.LeaderUncertaintyMS = s.ControllerMS, s.UncertaintyMS
	}
	return s
}

// windowOp applies an operation of windows, with what sidecars are told in the same entry.
func (p *plane) windowOp(op *maintenance.Operation, s maintenance.Timestamp) (string, string) {
	s = p.stamped(s)
	if p.w.opt.Bugs.NoToken && op.Token != 0 {
		c := *op
		c.Token = max(op.Token, p.w.topToken)
		p.w.topToken = c.Token
		op = &c
	}
	r, err := p.windows.Apply(p.rev, op, s)
	if len(r.SetDirectives) > 0 || len(r.DeleteDirectiveIDs) > 0 {
		now := p.w.now + p.leader.off
		if p.w.opt.Bugs.PastClose {
			for i := range r.SetDirectives {
				r.SetDirectives[i].ExpiresAtMS = now + maintenance.ExclusionTTLMS
			}
		}
		r.SetDirectives = slices.DeleteFunc(r.SetDirectives, func(e placement.Directive) bool { return e.ExpiresAtMS <= now })
		if len(r.SetDirectives)+len(r.DeleteDirectiveIDs) > 0 {
			p.places.Apply(p.rev, "window", &placement.Op{LeaderTimeMS: now, Set: r.SetDirectives, Delete: r.DeleteDirectiveIDs})
		}
	}
	if err != nil {
		return string(maintenance.OutcomeOf(err)), err.Error()
	}
	p.w.work(op)
	return string(maintenance.OutcomeApplied), ""
}

// restore puts the backup back: an epoch of its own, and doubt until an operator has looked.
func (p *plane) restore() {
	rev, duties, done := p.rev, p.duties, p.done
	p.state = p.backup
	p.backup = nil
	p.rev, p.duties, p.done, p.epoch = rev+1, duties, done, p.epoch+1
	p.places.StartEpoch(p.rev, p.epoch)
	p.ledger.HaltForUncertainty(p.rev, "the list was restored from a backup")
	p.got, p.at, p.atRev = map[string]uint64{}, map[string]disruption.Permit{}, 0
	p.look()
	p.fresh = nil // what was granted before the backup is not granted anew
}

// over tells whether a permit holds nothing any more.
func over(s disruption.Stage) bool {
	return s == disruption.StageCompleted || s == disruption.StageCancelled
}

// look brings up to date which unit is under which permit, and which grants are new.
func (p *plane) look() {
	if p.atRev == p.rev && p.atRev != 0 {
		return
	}
	p.atRev = p.rev
	clear(p.at)
	list := p.ledger.OpenPermits()
	for _, id := range slices.Sorted(maps.Keys(p.forged)) {
		list = append(list, *p.forged[id])
	}
	for _, m := range list {
		if m.Stage == disruption.StageRequested || over(m.Stage) {
			continue
		}
		for _, u := range m.Units {
			if !slices.Contains(m.CompletedUnits, u) {
				p.at[u] = m
			}
		}
		if p.got[m.ID] != m.GrantRevision {
			p.got[m.ID] = m.GrantRevision
			p.fresh = append(p.fresh, m)
		}
	}
}

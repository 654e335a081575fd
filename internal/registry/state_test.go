package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func target(uid string, port int, boot float64) Instance {
	return Instance{Target: Target{UID: uid, Endpoint: fmt.Sprintf("10.0.0.1:%d", port), State: Ready, Capacity: 1, BootMS: boot}}
}

// plain is what the state machine has to be, written down as simply as can be: it keeps every change for ever.
type plain struct {
	of      map[string]Instance
	changes []Change
	writes  map[string]Result
}

func (p *plain) set(rev uint64, i Instance) {
	i.Rev = rev
	p.of[i.UID] = i
	p.changes = append(p.changes, Change{Rev: rev, Target: i.Target})
}

func (p *plain) drop(rev uint64, uid string) {
	t := p.of[uid].Target
	t.State = Gone
	delete(p.of, uid)
	p.changes = append(p.changes, Change{Rev: rev, Target: t})
}

func (p *plain) apply(rev uint64, r *Record) Outcome {
	if res, done := p.writes[r.ID]; done && r.ID != "" {
		return res.Outcome
	}
	out := Done
	switch r.Op {
	case OpRegister:
		n := r.Instances[0]
		old, had := p.of[n.UID]
		switch {
		case had && r.IfRev != nil && *r.IfRev != old.Rev, had && n.BootMS < old.BootMS,
			had && old.Endpoint != n.Endpoint && n.BootMS <= old.BootMS:
			out = Conflict
		case !had && r.IfRev != nil && *r.IfRev != 0:
			out = NotFound
		case !had || old.Target != n.Target:
			p.set(rev, n)
		}
	case OpState:
		old, had := p.of[r.Refs[0].UID]
		switch {
		case !had:
			out = NotFound
		case r.Refs[0].Rev != 0 && r.Refs[0].Rev != old.Rev:
			out = Conflict
		case old.State != r.State:
			old.State = r.State
			p.set(rev, old)
		}
	case OpDeregister:
		old, had := p.of[r.Refs[0].UID]
		switch {
		case !had && r.Refs[0].Rev != 0:
			out = NotFound
		case had && r.Refs[0].Rev != 0 && r.Refs[0].Rev != old.Rev:
			out = Conflict
		case had:
			p.drop(rev, old.UID)
		}
	case OpExpire:
		if old, had := p.of[r.Refs[0].UID]; had && old.Rev == r.Refs[0].Rev {
			p.drop(rev, old.UID)
		}
	}
	if r.ID != "" && out == Done {
		p.writes[r.ID] = Result{Outcome: out}
	}
	return out
}

// since is what a watcher at rev has to be told.
func (p *plain) since(rev uint64) map[string]Target {
	out := map[string]Target{}
	for _, c := range p.changes {
		if c.Rev > rev {
			out[c.Target.UID] = c.Target
		}
	}
	return out
}

func TestStateAgainstAPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p := NewState(), &plain{of: map[string]Instance{}, writes: map[string]Result{}}
		uid := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		rev := uint64(0)
		cursors := []uint64{0}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			rev += uint64(rapid.IntRange(1, 3).Draw(t, "gap")) // raft's own entries take indexes too
			r := &Record{Op: rapid.SampledFrom([]Op{OpRegister, OpRegister, OpState, OpDeregister, OpExpire}).Draw(t, "op")}
			r.ID = rapid.SampledFrom([]string{"", "", "w1", "w2", "w3"}).Draw(t, "id")
			known := rapid.SampledFrom([]uint64{0, 1, 2, rev - 1}).Draw(t, "known")
			if i, had := p.of["a"]; had && rapid.Bool().Draw(t, "right") {
				known = i.Rev
			}
			switch r.Op {
			case OpRegister:
				r.Instances = []Instance{target(uid.Draw(t, "uid"), rapid.IntRange(1, 3).Draw(t, "port"), float64(rapid.IntRange(0, 2).Draw(t, "boot")))}
				if rapid.Bool().Draw(t, "cas") {
					r.IfRev = &known
				}
			default:
				r.Refs = []Ref{{uid.Draw(t, "uid"), known}}
				r.State = rapid.SampledFrom([]string{Ready, Terminating}).Draw(t, "state")
			}
			data, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeRecord(data)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := s.Apply(rev, decoded).Outcome, p.apply(rev, r); got != want {
				t.Fatalf("%+v: %s, want %s", r, got, want)
			}
			cursors = append(cursors, s.Rev())
			if rapid.IntRange(0, 9).Draw(t, "copy") == 0 {
				s = through(t, s)
				cursors = []uint64{0, s.Rev()}
				p.changes = slices.DeleteFunc(p.changes, func(c Change) bool { return c.Rev <= s.Rev() })
				for _, i := range p.of { // the whole list is all that is left of the past
					p.changes = append(p.changes, Change{Rev: 0, Target: i.Target})
				}
			}
			check(t, s, p, cursors)
		}
	})
}

// through writes a state as a snapshot and reads it back.
func through(t *rapid.T, s *State) *State {
	var buf bytes.Buffer
	if err := s.Snapshot(&buf); err != nil {
		t.Fatal(err)
	}
	back, err := ReadSnapshot(&buf)
	if err != nil {
		t.Fatal(err)
	}
	return back
}

// check compares lists, and what a watcher at each cursor ends up with.
func check(t *rapid.T, s *State, p *plain, cursors []uint64) {
	whole := map[string]Target{}
	for _, x := range s.Whole().Targets {
		whole[x.UID] = x
	}
	want := map[string]Target{}
	for uid, i := range p.of {
		want[uid] = i.Target
	}
	if !maps.Equal(whole, want) {
		t.Fatalf("list %v, want %v", whole, want)
	}
	for _, at := range cursors {
		l := s.Since(at, 0)
		if l.Rev != s.Rev() {
			t.Fatalf("since %d: revision %d, want %d", at, l.Rev, s.Rev())
		}
		if l.All {
			continue // compared above
		}
		got := map[string]Target{}
		for _, x := range l.Targets {
			got[x.UID] = x
		}
		if !maps.Equal(got, p.since(at)) {
			t.Fatalf("since %d: %v, want %v", at, got, p.since(at))
		}
	}
}

func TestHistoryHasABound(t *testing.T) {
	s := NewState()
	for n := range uint64(3 * keptChanges) {
		i := target("a", 1, 0)
		i.Capacity = 1 + float64(n%100)/100
		s.Apply(n+1, &Record{Op: OpRegister, Instances: []Instance{i, target(fmt.Sprint(n%10), 1, float64(n))}})
	}
	if len(s.history) > 2*keptChanges {
		t.Errorf("%d changes are kept", len(s.history))
	}
	if l := s.Since(10, 0); !l.All {
		t.Error("a cursor older than the history does not get the whole list")
	}
	if l := s.Since(s.Rev()-5, 0); l.All || len(l.Targets) == 0 {
		t.Errorf("a cursor within the history gets %+v", l)
	}
	if l := s.Since(s.Rev()-5, 77); !l.All {
		t.Error("a cursor of another epoch does not get the whole list")
	}
	if l := s.Since(s.Rev()+5, 0); !l.All {
		t.Error("a cursor ahead of the list does not get the whole list")
	}
}

// A watcher that reads slowly gets the newest state of each instance and not every step of the way.
func TestSlowWatchersFold(t *testing.T) {
	h := NewHub()
	put := func(n uint64) {
		i := target("a", 1, float64(n))
		if _, err := h.Apply(n, &Record{Op: OpRegister, Instances: []Instance{i}}); err != nil {
			t.Fatal(err)
		}
	}
	put(1)
	_, at, _, err := h.next(cursor{})
	if err != nil {
		t.Fatal(err)
	}
	for n := range uint64(3) {
		put(n + 2)
	}
	lines, _, _, err := h.next(at)
	if err != nil || len(lines) != 3 {
		t.Errorf("a little behind: %d lines, want each change: %v", len(lines), err)
	}
	for n := range uint64(5000) {
		put(n + 5)
	}
	lines, now, _, err := h.next(at)
	var l List
	if err != nil || len(lines) != 1 || json.Unmarshal(lines[0], &l) != nil || len(l.Targets) != 1 || l.Targets[0].BootMS != 5004 || now.rev != 5004 {
		t.Errorf("far behind: %d lines, %+v, %v", len(lines), l, err)
	}
	if len(h.lines) > keptLines {
		t.Errorf("%d lines are kept", len(h.lines))
	}
}

func TestLeases(t *testing.T) {
	s := NewState()
	uids := []string{}
	for n := range 20 {
		i := target(fmt.Sprint(n), 1, 0)
		i.TTLMS = 1000
		uids = append(uids, i.UID)
		s.Apply(uint64(n+1), &Record{Op: OpRegister, Instances: []Instance{i}})
	}
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	rules := Expiry{Share: 0.15, Within: 10 * time.Second}

	l := newLeases(rules)
	l.reset(start, s)
	l.renew(at(800), s, uids[1:])
	if expire, hold := l.sweep(at(999)); len(expire)+len(hold) > 0 {
		t.Errorf("before its end a lease is taken away: %v %v", expire, hold)
	}
	if expire, hold := l.sweep(at(1001)); len(expire) != 1 || expire[0].UID != "0" || len(hold) > 0 {
		t.Errorf("one lease has ended: %v %v", expire, hold)
	}

	// Half are missing: what looks like ten deaths is one cut. The first to end must not go either.
	l.reset(start, s)
	l.renew(at(50), s, uids[5:])
	l.renew(at(800), s, uids[10:])
	if expire, hold := l.sweep(at(1010)); len(expire) > 0 || len(hold) != 5 {
		t.Errorf("half are missing: %d expire, %d are held", len(expire), len(hold))
	}

	// One after the other counts as well, within the time of the rule.
	l.reset(start, s)
	gone := 0
	for ms := 1001; ms < 20_000; ms += 1000 {
		k := min(ms/1000, 20)
		l.renew(at(ms-1), s, uids[k:])
		expire, _ := l.sweep(at(ms))
		gone += len(expire)
		l.expired(at(ms), len(expire))
		for _, ref := range expire {
			s2 := NewState()
			l.follow(at(ms), s2, []string{ref.UID})
		}
	}
	if gone == 0 || gone > 5 {
		t.Errorf("%d of 20 expired one by one within 20 s at a share of 0.15 in 10 s", gone)
	}
}

func FuzzRecord(f *testing.F) {
	good, err := (&Record{Op: OpRegister, Instances: []Instance{target("a", 1, 0)}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err == nil {
			NewState().Apply(1, r) // whatever it says, nothing breaks
		}
	})
}

func FuzzWriteBody(f *testing.F) {
	f.Add([]byte(`{"id":"w","if_rev":3,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Ready","capacity_hint":1,"ttl_ms":1000}]}`))
	f.Add([]byte(`{"targets":[{"uid":"a","endpoint":"0.0.0.0:1","capacity_hint":1e999}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var in registration
		if json.Unmarshal(data, &in) != nil {
			return
		}
		rec, _, err := in.record()
		if err != nil {
			return
		}
		// What passes the checks goes through the log and comes out as it was.
		bytes, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeRecord(bytes)
		if err != nil {
			t.Fatal(err)
		}
		s := NewState()
		if res := s.Apply(1, back); res.Outcome == Done && s.Len() == 0 {
			t.Fatalf("%s is done and registers nobody", data)
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	s := NewState()
	s.Apply(3, &Record{Op: OpRegister, ID: "w", Instances: []Instance{target("a", 1, 0)}})
	var buf bytes.Buffer
	if err := s.Snapshot(&buf); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := ReadSnapshot(bytes.NewReader(data)); err == nil {
			s.Whole()
		}
	})
}

func TestAnyFlippedByteOfASnapshotIsFound(t *testing.T) {
	s := NewState()
	s.Apply(3, &Record{Op: OpRegister, ID: "w", Instances: []Instance{target("a", 1, 0)}})
	var buf bytes.Buffer
	if err := s.Snapshot(&buf); err != nil {
		t.Fatal(err)
	}
	for k := range buf.Bytes() {
		torn := bytes.Clone(buf.Bytes())
		torn[k] ^= 0x20
		if _, err := ReadSnapshot(bytes.NewReader(torn)); err == nil {
			t.Errorf("byte %d flipped, and read all the same", k)
		}
	}
	for k := range buf.Len() {
		if _, err := ReadSnapshot(bytes.NewReader(buf.Bytes()[:k])); err == nil {
			t.Errorf("cut after %d bytes, and read all the same", k)
		}
	}
}

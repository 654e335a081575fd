package registry

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/disruption"
)

// Whatever becomes of the list, the ledger has each instance as it is, and who is in the list no more as lost unless it
// left by its own word. A replica that was restored on the way has the same.
func TestLedgerFollowsTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		one := 1
		s.Apply(1, &Record{Op: OpLedger, Ledger: &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/o",
			Budget: &disruption.Budget{Name: "b", MaxUnavailable: disruption.Limit{Count: &one}}}})
		left := map[string]bool{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for n := range steps {
			index := uint64(2 + n)
			uid := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "uid")
			r := &Record{Op: rapid.SampledFrom([]Op{OpRegister, OpRegister, OpState, OpDeregister, OpExpire, OpSuspect, OpSidecars, OpLedger}).Draw(t, "op")}
			was, _ := s.Get(uid)
			r.Refs = []Ref{{UID: uid}}
			switch r.Op {
			case OpRegister:
				r.Refs, r.Instances = nil, []Instance{target(uid, int(uid[0]), float64(rapid.IntRange(0, 2).Draw(t, "boot")))}
			case OpState:
				r.State = rapid.SampledFrom([]string{Ready, Terminating}).Draw(t, "state")
			case OpExpire:
				r.Refs[0].Rev = was.Rev
			case OpSuspect:
				r.On = rapid.Bool().Draw(t, "on")
			case OpSidecars:
				r.State = rapid.SampledFrom([]string{sidecarLeft, sidecarLost, sidecarHeld}).Draw(t, "what")
				if rapid.Bool().Draw(t, "register") {
					r.Refs, r.Sidecars = nil, []Sidecar{{Name: uid, Ready: true}}
				}
			case OpLedger:
				r.Refs, r.Ledger = nil, &disruption.Op{Kind: disruption.OpObserve, Observed: []disruption.Unit{{ID: "server/" + uid, Condition: disruption.ConditionUp}}}
			}
			res := s.Apply(index, r)
			if r.Op == OpDeregister && res.Outcome == Done && was.UID != "" && !was.Suspect {
				left[uid] = true
			} else if _, is := s.Get(uid); is {
				left[uid] = false
			}
			agrees(t, s, left)
			var buf bytes.Buffer
			if err := s.Snapshot(&buf); err != nil {
				t.Fatal(err)
			}
			again, err := ReadSnapshot(&buf)
			if err != nil {
				t.Fatal(err)
			}
			if a, b := ledgerJSON(t, s), ledgerJSON(t, again); a != b {
				t.Fatalf("restored it is\n%s\nnot\n%s", b, a)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				s = again
			}
		}
	})
}

func agrees(t *rapid.T, s *State, left map[string]bool) {
	for _, uid := range []string{"a", "b", "c", "d"} {
		u, known := s.Ledger().Unit("server/" + uid)
		i, is := s.Get(uid)
		ok := !is
		switch u.Condition {
		case disruption.ConditionUnknown:
			ok = is && i.Suspect
		case disruption.ConditionDraining:
			ok = is && !i.Suspect && i.State == Terminating
		case disruption.ConditionUp, disruption.ConditionWarmingUp:
			ok = is && !i.Suspect && i.State == Ready
		}
		if !ok || !is && known == left[uid] && (known || left[uid]) {
			t.Fatalf("%s is %+v in the list (left by its own word: %v) and %+v in the ledger", uid, i, left[uid], u)
		}
	}
}

func ledgerJSON(t *rapid.T, s *State) string {
	data, err := json.Marshal(s.ledger.save())
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A snapshot of a version without the ledger is read, and the ledger begins with the first record about it.
func TestLedgerBeginsWithItsFirstRecord(t *testing.T) {
	s := NewState()
	i := target("a", 1, 5)
	s.Apply(1, &Record{Op: OpRegister, Instances: []Instance{i}})
	var buf bytes.Buffer
	if err := s.Snapshot(&buf); err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(buf.Bytes(), []byte(`"ledger"`)) {
		t.Error("the snapshot names a ledger that has not begun")
	}
	s, err := ReadSnapshot(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if u, is := s.Ledger().Unit("server/a"); !is || u.Condition != disruption.ConditionUp || s.ledger != nil {
		t.Errorf("before it begins: %+v", u)
	}
	res := s.Apply(2, &Record{Op: OpLedger, Ledger: &disruption.Op{Kind: disruption.OpObserve, Observed: []disruption.Unit{{ID: "server/a", Condition: disruption.ConditionUnready}}}})
	if u, _ := s.Ledger().Unit("server/a"); res.Outcome != Done || u.Condition != disruption.ConditionUnready {
		t.Errorf("%+v: %+v", res, u)
	}
}

package registry

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/disruption"
)

// After any change of the endpoint list, the ledger agrees with the list. An instance that is no longer listed counts
// as lost unless it has deregistered. A state restored from a snapshot has the same ledger.
func TestLedgerFollowsEndpointList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewStateMachine()
		one := 1
		state.Apply(1, &Record{Op: OpLedger, Ledger: &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/o",
			Budget: &disruption.Budget{Name: "b", MaxUnavailable: disruption.Limit{Count: &one}}}})
		deregistered := map[string]bool{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for step := range steps {
			index := uint64(2 + step)
			uid := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "uid")
			record := &Record{Op: rapid.SampledFrom([]Op{OpRegister, OpRegister, OpSetState, OpDeregister, OpExpire, OpSuspect, OpSidecars, OpLedger}).Draw(t, "op")}
			previous, _ := state.Get(uid)
			record.Refs = []InstanceRef{{UID: uid}}
			switch record.Op {
			case OpRegister:
				record.Refs, record.Instances = nil, []Instance{newTestInstance(uid, int(uid[0]), float64(rapid.IntRange(0, 2).Draw(t, "boot")))}
			case OpSetState:
				record.State = rapid.SampledFrom([]string{InstanceReady, InstanceTerminating}).Draw(t, "state")
			case OpExpire:
				record.Refs[0].Revision = previous.Revision
			case OpSuspect:
				record.Suspected = rapid.Bool().Draw(t, "on")
			case OpSidecars:
				record.State = rapid.SampledFrom([]string{sidecarDeregistered, sidecarExpired, sidecarSuspected}).Draw(t, "what")
				if rapid.Bool().Draw(t, "register") {
					record.Refs, record.Sidecars = nil, []Sidecar{{Name: uid, Ready: true}}
				}
			case OpLedger:
				record.Refs, record.Ledger = nil, &disruption.Op{Kind: disruption.OpObserve, Observed: []disruption.Unit{{ID: "server/" + uid, Condition: disruption.ConditionUp}}}
			}
			result := state.Apply(index, record)
			if record.Op == OpDeregister && result.Outcome == OutcomeDone && previous.UID != "" && !previous.Suspect {
				deregistered[uid] = true
			} else if _, ok := state.Get(uid); ok {
				deregistered[uid] = false
			}
			checkLedgerAgrees(t, state, deregistered)
			var buffer bytes.Buffer
			if err := state.WriteSnapshot(&buffer); err != nil {
				t.Fatal(err)
			}
			restored, err := ReadSnapshot(&buffer)
			if err != nil {
				t.Fatal(err)
			}
			if a, b := ledgerJSON(t, state), ledgerJSON(t, restored); a != b {
				t.Fatalf("the restored ledger is\n%s\nwant\n%s", b, a)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				state = restored
			}
		}
	})
}

func checkLedgerAgrees(t *rapid.T, state *StateMachine, deregistered map[string]bool) {
	for _, uid := range []string{"a", "b", "c", "d"} {
		unit, known := state.Ledger().Unit("server/" + uid)
		instance, listed := state.Get(uid)
		ok := !listed
		switch unit.Condition {
		case disruption.ConditionUnknown:
			ok = listed && instance.Suspect
		case disruption.ConditionDraining:
			ok = listed && !instance.Suspect && instance.State == InstanceTerminating
		case disruption.ConditionUp, disruption.ConditionWarmingUp:
			ok = listed && !instance.Suspect && instance.State == InstanceReady
		}
		if !ok || !listed && known == deregistered[uid] && (known || deregistered[uid]) {
			t.Fatalf("%s is %+v in the list (deregistered: %v) and %+v in the ledger", uid, instance, deregistered[uid], unit)
		}
	}
}

func ledgerJSON(t *rapid.T, state *StateMachine) string {
	data, err := json.Marshal(state.ledger.snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A snapshot of a version without the ledger is read; the first record about the ledger creates it.
func TestLedgerStartsWithFirstRecord(t *testing.T) {
	state := NewStateMachine()
	instance := newTestInstance("a", 1, 5)
	state.Apply(1, &Record{Op: OpRegister, Instances: []Instance{instance}})
	var buffer bytes.Buffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(buffer.Bytes(), []byte(`"ledger"`)) {
		t.Error("the snapshot has a ledger that does not exist yet")
	}
	state, err := ReadSnapshot(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	if unit, ok := state.Ledger().Unit("server/a"); !ok || unit.Condition != disruption.ConditionUp || state.ledger != nil {
		t.Errorf("before the first record: %+v", unit)
	}
	result := state.Apply(2, &Record{Op: OpLedger, Ledger: &disruption.Op{Kind: disruption.OpObserve, Observed: []disruption.Unit{{ID: "server/a", Condition: disruption.ConditionUnready}}}})
	if unit, _ := state.Ledger().Unit("server/a"); result.Outcome != OutcomeDone || unit.Condition != disruption.ConditionUnready {
		t.Errorf("%+v: %+v", result, unit)
	}
}

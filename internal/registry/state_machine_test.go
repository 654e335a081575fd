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

func newTestInstance(uid string, port int, bootMS float64) Instance {
	return Instance{Target: Target{UID: uid, Endpoint: fmt.Sprintf("10.0.0.1:%d", port), State: InstanceReady, Capacity: 1, BootMS: bootMS}}
}

// referenceModel is a simple form of the state machine that retains every change.
type referenceModel struct {
	instances map[string]Instance
	changes   []Change
	writes    map[string]Result
}

func (p *referenceModel) set(revision uint64, instance Instance) {
	instance.Revision = revision
	p.instances[instance.UID] = instance
	p.changes = append(p.changes, Change{Revision: revision, Target: instance.Target})
}

func (p *referenceModel) remove(revision uint64, uid string) {
	target := p.instances[uid].Target
	target.State = InstanceRemoved
	delete(p.instances, uid)
	p.changes = append(p.changes, Change{Revision: revision, Target: target})
}

func (p *referenceModel) apply(revision uint64, record *Record) Outcome {
	if result, ok := p.writes[record.ID]; ok && record.ID != "" {
		return result.Outcome
	}
	outcome := OutcomeDone
	switch record.Op {
	case OpRegister:
		instance := record.Instances[0]
		existing, exists := p.instances[instance.UID]
		switch {
		case exists && record.IfRevision != nil && *record.IfRevision != existing.Revision, exists && instance.BootMS < existing.BootMS,
			exists && existing.Endpoint != instance.Endpoint && instance.BootMS <= existing.BootMS:
			outcome = OutcomeConflict
		case !exists && record.IfRevision != nil && *record.IfRevision != 0:
			outcome = OutcomeNotFound
		case !exists || existing.Target != instance.Target:
			p.set(revision, instance)
		}
	case OpSetState:
		existing, exists := p.instances[record.Refs[0].UID]
		switch {
		case !exists:
			outcome = OutcomeNotFound
		case record.Refs[0].Revision != 0 && record.Refs[0].Revision != existing.Revision:
			outcome = OutcomeConflict
		case existing.State != record.State:
			existing.State = record.State
			p.set(revision, existing)
		}
	case OpDeregister:
		existing, exists := p.instances[record.Refs[0].UID]
		switch {
		case !exists && record.Refs[0].Revision != 0:
			outcome = OutcomeNotFound
		case exists && record.Refs[0].Revision != 0 && record.Refs[0].Revision != existing.Revision:
			outcome = OutcomeConflict
		case exists:
			p.remove(revision, existing.UID)
		}
	case OpExpire:
		if existing, exists := p.instances[record.Refs[0].UID]; exists && existing.Revision == record.Refs[0].Revision {
			p.remove(revision, existing.UID)
		}
	}
	if record.ID != "" && outcome == OutcomeDone {
		p.writes[record.ID] = Result{Outcome: outcome}
	}
	return outcome
}

// since returns the targets that a watcher at a revision must receive.
func (p *referenceModel) since(revision uint64) map[string]Target {
	targets := map[string]Target{}
	for _, change := range p.changes {
		if change.Revision > revision {
			targets[change.Target.UID] = change.Target
		}
	}
	return targets
}

func TestStateMachineAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, model := NewStateMachine(), &referenceModel{instances: map[string]Instance{}, writes: map[string]Result{}}
		uid := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		revision := uint64(0)
		cursors := []uint64{0}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap")) // raft's own entries use indexes, too
			record := &Record{Op: rapid.SampledFrom([]Op{OpRegister, OpRegister, OpSetState, OpDeregister, OpExpire}).Draw(t, "op")}
			record.ID = rapid.SampledFrom([]string{"", "", "w1", "w2", "w3"}).Draw(t, "id")
			known := rapid.SampledFrom([]uint64{0, 1, 2, revision - 1}).Draw(t, "known")
			if instance, ok := model.instances["a"]; ok && rapid.Bool().Draw(t, "right") {
				known = instance.Revision
			}
			switch record.Op {
			case OpRegister:
				record.Instances = []Instance{newTestInstance(uid.Draw(t, "uid"), rapid.IntRange(1, 3).Draw(t, "port"), float64(rapid.IntRange(0, 2).Draw(t, "boot")))}
				if rapid.Bool().Draw(t, "cas") {
					record.IfRevision = &known
				}
			default:
				record.Refs = []InstanceRef{{uid.Draw(t, "uid"), known}}
				record.State = rapid.SampledFrom([]string{InstanceReady, InstanceTerminating}).Draw(t, "state")
			}
			data, err := record.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeRecord(data)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := state.Apply(revision, decoded).Outcome, model.apply(revision, record); got != want {
				t.Fatalf("%+v: %s, want %s", record, got, want)
			}
			cursors = append(cursors, state.Revision())
			if rapid.IntRange(0, 9).Draw(t, "copy") == 0 {
				state = snapshotRoundTrip(t, state)
				cursors = []uint64{0, state.Revision()}
				model.changes = slices.DeleteFunc(model.changes, func(change Change) bool { return change.Revision <= state.Revision() })
				for _, instance := range model.instances { // the complete list replaces the history
					model.changes = append(model.changes, Change{Revision: 0, Target: instance.Target})
				}
			}
			checkAgainstModel(t, state, model, cursors)
		}
	})
}

// snapshotRoundTrip writes a state as a snapshot and reads it back.
func snapshotRoundTrip(t *rapid.T, state *StateMachine) *StateMachine {
	var buffer bytes.Buffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		t.Fatal(err)
	}
	restored, err := ReadSnapshot(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// checkAgainstModel compares the lists, and what a watcher at each cursor receives.
func checkAgainstModel(t *rapid.T, state *StateMachine, model *referenceModel, cursors []uint64) {
	listed := map[string]Target{}
	for _, target := range state.CompleteList().Targets {
		listed[target.UID] = target
	}
	want := map[string]Target{}
	for uid, instance := range model.instances {
		want[uid] = instance.Target
	}
	if !maps.Equal(listed, want) {
		t.Fatalf("list %v, want %v", listed, want)
	}
	for _, cursor := range cursors {
		changes := state.ChangesSince(cursor, 0)
		if changes.Revision != state.Revision() {
			t.Fatalf("since %d: revision %d, want %d", cursor, changes.Revision, state.Revision())
		}
		if changes.Complete {
			continue // compared above
		}
		got := map[string]Target{}
		for _, target := range changes.Targets {
			got[target.UID] = target
		}
		if !maps.Equal(got, model.since(cursor)) {
			t.Fatalf("since %d: %v, want %v", cursor, got, model.since(cursor))
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	state := NewStateMachine()
	for n := range uint64(3 * minRetainedChanges) {
		instance := newTestInstance("a", 1, 0)
		instance.Capacity = 1 + float64(n%100)/100
		state.Apply(n+1, &Record{Op: OpRegister, Instances: []Instance{instance, newTestInstance(fmt.Sprint(n%10), 1, float64(n))}})
	}
	if len(state.history) > 2*minRetainedChanges {
		t.Errorf("%d changes are retained", len(state.history))
	}
	if changes := state.ChangesSince(10, 0); !changes.Complete {
		t.Error("a cursor older than the history does not get the complete list")
	}
	if changes := state.ChangesSince(state.Revision()-5, 0); changes.Complete || len(changes.Targets) == 0 {
		t.Errorf("a cursor within the history gets %+v", changes)
	}
	if changes := state.ChangesSince(state.Revision()-5, 77); !changes.Complete {
		t.Error("a cursor of another epoch does not get the complete list")
	}
	if changes := state.ChangesSince(state.Revision()+5, 0); !changes.Complete {
		t.Error("a cursor ahead of the list does not get the complete list")
	}
}

// A watcher that is far behind receives the newest state of each instance, not every change.
func TestSlowWatchersReceiveCoalescedChanges(t *testing.T) {
	hub := NewHub()
	register := func(n uint64) {
		instance := newTestInstance("a", 1, float64(n))
		if _, err := hub.Apply(n, &Record{Op: OpRegister, Instances: []Instance{instance}}); err != nil {
			t.Fatal(err)
		}
	}
	register(1)
	first, err := hub.next(cursor{})
	if err != nil {
		t.Fatal(err)
	}
	for n := range uint64(3) {
		register(n + 2)
	}
	batch, err := hub.next(first.position)
	if err != nil || len(batch.lines) != 3 {
		t.Errorf("a little behind: %d lines, want each change: %v", len(batch.lines), err)
	}
	for n := range uint64(5000) {
		register(n + 5)
	}
	batch, err = hub.next(first.position)
	var list EndpointList
	if err != nil || len(batch.lines) != 1 || json.Unmarshal(batch.lines[0], &list) != nil || len(list.Targets) != 1 || list.Targets[0].BootMS != 5004 || batch.position.revision != 5004 {
		t.Errorf("far behind: %d lines, %+v, %v", len(batch.lines), list, err)
	}
	if len(hub.encoded) > maxEncodedChanges {
		t.Errorf("%d encoded changes are retained", len(hub.encoded))
	}
}

func TestRegistrationExpiry(t *testing.T) {
	state := NewStateMachine()
	uids := []string{}
	for n := range 20 {
		instance := newTestInstance(fmt.Sprint(n), 1, 0)
		instance.TTLMS = 1000
		uids = append(uids, instance.UID)
		state.Apply(uint64(n+1), &Record{Op: OpRegister, Instances: []Instance{instance}})
	}
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	policy := ExpiryPolicy{MaxShare: 0.15, Window: 10 * time.Second}

	tracker := newRegistrationTracker(policy)
	tracker.reset(start, state)
	tracker.renew(at(800), state, uids[1:])
	if expire, suspects := tracker.sweep(at(999)); len(expire)+len(suspects) > 0 {
		t.Errorf("a registration expires before the end of its lease: %v %v", expire, suspects)
	}
	if expire, suspects := tracker.sweep(at(1001)); len(expire) != 1 || expire[0].UID != "0" || len(suspects) > 0 {
		t.Errorf("one lease has ended: %v %v", expire, suspects)
	}

	// Half are missing, as in a partition. The first leases to end must not expire either.
	tracker.reset(start, state)
	tracker.renew(at(50), state, uids[5:])
	tracker.renew(at(800), state, uids[10:])
	if expire, suspects := tracker.sweep(at(1010)); len(expire) > 0 || len(suspects) != 5 {
		t.Errorf("half are missing: %d expire, %d are held back", len(expire), len(suspects))
	}

	// Successive expiries count, too, within the window of the policy.
	tracker.reset(start, state)
	expiredCount := 0
	for ms := 1001; ms < 20_000; ms += 1000 {
		firstRenewed := min(ms/1000, 20)
		tracker.renew(at(ms-1), state, uids[firstRenewed:])
		expire, _ := tracker.sweep(at(ms))
		expiredCount += len(expire)
		tracker.recordExpired(at(ms), len(expire))
		for _, ref := range expire {
			empty := NewStateMachine()
			tracker.refresh(at(ms), empty, []string{ref.UID})
		}
	}
	if expiredCount == 0 || expiredCount > 5 {
		t.Errorf("%d of 20 expired one by one within 20 s at a share of 0.15 in 10 s", expiredCount)
	}
}

func FuzzRecord(f *testing.F) {
	good, err := (&Record{Op: OpRegister, Instances: []Instance{newTestInstance("a", 1, 0)}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if record, err := DecodeRecord(data); err == nil {
			NewStateMachine().Apply(1, record) // must not panic, whatever the record contains
		}
	})
}

func FuzzWriteBody(f *testing.F) {
	f.Add([]byte(`{"id":"w","if_rev":3,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Ready","capacity_hint":1,"ttl_ms":1000}]}`))
	f.Add([]byte(`{"targets":[{"uid":"a","endpoint":"0.0.0.0:1","capacity_hint":1e999}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body registerRequest
		if json.Unmarshal(data, &body) != nil {
			return
		}
		record, _, err := body.toRecord()
		if err != nil {
			return
		}
		// A valid request survives encoding and decoding.
		bytes, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeRecord(bytes)
		if err != nil {
			t.Fatal(err)
		}
		state := NewStateMachine()
		if result := state.Apply(1, decoded); result.Outcome == OutcomeDone && state.Len() == 0 {
			t.Fatalf("%s is applied but registers nothing", data)
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	state := NewStateMachine()
	state.Apply(3, &Record{Op: OpRegister, ID: "w", Instances: []Instance{newTestInstance("a", 1, 0)}})
	var buffer bytes.Buffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		if state, err := ReadSnapshot(bytes.NewReader(data)); err == nil {
			state.CompleteList()
		}
	})
}

func TestCorruptSnapshotsAreRejected(t *testing.T) {
	state := NewStateMachine()
	state.Apply(3, &Record{Op: OpRegister, ID: "w", Instances: []Instance{newTestInstance("a", 1, 0)}})
	var buffer bytes.Buffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		t.Fatal(err)
	}
	for offset := range buffer.Bytes() {
		corrupt := bytes.Clone(buffer.Bytes())
		corrupt[offset] ^= 0x20
		if _, err := ReadSnapshot(bytes.NewReader(corrupt)); err == nil {
			t.Errorf("the snapshot is read though byte %d is flipped", offset)
		}
	}
	for offset := range buffer.Len() {
		if _, err := ReadSnapshot(bytes.NewReader(buffer.Bytes()[:offset])); err == nil {
			t.Errorf("the snapshot is read though truncated to %d bytes", offset)
		}
	}
}

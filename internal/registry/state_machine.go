package registry

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// Bounds of what the state keeps.
const (
	minRetainedChanges  = 8192   // at least, and up to twice as many, for watches that come back: beyond it they get the whole list
	maxRetainedWriteIDs = 16_384 // ids of writes that are known to be done
)

// Outcome says what became of a write.
type Outcome string

// The outcomes.
const (
	OutcomeDone          Outcome = "done"
	OutcomeConflict      Outcome = "conflict"  // the entry has another revision, or another address holds its uid
	OutcomeNotFound      Outcome = "not_found" // there is no such entry
	OutcomeLimitExceeded Outcome = "too_many"  // the list is full
)

// Result answers a write.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"rev"` // the revision of the write, or on a conflict that of the entry
	Reason   string  `json:"why,omitempty"`
}

// Change is one entry's news, with its line of a watch encoded once for all watchers.
type Change struct {
	Revision uint64
	Target   Target
	Line     []byte
}

// StateMachine is the replicated state machine. It is pure: the same records in the same order give the same state on
// every replica. It is not safe for concurrent use.
type StateMachine struct {
	revision          uint64 // of the last change of the list
	appliedIndex      uint64
	epoch             uint64
	instances         map[string]*Instance
	history           []Change // by revision, the newest last
	compactedRevision uint64   // the revision of the newest change that history has lost
	completedWrites   map[string]Result
	writeOrder        []string // of writes, oldest first
	leases            *leasetable.Table
	placement         *placement.Table
	releases          *release.Table
	windows           *maintenance.Table
	ledger            *ledger // nil until the first record about it
}

// NewStateMachine is the empty state.
func NewStateMachine() *StateMachine {
	state := &StateMachine{instances: map[string]*Instance{}, completedWrites: map[string]Result{}, leases: leasetable.New(), placement: placement.NewTable(),
		releases: release.NewTable()}
	state.setWindowTable(maintenance.New())
	return state
}

// Revision is the revision of the list.
func (s *StateMachine) Revision() uint64 { return s.revision }

// Epoch names the history that this list continues; a restored backup begins another.
func (s *StateMachine) Epoch() uint64 { return s.epoch }

// Len is the number of instances.
func (s *StateMachine) Len() int { return len(s.instances) }

// Get is one instance.
func (s *StateMachine) Get(uid string) (Instance, bool) {
	instance, ok := s.instances[uid]
	if !ok {
		return Instance{}, false
	}
	return *instance, true
}

// ForEach calls do for each instance, in no order.
func (s *StateMachine) ForEach(visit func(*Instance)) {
	for _, instance := range s.instances {
		visit(instance)
	}
}

// Apply takes one record of the log in. Index is its place there, which only grows.
func (s *StateMachine) Apply(index uint64, record *Record) Result {
	s.appliedIndex = index
	if record.ID != "" {
		if previous, ok := s.completedWrites[record.ID]; ok {
			return previous
		}
	}
	result := s.applyOperation(index, record)
	s.updateLedger(index, record, result)
	if record.ID != "" && result.Outcome == OutcomeDone {
		s.completedWrites[record.ID] = result
		s.writeOrder = append(s.writeOrder, record.ID)
		if len(s.writeOrder) > maxRetainedWriteIDs {
			delete(s.completedWrites, s.writeOrder[0])
			s.writeOrder = s.writeOrder[1:]
		}
	}
	return result
}

func (s *StateMachine) applyOperation(index uint64, record *Record) Result {
	if guard := record.Guard; guard != nil && !s.leases.TokenValid(guard.Lease, guard.Token) {
		return Result{OutcomeConflict, s.leases.Rev(), fmt.Sprintf("token %d of duty %s counts no more", guard.Token, guard.Lease)}
	}
	switch record.Op {
	case OpLease:
		return s.applyLease(index, record.Lease)
	case OpPlacement:
		return s.applyPlacement(index, record)
	case OpRelease:
		return s.applyRelease(index, record)
	case OpWindow:
		return s.applyWindow(index, record)
	case OpLedger:
		return s.applyLedger(index, record)
	case OpSidecars:
		return s.applySidecars(index, record)
	case OpRegister:
		return s.applyRegister(index, record)
	case OpSetState, OpDeregister:
		return s.applyInstanceChange(index, record)
	case OpExpire:
		for _, ref := range record.Refs {
			if instance := s.instances[ref.UID]; instance != nil && instance.Revision == ref.Revision && !instance.Suspect {
				s.removeInstance(index, instance)
			}
		}
		return Result{Outcome: OutcomeDone, Revision: index}
	case OpMirror:
		for k := range record.Instances {
			instance := record.Instances[k]
			if existing := s.instances[instance.UID]; existing == nil || existing.Target != instance.Target {
				instance.Revision = index
				s.instances[instance.UID] = &instance
				s.recordChange(index, instance.Target)
			}
		}
		for _, ref := range record.Refs {
			if instance := s.instances[ref.UID]; instance != nil {
				s.removeInstance(index, instance)
			}
		}
		return Result{Outcome: OutcomeDone, Revision: index}
	case OpSuspect:
		for _, ref := range record.Refs {
			if instance := s.instances[ref.UID]; instance != nil {
				instance.Suspect = record.Suspected // no change of the list: sidecars are not told
			}
		}
		return Result{Outcome: OutcomeDone, Revision: index}
	case OpEpoch:
		s.epoch, s.history, s.compactedRevision = record.Epoch, nil, index
		s.revision = index
		s.placement.StartEpoch(index, record.Epoch)
		return Result{Outcome: OutcomeDone, Revision: index}
	default:
		// Of a later version: every replica of this one skips it alike.
		return Result{Outcome: OutcomeConflict, Revision: s.revision, Reason: fmt.Sprintf("unknown operation %q", record.Op)}
	}
}

// Leases is the table of duties, for reading.
func (s *StateMachine) Leases() *leasetable.Table { return s.leases }

func (s *StateMachine) applyLease(index uint64, op *leasetable.Operation) Result {
	if op == nil {
		return Result{OutcomeConflict, s.leases.Rev(), "no operation"}
	}
	err := s.leases.Apply(index, op)
	var rejected *leasetable.RejectedError
	if errors.As(err, &rejected) {
		return Result{leaseOutcomes[rejected.Rejection], s.leases.Rev(), rejected.Reason}
	}
	return Result{OutcomeDone, s.leases.Rev(), ""}
}

var leaseOutcomes = map[leasetable.Rejection]Outcome{
	leasetable.StaleToken:    OutcomeConflict,
	leasetable.NotFound:      OutcomeNotFound,
	leasetable.LimitExceeded: OutcomeLimitExceeded,
}

// applyRegister takes in new instances and new lives of known ones; all of a batch or none.
func (s *StateMachine) applyRegister(index uint64, record *Record) Result {
	added := 0
	for k := range record.Instances {
		instance := &record.Instances[k]
		existing := s.instances[instance.UID]
		if existing == nil {
			added++
			if record.IfRevision != nil && *record.IfRevision != 0 {
				return Result{OutcomeNotFound, 0, instance.UID + " is not registered"}
			}
			continue
		}
		if record.IfRevision != nil && *record.IfRevision != existing.Revision {
			return Result{OutcomeConflict, existing.Revision, fmt.Sprintf("%s has revision %d", instance.UID, existing.Revision)}
		}
		// Two processes with one uid: the later start has it. An old one that comes back does not take it away.
		if existing.Endpoint != instance.Endpoint && instance.BootMS <= existing.BootMS {
			return Result{OutcomeConflict, existing.Revision, fmt.Sprintf("%s is held by %s, which started no earlier", instance.UID, existing.Endpoint)}
		}
		if instance.BootMS < existing.BootMS {
			return Result{OutcomeConflict, existing.Revision, fmt.Sprintf("%s has started again since", instance.UID)}
		}
	}
	if len(s.instances)+added > maxInstances {
		return Result{OutcomeLimitExceeded, s.revision, fmt.Sprintf("the list holds %d instances", len(s.instances))}
	}
	for k := range record.Instances {
		instance := record.Instances[k]
		instance.Suspect = false
		existing := s.instances[instance.UID]
		if existing != nil && existing.Target == instance.Target {
			existing.Version, existing.TTLMS, existing.Suspect = instance.Version, instance.TTLMS, false
			continue // nothing that anybody would be told
		}
		instance.Revision = index
		s.instances[instance.UID] = &instance
		s.recordChange(index, instance.Target)
	}
	return Result{Outcome: OutcomeDone, Revision: index}
}

// applyInstanceChange sets the state of instances or removes them; all of them or none.
func (s *StateMachine) applyInstanceChange(index uint64, record *Record) Result {
	for _, ref := range record.Refs {
		instance := s.instances[ref.UID]
		switch {
		case instance == nil && record.Op == OpDeregister && ref.Revision == 0:
			// Gone already: that is what was asked for.
		case instance == nil:
			return Result{OutcomeNotFound, 0, ref.UID + " is not registered"}
		case ref.Revision != 0 && ref.Revision != instance.Revision:
			return Result{OutcomeConflict, instance.Revision, fmt.Sprintf("%s has revision %d", ref.UID, instance.Revision)}
		}
	}
	for _, ref := range record.Refs {
		instance := s.instances[ref.UID]
		switch {
		case instance == nil:
		case record.Op == OpDeregister:
			s.removeInstance(index, instance)
		case instance.State != record.State:
			updated := *instance
			updated.State, updated.Revision = record.State, index
			s.instances[instance.UID] = &updated
			s.recordChange(index, updated.Target)
		}
	}
	return Result{Outcome: OutcomeDone, Revision: index}
}

func (s *StateMachine) removeInstance(index uint64, instance *Instance) {
	delete(s.instances, instance.UID)
	target := instance.Target
	target.State = InstanceRemoved
	s.recordChange(index, target)
}

// recordChange adds a change to the history. Several of one record share its revision and one line.
func (s *StateMachine) recordChange(index uint64, target Target) {
	s.revision = index
	s.history = append(s.history, Change{Revision: index, Target: target})
	if len(s.history) >= 2*minRetainedChanges { // half goes at a time: moving all for each change would cost more than the change
		excess := len(s.history) - minRetainedChanges
		s.compactedRevision = s.history[excess-1].Revision
		// A revision is kept whole or not at all.
		for excess < len(s.history) && s.history[excess].Revision == s.compactedRevision {
			excess++
		}
		s.history = append(s.history[:0], s.history[excess:]...)
	}
}

// FullList is the whole list, in the order of uids.
func (s *StateMachine) FullList() EndpointList {
	list := EndpointList{Revision: s.revision, Full: true, Epoch: s.epoch, Targets: make([]Target, 0, len(s.instances))}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		list.Targets = append(list.Targets, s.instances[uid].Target)
	}
	return list
}

// HasHistorySince tells whether the history still holds all that changed after a revision of the epoch.
func (s *StateMachine) HasHistorySince(revision, epoch uint64) bool {
	return revision != 0 && revision >= s.compactedRevision && revision <= s.revision && (epoch == 0 || epoch == s.epoch)
}

// ChangesSince is what changed after a revision of the epoch, the newest state of each instance; it is the whole list
// where that is not known any more.
func (s *StateMachine) ChangesSince(revision, epoch uint64) EndpointList {
	if !s.HasHistorySince(revision, epoch) {
		return s.FullList()
	}
	list := EndpointList{Revision: s.revision, Epoch: s.epoch, Targets: []Target{}}
	start, _ := slices.BinarySearchFunc(s.history, revision, func(change Change, revision uint64) int {
		if change.Revision <= revision {
			return -1
		}
		return 1
	})
	positions := map[string]int{}
	for k := start; k < len(s.history); k++ {
		uid := s.history[k].Target.UID
		if position, ok := positions[uid]; ok {
			list.Targets[position] = s.history[k].Target
			continue
		}
		positions[uid] = len(list.Targets)
		list.Targets = append(list.Targets, s.history[k].Target)
	}
	return list
}

// A snapshot is a line that names its form, the checksum of the rest, and JSON.
const snapshotHeader = "milldeck-registry-snapshot"

// SnapshotVersion is the version that this program writes.
const SnapshotVersion = 1

// maxSnapshotBytes bounds what is read of a snapshot, in bytes: the fullest list with its history is under it.
const maxSnapshotBytes = 512 << 20

type snapshot struct {
	Revision        uint64                `json:"rev"`
	AppliedIndex    uint64                `json:"applied"`
	Epoch           uint64                `json:"epoch"`
	Instances       []*Instance           `json:"instances"`
	CompletedWrites map[string]Result     `json:"writes"`
	WriteOrder      []string              `json:"order"`
	Leases          []*leasetable.Lease   `json:"duties,omitempty"`
	Placement       *placement.Snapshot   `json:"placement,omitempty"`
	Releases        *release.Snapshot     `json:"releases,omitempty"`
	Windows         *maintenance.Snapshot `json:"windows,omitempty"`
	Ledger          *ledgerSnapshot       `json:"ledger,omitempty"`
}

// WriteSnapshot writes the state. History is left out: watches that come back after a restore get the whole list.
func (s *StateMachine) WriteSnapshot(w io.Writer) error {
	contents := snapshot{Revision: s.revision, AppliedIndex: s.appliedIndex, Epoch: s.epoch, Instances: []*Instance{}, CompletedWrites: s.completedWrites, WriteOrder: s.writeOrder,
		Leases: s.leases.Snapshot(), Placement: s.placement.Snapshot(), Releases: s.releases.Snapshot(), Windows: s.windows.Snapshot()}
	contents.Ledger = s.ledger.snapshot()
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		contents.Instances = append(contents.Instances, s.instances[uid])
	}
	body, err := json.Marshal(contents)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	header := fmt.Appendf(nil, "%s %d\n", snapshotHeader, SnapshotVersion)
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(body))
	if _, err := w.Write(append(header, body...)); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// ReadSnapshot reads a state, or says what is wrong with it; nothing of a torn one is used.
func ReadSnapshot(r io.Reader) (*StateMachine, error) {
	reader := bufio.NewReader(io.LimitReader(r, maxSnapshotBytes+1))
	firstLine, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, fmt.Errorf("snapshot: no first line: %w", unexpectedEOF(err))
	}
	var magic string
	var version int
	if scanned, err := fmt.Sscanf(string(firstLine), "%s %d\n", &magic, &version); scanned != 2 || err != nil || magic != snapshotHeader {
		return nil, fmt.Errorf("snapshot: it does not begin with %s", snapshotHeader)
	}
	if version > SnapshotVersion || version < 1 {
		return nil, fmt.Errorf("snapshot of version %d: %w", version, errNewerVersion)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(data) < 8 || len(data) > maxSnapshotBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[8:]) {
		return nil, fmt.Errorf("snapshot: %w", errChecksumMismatch)
	}
	var contents snapshot
	if err := json.NewDecoder(bytes.NewReader(data[8:])).Decode(&contents); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	state := NewStateMachine()
	state.revision, state.appliedIndex, state.epoch, state.compactedRevision = contents.Revision, contents.AppliedIndex, contents.Epoch, contents.Revision
	for _, instance := range contents.Instances {
		if instance == nil {
			return nil, fmt.Errorf("snapshot: an empty instance")
		}
		state.instances[instance.UID] = instance
	}
	if slices.Contains(contents.Leases, nil) {
		return nil, fmt.Errorf("snapshot: an empty duty")
	}
	state.leases = leasetable.FromSnapshot(contents.Leases)
	state.placement = placement.Restore(contents.Placement, contents.Epoch)
	state.releases = release.Restore(contents.Releases)
	state.setWindowTable(maintenance.Restore(contents.Windows))
	if state.ledger, err = restoreLedger(contents.Ledger); err != nil {
		return nil, err
	}
	if contents.CompletedWrites != nil {
		state.completedWrites, state.writeOrder = contents.CompletedWrites, contents.WriteOrder
	}
	return state, nil
}

// unexpectedEOF tells an end that came too soon from one that was due.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

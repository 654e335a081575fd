package registry

import (
	"fmt"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// maxRetainedWriteIDs bounds the idempotency keys of applied writes that the state retains.
const maxRetainedWriteIDs = 16_384

// Outcome is the result of applying a write.
type Outcome string

// The outcomes.
const (
	OutcomeDone          Outcome = "done"
	OutcomeConflict      Outcome = "conflict"  // a precondition does not hold: revision, guard or ownership
	OutcomeNotFound      Outcome = "not_found" // the entry does not exist
	OutcomeLimitExceeded Outcome = "too_many"  // the state has reached one of its size limits
)

// Result is the result of a write. The result of an applied write is stored under its idempotency key.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"rev"` // of the write; after a conflict, of the existing entry
	Reason   string  `json:"why,omitempty"`
}

func doneResult(revision uint64) Result { return Result{Outcome: OutcomeDone, Revision: revision} }

func conflictResult(revision uint64, format string, args ...any) Result {
	return Result{OutcomeConflict, revision, fmt.Sprintf(format, args...)}
}

func notRegisteredResult(uid string) Result {
	return Result{OutcomeNotFound, 0, uid + " is not registered"}
}

// StateMachine is the replicated state machine. It is deterministic: the same records in the same order give the same
// state on every replica. It is not safe for concurrent use.
type StateMachine struct {
	revision     uint64 // of the last change to the endpoint list
	appliedIndex uint64
	epoch        uint64

	restorePending bool // the state is that of a restore, and no record has been applied since

	instances map[string]*Instance // by uid; a change to a Target replaces the entry, other fields change in place

	history           []Change // ordered by revision, oldest first
	compactedRevision uint64   // newest revision whose changes were dropped from history

	completedWrites map[string]Result // by idempotency key
	writeOrder      []string          // keys of completedWrites, oldest first

	leases    *leasetable.Table
	placement *placement.Table
	releases  *release.Table
	windows   *maintenance.Table
	ledger    *ledger // nil until the first record that needs it
}

// NewStateMachine returns an empty state machine.
func NewStateMachine() *StateMachine {
	state := &StateMachine{
		instances:       map[string]*Instance{},
		completedWrites: map[string]Result{},
		leases:          leasetable.New(),
		placement:       placement.NewTable(),
		releases:        release.NewTable(),
	}
	state.setWindowTable(maintenance.New())
	return state
}

// Revision returns the revision of the last change to the endpoint list.
func (s *StateMachine) Revision() uint64 { return s.revision }

// Epoch returns the identifier of the history that the endpoint list belongs to. Restoring a backup starts a new
// history.
func (s *StateMachine) Epoch() uint64 { return s.epoch }

// Len returns the number of instances.
func (s *StateMachine) Len() int { return len(s.instances) }

// Get returns one instance.
func (s *StateMachine) Get(uid string) (Instance, bool) {
	instance, ok := s.instances[uid]
	if !ok {
		return Instance{}, false
	}
	return *instance, true
}

// ForEach calls visit for each instance, in no particular order.
func (s *StateMachine) ForEach(visit func(*Instance)) {
	for _, instance := range s.instances {
		visit(instance)
	}
}

// Apply applies one record. Index is the index of the record in the log; it increases from call to call. A record whose
// ID was applied before has no effect, and Apply returns the earlier result.
func (s *StateMachine) Apply(index uint64, record *Record) Result {
	s.appliedIndex, s.restorePending = index, false
	if record.ID != "" {
		if previous, ok := s.completedWrites[record.ID]; ok {
			return previous
		}
	}
	result := s.applyOperation(index, record)
	s.updateLedger(index, record, result)
	if record.ID != "" && result.Outcome == OutcomeDone {
		s.retainWrite(record.ID, result)
	}
	return result
}

// retainWrite stores the result of a write under its idempotency key. It drops the oldest key if there are more than
// maxRetainedWriteIDs.
func (s *StateMachine) retainWrite(id string, result Result) {
	s.completedWrites[id] = result
	s.writeOrder = append(s.writeOrder, id)
	if len(s.writeOrder) > maxRetainedWriteIDs {
		delete(s.completedWrites, s.writeOrder[0])
		s.writeOrder = s.writeOrder[1:]
	}
}

func (s *StateMachine) applyOperation(index uint64, record *Record) Result {
	if guard := record.Guard; guard != nil && !s.leases.TokenValid(guard.Lease, guard.Token) {
		return conflictResult(s.leases.Revision(), "token %d of lease %s is not valid", guard.Token, guard.Lease)
	}
	switch record.Op {
	case OpRegister:
		return s.applyRegister(index, record)
	case OpSetState, OpDeregister:
		return s.applyInstanceChange(index, record)
	case OpExpire:
		return s.applyExpire(index, record)
	case OpSuspect:
		return s.applySuspect(index, record)
	case OpMirror:
		return s.applyMirror(index, record)
	case OpEpoch:
		return s.applyEpoch(index, record)
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
	default:
		// A later version wrote the record. All replicas of this version skip it, so that their states stay equal.
		return conflictResult(s.revision, "unknown operation %q", record.Op)
	}
}

// applyEpoch starts a new history. Watchers of an earlier epoch receive the complete list.
func (s *StateMachine) applyEpoch(index uint64, record *Record) Result {
	s.epoch, s.revision = record.Epoch, index
	s.history, s.compactedRevision = nil, index
	s.placement.StartEpoch(index, record.Epoch)
	return doneResult(index)
}

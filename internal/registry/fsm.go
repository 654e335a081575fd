package registry

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// fsm implements raft.FSM on a replica.
type fsm Replica

// Apply applies a log entry, and returns a Result or an error. A replica that skipped an unreadable entry would diverge
// from the other replicas, so it fails instead, as does one with a pending restore that the cluster continued without.
func (f *fsm) Apply(entry *raft.Log) any {
	replica := (*Replica)(f)
	if err := replica.checkPendingRestore(); err != nil {
		replica.fail(err)
		return err
	}
	record, err := DecodeRecord(entry.Data)
	if err == nil {
		var result Result
		if result, err = replica.hub.Apply(entry.Index, record); err == nil {
			replica.pendingRestore.Store(nil)
			return result
		}
	}
	replica.fail(fmt.Errorf("log entry %d: %w", entry.Index, err))
	return err
}

// Snapshot returns a snapshot of the current state. There is none of a pending restore: it would allow raft to remove the
// log entry by which an abandoned restore is recognized.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	if (*Replica)(f).restorePending() {
		return nil, errRestorePending
	}
	buffer := &snapshotBuffer{}
	var err error
	(*Replica)(f).hub.Read(func(state *StateMachine) { err = state.WriteSnapshot(buffer) })
	return buffer, err
}

// Restore replaces the state by that of a snapshot.
func (f *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	state, err := ReadSnapshot(from)
	if err != nil {
		return err
	}
	replica := (*Replica)(f)
	if err := replica.replaceState(state); err != nil {
		replica.fail(err) // raft would go on with the state of before
		return err
	}
	return nil
}

// snapshotBuffer holds the bytes of a snapshot until raft has persisted them.
type snapshotBuffer struct{ data []byte }

func (b *snapshotBuffer) Write(data []byte) (int, error) {
	b.data = append(b.data, data...)
	return len(data), nil
}

// Persist writes the snapshot to raft's store.
func (b *snapshotBuffer) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(b.data); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the garbage collector frees the buffer.
func (b *snapshotBuffer) Release() {}

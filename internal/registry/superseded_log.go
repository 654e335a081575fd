package registry

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// A replica that installs a leader's snapshot may have log entries of earlier leaders from the snapshot's index on, which were
// never committed. By the raft paper such a replica discards its log. hashicorp/raft retains it, then rejects every entry that
// the leader sends behind the snapshot, and serves its state while it follows nothing. The terms of a log never decrease, so
// an entry behind a snapshot with a lower term than the snapshot's is such an entry.

// errLogSuperseded ends a replica that cannot follow its leader. Its next start discards the entries.
var errLogSuperseded = errors.New("the log has entries of an earlier leader behind the installed snapshot; the next start discards them")

// supersededFrom returns the index of the first log entry that contradicts a snapshot; 0 if there is none.
func supersededFrom(logs raft.LogStore, snapshot *raft.SnapshotMeta) (uint64, error) {
	first, err := logs.FirstIndex()
	if err != nil {
		return 0, err
	}
	last, err := logs.LastIndex()
	if err != nil || last == 0 {
		return 0, err
	}
	for index := max(first, snapshot.Index); index <= last; index++ {
		var entry raft.Log
		err := logs.GetLog(index, &entry)
		if errors.Is(err, raft.ErrLogNotFound) {
			continue
		}
		if err != nil || entry.Term >= snapshot.Term {
			return 0, err
		}
		return index, nil
	}
	return 0, nil
}

// discardSuperseded removes the log entries that contradict a snapshot, and reports how many indexes they span.
func discardSuperseded(logs raft.LogStore, snapshot *raft.SnapshotMeta) (discarded uint64, err error) {
	from, err := supersededFrom(logs, snapshot)
	if err != nil || from == 0 {
		return 0, err
	}
	last, err := logs.LastIndex()
	if err != nil {
		return 0, err
	}
	if err := logs.DeleteRange(from, last); err != nil {
		return 0, fmt.Errorf("log entries %d to %d: %w", from, last, err)
	}
	return last - from + 1, nil
}

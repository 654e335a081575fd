package registry

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// snapshotsDirName is the directory of the snapshots in the data directory, and temporarySnapshotSuffix the end of the
// names of snapshots that are not complete, both as raft names them.
const (
	snapshotsDirName        = "snapshots"
	temporarySnapshotSuffix = ".tmp"
)

var errNoMetadata = errors.New("its metadata cannot be read")

// verifyDataDir reads all snapshots and log entries, so that corrupt data is found before the replica votes.
func verifyDataDir(dir string, store *raftboltdb.BoltStore, snapshots raft.SnapshotStore) (err error) {
	defer func() { // the library may panic, as in openLogStore
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("log: %v", panicked)
		}
	}()
	available, err := snapshots.List()
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	restorePending, err := verifySnapshots(snapshots, available)
	if err != nil {
		return err
	}
	if err := requireNewestListed(filepath.Join(dir, snapshotsDirName), available); err != nil {
		return err
	}
	snapshotIndex := uint64(0) // no snapshot
	if len(available) > 0 {
		snapshotIndex = available[0].Index
		if _, err := discardSuperseded(store, available[0]); err != nil {
			return err
		}
	}
	if err := verifyLog(store, snapshotIndex); err != nil || !restorePending {
		return err
	}
	pending := &pendingRestore{snapshotIndex, available[0].Term}
	return pending.checkLog(store)
}

// verifySnapshots reads every snapshot, because raft falls back to an older snapshot if it cannot read the newest. It
// reports whether the newest is that of a pending restore.
func verifySnapshots(snapshots raft.SnapshotStore, available []*raft.SnapshotMeta) (restorePending bool, err error) {
	for i, metadata := range available {
		state, err := readStoredSnapshot(snapshots, metadata.ID)
		if err != nil {
			return false, fmt.Errorf("snapshot %s: %w", metadata.ID, err)
		}
		restorePending = restorePending || i == 0 && state.restorePending
	}
	return restorePending, nil
}

func readStoredSnapshot(snapshots raft.SnapshotStore, id string) (*StateMachine, error) {
	_, reader, err := snapshots.Open(id)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	return ReadSnapshot(reader)
}

// requireNewestListed returns an error if a complete snapshot is newer than the newest of the list. The store leaves
// out snapshots whose metadata it cannot read, and raft would start from an older state.
func requireNewestListed(dir string, available []*raft.SnapshotMeta) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	for _, entry := range entries {
		name := entry.Name()
		found, isSnapshot := parseSnapshotName(name)
		if !entry.IsDir() || !isSnapshot {
			continue
		}
		if len(available) == 0 || found.newerThan(available[0]) {
			return fmt.Errorf("snapshot %s: %w", name, errNoMetadata)
		}
	}
	return nil
}

// snapshotName is the name of a snapshot's directory: the term and index of its last entry, and the time of its creation.
type snapshotName struct{ term, index, createdAt uint64 }

// parseSnapshotName parses the name of a complete snapshot.
func parseSnapshotName(name string) (parsed snapshotName, ok bool) {
	if strings.HasSuffix(name, temporarySnapshotSuffix) {
		return snapshotName{}, false
	}
	n, err := fmt.Sscanf(name, "%d-%d-%d", &parsed.term, &parsed.index, &parsed.createdAt)
	return parsed, n == 3 && err == nil
}

// newerThan reports whether the store sorts a snapshot with this name before a listed one.
func (n snapshotName) newerThan(listed *raft.SnapshotMeta) bool {
	other, _ := parseSnapshotName(listed.ID)
	return slices.Compare([]uint64{n.term, n.index, n.createdAt}, []uint64{other.term, other.index, other.createdAt}) > 0
}

// verifyLog decodes every record of the log. The log may lack entries up to the index of the newest snapshot, which
// raft never reads: a restore of a backup skips an index, and the entries that a follower lacks are replaced by a
// snapshot of the leader. Every later entry must exist.
func verifyLog(store *raftboltdb.BoltStore, snapshotIndex uint64) error {
	first, err := store.FirstIndex()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	last, err := store.LastIndex()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if first > snapshotIndex+1 {
		return fmt.Errorf("log entry %d: %w", snapshotIndex+1, raft.ErrLogNotFound)
	}
	for index := first; index != 0 && index <= last; index++ {
		err := verifyLogEntry(store, index)
		covered := errors.Is(err, raft.ErrLogNotFound) && index <= snapshotIndex
		if err != nil && !covered {
			return fmt.Errorf("log entry %d: %w", index, err)
		}
	}
	return nil
}

func verifyLogEntry(store *raftboltdb.BoltStore, index uint64) error {
	var entry raft.Log
	if err := store.GetLog(index, &entry); err != nil {
		return err
	}
	if entry.Index != index {
		return errChecksumMismatch
	}
	if entry.Type != raft.LogCommand {
		return nil
	}
	_, err := DecodeRecord(entry.Data)
	return err
}

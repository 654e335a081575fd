package registry

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
)

// raft's restore replaces the state of the leader, and of followers that install its snapshot, before a majority knows of
// it. If the leader fails then, the other replicas may elect a leader that continues without the restore. raft does not
// undo it on the replicas that have it: it considers the index of their snapshot as applied.
//
// The snapshot of a restore is therefore marked as pending. The leader's next record confirms it, because raft commits a
// record only with everything before it. Until a replica applies that record it serves no state and takes no other write.
//
// The index of the snapshot has no log entry where the restore takes effect. A replica that receives an entry of a later
// term up to that index has it from a leader that continues without the restore, and must not continue from the restored
// state, nor acknowledge the entry.

const (
	// pendingRestoreInterval is the time between two checks of a pending restore.
	pendingRestoreInterval = 100 * time.Millisecond
	// pendingRestoreTimeout is the time for which a replica with a pending restore may be in contact with leaders of later
	// terms and receive nothing of their logs. raft tries to send entries at least every 10.24 s.
	pendingRestoreTimeout = 15 * time.Second
)

var (
	errRestorePending = errors.New("a restore from a backup is not confirmed yet")

	errRestoreAbandoned = errors.New("the cluster continues without the restore from a backup that this replica has stored: " +
		"start this replica with an empty data directory")

	errRestoreUnconfirmed = fmt.Errorf("the leader cannot replace the unconfirmed restore from a backup that this replica has stored (tried for %v): "+
		"start this replica with an empty data directory", pendingRestoreTimeout)
)

// BeginRestore marks a state from a backup as a pending restore that starts a new epoch. The epoch and the halt of the
// ledger are part of the marked state, so that no replica has the state of the backup without them.
func (s *StateMachine) BeginRestore(epoch uint64) {
	s.epoch, s.restorePending = epoch, true
	s.haltRestoredLedger(s.appliedIndex)
}

func (s *StateMachine) haltRestoredLedger(index uint64) {
	if s.ledger != nil {
		s.ledger.table.HaltForUncertainty(index, "the list was restored from a backup: what is out since is not in it")
	}
}

// pendingRestore identifies the snapshot of a restore that is not confirmed.
type pendingRestore struct{ index, term uint64 }

// restorePending reports whether the state of this replica is that of a restore that is not confirmed.
func (r *Replica) restorePending() bool { return r.pendingRestore.Load() != nil }

// replaceState replaces the state by that of a snapshot, the newest in the store. Readers see that a restore is pending
// before they can see its state.
func (r *Replica) replaceState(state *StateMachine) error {
	available, err := r.stores.snapshots.List()
	if err != nil {
		return err
	}
	pending := (*pendingRestore)(nil)
	switch {
	case len(available) > 0:
		newest := available[0]
		if from, err := supersededFrom(r.stores.logs, newest); err != nil || from != 0 {
			return r.dataDirError(cmp.Or(err, errLogSuperseded))
		}
		if state.restorePending {
			pending = &pendingRestore{newest.Index, newest.Term}
			r.pendingRestore.Store(pending)
		}
	case state.restorePending:
		return errors.New("the snapshot of a restore is not in the store")
	}
	r.stateReplacements.Add(1)
	r.hub.Replace(state)
	r.pendingRestore.Store(pending)
	return nil
}

// checkPendingRestore returns an error if a restore is pending and the log of this replica does not continue it.
func (r *Replica) checkPendingRestore() error {
	pending := r.pendingRestore.Load()
	if pending == nil {
		return nil
	}
	if err := pending.checkLog(r.stores.logs); err != nil {
		return r.dataDirError(err)
	}
	return nil
}

// checkLog returns an error if a log has an entry at the index of the restore, or ends below it with an entry of a later term.
func (p *pendingRestore) checkLog(logs raft.LogStore) error {
	last, err := logs.LastIndex()
	if err != nil || last == 0 {
		return err
	}
	var entry raft.Log
	err = logs.GetLog(min(last, p.index), &entry)
	switch {
	case errors.Is(err, raft.ErrLogNotFound):
		return nil
	case err != nil:
		return err
	case entry.Term > p.term, entry.Index == p.index && entry.Term == p.term:
		return errRestoreAbandoned
	}
	return nil
}

// checkStoredEntries returns errRestoreAbandoned if a restore is pending and the entries come from a leader of a later term
// that continues without it. A replica that stored such entries would acknowledge them, and could still be elected with the
// restore, which removes them.
func (r *Replica) checkStoredEntries(entries []*raft.Log) error {
	pending := r.pendingRestore.Load()
	if pending == nil {
		return nil
	}
	for _, entry := range entries {
		if entry.Index <= pending.index && entry.Term > pending.term {
			return r.dataDirError(errRestoreAbandoned)
		}
	}
	return nil
}

// dataDirError adds the data directory to an error that an operator has to act on.
func (r *Replica) dataDirError(err error) error { return fmt.Errorf("%s: %w", r.options.DataDir, err) }

// guardedLogStore is raft's log store. It ends the replica in place of storing entries that contradict a pending restore.
type guardedLogStore struct {
	raft.LogStore
	replica *Replica
}

// StoreLog implements raft.LogStore.
func (s *guardedLogStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore.
func (s *guardedLogStore) StoreLogs(entries []*raft.Log) error {
	if err := s.replica.checkStoredEntries(entries); err != nil {
		s.replica.fail(err)
		return err
	}
	return s.LogStore.StoreLogs(entries)
}

// restore replaces the state of the cluster by a saved one, and starts a new epoch.
func (r *Replica) restore(state *StateMachine) (Result, error) {
	r.restoring.Lock()
	defer r.restoring.Unlock()
	epoch := newEpoch()
	state.BeginRestore(epoch)
	if err := r.restoreThroughRaft(state); err != nil {
		return Result{}, err
	}
	result, err := r.apply(&Record{Op: OpEpoch, Epoch: epoch})
	r.resetTrackers()
	return result, err
}

// confirmRestore confirms a pending restore, if there is one, on behalf of a leader that did not confirm it. It returns
// once this replica has applied the confirmation.
func (r *Replica) confirmRestore() error {
	r.restoring.Lock()
	defer r.restoring.Unlock()
	return r.confirmRestoreLocked()
}

// retryConfirmation confirms a pending restore unless the restore, or another confirmation, still runs.
func (r *Replica) retryConfirmation() {
	if !r.restoring.TryLock() {
		return
	}
	defer r.restoring.Unlock()
	if err := r.confirmRestoreLocked(); err != nil {
		r.logger.Warn("restore not confirmed", "error", err)
	}
}

// confirmRestoreLocked is confirmRestore for a caller that holds restoring.
func (r *Replica) confirmRestoreLocked() error {
	if !r.restorePending() {
		return nil
	}
	if err := r.checkPendingRestore(); err != nil {
		r.fail(err)
		return err
	}
	epoch := uint64(0)
	r.hub.Read(func(state *StateMachine) { epoch = state.Epoch() })
	_, err := r.apply(&Record{Op: OpEpoch, Epoch: epoch})
	r.resetTrackers()
	return err
}

// monitorPendingRestore ends the replica if the cluster has continued without a restore that is pending here, or the
// leader cannot catch this replica up. It returns when the replica closes.
func (r *Replica) monitorPendingRestore() {
	ticker := time.NewTicker(pendingRestoreInterval)
	defer ticker.Stop()
	heldBack := time.Duration(0) // for how long a restore has been pending while a leader could not catch this replica up
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			switch {
			case !r.restorePending():
				heldBack = 0
			case r.raft.State() == raft.Follower && r.stateAge() < staleAfter && !r.hasEntryOfCurrentTerm():
				heldBack += pendingRestoreInterval
			}
			err := r.checkPendingRestore()
			if err == nil && heldBack >= pendingRestoreTimeout {
				err = r.dataDirError(errRestoreUnconfirmed)
			}
			if err != nil {
				r.fail(err)
				return
			}
		}
	}
}

// hasEntryOfCurrentTerm reports whether this replica has received an entry, or a snapshot, of the current term, so that
// the leader can send it the rest.
func (r *Replica) hasEntryOfCurrentTerm() bool {
	stats := r.raft.Stats()
	return stats["last_log_term"] == stats["term"] || stats["last_snapshot_term"] == stats["term"]
}

// confirmedWriter is the response to a read. It replaces the response by errRestorePending if the state that was read may
// be that of a pending restore. The later lines of a watch need no check: their sources return none of such a state.
type confirmedWriter struct {
	http.ResponseWriter
	replica      *Replica
	replacements uint64 // value of stateReplacements when the request began
	started      bool
	rejected     bool
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *confirmedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// confirmed reports whether the state has been confirmed since the request began. A state that was pending then and was
// replaced since is not.
func (w *confirmedWriter) confirmed() bool {
	return !w.replica.restorePending() && w.replica.stateReplacements.Load() == w.replacements
}

// WriteHeader implements http.ResponseWriter.
func (w *confirmedWriter) WriteHeader(status int) {
	w.started = true
	if w.rejected = !w.confirmed(); !w.rejected {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.Header().Del(AgeHeader)
	w.Header().Del(FreshHeader)
	writeRetryable(w.ResponseWriter, errRestorePending)
}

// Write implements http.ResponseWriter.
func (w *confirmedWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.rejected {
		return 0, errRestorePending
	}
	return w.ResponseWriter.Write(data)
}

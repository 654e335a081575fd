package registry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// catchUpInterval is the time between two checks whether a replica has caught up after its start.
	catchUpInterval = 10 * time.Millisecond
	// catchUpRequestTimeout bounds the request for the leader's status.
	catchUpRequestTimeout = time.Second
)

// errNotCaughtUp is the response of a replica that has not caught up with the leader since its start.
var errNotCaughtUp = errors.New("this replica has not caught up with the leader yet")

// After its start a replica has only the state of its last snapshot, or none, until a leader announces which entries
// are committed. A client that read from the replica before that could receive an empty list although servers are
// registered. The replica therefore responds to reads with status 503 until it leads, or has applied everything that the
// leader had applied when the leader reported its status.

// requireCaughtUp makes a handler of reads respond with errNotCaughtUp until the replica has caught up, and with
// errRestorePending while a restore is pending.
func (r *Replica) requireCaughtUp(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		replacements := r.stateReplacements.Load()
		switch {
		case !r.caughtUp.Load():
			writeRetryable(w, errNotCaughtUp)
		case r.restorePending():
			writeRetryable(w, errRestorePending)
		default:
			handler(&confirmedWriter{ResponseWriter: w, replica: r, replacements: replacements}, request)
		}
	}
}

// catchUp sets caughtUp once this replica has caught up with a leader. It returns when caughtUp is set or the replica
// closes.
func (r *Replica) catchUp() {
	client, err := NewClient([]string{r.options.HTTPAddr})
	if err != nil {
		r.fail(err) // cannot happen: openWith has checked the address
		return
	}
	defer client.Close()
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	var leader Status // the first status that a leader reported; zero: none yet
	for !r.caughtUp.Load() {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if leader.Epoch == 0 {
			leader = r.leaderStatus(client)
		}
		if leader.Epoch != 0 && r.caughtUpWith(&leader) {
			r.caughtUp.Store(true)
		}
	}
	r.logger.Info("replica has caught up", "applied", r.raft.AppliedIndex())
}

// caughtUpWith reports whether this replica has applied everything that a leader had applied when it reported its status.
// The applied index alone does not prove this: raft also counts entries that it has passed to the state machine and that
// are not applied yet.
func (r *Replica) caughtUpWith(leader *Status) bool {
	if r.restorePending() {
		return false // the revision is that of the backup
	}
	status := r.status()
	if status.Epoch != leader.Epoch {
		return status.Revision > leader.AppliedIndex // a backup was restored after the leader's report; a revision is a log index
	}
	return status.AppliedIndex >= leader.AppliedIndex && status.Revision >= leader.Revision
}

// leaderStatus returns the status that the leader reports. It is zero if there is no leader that has verified its
// leadership.
func (r *Replica) leaderStatus(client *Client) Status {
	leader := r.leaderAddr()
	if leader == "" || leader == r.options.HTTPAddr {
		return Status{}
	}
	ctx, cancel := context.WithTimeout(r.ctx, catchUpRequestTimeout)
	defer cancel()
	status, err := client.ReplicaStatus(ctx, leader)
	if err != nil || !status.Fresh {
		return Status{}
	}
	return status
}

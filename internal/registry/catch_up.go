package registry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// catchUpInterval is the time between two looks whether a replica has caught up after its start.
	catchUpInterval = 10 * time.Millisecond
	// catchUpRequestTimeout bounds the request for the leader's status.
	catchUpRequestTimeout = time.Second
)

// errStateUnknown is answered by a replica that has not caught up with the leader since it started.
var errNotCaughtUp = errors.New("this replica has not caught up with the leader yet")

// A replica that starts holds its last snapshot, or nothing, until a leader tells it what is committed: an empty list then is no
// list. So it answers reads with 503 until it has applied what the leader had applied when it was asked, or leads itself.

// serveKnown serves a request for the state once that is known.
func (r *Replica) requireCaughtUp(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if !r.caughtUp.Load() {
			writeRetryable(w, errNotCaughtUp)
			return
		}
		handler(w, request)
	}
}

// catchUp waits until the state is known, or the replica ends.
func (r *Replica) catchUp() {
	client, err := NewClient([]string{r.options.HTTPAddr})
	if err != nil {
		r.fail(err) // the address was checked when the replica was opened
		return
	}
	defer client.Close()
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	var leader Status // as it answered; zero: it has not yet
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
	r.logger.Info("state known", "applied", r.raft.AppliedIndex())
}

// caughtUpWith reports whether this replica has applied what a leader had. The index alone does not say so: raft counts what it
// has handed over.
func (r *Replica) caughtUpWith(leader *Status) bool {
	status := r.status()
	if status.Epoch != leader.Epoch {
		return status.Revision > leader.AppliedIndex // a backup has been restored since: revisions are indices of the log
	}
	return status.AppliedIndex >= leader.AppliedIndex && status.Revision >= leader.Revision
}

// leaderStatus asks the leader for its status; it is zero if there is none that has verified its leadership.
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

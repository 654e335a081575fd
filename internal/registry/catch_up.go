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
var errStateUnknown = errors.New("this replica has not caught up with the leader yet")

// A replica that starts holds its last snapshot, or nothing, until a leader tells it what is committed: an empty list then is no
// list. So it answers reads with 503 until it has applied what the leader had applied when it was asked, or leads itself.

// serveKnown serves a request for the state once that is known.
func (r *Replica) serveKnown(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if !r.stateKnown.Load() {
			writeRetryable(w, errStateUnknown)
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
	required := uint64(0) // index that has to be applied; 0: the leader has not been asked
	for !r.stateKnown.Load() {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if required == 0 {
			required = r.leaderAppliedIndex(client)
		}
		if required > 0 && r.raft.AppliedIndex() >= required {
			r.stateKnown.Store(true)
		}
	}
	r.logger.Info("state known", "applied", r.raft.AppliedIndex())
}

// leaderAppliedIndex asks the leader what it has applied; 0 if there is none that has verified its leadership.
func (r *Replica) leaderAppliedIndex(client *Client) uint64 {
	leader := r.leaderAddr()
	if leader == "" || leader == r.options.HTTPAddr {
		return 0
	}
	ctx, cancel := context.WithTimeout(r.ctx, catchUpRequestTimeout)
	defer cancel()
	status, err := client.ReplicaStatus(ctx, leader)
	if err != nil || !status.Fresh || status.Epoch == 0 {
		return 0
	}
	return status.AppliedIndex
}

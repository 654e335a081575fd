package agent

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"milldeck/internal/registry"
)

const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// reconnectSpreadPerAgent is the time per agent of the fleet over which all of them reconnect after their replica has
	// failed: whatever the size of the fleet, a replica is met by a thousand reconnects a second at most.
	reconnectSpreadPerAgent = time.Millisecond
	minReconnectSpread      = 50 * time.Millisecond
	maxReconnectSpread      = 10 * time.Second
	stableWatchDuration     = 10 * time.Second // a watch that lasted so long resets the backoff
	// unsupportedRetryInterval is about the time between two rounds over replicas of which none supports what is
	// followed: they are of an older version, and a release of them takes minutes.
	unsupportedRetryInterval = 30 * time.Second
)

// replicaFollower keeps a watch of one replica, and moves on to the next when it ends.
type replicaFollower struct {
	replicas      []string
	fleetSize     int
	switches      prometheus.Counter
	onUnsupported func() // called when no replica supports what is followed; nil: not called
	logger        *slog.Logger
}

// watchFunc watches a replica until that ends, and returns why it ended. It calls markAlive when the replica has sent
// something that is current.
type watchFunc func(replicaIndex int, replica string, markAlive func()) error

func (a *Agent) newReplicaFollower() *replicaFollower {
	return &replicaFollower{replicas: a.opts.Replicas, fleetSize: a.opts.FleetSize, switches: a.metrics.replicaSwitches, logger: a.logger}
}

// endedWatch is what became of a watch.
type endedWatch struct {
	err      error
	duration time.Duration
	alive    bool // the replica has sent something that is current
}

// run watches one replica after another until ctx ends, beginning with the one at an index.
func (f *replicaFollower) run(ctx context.Context, replicaIndex int, watch watchFunc) {
	state := reconnectState{backoff: initialBackoff}
	for ctx.Err() == nil {
		replica := f.replicas[replicaIndex%len(f.replicas)]
		startedAt := time.Now()
		var ended endedWatch
		ended.err = watch(replicaIndex, replica, func() { ended.alive = true })
		if ctx.Err() != nil {
			return
		}
		ended.duration = time.Since(startedAt)
		f.logger.Debug("watch ended", "replica", replica, "error", ended.err)
		f.switches.Inc()
		replicaIndex++
		pause(ctx, f.delayAfter(&state, &ended))
	}
}

// reconnectState is what the delays before reconnects depend on, beside the watch that has just ended.
type reconnectState struct {
	backoff             time.Duration
	unsupportedReplicas int // replicas in a row that do not support what is followed
}

// delayAfter is the delay before the next watch.
func (f *replicaFollower) delayAfter(state *reconnectState, ended *endedWatch) time.Duration {
	if ended.duration > stableWatchDuration {
		state.backoff = initialBackoff
	}
	delay := state.backoff/2 + rand.N(state.backoff)
	if ended.alive {
		delay = f.reconnectDelay()
	} else {
		state.backoff = min(2*state.backoff, maxBackoff)
	}
	if !isNotFound(ended.err) {
		state.unsupportedReplicas = 0
		return delay
	}
	state.unsupportedReplicas++
	if state.unsupportedReplicas >= len(f.replicas) && f.onUnsupported != nil {
		f.onUnsupported()
		state.unsupportedReplicas = 0
		delay = unsupportedRetryInterval/2 + rand.N(unsupportedRetryInterval)
	}
	return delay
}

// reconnectDelay spreads the reconnects of all agents, who lose their replica at the same moment.
func (f *replicaFollower) reconnectDelay() time.Duration {
	spread := time.Duration(f.fleetSize) * reconnectSpreadPerAgent
	return rand.N(min(max(spread, minReconnectSpread), maxReconnectSpread))
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// isNotFound reports whether a replica does not know the path that was requested.
func isNotFound(err error) bool {
	var status *registry.StatusError
	return errors.As(err, &status) && status.StatusCode == http.StatusNotFound
}

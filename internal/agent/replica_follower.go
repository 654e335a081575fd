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
	// reconnectSpreadPerAgent, multiplied by the number of agents, is the time over which the agents spread their
	// reconnects after a replica has failed. It limits the reconnects to a replica to a thousand per second, independently
	// of the fleet's size until the spread reaches maxReconnectSpread.
	reconnectSpreadPerAgent = time.Millisecond
	minReconnectSpread      = 50 * time.Millisecond
	maxReconnectSpread      = 10 * time.Second
	stableWatchDuration     = 10 * time.Second // a watch that has lasted longer resets the backoff
	// unsupportedRetryInterval is the mean delay between two rounds over all replicas if none supports the watched
	// resource. Such replicas are of an older version, and a release of the replicas takes minutes.
	unsupportedRetryInterval = 30 * time.Second
)

// replicaFollower keeps a watch open at one replica, and moves on to the next replica when the watch ends.
type replicaFollower struct {
	replicas      []string
	fleetSize     int
	switches      prometheus.Counter
	onUnsupported func() // called when no replica supports the watched resource; may be nil
	logger        *slog.Logger
}

// watchFunc runs a watch at a replica and returns the error that ended the watch. It calls markAlive for each message
// that shows the replica's state to be current.
type watchFunc func(replicaIndex int, replica string, markAlive func()) error

func (a *Agent) newReplicaFollower() *replicaFollower {
	return &replicaFollower{replicas: a.opts.Replicas, fleetSize: a.opts.FleetSize, switches: a.metrics.replicaSwitches, logger: a.logger}
}

// endedWatch describes a watch that has ended.
type endedWatch struct {
	err      error
	duration time.Duration
	alive    bool // markAlive was called
}

// run watches one replica after another until ctx ends, starting with the replica at an index.
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

// reconnectState holds what the delay before a reconnect depends on in addition to the watch that has just ended.
type reconnectState struct {
	backoff             time.Duration
	unsupportedReplicas int // consecutive replicas that do not support the watched resource
}

// delayAfter returns the delay before the next watch.
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

// reconnectDelay returns a random delay that spreads the reconnects of the agents. All agents that watch a replica
// lose it at the same time.
func (f *replicaFollower) reconnectDelay() time.Duration {
	spread := time.Duration(f.fleetSize) * reconnectSpreadPerAgent
	return rand.N(min(max(spread, minReconnectSpread), maxReconnectSpread))
}

// pause waits for a duration, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// isNotFound reports whether a replica responded with status 404, as a version without the requested path does.
func isNotFound(err error) bool {
	var status *registry.StatusError
	return errors.As(err, &status) && status.StatusCode == http.StatusNotFound
}

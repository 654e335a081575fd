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

// run watches one replica after another until ctx ends, beginning with the one at an index.
func (f *replicaFollower) run(ctx context.Context, replicaIndex int, watch watchFunc) {
	backoff, unsupportedReplicas := initialBackoff, 0
	for ctx.Err() == nil {
		replica := f.replicas[replicaIndex%len(f.replicas)]
		startedAt := time.Now()
		alive := false
		err := watch(replicaIndex, replica, func() { alive = true })
		if ctx.Err() != nil {
			return
		}
		f.logger.Debug("watch ended", "replica", replica, "error", err)
		f.switches.Inc()
		replicaIndex++
		if time.Since(startedAt) > stableWatchDuration {
			backoff = initialBackoff
		}
		delay := backoff/2 + rand.N(backoff)
		if alive {
			delay = f.reconnectDelay()
		} else {
			backoff = min(2*backoff, maxBackoff)
		}
		if isNotFound(err) {
			unsupportedReplicas++
		} else {
			unsupportedReplicas = 0
		}
		if unsupportedReplicas >= len(f.replicas) && f.onUnsupported != nil {
			f.onUnsupported()
			unsupportedReplicas = 0
			delay = unsupportedRetryInterval/2 + rand.N(unsupportedRetryInterval)
		}
		pause(ctx, delay)
	}
}

// reconnectDelay spreads the reconnects of all agents, who lose their replica at the same moment.
func (f *replicaFollower) reconnectDelay() time.Duration {
	spread := time.Duration(f.fleetSize) * reconnectSpreadPerAgent
	return rand.N(min(max(spread, minReconnectSpread), maxReconnectSpread))
}

// isNotFound reports whether a replica does not know the path that was requested.
func isNotFound(err error) bool {
	var status *registry.StatusError
	return errors.As(err, &status) && status.StatusCode == http.StatusNotFound
}

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
	// reconnectSpreadPerAgent is the time for each agent of the fleet over which all come back after their replica failed: so
	// a replica is met by a thousand a second at most, whatever the size of the fleet.
	reconnectSpreadPerAgent = time.Millisecond
	minReconnectSpread      = 50 * time.Millisecond
	maxReconnectSpread      = 10 * time.Second
	stableWatchDuration     = 10 * time.Second // a watch that lasted so long ends the backoff
	// unsupportedRetryInterval is about the time between two rounds over replicas of which none knows what is asked for: they are of an
	// older version, and a release of them takes minutes.
	unsupportedRetryInterval = 30 * time.Second
)

// newReplicaFollower goes from replica to replica with a watch.
type replicaFollower struct {
	ctx           context.Context
	replicas      []string
	fleetSize     int
	switches      prometheus.Counter
	onUnsupported func() // told when no replica knows what is asked for; nil: nobody
}

func (a *Agent) newReplicaFollower() *replicaFollower {
	return &replicaFollower{ctx: a.ctx, replicas: a.opts.Replicas, fleetSize: a.opts.FleetSize, switches: a.replicaSwitches}
}

// run watches one replica after the other until ctx ends, beginning with the one at a place among them. Watch lasts
// as long as the replica's watch, calls spoke when the replica has told something that counts, and returns why it
// ended.
func (f *replicaFollower) run(replicaIndex int, watch func(replicaIndex int, replica string, alive func()) error) {
	backoff, unsupportedReplicas := initialBackoff, 0
	for f.ctx.Err() == nil {
		replica := f.replicas[replicaIndex%len(f.replicas)]
		startedAt := time.Now()
		alive := false
		err := watch(replicaIndex, replica, func() { alive = true })
		if f.ctx.Err() != nil {
			return
		}
		slog.Debug("watch ended", "replica", replica, "error", err)
		f.switches.Inc()
		replicaIndex++
		if time.Since(startedAt) > stableWatchDuration {
			backoff = initialBackoff
		}
		// All agents of a replica that failed come back at once, so they spread; one that fails again and again
		// backs off.
		delay := backoff/2 + rand.N(backoff)
		if alive {
			delay = rand.N(min(max(time.Duration(f.fleetSize)*reconnectSpreadPerAgent, minReconnectSpread), maxReconnectSpread))
		} else {
			backoff = min(2*backoff, maxBackoff)
		}
		unsupportedReplicas++
		if status := (*registry.StatusError)(nil); !errors.As(err, &status) || status.StatusCode != http.StatusNotFound {
			unsupportedReplicas = 0
		}
		if unsupportedReplicas >= len(f.replicas) && f.onUnsupported != nil {
			f.onUnsupported()
			unsupportedReplicas, delay = 0, unsupportedRetryInterval/2+rand.N(unsupportedRetryInterval)
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(delay):
		}
	}
}

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
	firstBackoff = 100 * time.Millisecond
	mostBackoff  = 5 * time.Second
	// spreadEach is the time for each agent of the fleet over which all come back after their replica failed: so
	// a replica is met by a thousand a second at most, whatever the size of the fleet.
	spreadEach  = time.Millisecond
	leastSpread = 50 * time.Millisecond
	mostSpread  = 10 * time.Second
	steady      = 10 * time.Second // a watch that lasted so long ends the backoff
	// rare is about the time between two rounds over replicas of which none knows what is asked for: they are of an
	// older version, and a release of them takes minutes.
	rare = 30 * time.Second
)

// follower goes from replica to replica with a watch.
type follower struct {
	ctx      context.Context
	replicas []string
	fleet    int
	moves    prometheus.Counter
	unknown  func() // told when no replica knows what is asked for; nil: nobody
}

func (a *Agent) follower() *follower {
	return &follower{ctx: a.ctx, replicas: a.opts.Replicas, fleet: a.opts.Fleet, moves: a.moves}
}

// run watches one replica after the other until ctx ends, beginning with the one at a place among them. Watch lasts
// as long as the replica's watch, calls spoke when the replica has told something that counts, and returns why it
// ended.
func (f *follower) run(at int, watch func(at int, replica string, spoke func()) error) {
	backoff, strangers := firstBackoff, 0
	for f.ctx.Err() == nil {
		replica := f.replicas[at%len(f.replicas)]
		began := time.Now()
		spoke := false
		err := watch(at, replica, func() { spoke = true })
		if f.ctx.Err() != nil {
			return
		}
		slog.Debug("watch ended", "replica", replica, "error", err)
		f.moves.Inc()
		at++
		if time.Since(began) > steady {
			backoff = firstBackoff
		}
		// All agents of a replica that failed come back at once, so they spread; one that fails again and again
		// backs off.
		wait := backoff/2 + rand.N(backoff)
		if spoke {
			wait = rand.N(min(max(time.Duration(f.fleet)*spreadEach, leastSpread), mostSpread))
		} else {
			backoff = min(2*backoff, mostBackoff)
		}
		strangers++
		if status := (*registry.StatusError)(nil); !errors.As(err, &status) || status.Status != http.StatusNotFound {
			strangers = 0
		}
		if strangers >= len(f.replicas) && f.unknown != nil {
			f.unknown()
			strangers, wait = 0, rare/2+rand.N(rare)
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(wait):
		}
	}
}

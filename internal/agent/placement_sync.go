package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"milldeck/internal/placement"
)

// followPlacement waits for the sidecar's first request for the placement, and then watches the placement until ctx ends.
func (a *Agent) followPlacement(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.placement.requested:
	}
	follower := a.newReplicaFollower()
	follower.onUnsupported = a.placement.markUnsupported
	follower.run(ctx, rand.IntN(len(a.opts.Replicas)), func(_ int, replica string, markAlive func()) error {
		revision, epoch := a.placement.position()
		return a.client.WatchPlacement(ctx, replica, revision, epoch, func(update *placement.Update, age time.Duration) error {
			if update != nil {
				if update.Epoch == 0 {
					return errReplicaUnready
				}
				stale := a.replicaStale(age)
				if stale && revision != 0 && update.Epoch != epoch {
					return errReplicaStale // the stale replica may have missed the end of the epoch that it serves
				}
				if err := a.placement.merge(update); err != nil {
					return err
				}
				if stale {
					return errReplicaStale
				}
			}
			markAlive()
			a.placement.markAlive()
			return nil
		})
	})
}

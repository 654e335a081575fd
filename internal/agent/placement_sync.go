package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"milldeck/internal/placement"
)

// followPlacement follows the placement from its first request on, until ctx ends.
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
					return errReplicaStale // it may have missed that the epoch it serves has ended
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

package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"milldeck/internal/registry"
)

const (
	// maxListAge is the age of a replica's state above which the agent moves on to another replica.
	maxListAge = 3 * time.Second
	// registryHeartbeatTimeout is the time after the registry's last message at which the agent stops sending heartbeats
	// to its sidecar. It is two heartbeat intervals of the registry.
	registryHeartbeatTimeout = 4 * time.Second
	// confirmationDelay is the delay before the agent asks the same replica to confirm a list, if only one replica is
	// configured.
	confirmationDelay  = 2 * time.Second
	listRequestTimeout = 3 * time.Second
)

// loadList loads the saved list, if it is valid, and publishes it, so that the agent serves the list until a replica responds.
func (a *Agent) loadList() error {
	path := a.opts.ListFile
	if path == "" {
		return nil
	}
	if err := a.list.load(path); err != nil {
		a.logger.Warn("saved list ignored", "file", path, "error", err)
		return nil
	}
	if !a.list.known() {
		return nil
	}
	var changes listChanges
	for _, target := range a.list.targets {
		changes.upserted = append(changes.upserted, registry.Instance{Target: target})
	}
	a.logger.Info("serving the saved list until a replica answers", "revision", a.list.revision, "instances", len(a.list.targets))
	return a.publish(changes)
}

// registrySilence returns the time since the registry's last message, or since the agent's start if it has received none.
func (a *Agent) registrySilence() time.Duration {
	return time.Since(a.startedAt) - time.Duration(a.lastRegistryMessageNS.Load())
}

// registryAlive reports whether the registry's last message is recent enough for the list to count as current.
func (a *Agent) registryAlive() bool {
	return a.lastRegistryMessageNS.Load() > 0 && a.registrySilence() < registryHeartbeatTimeout
}

// followList watches the list until ctx ends, starting with a random replica.
func (a *Agent) followList(ctx context.Context) {
	a.followListFrom(ctx, rand.IntN(len(a.opts.Replicas)))
}

func (a *Agent) followListFrom(ctx context.Context, firstReplica int) {
	a.newReplicaFollower().run(ctx, firstReplica, func(replicaIndex int, replica string, markAlive func()) error {
		a.mu.Lock()
		revision, epoch := a.list.revision, a.list.epoch
		a.mu.Unlock()
		return a.client.WatchEndpoints(ctx, replica, revision, epoch, func(list *registry.EndpointList, age time.Duration) error {
			if list != nil {
				if err := a.handleList(ctx, list, replicaIndex); err != nil {
					return err
				}
				if a.replicaStale(age) {
					return errReplicaStale
				}
			}
			markAlive()
			a.lastRegistryMessageNS.Store(int64(time.Since(a.startedAt)))
			return nil
		})
	})
}

// replicaStale reports whether a replica's state is too old and another replica is configured.
func (a *Agent) replicaStale(age time.Duration) bool {
	return age > maxListAge && len(a.opts.Replicas) > 1
}

// handleList applies a list or change that a replica sent. If the list is discontinuous or unconfirmed, the agent applies
// the complete list of another replica instead, provided that it has the same epoch and is not older.
func (a *Agent) handleList(ctx context.Context, list *registry.EndpointList, replicaIndex int) error {
	result, err := a.applyList(list, false)
	if err != nil || result == listApplied || result == listOutdated {
		return err
	}
	if result == listUnknown {
		return errReplicaUnready
	}
	replicas := a.opts.Replicas
	if result == listUnconfirmed {
		a.metrics.unconfirmedLists.Inc()
		a.logger.Warn("list needs confirmation by a second replica: it removes most ready instances, or begins another epoch",
			"replica", replicas[replicaIndex%len(replicas)], "revision", list.Revision, "epoch", list.Epoch)
	}
	return a.confirmList(ctx, list, replicas[(replicaIndex+1)%len(replicas)])
}

// confirmList fetches the complete list of another replica and applies it if it has the received list's epoch and is not
// older. If only one replica is configured, confirmList waits for confirmationDelay and fetches from that replica again.
func (a *Agent) confirmList(ctx context.Context, list *registry.EndpointList, otherReplica string) error {
	if len(a.opts.Replicas) == 1 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(confirmationDelay):
		}
	}
	confirmation, err := fetchList(ctx, otherReplica)
	if err != nil {
		return fmt.Errorf("list not confirmed by %s: %w", otherReplica, err)
	}
	if confirmation.Epoch != list.Epoch || confirmation.Revision < list.Revision {
		return fmt.Errorf("list not confirmed by %s: its list has revision %d of epoch %d, received revision %d of epoch %d",
			otherReplica, confirmation.Revision, confirmation.Epoch, list.Revision, list.Epoch)
	}
	_, err = a.applyList(confirmation, true)
	return err
}

// fetchList fetches a replica's complete list.
func fetchList(ctx context.Context, replica string) (*registry.EndpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, listRequestTimeout)
	defer cancel()
	client, err := registry.NewClient([]string{replica})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	list, err := client.List(ctx, false)
	return &list, err
}

// applyList merges a list or change and publishes the differences.
func (a *Agent) applyList(list *registry.EndpointList, confirmed bool) (mergeResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	previousEpoch := a.list.epoch
	result, changes := a.list.merge(list, confirmed)
	if result != listApplied {
		return result, nil
	}
	if previousEpoch != 0 && previousEpoch != a.list.epoch {
		a.metrics.epochChanges.Inc()
		a.logger.Warn("registry epoch changed, as after a restore", "epoch", a.list.epoch, "revision", a.list.revision)
	}
	a.listState.dirty = true
	return result, a.publish(changes)
}

// publish sends changes to the sidecar's watches. The caller holds mu, except in Start before other goroutines run.
func (a *Agent) publish(changes listChanges) error {
	record := &registry.Record{Op: registry.OpMirror, Instances: changes.upserted, Refs: changes.removed}
	if _, err := a.hub.Apply(a.list.servedRevision, record); err != nil {
		return err
	}
	a.listKnown.Store(true)
	return nil
}

package bench

import (
	"context"
	"fmt"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

const statusPollInterval = 20 * time.Millisecond

// measureLeaderKills kills one leader after another, and measures how long no write is acknowledged after each kill.
func (b *benchmark) measureLeaderKills(ctx context.Context, replicas *cluster.Cluster) error {
	if b.options.LeaderKills == 0 {
		return nil
	}
	histogram := newHistogram()
	for round := range b.options.LeaderKills {
		gap, err := b.killLeader(ctx, replicas, round)
		if err != nil {
			return fmt.Errorf("kill %d: %w", round, err)
		}
		recordLatency(histogram, gap)
		if err := b.awaitCaughtUp(ctx, replicas); err != nil {
			return err
		}
	}
	b.result.LeaderGapP50MS, b.result.LeaderGapMaxMS = quantileMS(histogram, 50), quantileMS(histogram, 100)
	b.progressf("%d leaders killed: without a leader p50 %.0f ms, at most %.0f ms",
		b.options.LeaderKills, b.result.LeaderGapP50MS, b.result.LeaderGapMaxMS)
	return nil
}

// killLeader kills the leader, starts it again, and returns the time from the kill to the next acknowledged write.
func (b *benchmark) killLeader(ctx context.Context, replicas *cluster.Cluster, round int) (time.Duration, error) {
	leaderCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	leader, err := replicas.AwaitLeader(leaderCtx)
	if err != nil {
		return 0, err
	}
	var survivors []string
	for _, replica := range replicas.Replicas {
		if replica != leader {
			survivors = append(survivors, replica.HTTPAddr)
		}
	}
	client, err := registry.NewClient(survivors)
	if err != nil {
		return 0, err
	}
	defer client.Close()
	instance := newInstance(leaderKillOrdinal)
	instance.Capacity = 1 + float64(round+1)/1000
	killedAt := time.Now()
	leader.Process.Kill()
	writeCtx, cancelWrite := context.WithTimeout(ctx, readyTimeout)
	defer cancelWrite()
	if _, err := client.Register(writeCtx, registry.WriteOptions{}, instance); err != nil {
		return 0, err
	}
	gap := time.Since(killedAt)
	return gap, leader.Start()
}

// awaitCaughtUp waits until all replicas have the same revision.
func (b *benchmark) awaitCaughtUp(ctx context.Context, replicas *cluster.Cluster) error {
	client, err := replicas.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !sameRevision(ctx, client, replicas) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("a replica does not catch up: %w\n%s", ctx.Err(), replicas.Logs())
		case <-time.After(statusPollInterval):
		}
	}
	return nil
}

// sameRevision reports whether all replicas know a leader and have the same revision.
func sameRevision(ctx context.Context, client *registry.Client, replicas *cluster.Cluster) bool {
	revisions := map[uint64]bool{}
	for _, replica := range replicas.Replicas {
		status, err := client.ReplicaStatus(ctx, replica.HTTPAddr)
		if err != nil || status.Leader == "" {
			return false
		}
		revisions[status.Revision] = true
	}
	return len(revisions) == 1 && !revisions[0]
}

package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// restartWritersFactor times Options.Writers is the number of concurrent writers that fill the log.
const restartWritersFactor = 4

// measureRestarts measures the restart time of a single replica with a long log, without and with a snapshot.
func (b *benchmark) measureRestarts(ctx context.Context) error {
	if b.options.LogEntries == 0 {
		return nil
	}
	b.result.LogEntries = b.options.LogEntries
	for _, variant := range []struct {
		name          string
		snapshotEvery int
		elapsedMS     *float64
	}{
		// Only a tenth as many entries are written, so no snapshot is taken.
		{"plain", 10 * b.options.LogEntries, &b.result.RestartFromLogMS},
		{"snap", b.options.LogEntries / 2, &b.result.RestartFromSnapshotMS},
	} {
		config := fmt.Sprintf("snapshot_every = %d", variant.snapshotEvery)
		err := b.withCluster(ctx, 1, variant.name, config, func(replicas *cluster.Cluster) error {
			elapsed, err := b.measureRestart(ctx, replicas)
			*variant.elapsedMS = elapsed.Seconds() * 1000
			return err
		})
		if err != nil {
			return err
		}
		b.progressf("restart with %d log entries, %s: %.0f ms", b.options.LogEntries, variant.name, *variant.elapsedMS)
	}
	return nil
}

// measureRestart fills the log of a single replica, restarts the replica, and returns the time until it is the leader.
func (b *benchmark) measureRestart(ctx context.Context, replicas *cluster.Cluster) (time.Duration, error) {
	if err := b.fillLog(ctx, replicas); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	replica := replicas.Replicas[0]
	if err := replica.Stop(ctx); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	if err := replica.Start(); err != nil {
		return 0, err
	}
	if _, err := replicas.AwaitLeader(ctx); err != nil {
		return 0, err
	}
	return time.Since(startedAt), nil
}

// fillLog writes the configured number of log entries.
func (b *benchmark) fillLog(ctx context.Context, replicas *cluster.Cluster) error {
	client, err := replicas.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	var writers sync.WaitGroup
	var next atomic.Int64
	var failure lastError
	for writer := range restartWritersFactor * b.options.Writers {
		writers.Go(func() {
			instance := newInstance(firstRestartOrdinal + writer)
			for sequence := next.Add(1); sequence <= int64(b.options.LogEntries); sequence = next.Add(1) {
				instance.Capacity = 1 + float64(sequence%999)/1000
				if _, err := client.Register(ctx, registry.WriteOptions{}, instance); err != nil {
					failure.record(err)
					return
				}
			}
		})
	}
	writers.Wait()
	return failure.get()
}

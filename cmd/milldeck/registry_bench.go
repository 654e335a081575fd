package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry/bench"
)

func newRegistryBench() *cobra.Command {
	return benchmark{
		short: "Measures watches, writes and leader failover with real replica processes",
		long: "bench starts replicas on loopback addresses and measures the delay of changes to thousands of watchers,\n" +
			"the write rate of one and of three replicas, and the time without a leader after the leader was killed.\n" +
			"It ends within a minute; --full takes several minutes and also measures a restart with a long log.",
		fullHelp: "30 kills, longer loads, and restarts with 100,000 log entries",
		run:      runRegistryBench,
	}.command()
}

func runRegistryBench(ctx context.Context, options benchmarkOptions) (benchmarkResult, error) {
	benchOptions := bench.QuickOptions()
	if options.full {
		benchOptions = bench.FullOptions()
	}
	benchOptions.Program = options.program
	benchOptions.Dir = options.dir
	benchOptions.Progress = options.progress
	result, err := bench.Run(ctx, benchOptions)
	return registryBenchResult{result}, err
}

// registryBenchResult makes a result of the bench printable as a benchmarkResult.
type registryBenchResult struct{ *bench.Result }

// failure returns nil because the bench only measures and checks no limits.
func (r registryBenchResult) failure() error { return nil }

func (r registryBenchResult) writeTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, `%d instances, %d watchers, %d changes (%.0f s in all)
acknowledged write to the last watcher  p50 %.1f ms, p99 %.1f ms, at most %.1f ms; %d missed
bytes a change and watcher              %.0f, of the complete list %d: ratio %.5f
memory of a watcher at its replica      %.0f bytes
writes a second, 1 replica              %.0f, p99 %.1f ms
writes a second, 3 replicas             %.0f, p99 %.1f ms
without a leader after a kill           p50 %.0f ms, at most %.0f ms over %d kills
`,
		r.Instances, r.Watchers, r.Changes, r.Seconds,
		r.WatchP50MS, r.WatchP99MS, r.WatchMaxMS, r.MissedChanges,
		r.DeltaBytes, r.CompleteListBytes, r.DeltaRatio,
		r.BytesPerWatcher,
		r.SingleWritesPerSecond, r.SingleWriteP99MS,
		r.ClusterWritesPerSecond, r.ClusterWriteP99MS,
		r.LeaderGapP50MS, r.LeaderGapMaxMS, r.LeaderKills)
	if err == nil && r.LogEntries > 0 {
		_, err = fmt.Fprintf(w, "restart with %d log entries           %.0f ms, with a snapshot %.0f ms\n", r.LogEntries, r.RestartFromLogMS, r.RestartFromSnapshotMS)
	}
	return err
}

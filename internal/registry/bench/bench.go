// Package bench measures the service registry with processes of the program: how soon changes reach thousands of
// watchers and at what cost, how many writes a cluster applies, how long it is without a leader after the leader was
// killed, and how long a replica takes to restart. It measures, and judges nothing.
package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// Options are the size of a benchmark.
type Options struct {
	Program          string // path of milldeck
	Dir              string // for configurations, logs and data
	Instances        int
	Watchers         int
	ChangesPerSecond int           // while changes are watched
	WatchDuration    time.Duration // of the stream of changes
	Writers          int           // concurrent clients that measure the write rate
	WriteDuration    time.Duration // of the measurement of the write rate
	LeaderKills      int
	LogEntries       int          // log entries of the replica that is restarted; 0: restarts are not measured
	Progress         func(string) // called with each result; nil: nobody
}

// QuickOptions are the options of a run that ends within a minute.
func QuickOptions() Options {
	return Options{
		Instances: 5000, Watchers: 2000, ChangesPerSecond: 100, WatchDuration: 8 * time.Second,
		Writers: 32, WriteDuration: 3 * time.Second, LeaderKills: 8,
	}
}

// FullOptions are the options of a run that takes several minutes.
func FullOptions() Options {
	options := QuickOptions()
	options.WatchDuration, options.WriteDuration = 30*time.Second, 10*time.Second
	options.LeaderKills, options.LogEntries = 30, 100_000
	return options
}

// Result is what one run of the benchmark has measured. Percentiles are in milliseconds.
type Result struct {
	Instances              int     `json:"instances"`
	Watchers               int     `json:"watchers"`
	Changes                int     `json:"changes"`
	WatchP50MS             float64 `json:"watch_p50_ms"` // from the acknowledged write to the last watcher
	WatchP99MS             float64 `json:"watch_p99_ms"`
	WatchMaxMS             float64 `json:"watch_max_ms"`
	MissedChanges          int     `json:"changes_missed"` // that some watchers did not receive
	DeltaBytes             float64 `json:"delta_bytes"`    // per change and watcher
	CompleteListBytes      int     `json:"whole_list_bytes"`
	DeltaRatio             float64 `json:"delta_ratio"`
	BytesPerWatcher        float64 `json:"bytes_per_watcher"` // of a replica's resident memory
	SingleWritesPerSecond  float64 `json:"writes_per_s_1_replica"`
	SingleWriteP99MS       float64 `json:"write_p99_ms_1_replica"`
	ClusterWritesPerSecond float64 `json:"writes_per_s_3_replicas"`
	ClusterWriteP99MS      float64 `json:"write_p99_ms_3_replicas"`
	LeaderKills            int     `json:"kills"`
	LeaderGapP50MS         float64 `json:"leader_gap_p50_ms"` // from the kill to the next acknowledged write
	LeaderGapMaxMS         float64 `json:"leader_gap_max_ms"`
	LogEntries             int     `json:"log_entries,omitempty"`
	RestartFromLogMS       float64 `json:"restart_ms_without_snapshot,omitempty"`
	RestartFromSnapshotMS  float64 `json:"restart_ms_with_snapshot,omitempty"`
	Seconds                float64 `json:"seconds"`
}

const (
	readyTimeout = 20 * time.Second // of the start of a cluster, and of each wait for a leader

	dirMode = 0o755
)

// Run runs the benchmark.
func Run(ctx context.Context, options Options) (*Result, error) {
	startedAt := time.Now()
	addresses, err := proc.ReserveBlock()
	if err != nil {
		return nil, err
	}
	defer addresses.Release()
	b := &benchmark{options: options, addresses: addresses, result: &Result{
		Instances: options.Instances, Watchers: options.Watchers, LeaderKills: options.LeaderKills,
	}}
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"writes to one replica", b.measureSingleReplica},
		{"three replicas", b.measureThreeReplicas},
		{"restart", b.measureRestarts},
	} {
		if err := step.run(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	b.result.Seconds = time.Since(startedAt).Seconds()
	return b.result, nil
}

// benchmark is one run.
type benchmark struct {
	options   Options
	addresses *proc.Block
	result    *Result
}

func (b *benchmark) progressf(format string, args ...any) {
	if b.options.Progress != nil {
		b.options.Progress(fmt.Sprintf(format, args...))
	}
}

// withCluster starts a cluster, calls measure with it, and kills it.
func (b *benchmark) withCluster(
	ctx context.Context, replicas int, name, extraConfig string, measure func(*cluster.Cluster) error,
) error {
	dir := filepath.Join(b.options.Dir, name)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	running, err := cluster.Start(startCtx, replicas, cluster.Options{
		Program: b.options.Program, DataDir: dir, Addresses: b.addresses, ExtraConfig: extraConfig,
	})
	defer func() { _ = running.Close() }() // what was to be measured is measured, and the processes are killed
	if err != nil {
		return err
	}
	return measure(running)
}

// measureSingleReplica measures the write rate of one replica.
func (b *benchmark) measureSingleReplica(ctx context.Context) error {
	return b.withCluster(ctx, 1, "one", "", func(replicas *cluster.Cluster) (err error) {
		b.result.SingleWritesPerSecond, b.result.SingleWriteP99MS, err = b.measureWrites(ctx, replicas)
		b.progressf("1 replica: %.0f writes a second, p99 %.1f ms", b.result.SingleWritesPerSecond, b.result.SingleWriteP99MS)
		return err
	})
}

// measureThreeReplicas measures the write rate, watches and leader failures of a cluster of three replicas.
func (b *benchmark) measureThreeReplicas(ctx context.Context) error {
	return b.withCluster(ctx, 3, "three", "", func(replicas *cluster.Cluster) (err error) {
		b.result.ClusterWritesPerSecond, b.result.ClusterWriteP99MS, err = b.measureWrites(ctx, replicas)
		if err != nil {
			return err
		}
		b.progressf("3 replicas: %.0f writes a second, p99 %.1f ms", b.result.ClusterWritesPerSecond, b.result.ClusterWriteP99MS)
		if err := b.measureWatches(ctx, replicas); err != nil {
			return err
		}
		return b.measureLeaderKills(ctx, replicas)
	})
}

// Ordinals of the instances that the steps write, beside those of the list: each step has its own.
const (
	firstWriterOrdinal  = 1_000_000
	leaderKillOrdinal   = 2_000_000
	firstRestartOrdinal = 3_000_000
)

// hostsPerByte is how many values newInstance uses of a byte of an address, so that none ends in 0 or 255.
const hostsPerByte = 250

// newInstance returns the instance with an ordinal. The steps change its capacity with each write: a registration that
// changes nothing would make no watch event.
func newInstance(ordinal int) registry.Instance {
	address := fmt.Sprintf("127.%d.%d.%d:9000",
		1+ordinal/(hostsPerByte*hostsPerByte), ordinal/hostsPerByte%hostsPerByte, 1+ordinal%hostsPerByte)
	return registry.Instance{Target: registry.Target{
		UID:      fmt.Sprintf("s-%08x", ordinal),
		Endpoint: address,
		Zone:     string(rune('a' + ordinal%3)), Model: "m1", PodGroup: ordinal / 8,
		State: registry.InstanceReady, Capacity: 1,
	}}
}

// Bounds of the histograms: 1 µs to a minute, with three significant digits.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 60e6
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	if err := histogram.RecordValue(min(max(latency.Microseconds(), minLatencyUS), maxLatencyUS)); err != nil {
		panic(err) // the value is within the bounds
	}
}

// quantileMS returns a quantile (0 to 100) in milliseconds.
func quantileMS(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// Package bench measures the service registry with milldeck processes: how soon changes reach thousands of watchers and at
// what cost, how many writes a second a cluster applies, how long a cluster is without a leader after the leader was
// killed, and how long a replica takes to restart. It does not judge the results.
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

// Options set the size of a benchmark.
type Options struct {
	Program          string // path of milldeck
	Dir              string // for configurations, logs and data
	Instances        int
	Watchers         int
	ChangesPerSecond int           // during the measurement of watches
	WatchDuration    time.Duration // of the measurement of watches
	Writers          int           // concurrent clients that measure the write rate
	WriteDuration    time.Duration // of the measurement of the write rate
	LeaderKills      int
	LogEntries       int          // log entries of the replica that is restarted; 0: restarts are not measured
	Progress         func(string) // called with each result; nil: not called
}

// QuickOptions returns the options of a run that ends within a minute.
func QuickOptions() Options {
	return Options{
		Instances: 5000, Watchers: 2000, ChangesPerSecond: 100, WatchDuration: 8 * time.Second,
		Writers: 32, WriteDuration: 3 * time.Second, LeaderKills: 8,
	}
}

// FullOptions returns the options of a run that takes several minutes.
func FullOptions() Options {
	options := QuickOptions()
	options.WatchDuration, options.WriteDuration = 30*time.Second, 10*time.Second
	options.LeaderKills, options.LogEntries = 30, 100_000
	return options
}

// Result holds the results of one run of the benchmark. Percentiles are in milliseconds.
type Result struct {
	Instances              int     `json:"instances"`
	Watchers               int     `json:"watchers"`
	Changes                int     `json:"changes"`
	WatchP50MS             float64 `json:"watch_p50_ms"` // from the acknowledged write to the last watcher
	WatchP99MS             float64 `json:"watch_p99_ms"`
	WatchMaxMS             float64 `json:"watch_max_ms"`
	MissedChanges          int     `json:"changes_missed"` // changes that some watchers did not receive
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
	readyTimeout = 20 * time.Second // of the start of a cluster, and of each wait for its replicas

	dirMode = 0o755
)

// Run runs the benchmark.
func Run(ctx context.Context, options Options) (*Result, error) {
	startedAt := time.Now()
	addresses, err := proc.ReserveAddressBlock()
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

// benchmark is the state of one run.
type benchmark struct {
	options   Options
	addresses *proc.AddressBlock
	result    *Result
}

func (b *benchmark) progressf(format string, args ...any) {
	if b.options.Progress != nil {
		b.options.Progress(fmt.Sprintf(format, args...))
	}
}

// withCluster starts a cluster, calls measure with it, and kills its processes.
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
	defer func() { _ = running.Close() }() // the measurement is complete, and the processes are killed
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

// measureThreeReplicas measures the write rate, the watches and the leader failures of a cluster of three replicas.
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

// Ordinals of the instances that the steps write, apart from those of the list. Each step has its own ordinals.
const (
	firstWriterOrdinal  = 1_000_000
	leaderKillOrdinal   = 2_000_000
	firstRestartOrdinal = 3_000_000
)

// hostsPerByte is how many values newInstance uses for a byte of an address, so that no address ends in 0 or 255.
const hostsPerByte = 250

// newInstance returns the instance with an ordinal. The steps change the instance's capacity with each write, because a
// registration that changes nothing causes no watch event.
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

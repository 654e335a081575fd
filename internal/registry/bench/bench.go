// Package bench measures the list service with processes of the program: how soon changes reach thousands of
// watchers and at what price, how many writes it takes, and how long it is without a leader after a kill.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// Options say how large a benchmark is.
type Options struct {
	Program          string
	Dir              string
	Instances        int
	Watchers         int
	ChangesPerSecond int // changes a second
	WatchDuration    time.Duration
	Writers          int
	WriteDuration    time.Duration
	LeaderKills      int
	// LogEntries, where above 0, is how many entries the log of a replica that restarts has.
	LogEntries int
	Progress   func(string)
}

// Quick ends within a minute; Full takes several.
func Quick() Options {
	return Options{Instances: 5000, Watchers: 2000, ChangesPerSecond: 100, WatchDuration: 8 * time.Second, Writers: 32, WriteDuration: 3 * time.Second, LeaderKills: 8}
}

// Full is the long form.
func Full() Options {
	options := Quick()
	options.WatchDuration, options.WriteDuration, options.LeaderKills, options.LogEntries = 30*time.Second, 10*time.Second, 30, 100_000
	return options
}

// Result is what a benchmark found; all of it was measured in that run.
type Result struct {
	Instances              int     `json:"instances"`
	Watchers               int     `json:"watchers"`
	Changes                int     `json:"changes"`
	WatchP50MS             float64 `json:"watch_p50_ms"` // from the acknowledged write to the last watcher
	WatchP99MS             float64 `json:"watch_p99_ms"`
	WatchMaxMS             float64 `json:"watch_max_ms"`
	MissedChanges          int     `json:"changes_missed"` // that did not reach all watchers
	DeltaBytes             float64 `json:"delta_bytes"`    // for each change and watcher
	FullListBytes          int     `json:"whole_list_bytes"`
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

// readyTimeout bounds the start of a cluster and each wait for a leader.
const readyTimeout = 20 * time.Second

// Run measures.
func Run(ctx context.Context, options Options) (*Result, error) {
	startedAt := time.Now()
	addresses, err := proc.TakeBlock()
	if err != nil {
		return nil, err
	}
	defer addresses.Release()
	benchmark := &benchmark{options: options, addresses: addresses, result: &Result{Instances: options.Instances, Watchers: options.Watchers, LeaderKills: options.LeaderKills}}
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"writes to one replica", benchmark.measureSingleReplica}, {"three replicas", benchmark.measureThreeReplicas}, {"restart", benchmark.measureRestarts},
	} {
		if err := step.run(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	benchmark.result.Seconds = time.Since(startedAt).Seconds()
	return benchmark.result, nil
}

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

func (b *benchmark) startCluster(ctx context.Context, replicas int, name, extraConfig string) (*cluster.Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	dir := filepath.Join(b.options.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return cluster.Start(ctx, replicas, cluster.Options{Program: b.options.Program, DataDir: dir, Addresses: b.addresses, ExtraConfig: extraConfig})
}

func (b *benchmark) measureSingleReplica(ctx context.Context) error {
	replicas, err := b.startCluster(ctx, 1, "one", "")
	if replicas != nil {
		defer replicas.Close()
	}
	if err != nil {
		return err
	}
	b.result.SingleWritesPerSecond, b.result.SingleWriteP99MS, err = b.measureWrites(ctx, replicas)
	b.progressf("1 replica: %.0f writes a second, p99 %.1f ms", b.result.SingleWritesPerSecond, b.result.SingleWriteP99MS)
	return err
}

func newInstance(ordinal int) registry.Instance {
	return registry.Instance{Target: registry.Target{
		UID: fmt.Sprintf("s-%08x", ordinal), Endpoint: fmt.Sprintf("127.%d.%d.%d:9000", 1+ordinal/62500, ordinal/250%250, 1+ordinal%250), Zone: string(rune('a' + ordinal%3)),
		Model: "m1", PodGroup: ordinal / 8, State: registry.InstanceReady, Capacity: 1,
	}}
}

// measureWrites has many writers write for a while, each its own instance.
func (b *benchmark) measureWrites(ctx context.Context, replicas *cluster.Cluster) (perSecond, p99 float64, err error) {
	client, err := replicas.Client()
	if err != nil {
		return 0, 0, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, b.options.WriteDuration)
	defer cancel()
	histogram := newHistogram()
	var mutex sync.Mutex
	var writers sync.WaitGroup
	var writeErr error
	startedAt := time.Now()
	for writer := range b.options.Writers {
		writers.Go(func() {
			instance := newInstance(1_000_000 + writer)
			for sequence := 0; ctx.Err() == nil; sequence++ {
				instance.Capacity = 1 + float64(sequence%100)/100
				startedAt := time.Now()
				_, err := client.Register(ctx, registry.WriteOptions{}, instance)
				latency := time.Since(startedAt)
				mutex.Lock()
				if err == nil {
					recordLatency(histogram, latency)
				} else if ctx.Err() == nil {
					writeErr = err
				}
				mutex.Unlock()
			}
		})
	}
	writers.Wait()
	return float64(histogram.TotalCount()) / time.Since(startedAt).Seconds(), quantileMS(histogram, 99), writeErr
}

// histogram figures: 1 µs to a minute, three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	if err := histogram.RecordValue(min(max(latency.Microseconds(), 1), 60e6)); err != nil {
		panic(err) // it is within bounds
	}
}

func quantileMS(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func (b *benchmark) measureThreeReplicas(ctx context.Context) error {
	replicas, err := b.startCluster(ctx, 3, "three", "")
	if replicas != nil {
		defer replicas.Close()
	}
	if err != nil {
		return err
	}
	if b.result.ClusterWritesPerSecond, b.result.ClusterWriteP99MS, err = b.measureWrites(ctx, replicas); err != nil {
		return err
	}
	b.progressf("3 replicas: %.0f writes a second, p99 %.1f ms", b.result.ClusterWritesPerSecond, b.result.ClusterWriteP99MS)
	if err := b.measureWatches(ctx, replicas); err != nil {
		return err
	}
	return b.measureLeaderKills(ctx, replicas)
}

// watcher is one watcher of the benchmark: it costs little, so that thousands run beside the replicas.
type watcher struct {
	conn       net.Conn
	revision   uint64
	deltaBytes int64 // after its first line
}

// measureWatches has thousands of watchers follow a stream of changes.
func (b *benchmark) measureWatches(ctx context.Context, replicas *cluster.Cluster) error {
	client, err := replicas.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	instances := make([]registry.Instance, b.options.Instances)
	for ordinal := range instances {
		instances[ordinal] = newInstance(ordinal)
	}
	for first := 0; first < len(instances); first += 500 {
		if _, err := client.Register(ctx, registry.WriteOptions{}, instances[first:min(first+500, len(instances))]...); err != nil {
			return err
		}
	}
	before, err := residentBytes(replicas)
	if err != nil {
		return err
	}
	deliveries := &deliveryTracker{watchers: int64(b.options.Watchers)}
	var followers []*watcher
	var running sync.WaitGroup
	defer func() {
		for _, follower := range followers {
			follower.conn.Close()
		}
		running.Wait()
	}()
	fullListBytes := &atomic.Int64{}
	started := make(chan error, b.options.Watchers)
	for ordinal := range b.options.Watchers {
		follower := &watcher{}
		if follower.conn, err = net.DialTimeout("tcp", replicas.Replicas[ordinal%len(replicas.Replicas)].HTTPAddr, time.Second); err != nil {
			return err
		}
		followers = append(followers, follower)
		running.Go(func() { follower.run(deliveries, started, fullListBytes) })
	}
	for range b.options.Watchers {
		select {
		case err := <-started:
			if err != nil {
				return err
			}
		case <-time.After(readyTimeout):
			return errors.New("watchers did not come up")
		}
	}
	after, err := residentBytes(replicas)
	if err != nil {
		return err
	}
	b.result.FullListBytes = int(fullListBytes.Load())
	b.result.BytesPerWatcher = float64(after-before) / float64(b.options.Watchers)
	b.progressf("%d watchers are up, %.0f bytes each at the replicas; %d changes a second follow", b.options.Watchers, b.result.BytesPerWatcher, b.options.ChangesPerSecond)
	if err := b.writeChanges(ctx, client, deliveries); err != nil {
		return err
	}
	histogram, missed := deliveries.summarize()
	b.result.Changes, b.result.MissedChanges = deliveries.acknowledgedCount(), missed
	b.result.WatchP50MS, b.result.WatchP99MS, b.result.WatchMaxMS = quantileMS(histogram, 50), quantileMS(histogram, 99), quantileMS(histogram, 100)
	totalBytes := int64(0)
	for _, follower := range followers {
		totalBytes += atomic.LoadInt64(&follower.deltaBytes)
	}
	b.result.DeltaBytes = float64(totalBytes) / float64(b.options.Watchers) / float64(max(b.result.Changes, 1))
	b.result.DeltaRatio = b.result.DeltaBytes / float64(b.result.FullListBytes)
	b.progressf("to the last watcher: p50 %.1f ms, p99 %.1f ms; %.0f bytes a change, whole list %d", b.result.WatchP50MS, b.result.WatchP99MS, b.result.DeltaBytes, b.result.FullListBytes)
	return nil
}

// residentBytes is the resident memory of all replicas in bytes.
func residentBytes(replicas *cluster.Cluster) (int64, error) {
	total := int64(0)
	for _, replica := range replicas.Replicas {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", replica.Process.PID()))
		if err != nil {
			return 0, err
		}
		pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
		if err != nil {
			return 0, err
		}
		total += pages * int64(os.Getpagesize())
	}
	return total, nil
}

// writeChanges writes changes at the rate, whatever becomes of those before.
func (b *benchmark) writeChanges(ctx context.Context, client *registry.Client, deliveries *deliveryTracker) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.WatchDuration+readyTimeout)
	defer cancel()
	ticker := time.NewTicker(time.Second / time.Duration(b.options.ChangesPerSecond))
	defer ticker.Stop()
	var writes sync.WaitGroup
	var failure atomic.Value
	end := time.Now().Add(b.options.WatchDuration)
	for sequence := 0; time.Now().Before(end); sequence++ {
		<-ticker.C
		instance := newInstance(rand.IntN(b.options.Instances))
		instance.Capacity = 1 + float64(sequence%1000+1)/1000
		writes.Go(func() {
			result, err := client.Register(ctx, registry.WriteOptions{}, instance)
			if err != nil {
				failure.Store(err)
				return
			}
			deliveries.recordAcknowledged(result.Revision, time.Now())
		})
	}
	writes.Wait()
	deliveries.awaitDelivered(time.Now().Add(2 * time.Second))
	if err, is := failure.Load().(error); is {
		return err
	}
	return nil
}

// run reads lines until the connection ends.
func (f *watcher) run(deliveries *deliveryTracker, started chan<- error, fullListBytes *atomic.Int64) {
	if _, err := fmt.Fprintf(f.conn, "GET /registry/instances?watch=1&after=0 HTTP/1.1\r\nHost: bench\r\n\r\n"); err != nil {
		started <- err
		return
	}
	reader := bufio.NewReaderSize(f.conn, 4096)
	for first := true; ; {
		lineStart, lineBytes, err := readLine(reader)
		if err != nil {
			if first {
				started <- err
			}
			return
		}
		_, rest, ok := bytes.Cut(lineStart, []byte(`{"rev":`))
		if !ok {
			continue // the answer's head, a chunk's length, or an empty line
		}
		digits, _, _ := bytes.Cut(rest, []byte(","))
		revision, err := strconv.ParseUint(string(digits), 10, 64)
		if err != nil {
			continue
		}
		if first {
			fullListBytes.Store(int64(lineBytes))
			f.revision = revision
			first = false
			started <- nil
			continue
		}
		atomic.AddInt64(&f.deltaBytes, int64(lineBytes))
		deliveries.recordReceived(f.revision, revision, time.Now())
		f.revision = revision
	}
}

// readLine reads a line and returns its beginning and its length.
func readLine(reader *bufio.Reader) (start []byte, length int, err error) {
	for {
		part, err := reader.ReadSlice('\n')
		if start == nil {
			start = bytes.Clone(part[:min(len(part), 64)])
		}
		length += len(part)
		if err != bufio.ErrBufferFull {
			return start, length, err
		}
	}
}

// deliveryTracker follow each change from its acknowledgement to the last watcher.
type deliveryTracker struct {
	watchers int64

	mu         sync.Mutex
	deliveries map[uint64]*delivery
	revisions  []uint64
}

type delivery struct {
	acknowledgedAt time.Time
	lastReceivedAt time.Time
	receivedBy     int64
}

func (l *deliveryTracker) deliveryLocked(revision uint64) *delivery {
	if l.deliveries == nil {
		l.deliveries = map[uint64]*delivery{}
	}
	entry := l.deliveries[revision]
	if entry == nil {
		entry = &delivery{}
		l.deliveries[revision] = entry
		position, _ := slices.BinarySearch(l.revisions, revision)
		l.revisions = slices.Insert(l.revisions, position, revision)
	}
	return entry
}

func (l *deliveryTracker) recordAcknowledged(revision uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliveryLocked(revision).acknowledgedAt = now
}

// recordReceived: a watcher that had seen all up to from has now seen all up to to.
func (l *deliveryTracker) recordReceived(after, upTo uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliveryLocked(upTo)
	index, _ := slices.BinarySearch(l.revisions, after+1)
	for ; index < len(l.revisions) && l.revisions[index] <= upTo; index++ {
		entry := l.deliveries[l.revisions[index]]
		entry.receivedBy++
		entry.lastReceivedAt = now
	}
}

// awaitDelivered waits until all that was acknowledged has reached all, or until the end.
func (l *deliveryTracker) awaitDelivered(deadline time.Time) {
	for time.Now().Before(deadline) {
		if _, missed := l.summarize(); missed == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *deliveryTracker) acknowledgedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	acknowledged := 0
	for _, entry := range l.deliveries {
		if !entry.acknowledgedAt.IsZero() {
			acknowledged++
		}
	}
	return acknowledged
}

func (l *deliveryTracker) summarize() (*hdrhistogram.Histogram, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	histogram, missed := newHistogram(), 0
	for _, entry := range l.deliveries {
		switch {
		case entry.acknowledgedAt.IsZero():
		case entry.receivedBy < l.watchers:
			missed++
		default:
			recordLatency(histogram, entry.lastReceivedAt.Sub(entry.acknowledgedAt))
		}
	}
	return histogram, missed
}

// measureLeaderKills kills leader after leader and measures how long no write is taken.
func (b *benchmark) measureLeaderKills(ctx context.Context, replicas *cluster.Cluster) error {
	histogram := newHistogram()
	for round := range b.options.LeaderKills {
		waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
		leader, err := replicas.AwaitLeader(waitCtx)
		cancel()
		if err != nil {
			return err
		}
		var survivors []string
		for _, replica := range replicas.Replicas {
			if replica != leader {
				survivors = append(survivors, replica.HTTPAddr)
			}
		}
		client, err := registry.NewClient(survivors)
		if err != nil {
			return err
		}
		killedAt := time.Now()
		leader.Process.Kill()
		waitCtx, cancel = context.WithTimeout(ctx, readyTimeout)
		instance := newInstance(2_000_000)
		instance.Capacity = 1 + float64(round+1)/1000
		_, err = client.Register(waitCtx, registry.WriteOptions{}, instance)
		cancel()
		client.Close()
		if err != nil {
			return fmt.Errorf("kill %d: %w", round, err)
		}
		recordLatency(histogram, time.Since(killedAt))
		if err := leader.Start(); err != nil {
			return err
		}
		if err := b.awaitCaughtUp(ctx, replicas); err != nil {
			return err
		}
	}
	if b.options.LeaderKills > 0 {
		b.result.LeaderGapP50MS, b.result.LeaderGapMaxMS = quantileMS(histogram, 50), quantileMS(histogram, 100)
		b.progressf("%d leaders killed: without one p50 %.0f ms, at most %.0f ms", b.options.LeaderKills, b.result.LeaderGapP50MS, b.result.LeaderGapMaxMS)
	}
	return nil
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
	for {
		revisions := map[uint64]bool{}
		for _, replica := range replicas.Replicas {
			status, err := client.ReplicaStatus(ctx, replica.HTTPAddr)
			if err != nil || status.Leader == "" {
				revisions[0] = true
			}
			revisions[status.Revision] = true
		}
		if len(revisions) == 1 && !revisions[0] {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("a replica does not catch up: %w\n%s", ctx.Err(), replicas.Logs())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// measureRestarts measures the restart of a single replica with a long log, without and with a snapshot.
func (b *benchmark) measureRestarts(ctx context.Context) error {
	if b.options.LogEntries == 0 {
		return nil
	}
	b.result.LogEntries = b.options.LogEntries
	for _, withSnapshot := range []bool{false, true} {
		name, snapshotEvery := "plain", 10*b.options.LogEntries
		if withSnapshot {
			name, snapshotEvery = "snap", b.options.LogEntries/2
		}
		elapsedMS, err := b.measureRestart(ctx, name, snapshotEvery)
		if err != nil {
			return err
		}
		if withSnapshot {
			b.result.RestartFromSnapshotMS = elapsedMS
		} else {
			b.result.RestartFromLogMS = elapsedMS
		}
		b.progressf("restart with %d log entries, %s: %.0f ms", b.options.LogEntries, name, elapsedMS)
	}
	return nil
}

func (b *benchmark) measureRestart(ctx context.Context, name string, snapshotEvery int) (float64, error) {
	replicas, err := b.startCluster(ctx, 1, name, fmt.Sprintf("snapshot_every = %d", snapshotEvery))
	if replicas != nil {
		defer replicas.Close()
	}
	if err != nil {
		return 0, err
	}
	client, err := replicas.Client()
	if err != nil {
		return 0, err
	}
	defer client.Close()
	var writers sync.WaitGroup
	var next atomic.Int64
	var failure atomic.Value
	for writer := range 4 * b.options.Writers {
		writers.Go(func() {
			instance := newInstance(3_000_000 + writer)
			for sequence := next.Add(1); sequence <= int64(b.options.LogEntries); sequence = next.Add(1) {
				instance.Capacity = 1 + float64(sequence%999)/1000
				if _, err := client.Register(ctx, registry.WriteOptions{}, instance); err != nil {
					failure.Store(err)
					return
				}
			}
		})
	}
	writers.Wait()
	if err, is := failure.Load().(error); is {
		return 0, err
	}
	stopCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	replica := replicas.Replicas[0]
	if err := replica.Stop(stopCtx); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	if err := replica.Start(); err != nil {
		return 0, err
	}
	if _, err := replicas.AwaitLeader(stopCtx); err != nil {
		return 0, err
	}
	return time.Since(startedAt).Seconds() * 1000, nil
}

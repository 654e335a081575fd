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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

const (
	registerBatchSize  = 500
	watcherDialTimeout = time.Second
	deliveryTimeout    = 2 * time.Second // for the delivery of the last changes, from the end of the last write

	watcherBufferBytes = 4096
	lineStartBytes     = 64 // prefix of a line that contains its revision
)

// measureWatches measures how soon a stream of changes reaches thousands of watchers, and the bytes that a watcher costs.
func (b *benchmark) measureWatches(ctx context.Context, replicas *cluster.Cluster) error {
	client, err := replicas.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := b.registerInstances(ctx, client); err != nil {
		return err
	}
	before, err := residentBytes(replicas)
	if err != nil {
		return err
	}
	watchers := &watcherPool{deliveries: newDeliveryTracker(b.options.Watchers)}
	defer watchers.close()
	if err := watchers.start(replicas, b.options.Watchers); err != nil {
		return err
	}
	after, err := residentBytes(replicas)
	if err != nil {
		return err
	}
	b.result.CompleteListBytes = int(watchers.completeListBytes.Load())
	b.result.BytesPerWatcher = float64(after-before) / float64(b.options.Watchers)
	b.progressf("%d watchers are connected, %.0f bytes each at the replicas; %d changes a second follow",
		b.options.Watchers, b.result.BytesPerWatcher, b.options.ChangesPerSecond)
	if err := b.writeChanges(ctx, client, watchers.deliveries); err != nil {
		return err
	}
	b.summarizeWatches(watchers)
	return nil
}

// summarizeWatches sets the results of the watches.
func (b *benchmark) summarizeWatches(watchers *watcherPool) {
	histogram, missed := watchers.deliveries.summarize()
	b.result.Changes, b.result.MissedChanges = watchers.deliveries.acknowledgedCount(), missed
	b.result.WatchP50MS, b.result.WatchP99MS = quantileMS(histogram, 50), quantileMS(histogram, 99)
	b.result.WatchMaxMS = quantileMS(histogram, 100)
	b.result.DeltaBytes = float64(watchers.deltaBytes()) / float64(b.options.Watchers) / float64(max(b.result.Changes, 1))
	b.result.DeltaRatio = b.result.DeltaBytes / float64(b.result.CompleteListBytes)
	b.progressf("to the last watcher: p50 %.1f ms, p99 %.1f ms; %.0f bytes a change, complete list %d",
		b.result.WatchP50MS, b.result.WatchP99MS, b.result.DeltaBytes, b.result.CompleteListBytes)
}

// registerInstances registers the instances of the list, in batches.
func (b *benchmark) registerInstances(ctx context.Context, client *registry.Client) error {
	instances := make([]registry.Instance, b.options.Instances)
	for ordinal := range instances {
		instances[ordinal] = newInstance(ordinal)
	}
	for first := 0; first < len(instances); first += registerBatchSize {
		batch := instances[first:min(first+registerBatchSize, len(instances))]
		if _, err := client.Register(ctx, registry.WriteOptions{}, batch...); err != nil {
			return err
		}
	}
	return nil
}

// residentBytes returns the resident memory of all replicas.
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

// writeChanges writes changes at the configured rate, whether or not earlier changes are acknowledged.
func (b *benchmark) writeChanges(ctx context.Context, client *registry.Client, deliveries *deliveryTracker) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.WatchDuration+readyTimeout)
	defer cancel()
	ticker := time.NewTicker(time.Second / time.Duration(b.options.ChangesPerSecond))
	defer ticker.Stop()
	var writes sync.WaitGroup
	var failure lastError
	end := time.Now().Add(b.options.WatchDuration)
	for sequence := 0; time.Now().Before(end); sequence++ {
		<-ticker.C
		instance := newInstance(rand.IntN(b.options.Instances))
		instance.Capacity = 1 + float64(sequence%1000+1)/1000
		writes.Go(func() {
			result, err := client.Register(ctx, registry.WriteOptions{}, instance)
			if err != nil {
				failure.record(err)
				return
			}
			deliveries.recordAcknowledged(result.Revision, time.Now())
		})
	}
	writes.Wait()
	deliveries.awaitDelivered(time.Now().Add(deliveryTimeout))
	return failure.get()
}

// watcherPool holds the watchers of the benchmark.
type watcherPool struct {
	deliveries        *deliveryTracker
	watchers          []*watcher
	completeListBytes atomic.Int64 // size of the first line of a watch
	running           sync.WaitGroup
}

// start connects watchers, distributed over the replicas, and waits until each has the complete list.
func (p *watcherPool) start(replicas *cluster.Cluster, count int) error {
	started := make(chan error, count)
	for ordinal := range count {
		replica := replicas.Replicas[ordinal%len(replicas.Replicas)]
		conn, err := net.DialTimeout("tcp", replica.HTTPAddr, watcherDialTimeout)
		if err != nil {
			return err
		}
		connected := &watcher{pool: p, conn: conn}
		p.watchers = append(p.watchers, connected)
		p.running.Go(func() { connected.run(started) })
	}
	for range count {
		select {
		case err := <-started:
			if err != nil {
				return err
			}
		case <-time.After(readyTimeout):
			return errors.New("watchers did not receive the list in time")
		}
	}
	return nil
}

func (p *watcherPool) close() {
	for _, connected := range p.watchers {
		connected.conn.Close()
	}
	p.running.Wait()
}

// deltaBytes returns the size of all watch events after the complete list.
func (p *watcherPool) deltaBytes() int64 {
	total := int64(0)
	for _, connected := range p.watchers {
		total += connected.deltaBytes.Load()
	}
	return total
}

// watcher is a client that decodes only the revisions of lines, so that thousands of watchers can run on the machine of the
// replicas.
type watcher struct {
	pool       *watcherPool
	conn       net.Conn
	revision   uint64
	deltaBytes atomic.Int64
}

// run reads lines until the connection ends. It sends nil to started when it has the complete list, or the error that
// prevented this.
func (w *watcher) run(started chan<- error) {
	if _, err := fmt.Fprintf(w.conn, "GET /registry/instances?watch=1&after=0 HTTP/1.1\r\nHost: bench\r\n\r\n"); err != nil {
		started <- err
		return
	}
	reader := bufio.NewReaderSize(w.conn, watcherBufferBytes)
	for first := true; ; {
		lineStart, lineBytes, err := readLine(reader)
		if err != nil {
			if first {
				started <- err
			}
			return
		}
		revision, ok := lineRevision(lineStart)
		if !ok {
			continue
		}
		if first {
			first = false
			w.pool.completeListBytes.Store(int64(lineBytes))
			started <- nil
		} else {
			w.deltaBytes.Add(int64(lineBytes))
			w.pool.deliveries.recordReceived(w.revision, revision, time.Now())
		}
		w.revision = revision
	}
}

// lineRevision returns the revision of a watch event. Other lines (HTTP headers, chunk sizes, heartbeats) have none.
func lineRevision(lineStart []byte) (revision uint64, ok bool) {
	_, tail, ok := bytes.Cut(lineStart, []byte(`{"rev":`))
	if !ok {
		return 0, false
	}
	digits, _, _ := bytes.Cut(tail, []byte(","))
	revision, err := strconv.ParseUint(string(digits), 10, 64)
	return revision, err == nil
}

// readLine reads a line, and returns its first lineStartBytes bytes and its length.
func readLine(reader *bufio.Reader) (start []byte, length int, err error) {
	for {
		part, err := reader.ReadSlice('\n')
		if start == nil {
			start = bytes.Clone(part[:min(len(part), lineStartBytes)])
		}
		length += len(part)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return start, length, err
		}
	}
}

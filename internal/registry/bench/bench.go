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
	Program   string
	Dir       string
	Instances int
	Watchers  int
	Rate      int // changes a second
	Length    time.Duration
	Writers   int
	WriteFor  time.Duration
	Kills     int
	// LogEntries, where above 0, is how many entries the log of a replica that restarts has.
	LogEntries int
	Progress   func(string)
}

// Quick ends within a minute; Full takes several.
func Quick() Options {
	return Options{Instances: 5000, Watchers: 2000, Rate: 100, Length: 8 * time.Second, Writers: 32, WriteFor: 3 * time.Second, Kills: 8}
}

// Full is the long form.
func Full() Options {
	o := Quick()
	o.Length, o.WriteFor, o.Kills, o.LogEntries = 30*time.Second, 10*time.Second, 30, 100_000
	return o
}

// Result is what a benchmark found; all of it was measured in that run.
type Result struct {
	Instances     int     `json:"instances"`
	Watchers      int     `json:"watchers"`
	Changes       int     `json:"changes"`
	WatchP50      float64 `json:"watch_p50_ms"` // from the acknowledged write to the last watcher
	WatchP99      float64 `json:"watch_p99_ms"`
	WatchMax      float64 `json:"watch_max_ms"`
	Missed        int     `json:"changes_missed"` // that did not reach all watchers
	DeltaBytes    float64 `json:"delta_bytes"`    // for each change and watcher
	WholeBytes    int     `json:"whole_list_bytes"`
	DeltaRatio    float64 `json:"delta_ratio"`
	PerWatcher    float64 `json:"bytes_per_watcher"` // of a replica's resident memory
	Writes1       float64 `json:"writes_per_s_1_replica"`
	Writes1P99    float64 `json:"write_p99_ms_1_replica"`
	Writes3       float64 `json:"writes_per_s_3_replicas"`
	Writes3P99    float64 `json:"write_p99_ms_3_replicas"`
	Kills         int     `json:"kills"`
	LeaderGapP50  float64 `json:"leader_gap_p50_ms"` // from the kill to the next acknowledged write
	LeaderGapMax  float64 `json:"leader_gap_max_ms"`
	LogEntries    int     `json:"log_entries,omitempty"`
	RestartPlain  float64 `json:"restart_ms_without_snapshot,omitempty"`
	RestartByCopy float64 `json:"restart_ms_with_snapshot,omitempty"`
	Seconds       float64 `json:"seconds"`
}

// readyWait bounds the start of a cluster and each wait for a leader.
const readyWait = 20 * time.Second

// Run measures.
func Run(ctx context.Context, o Options) (*Result, error) {
	began := time.Now()
	block, err := proc.TakeBlock()
	if err != nil {
		return nil, err
	}
	defer block.Release()
	b := &bench{o: o, block: block, res: &Result{Instances: o.Instances, Watchers: o.Watchers, Kills: o.Kills}}
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"writes to one replica", b.oneReplica}, {"three replicas", b.threeReplicas}, {"restart", b.restart},
	} {
		if err := step.do(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	b.res.Seconds = time.Since(began).Seconds()
	return b.res, nil
}

type bench struct {
	o     Options
	block *proc.Block
	res   *Result
}

func (b *bench) say(format string, args ...any) {
	if b.o.Progress != nil {
		b.o.Progress(fmt.Sprintf(format, args...))
	}
}

func (b *bench) start(ctx context.Context, n int, name, more string) (*cluster.Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	dir := filepath.Join(b.o.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return cluster.Start(ctx, n, cluster.Options{Program: b.o.Program, Dir: dir, Block: b.block, More: more})
}

func (b *bench) oneReplica(ctx context.Context) error {
	c, err := b.start(ctx, 1, "one", "")
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	b.res.Writes1, b.res.Writes1P99, err = b.writes(ctx, c)
	b.say("1 replica: %.0f writes a second, p99 %.1f ms", b.res.Writes1, b.res.Writes1P99)
	return err
}

func instance(n int) registry.Instance {
	return registry.Instance{Target: registry.Target{
		UID: fmt.Sprintf("s-%08x", n), Endpoint: fmt.Sprintf("127.%d.%d.%d:9000", 1+n/62500, n/250%250, 1+n%250), Zone: string(rune('a' + n%3)),
		Model: "m1", Pod: n / 8, State: registry.Ready, Capacity: 1,
	}}
}

// writes has many writers write for a while, each its own instance.
func (b *bench) writes(ctx context.Context, c *cluster.Cluster) (perSecond, p99 float64, err error) {
	client, err := c.Client()
	if err != nil {
		return 0, 0, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, b.o.WriteFor)
	defer cancel()
	hist := newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	began := time.Now()
	for w := range b.o.Writers {
		wg.Go(func() {
			i := instance(1_000_000 + w)
			for n := 0; ctx.Err() == nil; n++ {
				i.Capacity = 1 + float64(n%100)/100
				at := time.Now()
				_, err := client.Register(ctx, registry.Write{}, i)
				took := time.Since(at)
				mu.Lock()
				if err == nil {
					record(hist, took)
				} else if ctx.Err() == nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(hist.TotalCount()) / time.Since(began).Seconds(), ms(hist, 99), failed
}

// histogram figures: 1 µs to a minute, three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(max(d.Microseconds(), 1), 60e6)); err != nil {
		panic(err) // it is within bounds
	}
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func (b *bench) threeReplicas(ctx context.Context) error {
	c, err := b.start(ctx, 3, "three", "")
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	if b.res.Writes3, b.res.Writes3P99, err = b.writes(ctx, c); err != nil {
		return err
	}
	b.say("3 replicas: %.0f writes a second, p99 %.1f ms", b.res.Writes3, b.res.Writes3P99)
	if err := b.watch(ctx, c); err != nil {
		return err
	}
	return b.kills(ctx, c)
}

// follower is one watcher of the benchmark: it costs little, so that thousands run beside the replicas.
type follower struct {
	conn  net.Conn
	rev   uint64
	bytes int64 // after its first line
}

// watch has thousands of watchers follow a stream of changes.
func (b *bench) watch(ctx context.Context, c *cluster.Cluster) error {
	client, err := c.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	all := make([]registry.Instance, b.o.Instances)
	for n := range all {
		all[n] = instance(n)
	}
	for at := 0; at < len(all); at += 500 {
		if _, err := client.Register(ctx, registry.Write{}, all[at:min(at+500, len(all))]...); err != nil {
			return err
		}
	}
	before, err := resident(c)
	if err != nil {
		return err
	}
	l := &latencies{want: int64(b.o.Watchers)}
	var followers []*follower
	var wg sync.WaitGroup
	defer func() {
		for _, f := range followers {
			f.conn.Close()
		}
		wg.Wait()
	}()
	whole := &atomic.Int64{}
	up := make(chan error, b.o.Watchers)
	for n := range b.o.Watchers {
		f := &follower{}
		if f.conn, err = net.DialTimeout("tcp", c.Replicas[n%len(c.Replicas)].HTTP, time.Second); err != nil {
			return err
		}
		followers = append(followers, f)
		wg.Go(func() { f.run(l, up, whole) })
	}
	for range b.o.Watchers {
		select {
		case err := <-up:
			if err != nil {
				return err
			}
		case <-time.After(readyWait):
			return errors.New("watchers did not come up")
		}
	}
	after, err := resident(c)
	if err != nil {
		return err
	}
	b.res.WholeBytes = int(whole.Load())
	b.res.PerWatcher = float64(after-before) / float64(b.o.Watchers)
	b.say("%d watchers are up, %.0f bytes each at the replicas; %d changes a second follow", b.o.Watchers, b.res.PerWatcher, b.o.Rate)
	if err := b.change(ctx, client, l); err != nil {
		return err
	}
	hist, missed := l.result()
	b.res.Changes, b.res.Missed = l.count(), missed
	b.res.WatchP50, b.res.WatchP99, b.res.WatchMax = ms(hist, 50), ms(hist, 99), ms(hist, 100)
	sum := int64(0)
	for _, f := range followers {
		sum += atomic.LoadInt64(&f.bytes)
	}
	b.res.DeltaBytes = float64(sum) / float64(b.o.Watchers) / float64(max(b.res.Changes, 1))
	b.res.DeltaRatio = b.res.DeltaBytes / float64(b.res.WholeBytes)
	b.say("to the last watcher: p50 %.1f ms, p99 %.1f ms; %.0f bytes a change, whole list %d", b.res.WatchP50, b.res.WatchP99, b.res.DeltaBytes, b.res.WholeBytes)
	return nil
}

// resident is the resident memory of all replicas in bytes.
func resident(c *cluster.Cluster) (int64, error) {
	sum := int64(0)
	for _, r := range c.Replicas {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.Proc.PID()))
		if err != nil {
			return 0, err
		}
		pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
		if err != nil {
			return 0, err
		}
		sum += pages * int64(os.Getpagesize())
	}
	return sum, nil
}

// change writes changes at the rate, whatever becomes of those before.
func (b *bench) change(ctx context.Context, client *registry.Client, l *latencies) error {
	ctx, cancel := context.WithTimeout(ctx, b.o.Length+readyWait)
	defer cancel()
	tick := time.NewTicker(time.Second / time.Duration(b.o.Rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	var failed atomic.Value
	end := time.Now().Add(b.o.Length)
	for n := 0; time.Now().Before(end); n++ {
		<-tick.C
		i := instance(rand.IntN(b.o.Instances))
		i.Capacity = 1 + float64(n%1000+1)/1000
		wg.Go(func() {
			res, err := client.Register(ctx, registry.Write{}, i)
			if err != nil {
				failed.Store(err)
				return
			}
			l.acknowledged(res.Rev, time.Now())
		})
	}
	wg.Wait()
	l.settle(time.Now().Add(2 * time.Second))
	if err, is := failed.Load().(error); is {
		return err
	}
	return nil
}

// run reads lines until the connection ends.
func (f *follower) run(l *latencies, up chan<- error, whole *atomic.Int64) {
	if _, err := fmt.Fprintf(f.conn, "GET /registry/instances?watch=1&after=0 HTTP/1.1\r\nHost: bench\r\n\r\n"); err != nil {
		up <- err
		return
	}
	in := bufio.NewReaderSize(f.conn, 4096)
	for first := true; ; {
		head, n, err := readLine(in)
		if err != nil {
			if first {
				up <- err
			}
			return
		}
		_, rest, is := bytes.Cut(head, []byte(`{"rev":`))
		if !is {
			continue // the answer's head, a chunk's length, or an empty line
		}
		digits, _, _ := bytes.Cut(rest, []byte(","))
		rev, err := strconv.ParseUint(string(digits), 10, 64)
		if err != nil {
			continue
		}
		if first {
			whole.Store(int64(n))
			f.rev = rev
			first = false
			up <- nil
			continue
		}
		atomic.AddInt64(&f.bytes, int64(n))
		l.reached(f.rev, rev, time.Now())
		f.rev = rev
	}
}

// readLine reads a line and returns its beginning and its length.
func readLine(in *bufio.Reader) (head []byte, n int, err error) {
	for {
		part, err := in.ReadSlice('\n')
		if head == nil {
			head = bytes.Clone(part[:min(len(part), 64)])
		}
		n += len(part)
		if err != bufio.ErrBufferFull {
			return head, n, err
		}
	}
}

// latencies follow each change from its acknowledgement to the last watcher.
type latencies struct {
	want int64

	mu   sync.Mutex
	of   map[uint64]*passage
	revs []uint64
}

type passage struct {
	acked time.Time
	last  time.Time
	seen  int64
}

func (l *latencies) at(rev uint64) *passage {
	if l.of == nil {
		l.of = map[uint64]*passage{}
	}
	p := l.of[rev]
	if p == nil {
		p = &passage{}
		l.of[rev] = p
		at, _ := slices.BinarySearch(l.revs, rev)
		l.revs = slices.Insert(l.revs, at, rev)
	}
	return p
}

func (l *latencies) acknowledged(rev uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at(rev).acked = now
}

// reached: a watcher that had seen all up to from has now seen all up to to.
func (l *latencies) reached(from, to uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at(to)
	k, _ := slices.BinarySearch(l.revs, from+1)
	for ; k < len(l.revs) && l.revs[k] <= to; k++ {
		p := l.of[l.revs[k]]
		p.seen++
		p.last = now
	}
}

// settle waits until all that was acknowledged has reached all, or until the end.
func (l *latencies) settle(end time.Time) {
	for time.Now().Before(end) {
		if _, missed := l.result(); missed == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *latencies) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.of {
		if !p.acked.IsZero() {
			n++
		}
	}
	return n
}

func (l *latencies) result() (*hdrhistogram.Histogram, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, missed := newHistogram(), 0
	for _, p := range l.of {
		switch {
		case p.acked.IsZero():
		case p.seen < l.want:
			missed++
		default:
			record(h, p.last.Sub(p.acked))
		}
	}
	return h, missed
}

// kills kills leader after leader and measures how long no write is taken.
func (b *bench) kills(ctx context.Context, c *cluster.Cluster) error {
	hist := newHistogram()
	for n := range b.o.Kills {
		wait, cancel := context.WithTimeout(ctx, readyWait)
		leader, err := c.Leader(wait)
		cancel()
		if err != nil {
			return err
		}
		var left []string
		for _, r := range c.Replicas {
			if r != leader {
				left = append(left, r.HTTP)
			}
		}
		client, err := registry.NewClient(left)
		if err != nil {
			return err
		}
		began := time.Now()
		leader.Proc.Kill()
		wait, cancel = context.WithTimeout(ctx, readyWait)
		i := instance(2_000_000)
		i.Capacity = 1 + float64(n+1)/1000
		_, err = client.Register(wait, registry.Write{}, i)
		cancel()
		client.Close()
		if err != nil {
			return fmt.Errorf("kill %d: %w", n, err)
		}
		record(hist, time.Since(began))
		if err := leader.Start(); err != nil {
			return err
		}
		if err := b.caughtUp(ctx, c); err != nil {
			return err
		}
	}
	if b.o.Kills > 0 {
		b.res.LeaderGapP50, b.res.LeaderGapMax = ms(hist, 50), ms(hist, 100)
		b.say("%d leaders killed: without one p50 %.0f ms, at most %.0f ms", b.o.Kills, b.res.LeaderGapP50, b.res.LeaderGapMax)
	}
	return nil
}

// caughtUp waits until all replicas have the same revision.
func (b *bench) caughtUp(ctx context.Context, c *cluster.Cluster) error {
	client, err := c.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		revs := map[uint64]bool{}
		for _, r := range c.Replicas {
			st, err := client.StatusOf(ctx, r.HTTP)
			if err != nil || st.Leader == "" {
				revs[0] = true
			}
			revs[st.Rev] = true
		}
		if len(revs) == 1 && !revs[0] {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("a replica does not catch up: %w\n%s", ctx.Err(), c.Logs())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// restart measures the restart of a single replica with a long log, without and with a snapshot.
func (b *bench) restart(ctx context.Context) error {
	if b.o.LogEntries == 0 {
		return nil
	}
	b.res.LogEntries = b.o.LogEntries
	for _, with := range []bool{false, true} {
		name, every := "plain", 10*b.o.LogEntries
		if with {
			name, every = "snap", b.o.LogEntries/2
		}
		took, err := b.restartOnce(ctx, name, every)
		if err != nil {
			return err
		}
		if with {
			b.res.RestartByCopy = took
		} else {
			b.res.RestartPlain = took
		}
		b.say("restart with %d log entries, %s: %.0f ms", b.o.LogEntries, name, took)
	}
	return nil
}

func (b *bench) restartOnce(ctx context.Context, name string, every int) (float64, error) {
	c, err := b.start(ctx, 1, name, fmt.Sprintf("snapshot_every = %d", every))
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return 0, err
	}
	client, err := c.Client()
	if err != nil {
		return 0, err
	}
	defer client.Close()
	var wg sync.WaitGroup
	var next atomic.Int64
	var failed atomic.Value
	for w := range 4 * b.o.Writers {
		wg.Go(func() {
			i := instance(3_000_000 + w)
			for n := next.Add(1); n <= int64(b.o.LogEntries); n = next.Add(1) {
				i.Capacity = 1 + float64(n%999)/1000
				if _, err := client.Register(ctx, registry.Write{}, i); err != nil {
					failed.Store(err)
					return
				}
			}
		})
	}
	wg.Wait()
	if err, is := failed.Load().(error); is {
		return 0, err
	}
	stop, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	r := c.Replicas[0]
	if err := r.Stop(stop); err != nil {
		return 0, err
	}
	began := time.Now()
	if err := r.Start(); err != nil {
		return 0, err
	}
	if _, err := c.Leader(stop); err != nil {
		return 0, err
	}
	return time.Since(began).Seconds() * 1000, nil
}

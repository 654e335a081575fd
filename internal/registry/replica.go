package registry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	// Replicas are close to each other: a leader that is silent for so long is gone, and a new one is there well
	// within two seconds. A frozen leader stops believing in itself sooner than others elect a new one.
	heartbeat   = 400 * time.Millisecond
	election    = 400 * time.Millisecond
	leaderLease = 250 * time.Millisecond
	commitEvery = 10 * time.Millisecond

	applyWait    = 3 * time.Second
	dialWait     = 500 * time.Millisecond
	verifyEvery  = 200 * time.Millisecond
	sweepEvery   = 100 * time.Millisecond
	poolSize     = 3 // connections to each replica
	keptSnaps    = 2
	shutdownWait = 5 * time.Second

	// freshFor is how old a leader's last proof of leadership may be for its list to count as fresh.
	freshFor = time.Second

	logFile = "raft.db"
)

// Options say how a replica runs.
type Options struct {
	HTTP string // where clients come, and the replica's name among the others; loopback only
	Raft string // where the other replicas come
	// Advertise is the raft address that others are told, where it differs from Raft.
	Advertise string
	Dir       string   // of its log and snapshots; "" keeps all in memory, for a single replica to try out
	Members   []Member // of a new cluster, this one among them; a replica that finds a log of its own ignores them
	Expiry    Expiry
	// SnapshotEvery is how many log entries make a snapshot due.
	SnapshotEvery uint64
}

// Member is one replica of the cluster.
type Member struct {
	HTTP string `json:"http"`
	Raft string `json:"raft"`
}

// Defaults of the options.
const (
	defaultSnapshotEvery = 8192
	defaultShare         = 0.15
	defaultWithin        = 10 * time.Second
)

// Replica is one member of the cluster.
type Replica struct {
	opts    Options
	hub     *Hub
	leases  *leases
	duties  *dutyLeases
	raft    *raft.Raft
	store   io.Closer
	trans   *raft.NetworkTransport
	srv     *http.Server
	ln      net.Listener
	metrics *metrics

	leading  atomic.Bool  // it leads and has applied all that came before
	verified atomic.Int64 // when its leadership was last proved, ns since began
	began    time.Time
	fatal    chan error
	watchers atomic.Int64
	swept    time.Time // when ended entries of the placement were last looked for
	ctx      context.Context
	stop     context.CancelFunc
	around   sync.WaitGroup

	sidecars *sidecarLeases
}

// Open starts a replica from its folder, or anew.
func Open(opts Options) (*Replica, error) {
	for name, addr := range map[string]string{"http": opts.HTTP, "raft": opts.Raft} {
		if err := loopback(name, addr); err != nil {
			return nil, err
		}
	}
	if opts.Advertise == "" {
		opts.Advertise = opts.Raft
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = defaultSnapshotEvery
	}
	if opts.Expiry.Share == 0 {
		opts.Expiry.Share = defaultShare
	}
	if opts.Expiry.Within == 0 {
		opts.Expiry.Within = defaultWithin
	}
	r := &Replica{opts: opts, hub: NewHub(), leases: newLeases(opts.Expiry), duties: newDutyLeases(), began: time.Now(), fatal: make(chan error, 1)}
	r.sidecars = newSidecarLeases(opts.Expiry)
	r.metrics = newMetrics(r)
	r.ctx, r.stop = context.WithCancel(context.Background())
	// The clients' address is bound first: a replica that nobody can ask must not vote.
	ln, err := net.Listen("tcp", opts.HTTP)
	if err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	r.ln = ln
	if err := r.openRaft(); err != nil {
		ln.Close()
		return nil, err
	}
	r.srv = r.server()
	r.around.Go(func() {
		if err := r.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.die(fmt.Errorf("http: %w", err))
		}
	})
	r.around.Go(r.lead)
	return r, nil
}

// loopback refuses an address that others could reach.
func loopback(name, addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %q is no address and port", name, addr)
	}
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("%s: %s is not a loopback address", name, addr)
	}
	return nil
}

// Loopback is loopback for others that listen.
func Loopback(name, addr string) error { return loopback(name, addr) }

func (r *Replica) openRaft() error {
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(r.opts.HTTP)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = heartbeat, election, leaderLease
	cfg.CommitTimeout = commitEvery
	cfg.SnapshotThreshold = r.opts.SnapshotEvery
	cfg.TrailingLogs = r.opts.SnapshotEvery / 2
	cfg.SnapshotInterval = 2 * time.Second
	cfg.Logger = hclog.FromStandardLogger(slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		&hclog.LoggerOptions{Name: "raft", Level: hclog.Info})

	var logs raft.LogStore
	var stable raft.StableStore
	var snaps raft.SnapshotStore
	if r.opts.Dir == "" {
		mem := raft.NewInmemStore()
		logs, stable, snaps, r.store = mem, mem, raft.NewInmemSnapshotStore(), io.NopCloser(nil)
	} else {
		if err := os.MkdirAll(r.opts.Dir, 0o700); err != nil {
			return fmt.Errorf("dir: %w", err)
		}
		store, err := openStore(filepath.Join(r.opts.Dir, logFile))
		if err != nil {
			return err
		}
		r.store = store
		files, err := raft.NewFileSnapshotStoreWithLogger(r.opts.Dir, keptSnaps, cfg.Logger)
		if err == nil {
			err = verifyFolder(store, files)
		}
		if err != nil {
			store.Close()
			return fmt.Errorf("%s: %w", r.opts.Dir, err)
		}
		logs, stable, snaps = store, store, files
	}
	layer, err := newLayer(r.opts.Raft, r.opts.Advertise)
	if err != nil {
		r.store.Close()
		return fmt.Errorf("raft: %w", err)
	}
	r.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer, MaxPool: poolSize, Timeout: applyWait, Logger: cfg.Logger,
	})
	fresh, err := raft.HasExistingState(logs, stable, snaps)
	if err == nil && !fresh && len(r.opts.Members) > 0 {
		var servers []raft.Server
		for _, m := range r.opts.Members {
			servers = append(servers, raft.Server{ID: raft.ServerID(m.HTTP), Address: raft.ServerAddress(m.Raft)})
		}
		err = raft.BootstrapCluster(cfg, logs, stable, snaps, r.trans, raft.Configuration{Servers: servers})
	}
	if err == nil {
		r.raft, err = raft.NewRaft(cfg, (*fsm)(r), logs, stable, snaps, r.trans)
	}
	if err != nil {
		r.trans.Close()
		r.store.Close()
		return fmt.Errorf("raft: %w", err)
	}
	return nil
}

// openStore opens the log's file. The library panics on some torn files; that is an error like any other here.
func openStore(path string) (store *raftboltdb.BoltStore, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: %v", path, p)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{Path: path})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return store, nil
}

// verifyFolder reads all that the replica would build on, so that what is torn is found before it votes.
func verifyFolder(store *raftboltdb.BoltStore, snaps raft.SnapshotStore) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("log: %v", p)
		}
	}()
	list, err := snaps.List()
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	for _, meta := range list { // the older one is what is left when the newest cannot be read
		_, from, err := snaps.Open(meta.ID)
		if err == nil {
			_, err = ReadSnapshot(from)
			from.Close()
		}
		if err != nil {
			return fmt.Errorf("snapshot %s: %w", meta.ID, err)
		}
	}
	first, err := store.FirstIndex()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	last, err := store.LastIndex()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	for i := first; i != 0 && i <= last; i++ {
		var l raft.Log
		if err := store.GetLog(i, &l); err != nil {
			return fmt.Errorf("log entry %d: %w", i, err)
		}
		if l.Index != i {
			return fmt.Errorf("log entry %d: %w", i, errTorn)
		}
		if l.Type == raft.LogCommand {
			if _, err := DecodeRecord(l.Data); err != nil {
				return fmt.Errorf("log entry %d: %w", i, err)
			}
		}
	}
	return nil
}

// layer is the connections between replicas. It dials from the replica's own address, so that the other side, and
// whatever stands between, sees who it is.
type layer struct {
	net.Listener
	own       net.IP
	advertise net.Addr
}

func newLayer(addr, advertise string) (*layer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	public, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &layer{ln, ln.Addr().(*net.TCPAddr).IP, public}, nil
}

func (l *layer) Addr() net.Addr { return l.advertise }

func (l *layer) Dial(to raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: min(wait, dialWait), LocalAddr: &net.TCPAddr{IP: l.own}}
	return d.Dial("tcp", string(to))
}

// fsm is the replica as raft drives it.
type fsm Replica

func (f *fsm) Apply(l *raft.Log) any {
	r := (*Replica)(f)
	rec, err := DecodeRecord(l.Data)
	if err == nil {
		var res Result
		if res, err = r.hub.Apply(l.Index, rec); err == nil {
			return res
		}
	}
	// Every replica would have to skip it alike, and this one cannot know that they do.
	r.die(fmt.Errorf("log entry %d: %w", l.Index, err))
	return err
}

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	var buf writer
	var err error
	(*Replica)(f).hub.Read(func(s *State) { err = s.Snapshot(&buf) })
	return &buf, err
}

func (f *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	s, err := ReadSnapshot(from)
	if err != nil {
		return err
	}
	(*Replica)(f).hub.Replace(s)
	return nil
}

// writer keeps a snapshot's bytes, taken at one moment, until raft has written them.
type writer struct{ data []byte }

func (w *writer) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

func (w *writer) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(w.data); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (w *writer) Release() {}

// die ends the replica because of something that it cannot go on with.
func (r *Replica) die(err error) {
	select {
	case r.fatal <- err:
	default:
	}
}

// Fatal gives the error on which the replica must end.
func (r *Replica) Fatal() <-chan error { return r.fatal }

// Addr is where clients come.
func (r *Replica) Addr() string { return r.ln.Addr().String() }

// Close ends the replica in good order: a leader hands over first.
func (r *Replica) Close() error {
	r.stop()
	if r.raft.State() == raft.Leader {
		if err := r.raft.LeadershipTransfer().Error(); err != nil {
			slog.Debug("leadership not handed over", "error", err) // alone, or nobody is up to date
		}
	}
	r.srv.Close()
	done := make(chan error, 1)
	go func() { done <- r.raft.Shutdown().Error() }()
	var err error
	select {
	case err = <-done:
	case <-time.After(shutdownWait):
		err = errors.New("raft did not end in time")
	}
	r.around.Wait()
	return errors.Join(err, r.trans.Close(), r.store.Close())
}

// lead does what only the leader does, for as long as this replica is it.
func (r *Replica) lead() {
	changes := r.raft.LeaderCh()
	for {
		select {
		case <-r.ctx.Done():
			return
		case is := <-changes:
			if !is {
				r.leading.Store(false)
				continue
			}
		}
		if err := r.takeOver(); err != nil {
			slog.Warn("leadership not taken up", "error", err)
			continue
		}
		r.rule(changes)
		r.leading.Store(false)
	}
}

// takeOver applies all that earlier leaders left, and gives every lease its full time again.
func (r *Replica) takeOver() error {
	if err := r.raft.Barrier(applyWait).Error(); err != nil {
		return err
	}
	r.verified.Store(int64(time.Since(r.began)))
	r.hub.Read(func(s *State) {
		r.leases.reset(time.Now(), s)
		r.duties.reset(time.Now(), s)
		r.sidecars.reset(time.Now(), s)
	})
	r.leading.Store(true)
	r.metrics.changes.Inc()
	slog.Info("leads", "http", r.opts.HTTP)
	epoch := uint64(0)
	r.hub.Read(func(s *State) { epoch = s.Epoch() })
	if epoch == 0 {
		_, err := r.write(&Record{Op: OpEpoch, Epoch: newEpoch()})
		return err
	}
	return nil
}

// newEpoch names a history. It is drawn, so that two clusters hardly share one.
func newEpoch() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])>>11 | 1
}

// rule proves the leadership and ends leases until the leadership is lost.
func (r *Replica) rule(changes <-chan bool) {
	verify, sweep := time.NewTicker(verifyEvery), time.NewTicker(sweepEvery)
	defer verify.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case is := <-changes:
			if !is {
				return
			}
		case <-verify.C:
			asked := time.Since(r.began) // proved is what held when it was asked
			if r.raft.VerifyLeader().Error() != nil {
				return
			}
			r.verified.Store(int64(asked))
		case <-sweep.C:
			r.expire()
			r.lapse()
			r.endPlacement()
			r.expireSidecars()
		}
	}
}

func (r *Replica) expire() {
	now := time.Now()
	expire, hold := r.leases.sweep(now)
	switch {
	case len(hold) > 0:
		if _, err := r.write(&Record{Op: OpSuspect, Refs: hold, On: true}); err != nil {
			return
		}
		r.metrics.held.Add(float64(len(hold)))
		slog.Warn("mass expiry held back: these instances stay until they renew or an operator decides", "instances", len(hold))
		r.follow(hold)
	case len(expire) > 0:
		if _, err := r.write(&Record{Op: OpExpire, Refs: expire}); err != nil {
			return
		}
		r.metrics.expired.Add(float64(len(expire)))
		slog.Info("leases ended", "instances", len(expire), "first", expire[0].UID)
		r.leases.expired(now, len(expire))
		r.follow(expire)
	}
}

func (r *Replica) follow(refs []Ref) {
	uids := make([]string, 0, len(refs))
	for _, ref := range refs {
		uids = append(uids, ref.UID)
	}
	r.hub.Read(func(s *State) { r.leases.follow(time.Now(), s, uids) })
}

// ErrNotLeader is given where only the leader can help.
var ErrNotLeader = errors.New("this replica does not lead")

// write puts a record into the log and waits until it is applied here. After an error it may or may not be done;
// a repeat with the same ID finds out.
func (r *Replica) write(rec *Record) (Result, error) {
	data, err := rec.Encode()
	if err != nil {
		return Result{}, err
	}
	f := r.raft.Apply(data, applyWait)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			return Result{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return Result{}, err
	}
	switch res := f.Response().(type) {
	case Result:
		r.metrics.writes.WithLabelValues(string(rec.Op), string(res.Outcome)).Inc()
		return res, nil
	case error:
		return Result{}, res
	default:
		return Result{}, fmt.Errorf("write: no result but %T", res)
	}
}

// age is how old this replica's list may be: the time since it was last known to be the newest.
func (r *Replica) age() time.Duration {
	if r.raft.State() == raft.Leader {
		if !r.leading.Load() {
			return time.Since(r.began)
		}
		return time.Since(r.began) - time.Duration(r.verified.Load())
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return time.Since(r.began)
	}
	return time.Since(last)
}

// leader is the HTTP address of the leader, "" while there is none.
func (r *Replica) leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// settle makes sure that a read on this leader sees every write that was acknowledged before it.
func (r *Replica) settle(ctx context.Context) error {
	if !r.leading.Load() {
		return ErrNotLeader
	}
	upTo := r.raft.CommitIndex()
	if err := r.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	for r.raft.AppliedIndex() < upTo {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// members lists the replicas of the cluster.
func (r *Replica) members() ([]Member, error) {
	f := r.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	var out []Member
	for _, s := range f.Configuration().Servers {
		out = append(out, Member{HTTP: string(s.ID), Raft: string(s.Address)})
	}
	return out, nil
}

// restore puts a saved state in place of the cluster's, under a new epoch.
func (r *Replica) restore(s *State) (Result, error) {
	var buf writer
	if err := s.Snapshot(&buf); err != nil {
		return Result{}, err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Index: s.applied, Term: 1, Size: int64(len(buf.data))}
	if err := r.raft.Restore(meta, bytes.NewReader(buf.data), applyWait); err != nil {
		return Result{}, err
	}
	res, err := r.write(&Record{Op: OpEpoch, Epoch: newEpoch()})
	r.hub.Read(func(s *State) {
		r.leases.reset(time.Now(), s)
		r.duties.reset(time.Now(), s)
		r.sidecars.reset(time.Now(), s)
	})
	return res, err
}

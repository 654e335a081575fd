package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
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
	// WarmAfter is how long after it is ready a server counts as warm in the ledger; 0: somebody else finds that.
	WarmAfter time.Duration
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
	warmth  *warmth // of the loop of the leader alone
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

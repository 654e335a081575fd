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
	raftHeartbeatTimeout   = 400 * time.Millisecond
	raftElectionTimeout    = 400 * time.Millisecond
	raftLeaderLeaseTimeout = 250 * time.Millisecond
	raftCommitTimeout      = 10 * time.Millisecond

	applyTimeout       = 3 * time.Second
	dialTimeout        = 500 * time.Millisecond
	verifyInterval     = 200 * time.Millisecond
	sweepInterval      = 100 * time.Millisecond
	maxRaftConnections = 3 // connections to each replica
	retainedSnapshots  = 2
	shutdownTimeout    = 5 * time.Second

	// maxFreshAge is how old a leader's last proof of leadership may be for its list to count as fresh.
	maxFreshAge = time.Second

	logFileName = "raft.db"
)

// Options say how a replica runs.
type Options struct {
	HTTPAddr string // where clients come, and the replica's name among the others; loopback only
	RaftAddr string // where the other replicas come
	// Advertise is the raft address that others are told, where it differs from Raft.
	AdvertiseRaftAddr string
	DataDir           string   // of its log and snapshots; "" keeps all in memory, for a single replica to try out
	Members           []Member // of a new cluster, this one among them; a replica that finds a log of its own ignores them
	Expiry            ExpiryPolicy
	// SnapshotThreshold is how many log entries make a snapshot due.
	SnapshotThreshold uint64
	// WarmUpDuration is how long after it is ready a server counts as warm in the ledger; 0: somebody else finds that.
	WarmUpDuration time.Duration
}

// Member is one replica of the cluster.
type Member struct {
	HTTPAddr string `json:"http"`
	RaftAddr string `json:"raft"`
}

// Defaults of the options.
const (
	defaultSnapshotThreshold = 8192
	defaultMaxExpiryShare    = 0.15
	defaultExpiryWindow      = 10 * time.Second
)

// Replica is one member of the cluster.
type Replica struct {
	options       Options
	hub           *Hub
	registrations *registrationTracker
	leaseTracker  *leaseTracker
	warmUps       *warmUpTracker // of the loop of the leader alone
	raft          *raft.Raft
	logStore      io.Closer
	transport     *raft.NetworkTransport
	httpServer    *http.Server
	listener      net.Listener
	metrics       *metrics

	isLeader         atomic.Bool  // it leads and has applied all that came before
	verifiedAt       atomic.Int64 // when its leadership was last proved, ns since began
	startedAt        time.Time
	fatal            chan error
	watchers         atomic.Int64
	placementSweptAt time.Time // when ended entries of the placement were last looked for
	ctx              context.Context
	cancel           context.CancelFunc
	goroutines       sync.WaitGroup

	sidecarRegistrations *sidecarTracker
}

// Open starts a replica from its folder, or anew.
func Open(options Options) (*Replica, error) {
	for name, address := range map[string]string{"http": options.HTTPAddr, "raft": options.RaftAddr} {
		if err := checkLoopback(name, address); err != nil {
			return nil, err
		}
	}
	if options.AdvertiseRaftAddr == "" {
		options.AdvertiseRaftAddr = options.RaftAddr
	}
	if options.SnapshotThreshold == 0 {
		options.SnapshotThreshold = defaultSnapshotThreshold
	}
	if options.Expiry.MaxShare == 0 {
		options.Expiry.MaxShare = defaultMaxExpiryShare
	}
	if options.Expiry.Window == 0 {
		options.Expiry.Window = defaultExpiryWindow
	}
	replica := &Replica{options: options, hub: NewHub(), registrations: newRegistrationTracker(options.Expiry), leaseTracker: newLeaseTracker(), startedAt: time.Now(), fatal: make(chan error, 1)}
	replica.sidecarRegistrations = newSidecarTracker(options.Expiry)
	replica.metrics = newMetrics(replica)
	replica.ctx, replica.cancel = context.WithCancel(context.Background())
	// The clients' address is bound first: a replica that nobody can ask must not vote.
	listener, err := net.Listen("tcp", options.HTTPAddr)
	if err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	replica.listener = listener
	if err := replica.openRaft(); err != nil {
		listener.Close()
		return nil, err
	}
	replica.httpServer = replica.newHTTPServer()
	replica.goroutines.Go(func() {
		if err := replica.httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			replica.fail(fmt.Errorf("http: %w", err))
		}
	})
	replica.goroutines.Go(replica.monitorLeadership)
	return replica, nil
}

// checkLoopback refuses an address that others could reach.
func checkLoopback(name, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%s: %q is no address and port", name, address)
	}
	if !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s: %s is not a loopback address", name, address)
	}
	return nil
}

// CheckLoopback is loopback for others that listen.
func CheckLoopback(name, address string) error { return checkLoopback(name, address) }

// fail ends the replica because of something that it cannot go on with.
func (r *Replica) fail(err error) {
	select {
	case r.fatal <- err:
	default:
	}
}

// Fatal gives the error on which the replica must end.
func (r *Replica) Fatal() <-chan error { return r.fatal }

// Addr is where clients come.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Close ends the replica in good order: a leader hands over first.
func (r *Replica) Close() error {
	r.cancel()
	if r.raft.State() == raft.Leader {
		if err := r.raft.LeadershipTransfer().Error(); err != nil {
			slog.Debug("leadership not handed over", "error", err) // alone, or nobody is up to date
		}
	}
	r.httpServer.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- r.raft.Shutdown().Error() }()
	var err error
	select {
	case err = <-stopped:
	case <-time.After(shutdownTimeout):
		err = errors.New("raft did not end in time")
	}
	r.goroutines.Wait()
	return errors.Join(err, r.transport.Close(), r.logStore.Close())
}

// ErrNotLeader is given where only the leader can help.
var ErrNotLeader = errors.New("this replica does not lead")

// propose puts a record into the log and waits until it is applied here. After an error it may or may not be done;
// a repeat with the same ID finds out.
func (r *Replica) propose(record *Record) (Result, error) {
	data, err := record.Encode()
	if err != nil {
		return Result{}, err
	}
	future := r.raft.Apply(data, applyTimeout)
	if err := future.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			return Result{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return Result{}, err
	}
	switch result := future.Response().(type) {
	case Result:
		r.metrics.writes.WithLabelValues(string(record.Op), string(result.Outcome)).Inc()
		return result, nil
	case error:
		return Result{}, result
	default:
		return Result{}, fmt.Errorf("write: no result but %T", result)
	}
}

// listAge is how old this replica's list may be: the time since it was last known to be the newest.
func (r *Replica) listAge() time.Duration {
	if r.raft.State() == raft.Leader {
		if !r.isLeader.Load() {
			return time.Since(r.startedAt)
		}
		return time.Since(r.startedAt) - time.Duration(r.verifiedAt.Load())
	}
	lastContact := r.raft.LastContact()
	if lastContact.IsZero() {
		return time.Since(r.startedAt)
	}
	return time.Since(lastContact)
}

// leaderAddr is the HTTP address of the leader, "" while there is none.
func (r *Replica) leaderAddr() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// awaitReadIndex makes sure that a read on this leader sees every write that was acknowledged before it.
func (r *Replica) awaitReadIndex(ctx context.Context) error {
	if !r.isLeader.Load() {
		return ErrNotLeader
	}
	commitIndex := r.raft.CommitIndex()
	if err := r.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	for r.raft.AppliedIndex() < commitIndex {
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
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	var members []Member
	for _, server := range future.Configuration().Servers {
		members = append(members, Member{HTTPAddr: string(server.ID), RaftAddr: string(server.Address)})
	}
	return members, nil
}

// restore puts a saved state in place of the cluster's, under a new epoch.
func (r *Replica) restore(state *StateMachine) (Result, error) {
	var buffer snapshotBuffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		return Result{}, err
	}
	metadata := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Index: state.appliedIndex, Term: 1, Size: int64(len(buffer.data))}
	if err := r.raft.Restore(metadata, bytes.NewReader(buffer.data), applyTimeout); err != nil {
		return Result{}, err
	}
	result, err := r.propose(&Record{Op: OpEpoch, Epoch: newEpoch()})
	r.hub.Read(func(state *StateMachine) {
		r.registrations.reset(time.Now(), state)
		r.leaseTracker.reset(time.Now(), state)
		r.sidecarRegistrations.reset(time.Now(), state)
	})
	return result, err
}

package registry

import (
	"bytes"
	"cmp"
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

	"milldeck/internal/sockets"
)

const (
	applyTimeout    = 3 * time.Second // of a record, from its proposal until it is applied
	shutdownTimeout = 5 * time.Second // of raft

	// maxFreshAge is how long ago a leader may have verified its leadership for its state to count as fresh.
	maxFreshAge = time.Second

	// appliedPollInterval is how often a linearizable read checks whether the state has caught up.
	appliedPollInterval = time.Millisecond
)

// Defaults of the options.
const (
	defaultSnapshotThreshold = 8192
	defaultMaxExpiryShare    = 0.15
	defaultExpiryWindow      = 10 * time.Second
)

// Options are the options of a replica. All addresses are loopback.
type Options struct {
	HTTPAddr          string       // for clients; also the replica's name in the cluster
	RaftAddr          string       // for the other replicas
	AdvertiseRaftAddr string       // address that the other replicas use, where it differs from RaftAddr
	DataDir           string       // of the log and the snapshots; "": they are held in memory, for a single replica to try out
	Members           []Member     // of a new cluster, this replica included; ignored by a replica that has a log
	Expiry            ExpiryPolicy // zero fields: the defaults
	SnapshotThreshold uint64       // log entries between two snapshots; 0: the default
	// WarmUpDuration is how long after it is ready a server counts as warmed up in the disruption ledger. 0: it does once
	// an observer says so.
	WarmUpDuration time.Duration
}

// setDefaults sets the options that are zero.
func (o *Options) setDefaults() {
	o.AdvertiseRaftAddr = cmp.Or(o.AdvertiseRaftAddr, o.RaftAddr)
	o.SnapshotThreshold = cmp.Or(o.SnapshotThreshold, defaultSnapshotThreshold)
	o.Expiry.MaxShare = cmp.Or(o.Expiry.MaxShare, defaultMaxExpiryShare)
	o.Expiry.Window = cmp.Or(o.Expiry.Window, defaultExpiryWindow)
}

// Member is a replica of the cluster.
type Member struct {
	HTTPAddr string `json:"http"`
	RaftAddr string `json:"raft"`
}

// Replica is one member of a cluster. It serves the state over HTTP and proposes writes to raft.
type Replica struct {
	options Options
	logger  *slog.Logger
	metrics *metrics

	hub       *Hub
	raft      *raft.Raft
	logStore  io.Closer
	transport *raft.NetworkTransport

	listener   net.Listener
	httpServer *http.Server
	watchers   atomic.Int64
	caughtUp   atomic.Bool // see catchUp

	// Used by the leader only.
	verifyLeader         func() error // asks a majority whether this replica still leads; tests hold it up
	awaitBarrier         func() error // waits until the records of earlier leaders are applied; tests have it fail
	isLeader             atomic.Bool  // the leadership is established: earlier records are applied
	verifiedAt           atomic.Int64 // uptime, in ns, at which the leadership was last verified
	registrations        *registrationTracker
	sidecarRegistrations *sidecarTracker
	leaseTracker         *leaseTracker
	warmUps              *warmUpTracker // of the leader loop alone
	placementSweptAt     time.Time      // of the leader loop alone

	startedAt  time.Time
	fatal      chan error
	ctx        context.Context // ends with the replica
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Open starts a replica, from its data directory or as a member of a new cluster.
func Open(options Options) (*Replica, error) { return openWith(options, func(*Replica) {}) }

// openWith is Open with a change to the replica before anything runs.
func openWith(options Options, configure func(*Replica)) (*Replica, error) {
	for name, address := range map[string]string{"http": options.HTTPAddr, "raft": options.RaftAddr} {
		if err := CheckLoopback(name, address); err != nil {
			return nil, err
		}
	}
	options.setDefaults()
	replica := newReplica(options)
	configure(replica)
	// The HTTP address is bound first: a replica that clients cannot reach must not vote.
	listener, err := sockets.Listen("tcp", options.HTTPAddr)
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
		if err := replica.httpServer.Serve(sockets.RetryAccept(listener)); !errors.Is(err, http.ErrServerClosed) {
			replica.fail(fmt.Errorf("http: %w", err))
		}
	})
	replica.goroutines.Go(replica.monitorLeadership)
	replica.goroutines.Go(replica.catchUp)
	return replica, nil
}

// newReplica makes a replica that neither listens nor has a log yet.
func newReplica(options Options) *Replica {
	replica := &Replica{
		options:              options,
		logger:               componentLogger(),
		hub:                  NewHub(),
		registrations:        newRegistrationTracker(options.Expiry),
		sidecarRegistrations: newSidecarTracker(options.Expiry),
		leaseTracker:         newLeaseTracker(),
		startedAt:            time.Now(),
		fatal:                make(chan error, 1),
	}
	replica.verifyLeader = func() error { return replica.raft.VerifyLeader().Error() }
	replica.awaitBarrier = func() error { return replica.raft.Barrier(applyTimeout).Error() }
	replica.metrics = newMetrics(replica)
	replica.ctx, replica.cancel = context.WithCancel(context.Background())
	return replica
}

// CheckLoopback rejects an address (IP address and port) that other machines could reach. Name is what the error calls
// it.
func CheckLoopback(name, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%s: %q is not an IP address and port", name, address)
	}
	if !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s: %s is not a loopback address", name, address)
	}
	return nil
}

// fail reports an error that the replica cannot continue after. Only the first one counts.
func (r *Replica) fail(err error) {
	select {
	case r.fatal <- err:
	default:
	}
}

// Fatal returns the error after which the replica has to be closed.
func (r *Replica) Fatal() <-chan error { return r.fatal }

// Addr is the HTTP address that the replica listens on.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Close ends the replica. A leader transfers its leadership first.
func (r *Replica) Close() error {
	r.cancel()
	if r.raft.State() == raft.Leader {
		if err := r.raft.LeadershipTransfer().Error(); err != nil {
			r.logger.Debug("leadership not transferred", "error", err) // the only replica, or no other is up to date
		}
	}
	errs := r.httpServer.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- r.raft.Shutdown().Error() }()
	select {
	case err := <-stopped:
		errs = errors.Join(errs, err)
	case <-time.After(shutdownTimeout):
		errs = errors.Join(errs, errors.New("raft did not shut down in time"))
	}
	r.goroutines.Wait()
	return errors.Join(errs, r.transport.Close(), r.logStore.Close())
}

// ErrNotLeader is returned for what only the leader can do.
var ErrNotLeader = errors.New("this replica is not the leader")

// propose appends a record to the log and waits until this replica has applied it. After an error the record may or may
// not be applied; a retry with the same ID finds out.
func (r *Replica) propose(record *Record) (Result, error) {
	data, err := record.Encode()
	if err != nil {
		return Result{}, err
	}
	future := r.raft.Apply(data, applyTimeout)
	if err := future.Error(); err != nil {
		if lostLeadership(err) {
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
		return Result{}, fmt.Errorf("write: unexpected result of type %T", result)
	}
}

func lostLeadership(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// uptime is the time since the replica was started, by the monotonic clock.
func (r *Replica) uptime() time.Duration { return time.Since(r.startedAt) }

// listAge is how old this replica's state may be: the time since it was last known to be the newest.
func (r *Replica) listAge() time.Duration {
	if r.raft.State() == raft.Leader {
		if !r.isLeader.Load() {
			return r.uptime()
		}
		return r.uptime() - time.Duration(r.verifiedAt.Load())
	}
	lastContact := r.raft.LastContact()
	if lastContact.IsZero() {
		return r.uptime()
	}
	return time.Since(lastContact)
}

// leaderAddr is the HTTP address of the leader, "" while there is none.
func (r *Replica) leaderAddr() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// awaitReadIndex waits until this leader may answer a linearizable read: it verifies the leadership, and waits until
// every record is applied that was committed before.
func (r *Replica) awaitReadIndex(ctx context.Context) error {
	if !r.isLeader.Load() {
		return ErrNotLeader
	}
	commitIndex := r.raft.CommitIndex()
	if err := r.verifyLeader(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	for r.raft.AppliedIndex() < commitIndex {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(appliedPollInterval):
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

// restore replaces the state of the cluster by a saved one, under a new epoch.
func (r *Replica) restore(state *StateMachine) (Result, error) {
	var buffer snapshotBuffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		return Result{}, err
	}
	metadata := &raft.SnapshotMeta{
		Version: raft.SnapshotVersionMax, Index: state.appliedIndex, Term: 1, Size: int64(len(buffer.data)),
	}
	if err := r.raft.Restore(metadata, bytes.NewReader(buffer.data), applyTimeout); err != nil {
		return Result{}, err
	}
	result, err := r.propose(&Record{Op: OpEpoch, Epoch: newEpoch()})
	r.resetTrackers()
	return result, err
}

package registry

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
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
	applyTimeout    = 3 * time.Second // from the proposal of a record until it is applied
	shutdownTimeout = 5 * time.Second // for raft to shut down

	// maxFreshAge bounds the time since a leader last verified its leadership. After that time, the leader's state does
	// not count as fresh.
	maxFreshAge = time.Second

	// appliedPollInterval is how often a linearizable read checks whether the state has caught up with the log.
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
	DataDir           string       // directory of the log and the snapshots; "": in memory, to try out a single replica
	Members           []Member     // members of a new cluster, including this replica; ignored by a replica that has a log
	Expiry            ExpiryPolicy // zero fields are set to the defaults
	SnapshotThreshold uint64       // log entries between two snapshots; 0: the default
	// WarmUpDuration is the time from when a server is ready until the disruption ledger counts it as warmed up. 0: the
	// ledger counts a server as warmed up once an observer reports it.
	WarmUpDuration time.Duration
}

// setDefaults replaces zero options by their defaults.
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
	stores    *raftStores
	transport *raft.NetworkTransport

	listener   net.Listener
	httpServer *http.Server
	watchers   atomic.Int64
	caughtUp   atomic.Bool // this replica has caught up with a leader since its start, or has led; see catchUp

	pendingRestore    atomic.Pointer[pendingRestore] // nil: no restore is pending
	stateReplacements atomic.Uint64                  // number of times that the state was replaced by that of a snapshot
	restoring         sync.Mutex                     // held by the only restore, or confirmation of one, that runs

	// Used by the leader only.
	verifyLeader          func() error // verifies with a majority that this replica still leads; tests delay it
	awaitBarrier          func() error // waits until the records of earlier leaders are applied; tests make it fail
	leadershipEstablished atomic.Bool  // this replica leads and has applied the records of earlier leaders
	verifiedAt            atomic.Int64 // uptime, in ns, at the start of the last successful verification of the leadership
	registrations         *registrationTracker
	sidecarRegistrations  *sidecarTracker
	leaseTracker          *leaseTracker
	warmUps               *warmUpTracker // only the leader loop uses it
	placementSweptAt      time.Time      // only the leader loop uses it

	startedAt  time.Time
	fatal      chan error
	ctx        context.Context // canceled when the replica closes
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Open starts a replica from its data directory, or as a member of a new cluster.
func Open(options Options) (*Replica, error) { return openWith(options, func(*Replica) {}) }

// openWith opens a replica, and calls configure on it before anything runs.
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
	replica.goroutines.Go(replica.monitorPendingRestore)
	return replica, nil
}

// newReplica creates a replica that does not listen yet and has not opened its log.
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

// CheckLoopback returns an error if an address (IP address and port) is invalid or other machines could reach it. The
// error uses name for the address.
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

// fail reports an error after which the replica cannot continue. It drops the error if an earlier one is still unread.
func (r *Replica) fail(err error) {
	select {
	case r.fatal <- err:
	default:
	}
}

// Fatal returns the channel of the error after which the replica must be closed.
func (r *Replica) Fatal() <-chan error { return r.fatal }

// Addr returns the HTTP address that the replica listens on.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Close shuts the replica down. A leader transfers its leadership first.
func (r *Replica) Close() error {
	r.cancel()
	if r.raft.State() == raft.Leader {
		if err := r.raft.LeadershipTransfer().Error(); err != nil {
			r.logger.Debug("leadership not transferred", "error", err) // this is the only replica, or no other is up to date
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
	return errors.Join(errs, r.transport.Close(), r.stores.closer.Close())
}

// ErrNotLeader is returned for operations that only the leader can perform.
var ErrNotLeader = errors.New("this replica is not the leader")

// propose appends a record to the log and waits until this replica has applied it. After an error the record may or may
// not have been applied; a retry with the same ID applies it at most once and returns the result.
func (r *Replica) propose(record *Record) (Result, error) {
	if r.restorePending() {
		return Result{}, errRestorePending
	}
	return r.apply(record)
}

// apply is propose without the check for a pending restore.
func (r *Replica) apply(record *Record) (Result, error) {
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

// uptime returns the time since the start of the replica, by the monotonic clock.
func (r *Replica) uptime() time.Duration { return time.Since(r.startedAt) }

// stateAge returns how old the state of this replica may be: the time since the state was last known to be the newest.
func (r *Replica) stateAge() time.Duration {
	if r.raft.State() == raft.Leader {
		if !r.leadershipEstablished.Load() {
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

// leaderAddr returns the HTTP address of the leader, or "" if there is none.
func (r *Replica) leaderAddr() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// awaitReadIndex waits until this leader may answer a linearizable read. It verifies the leadership, and waits until
// every record is applied that was committed before the verification.
func (r *Replica) awaitReadIndex(ctx context.Context) error {
	if !r.leadershipEstablished.Load() {
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

// members returns the replicas of the cluster.
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

// restoreThroughRaft replaces the state of the cluster by the given one.
func (r *Replica) restoreThroughRaft(state *StateMachine) error {
	var buffer snapshotBuffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		return err
	}
	metadata := &raft.SnapshotMeta{
		Version: raft.SnapshotVersionMax, Index: state.appliedIndex, Term: 1, Size: int64(len(buffer.data)),
	}
	return r.raft.Restore(metadata, bytes.NewReader(buffer.data), applyTimeout)
}

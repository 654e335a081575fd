package registry

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/hashicorp/raft"
)

const (
	verifyInterval = 200 * time.Millisecond // time between two verifications of the leadership
	sweepInterval  = 100 * time.Millisecond // time between two searches for expired leases
	// establishRetryInterval is the time between two attempts to establish the leadership.
	establishRetryInterval = 200 * time.Millisecond
)

// monitorLeadership runs the tasks of the leader whenever this replica leads. It returns when the replica closes.
func (r *Replica) monitorLeadership() {
	leaderChanges := r.raft.LeaderCh()
	for {
		select {
		case <-r.ctx.Done():
			return
		case isLeader := <-leaderChanges:
			if !isLeader {
				r.leadershipEstablished.Store(false)
				continue
			}
		}
		if r.establishLeadershipWithRetry() {
			r.leaderLoop(leaderChanges)
		}
		r.leadershipEstablished.Store(false)
	}
}

// establishLeadershipWithRetry retries while this replica leads, and reports whether an attempt succeeded. An attempt
// may fail because of a slow disk. The other replicas then still follow this replica, so no election takes place that
// would start another attempt.
func (r *Replica) establishLeadershipWithRetry() bool {
	for {
		err := r.establishLeadership()
		if err == nil {
			return true
		}
		r.leadershipEstablished.Store(false)
		r.logger.Warn("leadership not established", "error", err)
		select {
		case <-r.ctx.Done():
			return false
		case <-time.After(establishRetryInterval):
		}
		if r.raft.State() != raft.Leader {
			return false
		}
	}
}

// establishLeadership waits until the records of earlier leaders are applied, and restarts every lease with its full
// duration.
func (r *Replica) establishLeadership() error {
	startedAt := r.uptime()
	if err := r.awaitBarrier(); err != nil {
		return err
	}
	if err := r.confirmRestore(); err != nil {
		return err
	}
	r.recordVerified(startedAt)
	r.resetTrackers()
	r.warmUps = newWarmUpTracker(r.options.WarmUpDuration)
	r.leadershipEstablished.Store(true)
	r.metrics.leadershipGained.Inc()
	r.logger.Info("leadership established", "http", r.options.HTTPAddr)
	epoch := uint64(0)
	r.hub.Read(func(state *StateMachine) { epoch = state.Epoch() })
	if epoch == 0 {
		if _, err := r.propose(&Record{Op: OpEpoch, Epoch: newEpoch()}); err != nil {
			return err
		}
	}
	r.caughtUp.Store(true)
	return nil
}

// resetTrackers restarts every lease with its full duration.
func (r *Replica) resetTrackers() {
	r.hub.Read(func(state *StateMachine) {
		r.registrations.reset(time.Now(), state)
		r.leaseTracker.reset(time.Now(), state)
		r.sidecarRegistrations.reset(time.Now(), state)
	})
}

// newEpoch returns a random identifier of a history; two clusters are unlikely to have the same. The identifier is
// below 2^53, so that JSON readers with floating-point numbers keep it exact, and it is not 0.
func newEpoch() uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err) // cannot happen: Read is documented never to return an error
	}
	return binary.BigEndian.Uint64(random[:])>>11 | 1
}

// leaderLoop verifies the leadership and expires leases until the leadership is lost.
func (r *Replica) leaderLoop(leaderChanges <-chan bool) {
	verify, sweep := time.NewTicker(verifyInterval), time.NewTicker(sweepInterval)
	defer verify.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case isLeader := <-leaderChanges:
			if !isLeader {
				return
			}
		case <-verify.C:
			startedAt := r.uptime()
			if r.verifyLeader() != nil {
				return
			}
			r.recordVerified(startedAt)
		case <-sweep.C:
			if r.restorePending() {
				r.retryConfirmation()
				continue
			}
			r.expireInstances()
			r.expireLeases()
			r.removeExpiredPlacement()
			r.expireSidecars()
			r.markWarmServers()
		}
	}
}

// recordVerified records that this replica led at the given uptime, at which a verification of the leadership started.
// A verification proves nothing about the time after its start: this replica may be delayed while another is elected.
func (r *Replica) recordVerified(startedAt time.Duration) {
	for {
		last := r.verifiedAt.Load()
		if int64(startedAt) <= last || r.verifiedAt.CompareAndSwap(last, int64(startedAt)) {
			return
		}
	}
}

// expireInstances removes the registrations whose leases have expired. If too many registrations are missing at once, it
// marks those with expired leases as suspects, which holds their expiry back.
func (r *Replica) expireInstances() {
	now := time.Now()
	expire, suspects := r.registrations.sweep(now)
	switch {
	case len(suspects) > 0:
		if _, err := r.propose(&Record{Op: OpSuspect, Refs: suspects, Suspected: true}); err != nil {
			return // the next sweep of this leader or its successor finds them again
		}
		r.metrics.suspected.Add(float64(len(suspects)))
		r.logger.Warn("mass expiry of instances held back", "instances", len(suspects), "first", suspects[0].UID)
		r.refreshRegistrations(refNames(suspects))
	case len(expire) > 0:
		if _, err := r.propose(&Record{Op: OpExpire, Refs: expire}); err != nil {
			return // the next sweep of this leader or its successor finds them again
		}
		r.metrics.expired.Add(float64(len(expire)))
		r.logger.Info("registrations expired", "instances", len(expire), "first", expire[0].UID)
		r.registrations.recordExpired(now, len(expire))
		r.refreshRegistrations(refNames(expire))
	}
}

// refreshRegistrations updates the tracker after a write to instances.
func (r *Replica) refreshRegistrations(uids []string) {
	r.hub.Read(func(state *StateMachine) { r.registrations.refresh(time.Now(), state, uids) })
}

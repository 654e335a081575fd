package registry

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/hashicorp/raft"
)

const (
	verifyInterval = 200 * time.Millisecond // between two verifications of the leadership
	sweepInterval  = 100 * time.Millisecond // between two searches for expired leases
	// establishRetryInterval is the time between two attempts of a replica that leads to establish its leadership.
	establishRetryInterval = 200 * time.Millisecond
)

// monitorLeadership runs what only the leader does whenever this replica is the leader, until the replica ends.
func (r *Replica) monitorLeadership() {
	leaderChanges := r.raft.LeaderCh()
	for {
		select {
		case <-r.ctx.Done():
			return
		case isLeader := <-leaderChanges:
			if !isLeader {
				r.isLeader.Store(false)
				continue
			}
		}
		if r.establishLeadershipWithRetry() {
			r.leaderLoop(leaderChanges)
		}
		r.isLeader.Store(false)
	}
}

// establishLeadershipWithRetry tries for as long as this replica leads, and reports whether it has succeeded. A slow disk may fail an
// attempt while the others still follow this replica, and no election follows from that.
func (r *Replica) establishLeadershipWithRetry() bool {
	for {
		err := r.establishLeadership()
		if err == nil {
			return true
		}
		r.isLeader.Store(false)
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

// establishLeadership waits until the records of earlier leaders are applied, and grants every lease its full time again.
func (r *Replica) establishLeadership() error {
	startedAt := r.uptime()
	if err := r.awaitBarrier(); err != nil {
		return err
	}
	r.recordVerified(startedAt)
	r.resetTrackers()
	r.warmUps = newWarmUpTracker(r.options.WarmUpDuration)
	r.isLeader.Store(true)
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

// resetTrackers grants every lease its full time again.
func (r *Replica) resetTrackers() {
	r.hub.Read(func(state *StateMachine) {
		r.registrations.reset(time.Now(), state)
		r.leaseTracker.reset(time.Now(), state)
		r.sidecarRegistrations.reset(time.Now(), state)
	})
}

// newEpoch draws the identifier of a history, so that two clusters hardly share one. It is below 2^53, so that JSON
// readers with floating-point numbers keep it exact, and not 0.
func newEpoch() uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err) // documented never to happen
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
			r.expireInstances()
			r.expireLeases()
			r.removeExpiredPlacement()
			r.expireSidecars()
			r.markWarmServers()
		}
	}
}

// recordVerified records that this replica led at the given uptime. That is when a check of it began: the check proves nothing of
// the time after, in which the replica may be held up while another is elected.
func (r *Replica) recordVerified(startedAt time.Duration) {
	for {
		last := r.verifiedAt.Load()
		if int64(startedAt) <= last || r.verifiedAt.CompareAndSwap(last, int64(startedAt)) {
			return
		}
	}
}

// expireInstances expires the registrations whose leases have ended, or holds the expiry back where too many are missing
// at once.
func (r *Replica) expireInstances() {
	now := time.Now()
	expire, suspects := r.registrations.sweep(now)
	switch {
	case len(suspects) > 0:
		if _, err := r.propose(&Record{Op: OpSuspect, Refs: suspects, Suspected: true}); err != nil {
			return // the next sweep finds them again, of this leader or the next
		}
		r.metrics.suspected.Add(float64(len(suspects)))
		r.logger.Warn("mass expiry of instances held back", "instances", len(suspects), "first", suspects[0].UID)
		r.refreshRegistrations(refNames(suspects))
	case len(expire) > 0:
		if _, err := r.propose(&Record{Op: OpExpire, Refs: expire}); err != nil {
			return // the next sweep finds them again, of this leader or the next
		}
		r.metrics.expired.Add(float64(len(expire)))
		r.logger.Info("registrations expired", "instances", len(expire), "first", expire[0].UID)
		r.registrations.recordExpired(now, len(expire))
		r.refreshRegistrations(refNames(expire))
	}
}

// refreshRegistrations updates the tracker after a write about instances.
func (r *Replica) refreshRegistrations(uids []string) {
	r.hub.Read(func(state *StateMachine) { r.registrations.refresh(time.Now(), state, uids) })
}

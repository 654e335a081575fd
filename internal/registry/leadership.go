package registry

import (
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"time"
)

// monitorLeadership does what only the leader does, for as long as this replica is it.
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
		if err := r.establishLeadership(); err != nil {
			slog.Warn("leadership not taken up", "error", err)
			continue
		}
		r.leaderLoop(leaderChanges)
		r.isLeader.Store(false)
	}
}

// establishLeadership applies all that earlier leaders left, and gives every lease its full time again.
func (r *Replica) establishLeadership() error {
	if err := r.raft.Barrier(applyTimeout).Error(); err != nil {
		return err
	}
	r.verifiedAt.Store(int64(time.Since(r.startedAt)))
	r.hub.Read(func(state *StateMachine) {
		r.registrations.reset(time.Now(), state)
		r.leaseTracker.reset(time.Now(), state)
		r.sidecarRegistrations.reset(time.Now(), state)
	})
	r.warmUps = newWarmUpTracker(r.options.WarmUpDuration)
	r.isLeader.Store(true)
	r.metrics.leadershipGained.Inc()
	slog.Info("leads", "http", r.options.HTTPAddr)
	epoch := uint64(0)
	r.hub.Read(func(state *StateMachine) { epoch = state.Epoch() })
	if epoch == 0 {
		_, err := r.propose(&Record{Op: OpEpoch, Epoch: newEpoch()})
		return err
	}
	return nil
}

// newEpoch names a history. It is drawn, so that two clusters hardly share one.
func newEpoch() uint64 {
	var random [8]byte
	rand.Read(random[:]) // never fails
	return binary.BigEndian.Uint64(random[:])>>11 | 1
}

// leaderLoop proves the leadership and ends leases until the leadership is lost.
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
			verifyStarted := time.Since(r.startedAt) // proved is what held when it was asked
			if r.raft.VerifyLeader().Error() != nil {
				return
			}
			r.verifiedAt.Store(int64(verifyStarted))
		case <-sweep.C:
			r.expireInstances()
			r.expireLeases()
			r.dropExpiredPlacement()
			r.expireSidecars()
			r.markWarmServers()
		}
	}
}

func (r *Replica) expireInstances() {
	now := time.Now()
	expire, holdBack := r.registrations.sweep(now)
	switch {
	case len(holdBack) > 0:
		if _, err := r.propose(&Record{Op: OpSuspect, Refs: holdBack, Suspected: true}); err != nil {
			return
		}
		r.metrics.heldBack.Add(float64(len(holdBack)))
		slog.Warn("mass expiry held back: these instances stay until they renew or an operator decides", "instances", len(holdBack))
		r.refreshRegistrations(holdBack)
	case len(expire) > 0:
		if _, err := r.propose(&Record{Op: OpExpire, Refs: expire}); err != nil {
			return
		}
		r.metrics.expired.Add(float64(len(expire)))
		slog.Info("leases ended", "instances", len(expire), "first", expire[0].UID)
		r.registrations.recordExpired(now, len(expire))
		r.refreshRegistrations(expire)
	}
}

func (r *Replica) refreshRegistrations(refs []InstanceRef) {
	uids := make([]string, 0, len(refs))
	for _, ref := range refs {
		uids = append(uids, ref.UID)
	}
	r.hub.Read(func(state *StateMachine) { r.registrations.refresh(time.Now(), state, uids) })
}

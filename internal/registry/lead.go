package registry

import (
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"time"
)

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
	r.warmth = newWarmth(r.opts.WarmAfter)
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
			r.warm()
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

package registry

import (
	"time"

	"milldeck/internal/disruption"
)

const (
	// warmUpCheckInterval is the time between two searches for servers that have warmed up. Warming up takes many seconds,
	// and a search walks all units.
	warmUpCheckInterval = time.Second
	// maxWarmPerRecord bounds the number of servers that one record marks as warm.
	maxWarmPerRecord = 1000
)

// warmUpTracker tracks in the leader's memory how long each server has been warming up in its current incarnation. No
// controller observes a server that failed on its own and returned; without the tracker the server would count as
// out of service forever. The tracker uses the elapsed time alone, so it is optional: with duration 0 an observer must
// mark servers as warm. A new leader starts the measurement again, so a server may be marked later than after the
// duration, never earlier.
type warmUpTracker struct {
	duration  time.Duration
	observed  map[string]warmingIncarnation // by unit
	nextCheck time.Time
}

// warmingIncarnation is an incarnation of a server that is warming up.
type warmingIncarnation struct {
	revision      uint64 // of the unit's last transition; differs between incarnations
	firstObserved time.Time
}

func newWarmUpTracker(duration time.Duration) *warmUpTracker {
	return &warmUpTracker{duration: duration, observed: map[string]warmingIncarnation{}}
}

// update records the units that are warming up now. It returns the units that have been warming up for
// t.duration, with their condition set to up.
func (t *warmUpTracker) update(now time.Time, warming []disruption.Unit) []disruption.Unit {
	observed := make(map[string]warmingIncarnation, len(warming))
	var warm []disruption.Unit
	for _, unit := range warming {
		incarnation, ok := t.observed[unit.ID]
		if !ok || incarnation.revision != unit.TransitionRevision {
			incarnation = warmingIncarnation{unit.TransitionRevision, now}
		}
		observed[unit.ID] = incarnation
		if now.Sub(incarnation.firstObserved) >= t.duration && len(warm) < maxWarmPerRecord {
			warm = append(warm, disruption.Unit{
				ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: unit.TransitionRevision,
			})
		}
	}
	t.observed = observed
	return warm
}

// markWarmServers marks servers as up that have been warming up for the configured duration. Only the leader loop calls
// it.
func (r *Replica) markWarmServers() {
	now := time.Now()
	if r.warmUps.duration == 0 || now.Before(r.warmUps.nextCheck) {
		return
	}
	r.warmUps.nextCheck = now.Add(warmUpCheckInterval)
	var warming []disruption.Unit
	r.hub.Read(func(state *StateMachine) {
		if state.ledger != nil {
			warming = state.ledger.table.UnitsIn(disruption.ConditionWarmingUp)
		}
	})
	warm := r.warmUps.update(now, warming)
	if len(warm) == 0 {
		return
	}
	op := disruption.Op{Kind: disruption.OpObserve, Observed: warm}
	if _, err := r.propose(&Record{Op: OpLedger, Ledger: &op}); err != nil {
		return // the next check finds them again
	}
	r.logger.Info("servers warmed up", "servers", len(warm), "first", warm[0].ID)
}

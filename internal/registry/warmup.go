package registry

import (
	"log/slog"
	"time"

	"milldeck/internal/disruption"
)

const (
	// warmUpCheckInterval is between two looks at which servers are cold: warming takes many seconds, and a look walks all units.
	warmUpCheckInterval = time.Second
	// maxWarmPerRecord are found warm in one entry of the log.
	maxWarmPerRecord = 1000
)

// warmUpTracker is the leader's: since when it has seen each cold server in its present life. Nobody else finds a server warm
// that failed alone and came back, and a cold one counts as out. It goes by time alone, so it is an option: 0 leaves it
// to somebody who looks. A new leader begins anew, which takes longer and never shorter.
type warmUpTracker struct {
	duration  time.Duration
	observed  map[string]coldIncarnation // by unit
	nextCheck time.Time
}

type coldIncarnation struct {
	revision  uint64 // of the unit: a later life has another
	firstSeen time.Time
}

func newWarmUpTracker(duration time.Duration) *warmUpTracker {
	return &warmUpTracker{duration: duration, observed: map[string]coldIncarnation{}}
}

// update takes in which units are cold now and gives those that have been for long enough.
func (w *warmUpTracker) update(now time.Time, cold []disruption.Unit) []disruption.Unit {
	observed := make(map[string]coldIncarnation, len(cold))
	var warm []disruption.Unit
	for _, unit := range cold {
		incarnation, ok := w.observed[unit.ID]
		if !ok || incarnation.revision != unit.TransitionRevision {
			incarnation = coldIncarnation{unit.TransitionRevision, now}
		}
		observed[unit.ID] = incarnation
		if now.Sub(incarnation.firstSeen) >= w.duration && len(warm) < maxWarmPerRecord {
			warm = append(warm, disruption.Unit{ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: unit.TransitionRevision})
		}
	}
	w.observed = observed
	return warm
}

// markWarmServers finds servers warm that have been up for long enough. The leader's loop alone calls it.
func (r *Replica) markWarmServers() {
	now := time.Now()
	if r.warmUps.duration == 0 || now.Before(r.warmUps.nextCheck) {
		return
	}
	r.warmUps.nextCheck = now.Add(warmUpCheckInterval)
	var cold []disruption.Unit
	r.hub.Read(func(state *StateMachine) {
		if state.ledger != nil {
			cold = state.ledger.table.UnitsIn(disruption.ConditionWarmingUp)
		}
	})
	warm := r.warmUps.update(now, cold)
	if len(warm) == 0 {
		return
	}
	op := disruption.Op{Kind: disruption.OpObserve, Observed: warm}
	if _, err := r.propose(&Record{Op: OpLedger, Ledger: &op}); err != nil {
		return // found again at the next look
	}
	slog.Info("servers count as warm", "servers", len(warm), "first", warm[0].ID)
}

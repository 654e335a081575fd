package registry

import (
	"log/slog"
	"time"

	"milldeck/internal/disruption"
)

const (
	// warmLook is between two looks at which servers are cold: warming takes many seconds, and a look walks all units.
	warmLook = time.Second
	// mostFound are found warm in one entry of the log.
	mostFound = 1000
)

// warmth is the leader's: since when it has seen each cold server in its present life. Nobody else finds a server warm
// that failed alone and came back, and a cold one counts as out. It goes by time alone, so it is an option: 0 leaves it
// to somebody who looks. A new leader begins anew, which takes longer and never shorter.
type warmth struct {
	after time.Duration
	since map[string]coldLife // by unit
	next  time.Time
}

type coldLife struct {
	rev uint64 // of the unit: a later life has another
	at  time.Time
}

func newWarmth(after time.Duration) *warmth {
	return &warmth{after: after, since: map[string]coldLife{}}
}

// found takes in which units are cold now and gives those that have been for long enough.
func (w *warmth) found(now time.Time, cold []disruption.Unit) []disruption.Unit {
	since := make(map[string]coldLife, len(cold))
	var warm []disruption.Unit
	for _, u := range cold {
		life, known := w.since[u.ID]
		if !known || life.rev != u.TransitionRevision {
			life = coldLife{u.TransitionRevision, now}
		}
		since[u.ID] = life
		if now.Sub(life.at) >= w.after && len(warm) < mostFound {
			warm = append(warm, disruption.Unit{ID: u.ID, Condition: disruption.ConditionUp, TransitionRevision: u.TransitionRevision})
		}
	}
	w.since = since
	return warm
}

// warm finds servers warm that have been up for long enough. The leader's loop alone calls it.
func (r *Replica) warm() {
	now := time.Now()
	if r.warmth.after == 0 || now.Before(r.warmth.next) {
		return
	}
	r.warmth.next = now.Add(warmLook)
	var cold []disruption.Unit
	r.hub.Read(func(s *State) {
		if s.ledger != nil {
			cold = s.ledger.table.UnitsIn(disruption.ConditionWarmingUp)
		}
	})
	warm := r.warmth.found(now, cold)
	if len(warm) == 0 {
		return
	}
	op := disruption.Op{Kind: disruption.OpObserve, Observed: warm}
	if _, err := r.write(&Record{Op: OpLedger, Ledger: &op}); err != nil {
		return // found again at the next look
	}
	slog.Info("servers count as warm", "servers", len(warm), "first", warm[0].ID)
}

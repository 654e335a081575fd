package registry

import (
	"net/http"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/validation"
)

const (
	// expiredDirectiveRetention is how long after its end the leader removes a directive. Readers have ended it by then.
	expiredDirectiveRetention = 2 * time.Second
	// placementSweepInterval is the time between two removals of expired directives, maxSweptDirectives the most of one.
	placementSweepInterval = time.Second
	maxSweptDirectives     = 1000
)

// servePlacement answers with the placement, or streams its changes.
func (r *Replica) servePlacement(w http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("watch") != "" {
		r.serveWatchOf(w, request, r.hub.placementFeed.Watch)
		return
	}
	if !r.ensureFresh(w, request) {
		return
	}
	r.setFreshnessHeaders(w)
	if err := r.hub.placementFeed.WriteComplete(w); err != nil {
		r.logger.Debug("placement not written", "error", err)
	}
}

// PlacementRequest is the body of a write of the placement.
type PlacementRequest struct {
	ID           string                `json:"id"`    // idempotency key
	Guard        *Guard                `json:"guard"` // lease of the directives' owner; required
	WriterTimeMS int64                 `json:"at_ms"` // the writer's clock, Unix ms; 0: it is not compared with the leader's
	Set          []placement.Directive `json:"set,omitempty"`
	Remove       []string              `json:"drop,omitempty"` // ids
}

// operation makes the operation of a request that arrives at a time of the leader's clock (Unix ms), or returns an error
// that names the first invalid field.
func (q *PlacementRequest) operation(leaderTimeMS int64) (*placement.Op, error) {
	if err := checkWriteID(q.ID); err != nil {
		return nil, err
	}
	if q.Guard == nil {
		return nil, validation.Errorf("guard", "a write of the placement needs the token of its owner's lease")
	}
	op := &placement.Op{LeaderTimeMS: leaderTimeMS, WriterTimeMS: q.WriterTimeMS, Set: q.Set, Delete: q.Remove}
	if err := op.Validate(); err != nil {
		return nil, err
	}
	return op, nil
}

func (r *Replica) serveSetPlacement(w http.ResponseWriter, request *http.Request) {
	var body PlacementRequest
	if !readJSON(w, request, &body) {
		return
	}
	op, err := body.operation(time.Now().UnixMilli())
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, &Record{Op: OpPlacement, ID: body.ID, Guard: body.Guard, Placement: op}, nil)
}

// removeExpiredPlacement removes directives that have expired a while ago. Only the leader loop calls it.
func (r *Replica) removeExpiredPlacement() {
	now := time.Now()
	if now.Sub(r.placementSweptAt) < placementSweepInterval {
		return
	}
	r.placementSweptAt = now
	var expired []placement.DirectiveRef
	r.hub.Read(func(state *StateMachine) {
		expired = state.placement.Expired(now.Add(-expiredDirectiveRetention).UnixMilli(), maxSweptDirectives)
	})
	if len(expired) == 0 {
		return
	}
	op := &placement.Op{LeaderTimeMS: now.UnixMilli(), Expired: expired}
	if _, err := r.propose(&Record{Op: OpPlacement, Placement: op}); err != nil {
		return // the next sweep finds them again, of this leader or the next
	}
	r.logger.Info("expired placement directives removed", "directives", len(expired), "first", expired[0].ID)
}

package registry

import (
	"net/http"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/validation"
)

const (
	// expiredDirectiveRetention is how long the leader keeps a directive after its expiry. By then, readers have stopped
	// applying the directive.
	expiredDirectiveRetention = 2 * time.Second
	// The leader removes expired directives every placementSweepInterval, at most maxSweptDirectives at once.
	placementSweepInterval = time.Second
	maxSweptDirectives     = 1000
)

// servePlacement responds with the complete placement or, with the query parameter watch, streams its changes.
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

// PlacementRequest is the body of a write to the placement.
type PlacementRequest struct {
	ID           string                `json:"id"`    // idempotency key
	Guard        *Guard                `json:"guard"` // lease of the directives' owner; required
	WriterTimeMS int64                 `json:"at_ms"` // Unix ms by the writer's clock; 0: not compared with the leader's clock
	Set          []placement.Directive `json:"set,omitempty"`
	Remove       []string              `json:"drop,omitempty"` // ids of directives
}

// operation returns the operation of a request that the leader receives at leaderTimeMS (Unix ms), or an error that names
// the first invalid field.
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

// removeExpiredPlacement removes directives that expired at least expiredDirectiveRetention ago. Only the leader loop
// calls it.
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
		return // the next sweep, by this leader or the next, retries the removal
	}
	r.logger.Info("expired placement directives removed", "directives", len(expired), "first", expired[0].ID)
}

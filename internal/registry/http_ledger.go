package registry

import (
	"fmt"
	"net/http"

	"milldeck/internal/disruption"
)

// LedgerRequest is the body of an operation on the disruption ledger. The path holds the kind of the operation.
type LedgerRequest struct {
	ID    string `json:"id"` // idempotency key
	Guard *Guard `json:"guard,omitempty"`
	disruption.Op
}

// LedgerResult is the response to an operation. Permit is the permit of the operation, as it is after the operation.
type LedgerResult struct {
	Result
	Permit *disruption.Permit `json:"permit,omitempty"`
}

func (r *Replica) serveLedgerOp(w http.ResponseWriter, request *http.Request) {
	var body LedgerRequest
	if !readJSON(w, request, &body) {
		return
	}
	body.Kind = disruption.OpKind(request.PathValue("op"))
	err := checkWriteID(body.ID)
	if err == nil {
		err = body.Validate()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	result, err := r.propose(&Record{Op: OpLedger, ID: body.ID, Guard: body.Guard, Ledger: &body.Op})
	if err != nil {
		r.writeNoLeader(w)
		return
	}
	if result.Outcome != OutcomeDone {
		writeJSON(w, result.Outcome.statusCode(), result)
		return
	}
	switch body.Kind {
	case disruption.OpHalt, disruption.OpResume, disruption.OpForceComplete, disruption.OpRemoveLost:
		r.logger.Warn("disruption ledger intervention",
			"operation", body.Kind, "owner", body.Owner, "revision", result.Revision, "reason", result.Reason)
	}
	response := LedgerResult{Result: result}
	if body.Permit != nil {
		if permit, ok := r.permit(body.Permit.ID); ok {
			response.Permit = &permit
		}
	}
	writeJSON(w, http.StatusOK, response)
}

func (r *Replica) permit(id string) (permit disruption.Permit, ok bool) {
	r.hub.Read(func(state *StateMachine) { permit, ok = state.Ledger().Permit(id) })
	return permit, ok
}

func (r *Replica) serveLedgerView(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	allUnits := request.URL.Query().Get("units") != ""
	var view disruption.View
	r.hub.Read(func(state *StateMachine) { view = state.Ledger().View(allUnits) })
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, view)
}

func (r *Replica) servePermit(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	id := request.PathValue("id")
	permit, ok := r.permit(id)
	r.setFreshnessHeaders(w)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("permit %s does not exist", id))
		return
	}
	writeJSON(w, http.StatusOK, permit)
}

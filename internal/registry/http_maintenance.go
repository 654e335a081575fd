package registry

import (
	"net/http"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/validation"
)

// leaderClockUncertaintyMS is the assumed error of the leader's wall clock. The error of synchronised clocks is less than
// a tenth of this value.
const leaderClockUncertaintyMS = 250

// WindowsView holds the contracts and maintenance windows, and the other state that their controller reads, all at the
// same revision.
type WindowsView struct {
	Revision     uint64                              `json:"rev"`
	Table        *maintenance.Snapshot               `json:"table"`
	PermitStages map[string]disruption.Stage         `json:"permits"`
	OutOfService map[string]maintenance.ServerStatus `json:"out"`
	Fleet        maintenance.Fleet                   `json:"fleet"`
	LiveSidecars []string                            `json:"sidecars"`
}

// View converts v to the form that the controller reads.
func (v *WindowsView) View() *maintenance.View {
	return &maintenance.View{
		Revision: v.Revision, Table: maintenance.Restore(v.Table),
		PermitStages: v.PermitStages, OutOfService: v.OutOfService, Fleet: v.Fleet, LiveSidecars: v.LiveSidecars,
	}
}

func (r *Replica) serveWindows(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var response WindowsView
	r.hub.Read(func(state *StateMachine) {
		view := maintenance.ReadView(state.appliedIndex, state.windows, state.Ledger())
		response = WindowsView{
			Revision: view.Revision, Table: state.windows.Snapshot(),
			PermitStages: view.PermitStages, OutOfService: view.OutOfService, Fleet: view.Fleet, LiveSidecars: view.LiveSidecars,
		}
	})
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, response)
}

// WindowRequest is the body of an operation on contracts and maintenance windows.
type WindowRequest struct {
	ID            string                `json:"id"` // idempotency key
	Guard         *Guard                `json:"guard,omitempty"`
	WriterTimeMS  int64                 `json:"at_ms,omitempty"`          // Unix ms by the writer's clock; 0: use the leader's
	UncertaintyMS int64                 `json:"uncertainty_ms,omitempty"` // error bound of the writer's clock
	Op            maintenance.Operation `json:"op"`
}

// validate sets the operation's token from the guard, and returns an error that names the first invalid field.
func (q *WindowRequest) validate() error {
	if err := checkWriteID(q.ID); err != nil {
		return err
	}
	if q.Guard != nil {
		q.Op.Token = q.Guard.Token
	}
	if err := q.Op.Validate(); err != nil {
		return err
	}
	if q.Op.Kind.RequiresToken() && (q.Guard == nil || q.WriterTimeMS == 0) {
		return validation.Errorf("guard", "a step needs the token of lease %s and the writer's time", maintenance.LeaseName)
	}
	return nil
}

// timestamp returns the timestamp of a request that the leader receives at nowMS, Unix ms by its own clock.
func (q *WindowRequest) timestamp(nowMS int64) *maintenance.Timestamp {
	timestamp := &maintenance.Timestamp{
		ControllerMS: q.WriterTimeMS, UncertaintyMS: q.UncertaintyMS,
		LeaderMS: nowMS, LeaderUncertaintyMS: leaderClockUncertaintyMS,
	}
	if q.WriterTimeMS == 0 {
		timestamp.ControllerMS, timestamp.UncertaintyMS = nowMS, leaderClockUncertaintyMS
	}
	return timestamp
}

func (r *Replica) serveWindowOp(w http.ResponseWriter, request *http.Request) {
	var body WindowRequest
	if !readJSON(w, request, &body) {
		return
	}
	if err := body.validate(); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	timestamp := body.timestamp(time.Now().UnixMilli())
	r.proposeAndRespond(w, &Record{Op: OpWindow, ID: body.ID, Guard: body.Guard, Window: &body.Op, Timestamp: timestamp}, nil)
}

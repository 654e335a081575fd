package registry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
)

// leaderClockUncertaintyMS is what a leader's clock is taken to be off: machines whose clocks are kept are within a tenth of it.
const leaderClockUncertaintyMS = 250

// Windows is the table of contracts and windows, for reading.
func (s *StateMachine) Windows() *maintenance.Table { return s.windows }

// setWindowTable has the table ask the ledger for permits.
func (s *StateMachine) setWindowTable(windows *maintenance.Table) {
	s.windows = windows
	windows.LookupPermit = func(id string) (disruption.Stage, bool) {
		if s.ledger == nil {
			return "", false
		}
		permit, ok := s.ledger.table.Permit(id)
		return permit.Stage, ok
	}
}

// applyWindow applies an operation about windows, and what it tells sidecars.
func (s *StateMachine) applyWindow(index uint64, record *Record) Result {
	if record.Window == nil || record.Stamp == nil {
		return Result{OutcomeConflict, index, "no operation, or no time"}
	}
	op := *record.Window
	if op.Kind.RequiresToken() {
		if record.Guard == nil || record.Guard.Lease != maintenance.LeaseName {
			return Result{OutcomeConflict, index, "a step of a window is written under the duty " + maintenance.LeaseName}
		}
		op.Token = record.Guard.Token
	}
	result := s.windows.Apply(index, &op, *record.Stamp)
	if result.Outcome != maintenance.OutcomeApplied {
		outcomes := map[maintenance.Outcome]Outcome{maintenance.OutcomeNotFound: OutcomeNotFound, maintenance.OutcomeLimitExceeded: OutcomeLimitExceeded}
		outcome, ok := outcomes[result.Outcome]
		if !ok {
			outcome = OutcomeConflict
		}
		return Result{outcome, index, string(result.Outcome) + ": " + result.Reason}
	}
	return Result{OutcomeDone, index, cmp.Or(s.applyContractBudget(index, &op), s.publishWindow(index, record.Stamp.LeaderMS, result.SetEntries, result.DropEntryIDs))}
}

// publishWindow puts what sidecars are told into the placement. Where that is full they keep off nothing new, and the window
// does not become empty and comes back; what they keep off no more is dropped all the same.
func (s *StateMachine) publishWindow(index uint64, nowMS int64, set []placement.Directive, remove []string) string {
	if len(set)+len(remove) == 0 {
		return ""
	}
	result := s.placement.Apply(index, maintenance.LeaseName, &placement.Op{LeaderTimeMS: nowMS, Set: set, Delete: remove})
	if result.Outcome != placement.OutcomeApplied && len(set) > 0 && len(remove) > 0 {
		s.placement.Apply(index, maintenance.LeaseName, &placement.Op{LeaderTimeMS: nowMS, Delete: remove})
	}
	return result.Reason
}

// applyContractBudget has the ledger bound what is out of a contract's servers, for whatever reason, from the same entry of the log on.
func (s *StateMachine) applyContractBudget(index uint64, op *maintenance.Operation) string {
	budgetOp := &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/contract"} // people alone set contracts
	switch op.Kind {
	case maintenance.OpSetContract:
		budgetOp.Budget = maintenance.ContractBudget(op.Contract)
	case maintenance.OpWithdrawContract:
		budgetOp.Budget, budgetOp.Delete = &disruption.Budget{Name: maintenance.ContractBudgetName(op.Tenant)}, true
	default:
		return ""
	}
	if result := s.ensureLedger(index).table.Apply(index, budgetOp); result.Outcome != disruption.OutcomeApplied {
		return "no budget of the ledger goes with it: " + result.Reason
	}
	return ""
}

// WindowsView is contracts and windows with what their controller needs of the rest of the state, all of one revision.
type WindowsView struct {
	Revision uint64                              `json:"rev"`
	Table    *maintenance.Snapshot               `json:"table"`
	Permits  map[string]disruption.Stage         `json:"permits"`
	Out      map[string]maintenance.ServerStatus `json:"out"`
	Fleet    maintenance.Fleet                   `json:"fleet"`
	Sidecars []string                            `json:"sidecars"`
}

// View is what the controller's core reads.
func (v *WindowsView) View() *maintenance.View {
	return &maintenance.View{Revision: v.Revision, Table: maintenance.Restore(v.Table), PermitStages: v.Permits, OutOfService: v.Out, Fleet: v.Fleet, LiveSidecars: v.Sidecars}
}

// serveWindows answers with all contracts and windows, and what goes with them.
func (r *Replica) serveWindows(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var response WindowsView
	r.hub.Read(func(state *StateMachine) {
		view := maintenance.ReadView(state.appliedIndex, state.windows, state.Ledger())
		response = WindowsView{view.Revision, state.windows.Snapshot(), view.PermitStages, view.OutOfService, view.Fleet, view.LiveSidecars}
	})
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, response)
}

// WindowRequest is the body of a write about contracts and windows.
type WindowRequest struct {
	ID            string                `json:"id"`
	Guard         *Guard                `json:"guard,omitempty"`
	WriterTimeMS  int64                 `json:"at_ms,omitempty"`          // the writer's clock, Unix ms; 0: it is a person's, and not compared
	UncertaintyMS int64                 `json:"uncertainty_ms,omitempty"` // that it may be off
	Op            maintenance.Operation `json:"op"`
}

func (r *Replica) serveWindowOp(w http.ResponseWriter, request *http.Request) {
	var body WindowRequest
	if !readJSON(w, request, &body) {
		return
	}
	err := checkWriteID(body.ID)
	if body.Guard != nil {
		body.Op.Token = body.Guard.Token
	}
	if err == nil {
		err = body.Op.Validate()
	}
	if err == nil && body.Op.Kind.RequiresToken() && (body.Guard == nil || body.WriterTimeMS == 0) {
		err = fieldErrorf("guard", "a step is written under the duty %s, with the writer's time", maintenance.LeaseName)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	nowMS := time.Now().UnixMilli()
	stamp := &maintenance.Timestamp{ControllerMS: body.WriterTimeMS, UncertaintyMS: body.UncertaintyMS, LeaderMS: nowMS, LeaderUncertaintyMS: leaderClockUncertaintyMS}
	if body.WriterTimeMS == 0 {
		stamp.ControllerMS, stamp.UncertaintyMS = nowMS, leaderClockUncertaintyMS
	}
	r.proposeAndRespond(w, &Record{Op: OpWindow, ID: body.ID, Guard: body.Guard, Window: &body.Op, Stamp: stamp}, nil)
}

// Windows reads contracts and windows, and what their controller needs; fresh asks the leader for what no later write
// has changed.
func (c *Client) Windows(ctx context.Context, fresh bool) (*WindowsView, error) {
	path := "/windows"
	if fresh {
		path += "?fresh=1"
	}
	view := &WindowsView{}
	if err := c.call(ctx, http.MethodGet, path, nil, view); err != nil {
		return nil, fmt.Errorf("windows: %w", err)
	}
	return view, nil
}

// WriteWindow writes an operation about contracts and windows. The controller's needs the write's guard to be the duty of
// windows, and its time; a person's has a stamp of nothing.
func (c *Client) WriteWindow(ctx context.Context, options WriteOptions, at maintenance.Timestamp, op maintenance.Operation) (Result, error) {
	var result Result
	return result, c.post(ctx, "/windows", WindowRequest{options.ensureID(), options.Guard, at.ControllerMS, at.UncertaintyMS, op}, &result)
}

package registry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/window"
)

// leaderOffMS is what a leader's clock is taken to be off: machines whose clocks are kept are within a tenth of it.
const leaderOffMS = 250

// Windows is the table of contracts and windows, for reading.
func (s *State) Windows() *window.Table { return s.windows }

// setWindows has the table ask the ledger for permits.
func (s *State) setWindows(t *window.Table) {
	s.windows = t
	t.LookupPermit = func(id string) (disruption.Stage, bool) {
		if s.ledger == nil {
			return "", false
		}
		p, is := s.ledger.table.Permit(id)
		return p.Stage, is
	}
}

// doWindow applies an operation about windows, and what it tells sidecars.
func (s *State) doWindow(index uint64, r *Record) Result {
	if r.Window == nil || r.Stamp == nil {
		return Result{Conflict, index, "no operation, or no time"}
	}
	op := *r.Window
	if op.Kind.RequiresToken() {
		if r.Guard == nil || r.Guard.Duty != window.LeaseName {
			return Result{Conflict, index, "a step of a window is written under the duty " + window.LeaseName}
		}
		op.Token = r.Guard.Token
	}
	res := s.windows.Apply(index, &op, *r.Stamp)
	if res.Outcome != window.OutcomeApplied {
		of := map[window.Outcome]Outcome{window.OutcomeNotFound: NotFound, window.OutcomeLimitExceeded: TooMany}
		outcome, is := of[res.Outcome]
		if !is {
			outcome = Conflict
		}
		return Result{outcome, index, string(res.Outcome) + ": " + res.Reason}
	}
	return Result{Done, index, cmp.Or(s.budgetOf(index, &op), s.tellWindow(index, r.Stamp.LeaderMS, res.SetEntries, res.DropEntryIDs))}
}

// tellWindow puts what sidecars are told into the placement. Where that is full they keep off nothing new, and the window
// does not become empty and comes back; what they keep off no more is dropped all the same.
func (s *State) tellWindow(index uint64, now int64, set []placement.Directive, drop []string) string {
	if len(set)+len(drop) == 0 {
		return ""
	}
	outcome, why := s.places.Apply(index, window.LeaseName, &placement.Op{LeaderTimeMS: now, Set: set, Delete: drop})
	if outcome != placement.OutcomeApplied && len(set) > 0 && len(drop) > 0 {
		s.places.Apply(index, window.LeaseName, &placement.Op{LeaderTimeMS: now, Delete: drop})
	}
	return why
}

// budgetOf has the ledger bound what is out of a contract's servers, for whatever reason, from the same entry of the log on.
func (s *State) budgetOf(index uint64, op *window.Operation) string {
	in := &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/contract"} // people alone set contracts
	switch op.Kind {
	case window.OpSetContract:
		in.Budget = window.ContractBudget(op.Contract)
	case window.OpWithdrawContract:
		in.Budget, in.Delete = &disruption.Budget{Name: window.ContractBudgetName(op.Tenant)}, true
	default:
		return ""
	}
	if outcome, why := s.begin(index).table.Apply(index, in); outcome != disruption.OutcomeApplied {
		return "no budget of the ledger goes with it: " + why
	}
	return ""
}

// WindowsView is contracts and windows with what their controller needs of the rest of the state, all of one revision.
type WindowsView struct {
	Rev      uint64                         `json:"rev"`
	Table    *window.Snapshot               `json:"table"`
	Permits  map[string]disruption.Stage    `json:"permits"`
	Out      map[string]window.ServerStatus `json:"out"`
	Fleet    window.Fleet                   `json:"fleet"`
	Sidecars []string                       `json:"sidecars"`
}

// View is what the controller's core reads.
func (v *WindowsView) View() *window.View {
	return &window.View{Revision: v.Rev, Table: window.Restore(v.Table), PermitStages: v.Permits, OutOfService: v.Out, Fleet: v.Fleet, LiveSidecars: v.Sidecars}
}

// serveWindows answers with all contracts and windows, and what goes with them.
func (r *Replica) serveWindows(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var out WindowsView
	r.hub.Read(func(s *State) {
		v := window.ReadView(s.applied, s.windows, s.Ledger())
		out = WindowsView{v.Revision, s.windows.Snapshot(), v.PermitStages, v.OutOfService, v.Fleet, v.LiveSidecars}
	})
	r.mark(w)
	answer(w, http.StatusOK, out)
}

// WindowWrite is the body of a write about contracts and windows.
type WindowWrite struct {
	ID            string           `json:"id"`
	Guard         *Guard           `json:"guard,omitempty"`
	AtMS          int64            `json:"at_ms,omitempty"`          // the writer's clock, Unix ms; 0: it is a person's, and not compared
	UncertaintyMS int64            `json:"uncertainty_ms,omitempty"` // that it may be off
	Op            window.Operation `json:"op"`
}

func (r *Replica) serveWindowOp(w http.ResponseWriter, req *http.Request) {
	var in WindowWrite
	if !body(w, req, &in) {
		return
	}
	err := writeID(in.ID)
	if in.Guard != nil {
		in.Op.Token = in.Guard.Token
	}
	if err == nil {
		err = in.Op.Validate()
	}
	if err == nil && in.Op.Kind.RequiresToken() && (in.Guard == nil || in.AtMS == 0) {
		err = bad("guard", "a step is written under the duty %s, with the writer's time", window.LeaseName)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	now := time.Now().UnixMilli()
	stamp := &window.Timestamp{ControllerMS: in.AtMS, UncertaintyMS: in.UncertaintyMS, LeaderMS: now, LeaderUncertaintyMS: leaderOffMS}
	if in.AtMS == 0 {
		stamp.ControllerMS, stamp.UncertaintyMS = now, leaderOffMS
	}
	r.done(w, &Record{Op: OpWindow, ID: in.ID, Guard: in.Guard, Window: &in.Op, Stamp: stamp}, nil)
}

// Windows reads contracts and windows, and what their controller needs; fresh asks the leader for what no later write
// has changed.
func (c *Client) Windows(ctx context.Context, fresh bool) (*WindowsView, error) {
	path := "/windows"
	if fresh {
		path += "?fresh=1"
	}
	v := &WindowsView{}
	if err := c.call(ctx, http.MethodGet, path, nil, v); err != nil {
		return nil, fmt.Errorf("windows: %w", err)
	}
	return v, nil
}

// WriteWindow writes an operation about contracts and windows. The controller's needs the write's guard to be the duty of
// windows, and its time; a person's has a stamp of nothing.
func (c *Client) WriteWindow(ctx context.Context, w Write, at window.Timestamp, op window.Operation) (Result, error) {
	var res Result
	return res, c.post(ctx, "/windows", WindowWrite{w.id(), w.Guard, at.ControllerMS, at.UncertaintyMS, op}, &res)
}

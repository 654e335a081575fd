package registry

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/window"
)

// leaderOffMS is what a leader takes its own clock to be off. Clocks that are kept by NTP are within a tenth of it; the
// controller counts with twice as much.
const leaderOffMS = 250

// WindowRecord is an operation about windows or contracts in the log, with the time that it is judged by.
type WindowRecord struct {
	window.Op
	Stamp window.Stamp `json:"stamp"`
}

// Windows is the table of windows and contracts, for reading.
func (s *State) Windows() *window.Table { return s.windows }

// keepWindows has the state keep a table of windows, which looks its permits up in the ledger.
func (s *State) keepWindows(t *window.Table) {
	s.windows = t
	t.Permit = func(id string) (disruption.Stage, bool) {
		if s.ledger == nil {
			return "", false
		}
		p, is := s.ledger.table.Permit(id)
		return p.Stage, is
	}
}

func loadWindows(saved *window.Saved) *window.Table {
	if saved == nil { // of a version that knew no windows
		return window.New()
	}
	return window.Load(saved)
}

// doWindow applies an operation, and in the same entry of the log what sidecars are told by it and the budget that goes
// with a contract.
func (s *State) doWindow(index uint64, r *Record) Result {
	if r.Window == nil {
		return Result{Conflict, s.windows.Rev(), "no operation"}
	}
	op, stamp := &r.Window.Op, r.Window.Stamp
	if op.Token != 0 && (r.Guard == nil || r.Guard.Duty != window.Duty || r.Guard.Token != op.Token) {
		return Result{Conflict, s.windows.Rev(), "a step of a window is written under the duty " + window.Duty}
	}
	res := s.windows.Apply(index, op, stamp)
	if res.Outcome != window.Applied {
		return Result{Outcome(res.Outcome), index, res.Why}
	}
	return Result{Done, index, cmp.Or(s.budgetOf(index, op), s.tellWindow(index, stamp.LeaderMS, res.Set, res.Drop))}
}

// tellWindow puts what sidecars are told into the placement. Where that is full they are told nothing new: the window
// does not become free then, as no sidecar says that it keeps off.
func (s *State) tellWindow(index uint64, now int64, set []placement.Entry, drop []string) string {
	if len(set)+len(drop) == 0 {
		return ""
	}
	outcome, why := s.places.Apply(index, window.Duty, &placement.Op{NowMS: now, Set: set, Drop: drop})
	if outcome != placement.Done && len(set) > 0 && len(drop) > 0 {
		s.places.Apply(index, window.Duty, &placement.Op{NowMS: now, Drop: drop})
	}
	return why
}

// budgetOf has the ledger bound what is out of a contract's servers, for whatever reason.
func (s *State) budgetOf(index uint64, op *window.Op) string {
	in := &disruption.Op{Kind: disruption.OpBudget, Owner: "operator/contract"} // only operators set contracts
	switch op.Kind {
	case window.OpContract:
		in.Budget = window.BudgetOf(op.Contract)
	case window.OpWithdraw:
		in.Budget, in.Drop = &disruption.Budget{Name: window.BudgetName(op.Tenant)}, true
	default:
		return ""
	}
	if outcome, why := s.begin(index).table.Apply(index, in); outcome != disruption.Done {
		return "no budget of the ledger goes with it: " + why
	}
	return ""
}

// WindowWrite is an operation about windows as it is sent: its kind is in the path.
type WindowWrite struct {
	ID    string `json:"id"`
	Guard *Guard `json:"guard,omitempty"`
	// AtMS is the controller's clock (Unix ms), OffMS what it may be off. Operators' clocks do not count: what they write
	// is judged by the leader's time.
	AtMS  int64 `json:"at_ms,omitempty"`
	OffMS int64 `json:"off_ms,omitempty"`
	window.Op
}

// windowStatus says outcomes in HTTP, each by one that no other has.
var windowStatus = map[window.Outcome]int{
	window.Applied:  http.StatusOK,
	window.Bad:      http.StatusBadRequest,
	window.Closed:   http.StatusForbidden,
	window.NotFound: http.StatusNotFound,
	window.Stale:    http.StatusConflict, // and where the guard counts no more
	window.Doubt:    http.StatusPreconditionFailed,
	window.Held:     http.StatusLocked,
	window.TooMany:  http.StatusInsufficientStorage,
}

func (r *Replica) serveWindowOp(w http.ResponseWriter, req *http.Request) {
	var in WindowWrite
	if !body(w, req, &in) {
		return
	}
	in.Kind, in.Token = window.OpKind(req.PathValue("op")), 0
	now := time.Now().UnixMilli()
	stamp := window.Stamp{ControllerMS: now, UncertaintyMS: leaderOffMS, LeaderMS: now, LeaderUncertaintyMS: leaderOffMS}
	if in.Guard != nil {
		in.Token, stamp.ControllerMS, stamp.UncertaintyMS = in.Guard.Token, in.AtMS, in.OffMS
	}
	err := writeID(in.ID)
	if err == nil {
		err = in.Check()
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	// Windows that a contract approves as they are go on under it. Who sets it may say what it approves now.
	if in.Kind == window.OpContract && in.Grant == nil {
		in.Grant = window.NewPlanner().Grant(&window.Kept{Contract: *in.Contract}, now, 0)
	}
	res, err := r.write(&Record{Op: OpWindow, ID: in.ID, Guard: in.Guard, Window: &WindowRecord{in.Op, stamp}})
	if err != nil {
		r.noLeader(w)
		return
	}
	if in.Guard == nil {
		slog.Info("windows", "op", in.Kind, "window", in.Name, "tenant", in.Tenant, "by", in.By, "outcome", res.Outcome, "rev", res.Rev)
	}
	status, known := windowStatus[window.Outcome(res.Outcome)]
	if !known {
		status = http.StatusConflict
	}
	answer(w, status, res)
}

// WindowsView is all windows and contracts, and what holds them.
type WindowsView struct {
	Windows   []*window.Window  `json:"windows"`
	Contracts []*window.Kept    `json:"contracts"`
	Halts     map[string]string `json:"halts,omitempty"` // why, by scope
	Doubt     string            `json:"doubt,omitempty"` // why times are not trusted
	Rev       uint64            `json:"rev"`
}

func (r *Replica) serveWindows(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	if after := req.URL.Query().Get("look"); after != "" {
		r.serveWindowLook(w, after)
		return
	}
	var v WindowsView
	r.hub.Read(func(s *State) {
		t := s.windows
		v = WindowsView{t.Windows(), t.Contracts(), t.Halts(), t.InDoubt(), t.Rev()}
	})
	r.mark(w)
	answer(w, http.StatusOK, v)
}

func (r *Replica) serveWindow(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var one *window.Window
	name := req.PathValue("name")
	r.hub.Read(func(s *State) { one = s.windows.Window(name) })
	r.mark(w)
	if one == nil {
		refuse(w, http.StatusNotFound, fmt.Errorf("there is no window %s", name))
		return
	}
	answer(w, http.StatusOK, one)
}

// WindowLook is all that the controller reads of the state, of one revision.
type WindowLook struct {
	Rev  uint64 `json:"rev"`  // of the log
	Mark uint64 `json:"mark"` // of the newest change of windows or ledger; the rest is left out where that is known

	Table    *window.Saved               `json:"table,omitempty"`
	Permits  map[string]disruption.Stage `json:"permits,omitempty"`
	Up       map[string]bool             `json:"up,omitempty"`
	Fleet    window.Fleet                `json:"fleet,omitempty"`
	Sidecars []string                    `json:"sidecars,omitempty"`
	Servers  []disruption.Unit           `json:"servers,omitempty"` // of windows that are out
}

func (r *Replica) serveWindowLook(w http.ResponseWriter, after string) {
	var look WindowLook
	r.hub.Read(func(s *State) {
		led := s.Ledger()
		look.Rev, look.Mark = s.applied, max(s.windows.Rev(), led.Rev())
		if fmt.Sprint(look.Mark) == after {
			return
		}
		v := window.Look(s.applied, s.windows, led)
		look.Table, look.Permits, look.Up, look.Fleet, look.Sidecars = s.windows.Save(), v.Permits, v.Up, v.Fleet, v.Sidecars
		for _, one := range s.windows.Windows() {
			for _, uid := range one.Servers {
				if u, is := led.Unit(disruption.UnitID(disruption.Server, uid)); is && one.Out() {
					look.Servers = append(look.Servers, u)
				}
			}
		}
	})
	r.mark(w)
	answer(w, http.StatusOK, look)
}

package release

import (
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// Limits of patience, in ms. All are far above what a healthy unit or platform takes, and only their order matters: what
// runs out of them is tried again or counts as failed, never as done.
const (
	requestEffectTimeoutMS = 5_000   // from a call's answer to some sign of it in the platform's list
	stopTimeoutMS          = 15_000  // from SIGTERM to another call to stop: beyond the platform's usual grace of 10 s
	startTimeoutMS         = 60_000  // from the call to start until the unit has been ready once
	warmUpTimeoutMS        = 180_000 // from then until it is registered, ready and warm
	exitConfirmationMS     = 3_000   // that a unit which was started may be seen exited: the platform may start it again by itself
	rollbackStallTimeoutMS = 120_000 // without a grant on a way back that has lost a unit
	// maxFailedStarts is how many starts may come to nothing before a unit counts as failed: the first may be the platform's fault.
	maxFailedStarts = 2
	// maxFailedRollbacks is how many units may be lost on the way back before nothing further is taken out for it: the old version
	// is broken too, and what still serves on the new one is left there.
	maxFailedRollbacks = 2
	// maxRequestsPerUnit bounds the calls for one unit: a platform that does nothing of what it says is no platform.
	maxRequestsPerUnit = 40
	// maxPermitAttempts bounds how often a unit that came to rest and is found otherwise is taken up again.
	maxPermitAttempts = 8
)

// View is what is seen of the fleet at one moment. What could not be seen is nil, and is no news.
type View struct {
	NowMS           int64
	Token           uint64 // of the duty, under which this controller writes
	Permit          func(id string) (disruption.Permit, bool)
	Unit            func(id string) (disruption.Unit, bool)
	Platform        *supervisor.List
	Outcomes        map[string]supervisor.Outcome  // the platform's, by request id, as far as they arrived here
	Prepared        func(id string) bool           // what stood only there is ready elsewhere
	Drained         func(id string) bool           // proof: all sidecars that live have the list that drains it, and nothing open there
	Running         func(id string) (Image, bool)  // what a sidecar itself says that it runs
	ConfigRejection func(id, config string) string // why a sidecar refused a configuration; "" if it did not
	DeniedPermits   map[string]string              // why the ledger refused to take in a permit that was asked for, by its id
	Verdict         judge.Verdict                  // of the wave that is watched; none where Kind is ""
	Commands        []Command
}

// Effect is something to be done: Ledger, Do, Prepare, Terminate, Restore or Write.
type Effect any

// ApplyLedgerOp is an operation for the ledger.
type ApplyLedgerOp struct{ Op disruption.Op }

// CallPlatform is a request for the platform. Where it launches or reloads, its configuration's text is for who carries it out.
type CallPlatform struct{ Request supervisor.Request }

// PrepareUnit has what stands only on a unit made ready elsewhere.
type PrepareUnit struct{ Unit string }

// Terminate sets a server to Terminating in the list; Restore sets it to Ready again.
type (
	MarkTerminating struct{ Unit string }
	MarkReady       struct{ Unit string }
)

// WriteDelta puts a step into the log, under the token. It is the last effect of a step.
type WriteDelta struct{ Delta Delta }

// Reconcile tells what is to be done now, and what is to be written then. It changes nothing; nothing to do gives none.
func (s *State) Reconcile(view *View) []Effect {
	r := &reconciler{release: s, view: view, status: s.Status}
	if s.Status.Token != view.Token {
		r.restartTimers()
	}
	r.handleCommands()
	r.checkGuards()
	if !s.Status.Phase.Finished() {
		for i := range s.Units {
			r.reconcileUnit(i)
		}
	}
	if len(r.failures) > 0 && r.status.Phase == PhaseRollout {
		r.halt("guard", r.failures[0], s.Plan.OnHalt)
	}
	r.advancePhase()
	if delta := r.buildDelta(); delta != nil {
		r.effects = append(r.effects, WriteDelta{*delta})
	}
	return r.effects
}

// restartTimers begins all patience anew: the clock that wrote the times may have been another.
func (r *reconciler) restartTimers() {
	for i := range r.release.Units {
		if u := r.release.Units[i]; u.inProgress() {
			u.StageSinceMS = r.view.NowMS
			r.setUnit(i, u)
		}
	}
}

// reconciler is one step under way. What it does follows from s, as it is written; what it decides goes into head and next.
type reconciler struct {
	release  *State
	view     *View
	status   Status
	changed  map[int]Unit
	failures []string // units that did not come up on the new version
	effects  []Effect
}

// unit is a unit as it will be written.
func (r *reconciler) unit(i int) Unit {
	if u, ok := r.changed[i]; ok {
		return u
	}
	return r.release.Units[i]
}

func (r *reconciler) setUnit(i int, u Unit) {
	if r.changed == nil {
		r.changed = map[int]Unit{}
	}
	r.changed[i] = u
}

func (r *reconciler) emit(effect Effect) { r.effects = append(r.effects, effect) }

func (r *reconciler) buildDelta() *Delta {
	delta := &Delta{Sequence: r.release.Sequence}
	for i := range r.release.Units {
		if u, ok := r.changed[i]; ok && !equalUnits(u, r.release.Units[i]) {
			delta.Units = append(delta.Units, u)
		}
	}
	r.status.Token = r.view.Token
	if !slices.Equal(r.status.Stranded, r.release.Status.Stranded) || !equalStatus(r.status, r.release.Status) {
		status := r.status
		delta.Status = &status
	}
	if delta.Status == nil && len(delta.Units) == 0 {
		return nil
	}
	return delta
}

func equalUnits(a, b Unit) bool {
	if (a.Request == nil) != (b.Request == nil) || a.Request != nil && *a.Request != *b.Request {
		return false
	}
	a.Request, b.Request = nil, nil
	return a == b
}

func equalStatus(a, b Status) bool {
	return a.Phase == b.Phase && a.Wave == b.Wave && a.BakeStartMS == b.BakeStartMS && a.Token == b.Token && a.HandledCommands == b.HandledCommands &&
		a.HaltedBy == b.HaltedBy && a.HaltReason == b.HaltReason && a.Finalized == b.Finalized && a.StalledSinceMS == b.StalledSinceMS && a.RollbackAbandoned == b.RollbackAbandoned
}

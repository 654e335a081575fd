package release

import (
	"fmt"
	"math"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// advancePhase decides about waves and ends.
func (r *reconciler) advancePhase() {
	if r.status.Phase != r.release.Status.Phase {
		return // what was just decided is written first
	}
	switch r.status.Phase {
	case PhaseRollout:
		r.advanceRollout()
	case PhaseRollback:
		r.advanceRollback()
	}
}

// advanceRollout sends units out within the limits, and goes on to the next wave once this one has come to rest and passes.
func (r *reconciler) advanceRollout() {
	if r.status.Token != r.view.Token {
		r.status.BakeStartMS = 0 // another controller's watch is not known here
	}
	converged, pending := true, []int{}
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case unit.Wave > r.status.Wave && !unit.inProgress():
		case unit.Rollback && (unit.Stage == StagePending || unit.Stage == StageConverged): // a halt brought it back, and the release goes on
			unit.Rollback, unit.Reason = false, ""
			r.requeueUnit(i, unit)
			converged = false
		case unit.Stage == StagePending:
			pending = append(pending, i)
			converged = false
		case unit.Stage != StageConverged:
			converged = false
		case r.drifted(unit):
			r.requeueUnit(i, unit)
			converged = false
		}
	}
	wave := plan.Wave{}
	if r.status.Wave < len(r.release.Plan.Waves) {
		wave = r.release.Plan.Waves[r.status.Wave]
	}
	if r.view.Verdict.Outcome == judge.NoData && wave.BakeSeconds > 0 {
		return // silence holds: nothing further goes out until there is news
	}
	r.requestPermits(pending)
	if !converged {
		r.status.BakeStartMS = 0
		return
	}
	if r.status.BakeStartMS == 0 {
		r.status.BakeStartMS = max(r.view.NowMS, 1)
	}
	lastWave := !slices.ContainsFunc(r.release.Units, func(unit Unit) bool { return unit.Wave > r.status.Wave })
	if float64(r.view.NowMS-r.status.BakeStartMS) < 1000*wave.BakeSeconds {
		return
	}
	switch {
	case lastWave: // with the last wave there is no old version left to compare with: harm alone would have stopped it
		r.status.Phase, r.status.BakeStartMS = PhaseCompleted, 0
	case r.release.DrainOnly || wave.BakeSeconds == 0 || r.view.Verdict.Outcome == judge.Pass:
		r.status.Wave++
		r.status.BakeStartMS = 0
	case r.view.Verdict.Outcome == judge.Inconclusive:
		r.extendWave(wave)
	}
}

// extendWave takes one more unit into a wave that has met too little traffic for a verdict.
func (r *reconciler) extendWave(wave plan.Wave) {
	extraUnits := 0
	for i := range r.release.Units {
		if unit := r.release.Units[i]; unit.Wave == r.status.Wave && unit.FromLaterWave {
			extraUnits++
		}
	}
	if extraUnits >= wave.MaxExtraUnits {
		return
	}
	for i := range r.release.Units {
		unit := r.unit(i)
		if unit.Wave > r.status.Wave && unit.Stage == StagePending && (wave.Zone == "" || wave.Zone == unit.Zone) {
			unit.Wave, unit.FromLaterWave = r.status.Wave, true
			r.setUnit(i, unit)
			r.status.BakeStartMS = 0
			return
		}
	}
}

// requestPermits has as many units ask for their permits as the release's own limits have room for. The way back may have twice
// as many out as the way forward: the fleet's budgets bound it all the same, and what it goes to is known.
func (r *reconciler) requestPermits(pending []int) {
	remainingUnits, remainingCapacity := r.release.Plan.MaxUnavailable(len(r.release.Units)), r.release.maxWarmingUpCapacity()
	if r.status.Phase == PhaseRollback {
		remainingUnits, remainingCapacity = 2*remainingUnits, 2*remainingCapacity
	}
	for i := range r.release.Units {
		if unit := r.unit(i); unit.inProgress() {
			remainingUnits--
			remainingCapacity -= unit.Capacity
		}
	}
	for _, i := range pending {
		unit := r.unit(i)
		if remainingUnits <= 0 || unit.Capacity > remainingCapacity+1e-9 {
			return
		}
		remainingUnits--
		remainingCapacity -= unit.Capacity
		unit.PermitAttempt++
		unit.RollbackPermit = unit.Rollback
		unit.Stage, unit.StageSinceMS, unit.Request, unit.Reason = StageRequestingPermit, r.view.NowMS, nil, ""
		r.setUnit(i, unit)
	}
}

// maxWarmingUpCapacity is the capacity of units that the release itself lets be out or cold at once.
func (s *State) maxWarmingUpCapacity() float64 {
	limit, total := s.Plan.Limits.MaxWarmingUp, 0.0
	for i := range s.Units {
		total += s.Units[i].Capacity
	}
	maxWarmingUp := math.Inf(1)
	if s.unitKind() != disruption.KindServer {
		return maxWarmingUp
	}
	if limit.Count != nil {
		maxWarmingUp = float64(*limit.Count) * total / float64(len(s.Units))
	}
	if limit.Fraction != nil {
		maxWarmingUp = min(maxWarmingUp, *limit.Fraction*total)
	}
	return maxWarmingUp
}

// drifted tells whether a unit that has come to rest is found otherwise: the platform has stopped the wrong one, or
// somebody else has started it as something else.
func (r *reconciler) drifted(unit Unit) bool {
	platform := r.view.Platform
	if platform == nil || !platform.Complete || unit.PermitAttempt >= maxPermitAttempts || r.release.DrainOnly && !unit.Rollback || r.view.NowMS-unit.StageSinceMS < startTimeoutMS {
		return false
	}
	listed := platform.Find(unit.Name)
	return listed == nil || listed.State == supervisor.Exited && platform.AtMS-listed.SinceMS > startTimeoutMS || listed.Version != unit.desiredImage().Version || listed.ConfigName != unit.desiredImage().ConfigName
}

func (r *reconciler) requeueUnit(i int, unit Unit) {
	unit.Stage, unit.FailedStarts = StagePending, 0
	r.setUnit(i, unit)
}

// advanceRollback sends what was touched back and ends when all is at rest. Where units are lost on the way, the old version may be
// broken too: after maxFailedRollbacks of them, or where those that are left get no permit any more, nothing further is taken out.
func (r *reconciler) advanceRollback() {
	var pending []int
	failed, inProgress, awaitingPermit := 0, 0, 0
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case unit.Stage == StageFailed:
			failed++
		case unit.Stage == StagePending && unit.Rollback:
			pending = append(pending, i)
		case unit.Stage == StageRequestingPermit:
			awaitingPermit++
			inProgress++
		case unit.inProgress():
			inProgress++
		default:
			unit.Rollback = true // what was not touched was on Was too, unless the platform has done something to it
			if r.drifted(unit) {
				r.requeueUnit(i, unit)
				return
			}
		}
	}
	switch stalled := failed > 0 && awaitingPermit > 0 && inProgress == awaitingPermit; {
	case failed >= maxFailedRollbacks || stalled && r.status.StalledSinceMS != 0 && r.view.NowMS-r.status.StalledSinceMS >= rollbackStallTimeoutMS:
		r.status.RollbackAbandoned = true
	case !stalled:
		r.status.StalledSinceMS = 0
	case r.status.StalledSinceMS == 0:
		r.status.StalledSinceMS = max(r.view.NowMS, 1)
	}
	if !r.status.RollbackAbandoned {
		slices.Reverse(pending) // the last to go is the first to come back
		r.requestPermits(pending)
	}
	for i := range r.release.Units {
		if unit := r.unit(i); r.status.RollbackAbandoned && unit.Stage == StageRequestingPermit {
			unit.Stage, unit.StageSinceMS = StageCancelling, r.view.NowMS
			r.setUnit(i, unit)
		}
	}
	if inProgress > 0 || len(pending) > 0 && !r.status.RollbackAbandoned {
		return
	}
	r.status.Stranded = r.strandedUnits()
	if r.status.Phase = PhaseRolledBack; len(r.status.Stranded) > 0 {
		r.status.Phase = PhaseStranded
	}
}

// strandedUnits lists the units that are not known to run the old version.
func (r *reconciler) strandedUnits() []string {
	var lines []string
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case unit.Stage == StageFailed:
			lines = append(lines, unit.Reason+"; what permit it has is for an operator to settle")
		case unit.Rollback && unit.Stage != StageConverged:
			lines = append(lines, fmt.Sprintf("%s: still on %s, as the old version fails elsewhere", unit.ID, unit.Target.Version+" "+unit.Target.ConfigName))
		}
	}
	return lines
}

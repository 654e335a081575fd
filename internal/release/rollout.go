package release

import (
	"math"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// rollbackLimitFactor is how many times the limits of the rollout a rollback may use. The fleet's budgets bound it too,
// and the version that it returns to is known.
const rollbackLimitFactor = 2

// capacityTolerance absorbs rounding where sums of capacities are compared.
const capacityTolerance = 1e-9

// advancePhase decides which units are updated next, and whether a wave or the release is over.
func (r *reconciler) advancePhase() {
	if r.status.Phase != r.release.Status.Phase {
		return // the new phase is written first
	}
	switch r.status.Phase {
	case PhaseRollout:
		r.advanceRollout()
	case PhaseRollback:
		r.advanceRollback()
	}
}

// advanceRollout updates the units of the wave within the limits, and goes on to the next wave once all of this one's
// units have converged, have baked, and are judged to be no worse than the others.
func (r *reconciler) advanceRollout() {
	if r.status.Token != r.view.Token {
		r.status.BakeStartMS = 0 // the analysis of the controller before was not stored
	}
	pending, converged := r.collectWave()
	wave := r.currentWave()
	if r.view.Verdict.Outcome == judge.NoData && wave.BakeSeconds > 0 {
		return // without reports no further unit is updated
	}
	r.requestPermits(pending)
	if !converged {
		r.status.BakeStartMS = 0
		return
	}
	if r.status.BakeStartMS == 0 {
		r.status.BakeStartMS = max(r.view.NowMS, 1)
	}
	if float64(r.view.NowMS-r.status.BakeStartMS) < msPerSecond*wave.BakeSeconds {
		return
	}
	r.finishWave(wave)
}

// collectWave returns the indexes of the units that are pending in this wave or an earlier one, and whether all of these
// waves' units have converged. Units that a halt returned, and converged ones that have drifted, become pending again.
func (r *reconciler) collectWave() (pending []int, converged bool) {
	converged = true
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case unit.Wave > r.status.Wave && !unit.inProgress():
			continue
		case unit.Rollback && (unit.Stage == StagePending || unit.Stage == StageConverged):
			unit.Rollback = false
			unit.Reason = ""
			r.requeueUnit(i, unit)
		case unit.Stage == StagePending:
			pending = append(pending, i)
		case unit.Stage != StageConverged:
		case r.drifted(unit):
			r.requeueUnit(i, unit)
		default:
			continue
		}
		converged = false
	}
	return pending, converged
}

// currentWave is the plan's wave that the release is in; past the last one it is a wave without a bake.
func (r *reconciler) currentWave() plan.Wave {
	if r.status.Wave < len(r.release.Plan.Waves) {
		return r.release.Plan.Waves[r.status.Wave]
	}
	return plan.Wave{}
}

// finishWave decides what follows a wave that has converged and baked.
func (r *reconciler) finishWave(wave plan.Wave) {
	unitsRemain := slices.ContainsFunc(r.release.Units, func(unit Unit) bool { return unit.Wave > r.status.Wave })
	switch {
	case !unitsRemain:
		// Nothing runs the previous version any more, so there is no pass to wait for; a regression would have halted it.
		r.status.Phase = PhaseCompleted
		r.status.BakeStartMS = 0
	case r.release.DrainOnly || wave.BakeSeconds == 0 || r.view.Verdict.Outcome == judge.Pass:
		r.status.Wave++
		r.status.BakeStartMS = 0
	case r.view.Verdict.Outcome == judge.Inconclusive:
		r.extendWave(wave)
	}
}

// extendWave moves one unit of a later wave into a wave that met too little traffic for a verdict.
func (r *reconciler) extendWave(wave plan.Wave) {
	extraUnits := 0
	for i := range r.release.Units {
		if unit := &r.release.Units[i]; unit.Wave == r.status.Wave && unit.FromLaterWave {
			extraUnits++
		}
	}
	if extraUnits >= wave.MaxExtraUnits {
		return
	}
	for i := range r.release.Units {
		unit := r.unit(i)
		if unit.Wave <= r.status.Wave || unit.Stage != StagePending {
			continue
		}
		if wave.Zone != "" && wave.Zone != unit.Zone {
			continue
		}
		unit.Wave = r.status.Wave
		unit.FromLaterWave = true
		r.setUnit(i, unit)
		r.status.BakeStartMS = 0
		return
	}
}

// requestPermits has pending units request their permits, in order, as far as the release's own limits allow.
func (r *reconciler) requestPermits(pending []int) {
	remainingUnits := r.release.Plan.MaxUnavailable(len(r.release.Units))
	remainingCapacity := r.release.maxWarmingUpCapacity()
	if r.status.Phase == PhaseRollback {
		remainingUnits *= rollbackLimitFactor
		remainingCapacity *= rollbackLimitFactor
	}
	for i := range r.release.Units {
		if unit := r.unit(i); unit.inProgress() {
			remainingUnits--
			remainingCapacity -= unit.Capacity
		}
	}
	for _, i := range pending {
		unit := r.unit(i)
		if remainingUnits <= 0 || unit.Capacity > remainingCapacity+capacityTolerance {
			return
		}
		remainingUnits--
		remainingCapacity -= unit.Capacity
		unit.PermitAttempt++
		unit.RollbackPermit = unit.Rollback
		unit.Reason = ""
		r.enterStage(&unit, StageRequestingPermit)
		r.setUnit(i, unit)
	}
}

// maxWarmingUpCapacity is how much capacity the release itself lets be out or warming up at once. Only servers warm up.
func (s *State) maxWarmingUpCapacity() float64 {
	allowed := math.Inf(1)
	if s.unitKind() != disruption.KindServer {
		return allowed
	}
	total := 0.0
	for i := range s.Units {
		total += s.Units[i].Capacity
	}
	limit := s.Plan.Limits.MaxWarmingUp
	if limit.Count != nil {
		allowed = float64(*limit.Count) * total / float64(len(s.Units))
	}
	if limit.Fraction != nil {
		allowed = min(allowed, *limit.Fraction*total)
	}
	return allowed
}

// drifted reports whether a converged unit no longer runs its desired image: the platform has stopped the wrong one, or
// somebody else has started it with another image.
func (r *reconciler) drifted(unit Unit) bool {
	platform := r.view.Platform
	if platform == nil || !platform.Complete {
		return false
	}
	if unit.PermitAttempt >= maxPermitAttempts || r.release.retires(&unit) {
		return false
	}
	if r.view.NowMS-unit.StageSinceMS < startTimeoutMS {
		return false
	}
	listed := platform.Find(unit.Name)
	if listed == nil {
		return true
	}
	if listed.State == supervisor.Exited && platform.AtMS-listed.SinceMS > startTimeoutMS {
		return true
	}
	return !runsImage(listed, unit.desiredImage())
}

// requeueUnit makes a unit pending again.
func (r *reconciler) requeueUnit(i int, unit Unit) {
	unit.Stage = StagePending
	unit.FailedStarts = 0
	r.setUnit(i, unit)
}

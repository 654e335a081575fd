package release

import (
	"math"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// rollbackLimitFactor multiplies the plan's limits in a rollback. A rollback may exceed the limits of the rollout because
// the fleet's budgets limit it too and the previous version is known.
const rollbackLimitFactor = 2

// capacityTolerance absorbs rounding errors in comparisons of summed capacities.
const capacityTolerance = 1e-9

// advancePhase decides which units are updated or rolled back next, and whether a wave or the release is complete.
func (r *reconciler) advancePhase() {
	if r.status.Phase != r.release.Status.Phase {
		return // the new phase must be written before any action in it
	}
	switch r.status.Phase {
	case PhaseRollout:
		r.advanceRollout()
	case PhaseRollback:
		r.advanceRollback()
	}
}

// advanceRollout starts the update of the wave's units within the limits. It finishes the wave once all its units have
// converged and the bake time is over.
func (r *reconciler) advanceRollout() {
	if r.status.Token != r.view.Token {
		r.status.BakeStartMS = 0 // the bake restarts because the previous controller's analysis is not stored
	}
	pending, converged := r.collectWave()
	wave := r.currentWave()
	if r.view.Verdict.Outcome == judge.NoData && wave.BakeSeconds > 0 {
		return // no further unit is updated while reports are missing
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

// collectWave returns the indexes of the pending units of the present and earlier waves, and whether all units of these
// waves have converged. It makes units pending again that a halt rolled back or that have drifted since they converged.
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

// currentWave returns the present wave of the plan, or a wave without a bake if the release is past the last one.
func (r *reconciler) currentWave() plan.Wave {
	if r.status.Wave < len(r.release.Plan.Waves) {
		return r.release.Plan.Waves[r.status.Wave]
	}
	return plan.Wave{}
}

// finishWave decides what follows a wave that has converged and baked: completion, the next wave, an extension of this
// wave, or a longer wait for a verdict.
func (r *reconciler) finishWave(wave plan.Wave) {
	unitsRemain := slices.ContainsFunc(r.release.Units, func(unit Unit) bool { return unit.Wave > r.status.Wave })
	switch {
	case !unitsRemain:
		// No unit runs the previous version any more, so no further comparison can yield a pass. A regression found so far
		// has already halted the release.
		r.status.Phase = PhaseCompleted
		r.status.BakeStartMS = 0
	case r.release.DrainOnly || wave.BakeSeconds == 0 || r.view.Verdict.Outcome == judge.Pass:
		r.status.Wave++
		r.status.BakeStartMS = 0
	case r.view.Verdict.Outcome == judge.Inconclusive:
		r.extendWave(wave)
	}
}

// extendWave moves one unit of a later wave into the present wave, which had too little traffic for a verdict.
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

// requestPermits moves pending units to StageRequestingPermit, in order, as far as the release's own limits allow.
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

// maxWarmingUpCapacity returns how much capacity the plan allows to be out or warming up at once. It is infinite for
// sidecars because only servers warm up.
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

// drifted reports whether a converged unit no longer runs its desired image. This happens if the platform stops the wrong
// unit, or if somebody else starts the unit with another image.
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

func (r *reconciler) requeueUnit(i int, unit Unit) {
	unit.Stage = StagePending
	unit.FailedStarts = 0
	r.setUnit(i, unit)
}

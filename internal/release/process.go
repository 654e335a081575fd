package release

import (
	"cmp"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// listedUnit returns a unit's entry in the platform's list, or nil if the platform did not answer or does not list the
// unit.
func (r *reconciler) listedUnit(unit *Unit) *supervisor.Unit {
	if r.view.Platform == nil {
		return nil
	}
	return r.view.Platform.Find(unit.Name)
}

// exitedOrLost reports whether a unit has exited or its lease has expired, so that no request can be open on it.
func (r *reconciler) exitedOrLost(unit *Unit) bool {
	ledgerUnit, registered := r.view.Unit(unit.ID)
	if registered && ledgerUnit.Condition == disruption.ConditionLost {
		return true
	}
	listed := r.listedUnit(unit)
	return listed != nil && listed.State == supervisor.Exited
}

// confirmedStopped reports whether there is evidence that a unit has no process. Absence from the list is evidence only if
// the list is complete: a platform that has lost its state lists nothing although all processes are still running.
func confirmedStopped(platform *supervisor.List, name string) bool {
	listed := platform.Find(name)
	if listed == nil {
		return platform.Complete
	}
	return listed.State == supervisor.Exited
}

// reconcileDrain keeps a server Terminating until no request can be open on it.
func (r *reconciler) reconcileDrain(unit *Unit) {
	if r.view.Drained(unit.ID) || r.exitedOrLost(unit) {
		r.enterStage(unit, StageStopping)
		return
	}
	r.emit(MarkTerminating{unit.ID})
}

// reconcileStop requests that the platform stop a unit, until the stop is confirmed.
func (r *reconciler) reconcileStop(unit *Unit) {
	platform := r.view.Platform
	if platform == nil {
		return
	}
	if confirmedStopped(platform, unit.Name) {
		next := StageStarting
		if r.release.retires(unit) {
			next = StageWarmingUp
		}
		r.enterStage(unit, next)
		return
	}
	listed := platform.Find(unit.Name)
	if listed == nil {
		return // the unit may be running: the platform has lost its state and has not rediscovered all units
	}
	if r.awaitAcceptance(unit, platform, supervisor.Stop, listed.Incarnation) {
		return
	}
	timeoutMS := int64(requestEffectTimeoutMS)
	if listed.State == supervisor.Stopping {
		timeoutMS = stopTimeoutMS
	}
	if platform.AtMS-listed.SinceMS > timeoutMS {
		r.dropRequestWithoutEffect(unit, timeoutMS)
	}
}

// reconcileStart requests that the platform start a unit with its desired image, until the platform lists the unit as
// running, which means that it has been ready once.
func (r *reconciler) reconcileStart(unit *Unit) {
	platform := r.view.Platform
	if platform == nil {
		return
	}
	listed := platform.Find(unit.Name)
	switch {
	case listed == nil && !platform.Complete: // the unit may already be running
	case listed == nil:
		r.requestStart(unit, platform, 0)
	case listed.State != supervisor.Exited:
		r.monitorStart(unit, platform, listed)
	case exitedSinceRequest(unit, platform, listed):
		if platform.AtMS-listed.SinceMS > exitConfirmationMS && listed.Version == unit.desiredImage().Version {
			r.recordFailedStart(unit, cmp.Or(listed.Exit, reasonExited))
		}
	default:
		r.requestStart(unit, platform, listed.Incarnation)
	}
}

// requestStart requests a start, and requests it again if an accepted request shows no effect.
func (r *reconciler) requestStart(unit *Unit, platform *supervisor.List, incarnation uint64) {
	if r.awaitAcceptance(unit, platform, supervisor.Start, incarnation) {
		return
	}
	r.dropRequestWithoutEffect(unit, requestEffectTimeoutMS)
}

// monitorStart handles a unit at StageStarting that the platform lists in a state other than exited.
func (r *reconciler) monitorStart(unit *Unit, platform *supervisor.List, listed *supervisor.Unit) {
	if !runsImage(listed, unit.desiredImage()) {
		r.enterStage(unit, StageStopping) // the unit was started with another image
		return
	}
	switch listed.State {
	case supervisor.Running:
		r.enterStage(unit, StageWarmingUp)
	case supervisor.Starting:
		if r.inStageLongerThan(unit, startTimeoutMS) && platform.AtMS-listed.SinceMS > startTimeoutMS {
			r.recordFailedStart(unit, reasonNotReady)
		}
	case supervisor.Stopping:
		r.enterStage(unit, StageStopping)
	}
}

// exitedSinceRequest reports whether an exited unit was started by its present request and then exited by itself. If not,
// it exited before the request.
func exitedSinceRequest(unit *Unit, platform *supervisor.List, listed *supervisor.Unit) bool {
	request := unit.Request
	return request != nil && request.Epoch == platform.Epoch && request.Incarnation != listed.Incarnation
}

// reconcileReload requests that the platform reload a unit's configuration, until the unit itself reports that it uses the
// configuration.
func (r *reconciler) reconcileReload(unit *Unit) {
	desired := unit.desiredImage()
	if reason := r.view.ConfigRejection(unit.ID, desired.ConfigName); reason != "" && r.requestAccepted(unit) {
		r.failUnit(unit, reasonConfigRejectedPrefix+reason)
		return
	}
	platform := r.view.Platform
	if platform == nil {
		return
	}
	listed := platform.Find(unit.Name)
	if r.confirmedReloaded(unit, listed) {
		r.enterStage(unit, StageWarmingUp)
		return
	}
	if listed == nil || listed.State != supervisor.Running {
		if r.inStageLongerThan(unit, startTimeoutMS) {
			r.recordFailedStart(unit, reasonNotRunning)
		}
		return
	}
	if r.awaitAcceptance(unit, platform, supervisor.Reload, listed.Incarnation) {
		return
	}
	if r.acceptedRequestOlderThan(unit, requestEffectTimeoutMS) {
		r.recordFailedStart(unit, reasonNotReloaded)
	}
}

// confirmedReloaded reports whether a unit uses its desired configuration and would use it again after a restart. Both the
// unit's own report and the platform's list are needed. The list alone is not enough because a unit keeps serving with the
// old configuration until it has read the new one. The report alone is not enough because a unit that rejected the new
// configuration would read it at its next start.
func (r *reconciler) confirmedReloaded(unit *Unit, listed *supervisor.Unit) bool {
	running, known := r.view.ReportedImage(unit.ID)
	if !known || listed == nil {
		return false
	}
	desired := unit.desiredImage()
	return running == desired && listed.ConfigName == desired.ConfigName
}

// awaitAcceptance creates a request, which has to be written before it is sent, or sends the written request until the
// platform answers. It returns false once the platform has accepted the request, so that its effect can be expected in the
// platform's list, and true otherwise.
func (r *reconciler) awaitAcceptance(unit *Unit, platform *supervisor.List, op supervisor.Op, incarnation uint64) bool {
	if unit.Request == nil || unit.Request.Op != op || unit.Request.Epoch != platform.Epoch {
		r.createRequest(unit, platform, op, incarnation)
		return true
	}
	outcome, answered := r.view.Outcomes[r.release.RequestID(unit)]
	if !answered {
		r.emit(CallPlatform{r.release.platformRequest(unit)})
		return true
	}
	switch outcome.Rejected {
	case "":
		return false
	case supervisor.UnknownVersion:
		r.failUnit(unit, cmp.Or(outcome.Detail, reasonUnknownVersion))
		return true
	}
	// The rejected request changed nothing, and a repetition would be rejected too. After a while it is dropped, and the
	// next request is created from the platform's current list.
	if r.requestOlderThan(unit, requestEffectTimeoutMS) {
		unit.Request = nil
	}
	return true
}

// createRequest creates a unit's next request, or records a failed start if the unit has reached maxRequestsPerUnit.
func (r *reconciler) createRequest(unit *Unit, platform *supervisor.List, op supervisor.Op, incarnation uint64) {
	if unit.RequestCount >= maxRequestsPerUnit {
		r.recordFailedStart(unit, reasonNoEffect)
		return
	}
	unit.RequestCount++
	unit.Request = &PlatformRequest{
		Sequence:    unit.RequestCount,
		Op:          op,
		Epoch:       platform.Epoch,
		Incarnation: incarnation,
		CreatedAtMS: r.view.NowMS,
	}
}

func (r *reconciler) requestAccepted(unit *Unit) bool {
	if unit.Request == nil {
		return false
	}
	outcome, answered := r.view.Outcomes[r.release.RequestID(unit)]
	return answered && outcome.Rejected == ""
}

// requestOlderThan reports whether a unit's present request was created longer ago than a timeout.
func (r *reconciler) requestOlderThan(unit *Unit, timeoutMS int64) bool {
	return r.view.NowMS-unit.Request.CreatedAtMS > timeoutMS
}

// acceptedRequestOlderThan reports whether the platform has accepted a unit's present request and the request was created
// longer ago than a timeout.
func (r *reconciler) acceptedRequestOlderThan(unit *Unit, timeoutMS int64) bool {
	return r.requestAccepted(unit) && r.requestOlderThan(unit, timeoutMS)
}

// dropRequestWithoutEffect drops an accepted request that has shown no effect within a timeout, so that a new request
// replaces it.
func (r *reconciler) dropRequestWithoutEffect(unit *Unit, timeoutMS int64) {
	if r.acceptedRequestOlderThan(unit, timeoutMS) {
		unit.Request = nil
	}
}

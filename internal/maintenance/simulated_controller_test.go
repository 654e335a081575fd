package maintenance

type simulatedController struct {
	reconciler    *Reconciler
	clock         simulatedClock
	token         uint64
	dead          bool
	frozenUntilMS int64
	nextRunMS     int64 // time of the next scheduled run; runs scheduled for other times are skipped
}

// startController starts a controller that holds the lease.
func (sim *simulation) startController(clock simulatedClock) {
	sim.revision++
	sim.token = sim.revision
	sim.controller = &simulatedController{reconciler: NewReconciler(sim.token), clock: clock, token: sim.token}
	sim.scheduleRun(sim.controller, 0)
}

// killController kills the controller. Another controller takes over after failoverMS, when the lease has
// expired.
func (sim *simulation) killController(failoverMS int64) {
	sim.controller.dead = true
	sim.schedule(failoverMS, func() { sim.startController(sim.accurateClock()) })
}

// freezeController pauses the controller for durationMS, while another controller takes over.
func (sim *simulation) freezeController(durationMS int64) {
	sim.controller.frozenUntilMS = sim.nowMS + durationMS
	sim.schedule(min(durationMS, 5000), func() { sim.startController(sim.accurateClock()) })
}

func (sim *simulation) scheduleRun(controller *simulatedController, delayMS int64) {
	runAtMS := sim.nowMS + max(delayMS, 1)
	if controller.dead || controller.nextRunMS > sim.nowMS && controller.nextRunMS <= runAtMS {
		return
	}
	controller.nextRunMS = runAtMS
	sim.schedule(runAtMS-sim.nowMS, func() {
		if controller.nextRunMS == runAtMS && !controller.dead {
			sim.runController(controller)
		}
	})
}

func (sim *simulation) runController(controller *simulatedController) {
	if controller.frozenUntilMS > sim.nowMS {
		sim.scheduleRun(controller, controller.frozenUntilMS-sim.nowMS)
		return
	}
	if controller.token != sim.token && controller.frozenUntilMS < sim.nowMS-10_000 {
		return // the controller has noticed the loss of its lease by now
	}
	now := sim.readClock(controller)
	sim.deliverReports(controller, now)
	if sim.view == nil || sim.view.Revision != sim.revision {
		sim.view = ReadView(sim.revision, sim.table, sim.ledger)
	}
	view := sim.view
	effects, nextRunMS := controller.reconciler.Reconcile(now, view)
	for _, effect := range effects {
		sim.sendEffect(controller, effect)
	}
	sim.scheduleRun(controller, nextRunMS-sim.nowMS)
}

// sendEffect sends a write to the registry. If the registry is down, the write or its answer is lost.
func (sim *simulation) sendEffect(controller *simulatedController, effect Effect) {
	timestamp := Timestamp{ControllerMS: sim.nowMS + controller.clock.offsetMS, UncertaintyMS: controller.clock.uncertaintyMS}
	sim.schedule(2+sim.random.Int64N(60), func() {
		if controller.frozenUntilMS > sim.nowMS { // the controller was paused before it sent the write
			sim.schedule(controller.frozenUntilMS-sim.nowMS, func() { sim.receiveEffect(controller, effect, timestamp) })
			return
		}
		sim.receiveEffect(controller, effect, timestamp)
	})
}

func (sim *simulation) receiveEffect(controller *simulatedController, effect Effect, timestamp Timestamp) {
	if sim.registryDown || controller.dead {
		return
	}
	if sim.beforeWrite != nil {
		if sim.beforeWrite(&effect); controller.dead {
			return // the controller was killed before the write reached the log
		}
	}
	sim.writes++
	outcome := sim.applyEffect(effect, timestamp, controller.token)
	revision, reason := sim.revision, sim.ledgerReason
	sim.schedule(2+sim.random.Int64N(60), func() {
		if !controller.dead {
			controller.reconciler.ObserveResult(sim.readClock(controller), effect, EffectResult{outcome, reason, revision})
			sim.scheduleRun(controller, 1)
		}
	})
}

func (sim *simulation) readClock(controller *simulatedController) ClockReading {
	return ClockReading{sim.nowMS, sim.nowMS + controller.clock.offsetMS, controller.clock.uncertaintyMS}
}

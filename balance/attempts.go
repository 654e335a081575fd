package balance

import "math"

// This file decides what is asked of servers and what their answers and silences mean.

const (
	overdueDeviations  = 4    // mean deviations above the mean of its class at which an attempt is overdue
	healthCheckBudget  = 0.03 // part of the result that probes for each request may cost
	reportLifetime     = 0.05 // part of the aim that a first send waits for probes, and that reports are believed
	allBusyProbability = 0.01 // chance that all probed servers are busy, at which no more are probed
)

// healthCheckBeforeSend asks those next in turn before a first send, where servers tell only when probed: so many that
// hardly ever all are busy, within what it may cost.
func (b *Balancer) healthCheckBeforeSend(r *request) {
	if !b.config.AllowHealthChecks || b.config.LoadReports != LoadReportHealthCheck {
		return
	}
	fanout := math.Ceil(math.Log(allBusyProbability) / math.Log(clamp(b.busyFraction, 0.01, 0.99)))
	for fanout = math.Min(fanout, healthCheckBudget/math.Max(b.config.Costs.Probe, 1e-3)); len(r.healthChecked) < int(fanout); {
		var next *server
		for _, s := range b.servers {
			usable := b.permitted(r, s) && !b.isEjected(s) && !r.hasHealthChecked(s)
			if usable && (next == nil || s.runningWeight > next.runningWeight) {
				next = s
			}
		}
		if next == nil {
			break
		}
		r.healthChecked = append(r.healthChecked, next)
		b.healthCheck(next)
		r.healthCheckWaitUntil = b.now + reportLifetime*r.class.LatencyObjective
	}
	if len(r.healthChecked) > 0 {
		b.awaitingHealthChecks = append(b.awaitingHealthChecks, r)
	}
}

// checkAttempts counts what takes far too long as an error, as a hung server would show late, takes what has had its
// aim off the load, and returns when to look again.
func (b *Balancer) checkAttempts(r *request) float64 {
	nextCheck := r.deadline
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		if objectiveAt := a.sentAt + r.class.LatencyObjective; b.now >= objectiveAt {
			b.releaseLoad(r, a)
		} else {
			nextCheck = math.Min(nextCheck, objectiveAt)
		}
		if overdueAt := a.sentAt + b.overdueAfter(r); !a.overdue && b.now >= overdueAt {
			a.overdue = true
			b.learnCapacity(a.server, 3)
			b.recordError(a.server, false)
		} else if !a.overdue {
			nextCheck = math.Min(nextCheck, overdueAt)
		}
	}
	return nextCheck
}

// overdueAfter follows the class's answers: in a congested fleet all are late, by no server's fault.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.samples < 5 {
		return r.class.LatencyObjective / 2
	}
	return r.stats.meanLatency + overdueDeviations*r.stats.meanDeviation
}

func (b *Balancer) recordOutcome(r *request, a *attempt, ev *Outcome) {
	s := a.server
	switch ev.Result {
	case OK:
		if s.connectFailures >= errorsBeforeEjection && !b.inSlowStart(s) { // it was gone and is back: a restart still to be told
			b.beginSlowStart(s, b.now)
		}
		if !a.overdue || !b.lowTraffic() { // no timely answer may come for long, and this one was none
			s.clearFaults()
		}
		if !a.overdue {
			b.publishRecovery(s)
		}
		b.scheduleRefresh(s)
		b.zoneAnswered(s.zoneHealth)
		if b.recordLoadReport(s, ev.LoadReport) > r.class.LatencyObjective { // some crowded servers stay slow until idle: skip a turn
			s.ejectedUntil = b.now + math.Min(b.longestObjective, float64(len(b.servers))/b.requestRate())
		}
		if b.answerMeter.count == 0 {
			b.firstAnswerAt = b.now
		}
		b.answerMeter.add(b.now, answerRateSpan*b.longestObjective)
		b.recentAnswerMeter.add(b.now, b.longestObjective)
		b.trackLatency(r.stats, ev.Elapsed/r.class.LatencyObjective)
		if b.now <= r.arrivedAt+r.class.LatencyObjective {
			r.stats.servedInTime++
			r.tenant.servedInTime++
		}
		if r.stats.samples > 0 {
			b.learnCapacity(s, ev.Elapsed/r.stats.meanLatency)
		}
		r.stats.recordLatency(ev.Elapsed)
	case Cancelled, Obsolete:
	default:
		if ev.Result == Overloaded {
			b.lastOverloadedAt = b.now
		}
		if unreachable := ev.Result == ConnectFailed; unreachable || !a.overdue && !(a.endsAtObjective && ev.Result == TimedOut) {
			b.recordError(s, unreachable)
		}
		if ev.Result == ConnectFailed {
			b.recordUnreachable(s)
		}
	}
}

func (b *Balancer) scheduleTimer(r *request) {
	wakeAt := b.checkAttempts(r)
	if r.healthCheckWaitUntil > b.now {
		wakeAt = math.Min(wakeAt, r.healthCheckWaitUntil)
	} else if r.inFlight == 0 {
		wakeAt = math.Min(wakeAt, b.now+math.Max(b.config.EventInterval, r.class.LatencyObjective/20))
	}
	if wakeAt < r.timerAt {
		r.timerAt = wakeAt
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), At: math.Max(0, wakeAt-b.now)})
	}
}

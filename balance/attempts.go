package balance

import "math"

// This file decides what the outcomes of attempts mean, when an attempt is overdue and when health checks
// precede an attempt.

const (
	overdueDeviations  = 4    // mean deviations above the mean latency at which an attempt is overdue
	overdueMinSamples  = 5    // answers of a class before its latency counts as known
	overdueLatency     = 3    // latency recorded for an overdue attempt, as a multiple of the class's mean
	healthCheckBudget  = 0.03 // fraction of the score that health checks may cost; see Objective
	reportLifetime     = 0.05 // fraction of the objective: wait for health checks, age of a fresh report
	allBusyProbability = 0.01 // servers are checked until the probability that all are busy is this low
)

// healthCheckBeforeSend sends health checks to the servers next in turn, if servers report their load in no
// other way. It checks so many servers that almost never all of them are busy, within the cost budget.
func (b *Balancer) healthCheckBeforeSend(r *request) {
	if !b.config.AllowHealthChecks || b.config.LoadReports != LoadReportHealthCheck {
		return
	}
	fanout := math.Ceil(math.Log(allBusyProbability) / math.Log(clamp(b.reports.busyFraction, 0.01, 0.99)))
	fanout = math.Min(fanout, healthCheckBudget/math.Max(b.config.Costs.HealthCheck, 1e-3))
	for len(r.healthChecks.sentTo) < int(fanout) {
		next := b.nextHealthCheckTarget(r)
		if next == nil {
			break
		}
		r.healthChecks.sentTo = append(r.healthChecks.sentTo, next)
		b.sendHealthCheck(next)
		r.healthChecks.waitUntil = b.now + reportLifetime*r.class.LatencyObjective
	}
	if len(r.healthChecks.sentTo) > 0 {
		b.requests.awaitingHealthChecks = append(b.requests.awaitingHealthChecks, r)
	}
}

func (b *Balancer) nextHealthCheckTarget(r *request) (next *server) {
	for _, s := range b.servers {
		usable := b.permitted(r, s) && !b.isEjected(s) && !r.healthChecks.includes(s)
		if usable && (next == nil || s.round.runningWeight > next.round.runningWeight) {
			next = s
		}
	}
	return next
}

// checkAttempts records an overdue attempt as an error without waiting for its outcome, since a hung server
// would be detected late otherwise. It removes an attempt from the load in flight once the attempt has
// taken as long as its latency objective. It returns the time of the next check.
func (b *Balancer) checkAttempts(r *request) float64 {
	next := r.deadline
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		if objectiveAt := a.sentAt + r.class.LatencyObjective; b.now >= objectiveAt {
			b.releaseLoad(r, a)
		} else {
			next = math.Min(next, objectiveAt)
		}
		if overdueAt := a.sentAt + b.overdueAfter(r); !a.overdue && b.now >= overdueAt {
			a.overdue = true
			b.learnCapacity(a.server, overdueLatency)
			b.recordError(a.server, false)
		} else if !a.overdue {
			next = math.Min(next, overdueAt)
		}
	}
	return next
}

// overdueAfter returns the latency at which an attempt is overdue. It follows the latency of the class,
// since in an overloaded fleet all answers are late.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.samples < overdueMinSamples {
		return r.class.LatencyObjective / 2
	}
	return r.stats.meanLatency + overdueDeviations*r.stats.meanDeviation
}

// recordOutcome records what an outcome says about the server, the class and the fleet.
func (b *Balancer) recordOutcome(r *request, a *attempt, ev *Outcome) {
	switch ev.Result {
	case OK:
		b.recordAnswer(r, a, ev)
	case Cancelled, Obsolete: // the result says nothing about the server
	default:
		b.recordFailure(a, ev.Result)
	}
}

func (b *Balancer) recordAnswer(r *request, a *attempt, ev *Outcome) {
	s := a.server
	if s.errors.unreachable >= errorsBeforeEjection && !b.inSlowStart(s) {
		b.beginSlowStart(s, b.now) // the server has restarted, and the endpoint list does not show it yet
	}
	if !a.overdue || !b.lowTraffic() {
		s.clearFaults()
	}
	if !a.overdue {
		b.publishRecovery(s)
	}
	b.scheduleRefresh(s)
	b.recordZoneAnswer(s.zoneHealth)
	if b.recordLoadReport(s, ev.LoadReport) > r.class.LatencyObjective {
		// Some overloaded servers stay slow until they are idle. The server is ejected for one round over
		// all servers, at most one objective.
		s.ejection.until = b.now + math.Min(b.longestObjective, float64(len(b.servers))/b.requestRate())
	}
	b.recordLatency(r, s, ev.Elapsed)
}

func (b *Balancer) recordFailure(a *attempt, result Result) {
	if result == Overloaded {
		b.retries.lastOverloadedAt = b.now
	}
	unreachable := result == ConnectFailed
	// An overdue attempt is already recorded as an error; giving up at the objective is no error.
	counted := a.overdue || a.endsAtObjective && result == TimedOut
	if unreachable || !counted {
		b.recordError(a.server, unreachable)
	}
	if unreachable {
		b.recordUnreachable(a.server)
	}
}

// scheduleTimer sets a request's timer to the time of its next check.
func (b *Balancer) scheduleTimer(r *request) {
	next := b.checkAttempts(r)
	if r.healthChecks.waitUntil > b.now {
		next = math.Min(next, r.healthChecks.waitUntil)
	} else if r.inFlight == 0 {
		next = math.Min(next, b.now+math.Max(b.config.EventInterval, r.class.LatencyObjective/20))
	}
	if next < r.timerAt {
		r.timerAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), Delay: math.Max(0, next-b.now)})
	}
}

package sidecar

import (
	"context"
	"sync"
	"time"

	"milldeck/balance"
)

// eventQueueSize is the number of events that other goroutines can post without blocking while the loop is busy.
const eventQueueSize = 1024

// initialWakeupDelay is how long the loop sleeps after its start if no timer is set and no event arrives.
const initialWakeupDelay = time.Hour

// eventLoop owns the balancer and its state: calls, timers, ready upstreams and the placement in force. It runs on one
// goroutine, which never blocks on I/O. Other goroutines send it events with post.
type eventLoop struct {
	config   *Config
	clock    clock
	wallNow  func() time.Time // the wall clock of the machine, which may jump
	boots    bootTimes
	balancer *balance.Balancer

	events  chan loopEvent
	stopped chan struct{} // closed when run ends

	ctx     context.Context // the context of run; its end cancels attempts, health checks and watches
	workers sync.WaitGroup

	pool      *connPool
	discovery *discoveryClient
	peers     *peerTransport // nil: no gossip

	calls          callTable
	timers         timerQueue
	readyUpstreams map[balance.ServerID]*upstreamHost
	addressOwners  addressOwners
	placement      placementState
}

func newEventLoop(config *Config, balancer *balance.Balancer, pool *connPool) *eventLoop {
	return &eventLoop{
		config:         config,
		clock:          newClock(),
		wallNow:        time.Now,
		boots:          newBootTimes(),
		balancer:       balancer,
		events:         make(chan loopEvent, eventQueueSize),
		stopped:        make(chan struct{}),
		pool:           pool,
		calls:          callTable{byID: map[balance.RequestID]*call{}},
		readyUpstreams: map[balance.ServerID]*upstreamHost{},
		addressOwners:  newAddressOwners(),
		placement:      placementState{timing: defaultPlacementTiming(), version: config.Version},
	}
}

// post queues an event for the loop. After the loop has stopped, it drops the event.
func (l *eventLoop) post(event loopEvent) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// run processes events until ctx ends, and returns when all workers have ended.
func (l *eventLoop) run(ctx context.Context) {
	defer l.workers.Wait()
	defer close(l.stopped)
	l.ctx = ctx
	l.start()
	wakeup := time.NewTimer(initialWakeupDelay)
	defer wakeup.Stop()
	for l.runBatch(ctx, wakeup) {
	}
}

// start notifies the balancer of the configured endpoints and starts to follow discovery and the placement.
func (l *eventLoop) start() {
	nowMS := l.clock.unixMS(time.Now())
	l.execute(nowMS, l.balancer.Start(nowMS))
	l.applyEndpointUpdate(nowMS, endpointUpdate{kind: balance.UpdateCached, endpoints: l.config.knownEndpoints})
	if !l.config.settings.Subscribe {
		l.discovery.maintainWatch(l.ctx)
	}
	l.setPlacementAddress(nowMS, l.config.PlacementAddress)
}

// runBatch waits for an event and handles all queued events as one batch, with one reading of the clock. Timers wake the
// loop at most once per event interval; other events are not delayed. It returns false when ctx ends.
func (l *eventLoop) runBatch(ctx context.Context, wakeup *time.Timer) bool {
	if wakeupMS, ok := l.timers.nextWakeupMS(l.config.settings.EventInterval); ok {
		wakeup.Reset(durationFromMS(wakeupMS - l.clock.unixMS(time.Now())))
	}
	select {
	case <-ctx.Done():
		return false
	case event := <-l.events:
		nowMS := l.clock.unixMS(time.Now())
		l.runDueTimers(nowMS)
		l.handleEvent(nowMS, event)
		for pending := len(l.events); pending > 0; pending-- {
			l.handleEvent(nowMS, <-l.events)
		}
	case message := <-l.peers.receive():
		nowMS := l.clock.unixMS(time.Now())
		l.runDueTimers(nowMS)
		l.dispatch(nowMS, message)
	case <-wakeup.C:
		nowMS := l.clock.unixMS(time.Now())
		l.timers.lastWakeupMS = nowMS
		l.runDueTimers(nowMS)
	}
	return true
}

// runDueTimers dispatches the timers that are due. A timer that is set during the dispatch waits for the next batch.
func (l *eventLoop) runDueTimers(nowMS float64) {
	for _, due := range l.timers.popDue(nowMS) {
		l.dispatch(nowMS, balance.TimerFired{Token: due.token})
	}
}

// handleEvent updates the state of the loop and dispatches the event to the balancer if the balancer needs it.
func (l *eventLoop) handleEvent(nowMS float64, event loopEvent) {
	switch event := event.(type) {
	case requestArrived:
		l.handleRequestArrived(nowMS, event.call)
	case clientDisconnected:
		l.cancelUnsentAttempts(event.call)
		l.dispatch(nowMS, balance.ClientDisconnected{Request: event.call.request.ID})
		l.calls.releaseIfDone(event.call)
	case attemptCompleted:
		l.handleAttemptCompleted(nowMS, event.attempt, event.exchange)
	case healthCheckDone:
		l.dispatch(nowMS, balance.HealthCheckResult{
			Server:     event.upstream.id,
			Result:     event.exchange.outcome,
			Elapsed:    nowMS - event.startedAtMS,
			LoadReport: event.exchange.loadReport,
		})
	case endpointUpdate:
		if event.generation == l.discovery.generation {
			l.applyEndpointUpdate(nowMS, event)
		}
	case discoveryAddressChanged:
		l.switchDiscovery(nowMS, event.address)
	case placementUpdate:
		l.applyPlacementUpdate(nowMS, event)
	case configReloaded:
		l.placement.version = event.version
		l.setPlacementAddress(nowMS, event.placementAddress)
	}
}

func (l *eventLoop) handleRequestArrived(nowMS float64, arrived *call) {
	l.calls.add(arrived)
	arrived.class = &l.config.settings.Classes[arrived.request.Class]
	request := arrived.request
	request.Timeout = l.clock.unixMS(arrived.deadline) - nowMS
	l.placement.active.recordRequest(nowMS, &request)
	l.dispatch(nowMS, request)
}

// handleAttemptCompleted dispatches the outcome of an attempt. The first successful attempt provides the response to the
// client.
func (l *eventLoop) handleAttemptCompleted(nowMS float64, attempt *attempt, exchange exchangeResult) {
	attempt.cancel()
	attempt.completed = true
	attempt.result = exchange.outcome
	traceEnded(attempt, &exchange)
	if exchange.unsent != nil {
		l.pool.guard.monitor.count(attemptNotSent)
	}
	attempt.neverExecuted = exchange.outcome.NeverExecuted()
	l.placement.active.recordOutcome(nowMS, attempt, exchange.outcome)
	call := attempt.call
	call.inFlight--
	if exchange.outcome == balance.OK && call.markAnswered() {
		call.response <- exchange.response
		l.cancelUnsentAttempts(call)
	} else {
		l.pool.responseMemory.release(exchange.response.reservedBytes)
	}
	l.dispatch(nowMS, balance.Outcome{
		Request:     call.request.ID,
		Attempt:     attempt.number,
		Server:      attempt.upstream.id,
		Result:      exchange.outcome,
		Elapsed:     nowMS - attempt.decidedAtMS,
		RequestDone: call.answered.Load(),
		LoadReport:  exchange.loadReport,
	})
	l.calls.releaseIfDone(call)
}

// cancelUnsentAttempts cancels the attempts that are not fully written, because nothing may be sent for an answered call.
func (l *eventLoop) cancelUnsentAttempts(call *call) {
	for _, attempt := range call.attempts {
		if !attempt.fullyWritten.Load() {
			attempt.cancel()
		}
	}
}

// dispatch hands an event to the balancer and executes the actions that it returns.
func (l *eventLoop) dispatch(nowMS float64, event balance.Event) {
	before := l.balancer.Violations()
	actions, err := l.balancer.Handle(nowMS, event)
	if found := l.balancer.Violations(); found != before {
		l.pool.guard.monitor.recordBalancerViolations(before, found)
	}
	if err != nil {
		loopLog.Error("balancer rejected an event", "error", err)
		return
	}
	l.execute(nowMS, actions)
}

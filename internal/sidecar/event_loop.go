package sidecar

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
)

// eventQueueSize lets socket goroutines hand over what they have while the loop is at work.
const eventQueueSize = 1024

// clock is the one clock of a sidecar: Unix milliseconds at its start, monotonic from there on, so that a
// server's boot_ms converts to the same figure each time it is listed.
type clock struct {
	start       time.Time
	startUnixMS float64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, startUnixMS: float64(now.UnixMicro()) / 1e3}
}

func (c clock) unixMS(t time.Time) float64 { return c.startUnixMS + float64(t.Sub(c.start))/1e6 }

func (c clock) timeAt(unixMS float64) time.Time {
	return c.start.Add(durationFromMS(unixMS - c.startUnixMS))
}

// call is a client's request. Who sets final owes the client the one answer.
type call struct {
	request  balance.Request
	outbound *outboundRequest
	deadline time.Time
	response chan response // takes the loop's answer without blocking

	answered atomic.Bool
	writeMu  sync.Mutex // held from the last check before an attempt's first byte to its last byte

	attempts []*attempt // the loop's alone, as is live
	inFlight int
}

// markAnswered reports whether the caller is the one to answer.
func (c *call) markAnswered() bool { return c.answered.CompareAndSwap(false, true) }

// rejectOrFail is what the client gets.
type response struct {
	status        int
	retryAfterMS  float64 // ms; 0: none
	contentType   string
	body          []byte
	reservedBytes int // of the memory for bodies, until it is written or dropped
}

// attempt is one send of a call to a server.
type attempt struct {
	call                 *call
	number               int
	upstream             *upstreamHost
	decidedAtMS          float64 // when the module decided
	deadline             time.Time
	idempotencyWindowEnd time.Time   // from here on servers may have forgotten the key of an earlier attempt; zero: no matter
	fullyWritten         atomic.Bool // its last byte is written
	ctx                  context.Context
	cancel               context.CancelFunc
	completed            bool // its outcome has come; the loop's alone, as is clean
	neverExecuted        bool // it surely never ran
}

// writeDeadline is when the last byte has to be written at the latest.
func (a *attempt) writeDeadline() time.Time {
	if !a.idempotencyWindowEnd.IsZero() && a.idempotencyWindowEnd.Before(a.deadline) {
		return a.idempotencyWindowEnd
	}
	return a.deadline
}

// What the loop is handed.
type (
	requestArrived     struct{ call *call }
	clientDisconnected struct{ call *call } // the client is gone, or its answer was overdue
	attemptCompleted   struct {
		attempt  *attempt
		exchange exchangeResult
	}
	healthCheckDone struct {
		upstream    *upstreamHost
		startedAtMS float64
		exchange    exchangeResult
	}
	endpointUpdate struct { // from discovery
		generation int // of the service that told it
		kind       balance.UpdateKind
		endpoints  endpointList
		// of ListFailed: see balance.ServerList
		unqueued bool
	}
	discoveryAddressChanged struct{ address string } // a new configuration names this address
	configReloaded          struct{ placementAddress, version string }
)

// timer is a SetTimer of the module.
type timer struct {
	dueMS float64
	token uint64
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].dueMS < t[j].dueMS }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(value any)    { *t = append(*t, value.(timer)) }
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// eventLoop is the one owner of the module, its timers and the table of requests. Nothing in it blocks on I/O.
type eventLoop struct {
	config          *Config
	clock           clock
	balancer        *balance.Balancer
	pool            *connPool
	discovery       *discoveryClient
	peers           *peerTransport
	placement       *activePlacement // nil: no placement is followed
	placementTiming placementTiming  // of the next placing
	version         string           // the label for reports
	events          chan any
	stopped         chan struct{}

	ctx     context.Context // ends all attempts and probes
	workers sync.WaitGroup

	calls           map[balance.RequestID]*call
	lastRequestID   balance.RequestID
	readyUpstreams  map[balance.ServerID]*upstreamHost // those that are ready
	timers          timerHeap
	timersLastRunMS float64 // when timers last woke the loop
}

func newEventLoop(config *Config, balancer *balance.Balancer, pool *connPool) *eventLoop {
	return &eventLoop{
		config: config, clock: newClock(), balancer: balancer, pool: pool,
		version: config.Version, placementTiming: placementTiming{placementSilenceTimeout, reportInterval, placementMaxBackoff, nowUnixMS},
		events: make(chan any, eventQueueSize), stopped: make(chan struct{}),
		calls: map[balance.RequestID]*call{}, readyUpstreams: map[balance.ServerID]*upstreamHost{},
	}
}

// post hands the loop something; after its end it is dropped.
func (l *eventLoop) post(event any) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// run works until ctx ends. What is waiting makes one batch with one reading of the clock. Timers wake the
// loop no more often than the quantum; what comes from sockets is never made to wait for it.
func (l *eventLoop) run(ctx context.Context) {
	defer l.workers.Wait()
	defer close(l.stopped)
	l.ctx = ctx
	nowMS := l.clock.unixMS(time.Now())
	l.execute(nowMS, l.balancer.Start(nowMS))
	l.applyEndpointUpdate(nowMS, endpointUpdate{kind: balance.UpdateCached, endpoints: l.config.knownEndpoints})
	if !l.config.settings.Subscribe {
		l.discovery.subscribe(ctx)
	}
	l.followPlacement(nowMS, l.config.PlacementAddress)
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	for {
		if len(l.timers) > 0 {
			nextDueMS := max(l.timers[0].dueMS, l.timersLastRunMS+l.config.settings.EventInterval)
			wakeup.Reset(durationFromMS(nextDueMS - l.clock.unixMS(time.Now())))
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			nowMS := l.clock.unixMS(time.Now())
			l.runDueTimers(nowMS)
			l.handleEvent(nowMS, event)
			for pending := len(l.events); pending > 0; pending-- {
				l.handleEvent(nowMS, <-l.events)
			}
		case event := <-l.peers.receive():
			nowMS := l.clock.unixMS(time.Now())
			l.runDueTimers(nowMS)
			l.dispatch(nowMS, event)
		case <-wakeup.C:
			l.timersLastRunMS = l.clock.unixMS(time.Now())
			l.runDueTimers(l.timersLastRunMS)
		}
	}
}

// runDueTimers delivers the timers that are due; one that is set meanwhile waits for the next batch.
func (l *eventLoop) runDueTimers(nowMS float64) {
	var due []timer
	for len(l.timers) > 0 && l.timers[0].dueMS <= nowMS {
		due = append(due, heap.Pop(&l.timers).(timer))
	}
	for _, dueTimer := range due {
		l.dispatch(nowMS, balance.TimerFired{Token: dueTimer.token})
	}
}

func (l *eventLoop) handleEvent(nowMS float64, event any) {
	switch event := event.(type) {
	case requestArrived:
		l.lastRequestID++
		event.call.request.ID = l.lastRequestID
		l.calls[l.lastRequestID] = event.call
		request := event.call.request
		request.Timeout = l.clock.unixMS(event.call.deadline) - nowMS
		l.placement.recordRequest(nowMS, &request)
		l.dispatch(nowMS, request)
	case clientDisconnected:
		l.cancelUnsentAttempts(event.call)
		l.dispatch(nowMS, balance.ClientDisconnected{Request: event.call.request.ID})
		l.releaseIfDone(event.call)
	case attemptCompleted:
		l.handleAttemptCompleted(nowMS, event.attempt, event.exchange)
	case healthCheckDone:
		l.dispatch(nowMS, balance.HealthCheckResult{
			Server: event.upstream.id, Result: event.exchange.outcome, Elapsed: nowMS - event.startedAtMS, LoadReport: event.exchange.loadReport,
		})
	case endpointUpdate:
		if event.generation == l.discovery.generation { // else it was queued when the sidecar moved to another service
			l.applyEndpointUpdate(nowMS, event)
		}
	case discoveryAddressChanged:
		l.switchDiscovery(event.address)
	case placementUpdate:
		l.applyPlacementUpdate(nowMS, event)
	case configReloaded:
		l.version = event.version
		l.followPlacement(nowMS, event.placementAddress)
	}
}

// handleAttemptCompleted passes on the one outcome of an attempt. The first that is served is the client's answer.
func (l *eventLoop) handleAttemptCompleted(nowMS float64, attempt *attempt, exchange exchangeResult) {
	attempt.cancel()
	attempt.completed, attempt.neverExecuted = true, exchange.outcome.NeverExecuted()
	l.placement.recordOutcome(nowMS, attempt, exchange.outcome)
	call := attempt.call
	call.inFlight--
	if exchange.outcome == balance.OK && call.markAnswered() {
		call.response <- exchange.response
		l.cancelUnsentAttempts(call)
	} else {
		l.pool.bodyMemory.release(exchange.response.reservedBytes)
	}
	l.dispatch(nowMS, balance.Outcome{
		Request: call.request.ID, Attempt: attempt.number, Server: attempt.upstream.id, Result: exchange.outcome, Elapsed: nowMS - attempt.decidedAtMS,
		RequestDone: call.answered.Load(), LoadReport: exchange.loadReport,
	})
	l.releaseIfDone(call)
}

// cancelUnsentAttempts stops what has not been sent yet: after the final answer nothing more is.
func (l *eventLoop) cancelUnsentAttempts(call *call) {
	for _, attempt := range call.attempts {
		if !attempt.fullyWritten.Load() {
			attempt.cancel()
		}
	}
}

// releaseIfDone drops a call that is answered and has nothing out.
func (l *eventLoop) releaseIfDone(call *call) {
	if call.inFlight == 0 && call.answered.Load() {
		delete(l.calls, call.request.ID)
	}
}

// switchDiscovery follows discovery at another address, at once: what it tells counts as told soon after. The servers
// stay as they are until it has told.
func (l *eventLoop) switchDiscovery(address string) {
	l.discovery.switchAddress(address)
	if l.config.settings.Subscribe {
		l.discovery.watch(l.ctx)
	} else {
		l.discovery.subscribe(l.ctx)
	}
}

// applyEndpointUpdate brings the table of servers up to date before the module hears of it, so that attempts on their
// way see at their first byte what the module sees.
func (l *eventLoop) applyEndpointUpdate(nowMS float64, update endpointUpdate) {
	if update.kind == balance.UpdateFailed {
		l.dispatch(nowMS, balance.EndpointUpdate{Kind: update.kind, DiscoveryUnreachable: update.unqueued})
		return
	}
	l.discovery.revision.Store(update.endpoints.Revision)
	servers := make([]balance.Server, 0, len(update.endpoints.Endpoints))
	listedIDs := make(map[balance.ServerID]bool, len(update.endpoints.Endpoints))
	for i := range update.endpoints.Endpoints {
		listed := &update.endpoints.Endpoints[i]
		server := l.config.toServer(listed)
		known := l.readyUpstreams[server.ID]
		if known != nil && known.bootMS == listed.BootMS {
			server.StartedAt = known.startedAtMS // its start is no news
		} else {
			server.StartedAt = math.Min(server.StartedAt, nowMS) // clocks differ: none starts in the future
		}
		servers = append(servers, server)
		listedIDs[server.ID] = true
		unchanged := known != nil && server.State == balance.Ready && known.address == listed.Address && known.bootMS == listed.BootMS
		if unchanged {
			continue
		}
		l.retireUpstream(known)
		if server.State == balance.Ready {
			l.readyUpstreams[server.ID] = &upstreamHost{id: server.ID, address: listed.Address, bootMS: listed.BootMS, startedAtMS: server.StartedAt, zone: listed.Zone}
		}
	}
	if update.kind != balance.UpdateDelta {
		for id, upstream := range l.readyUpstreams {
			if !listedIDs[id] {
				l.retireUpstream(upstream)
			}
		}
	}
	l.dispatch(nowMS, balance.EndpointUpdate{Kind: update.kind, Servers: servers})
}

// retireUpstream ends a server's process as this sidecar knew it: nothing new goes to it, its connections go.
func (l *eventLoop) retireUpstream(upstream *upstreamHost) {
	if upstream != nil {
		delete(l.readyUpstreams, upstream.id)
		l.pool.retire(upstream)
	}
}

func (l *eventLoop) dispatch(nowMS float64, event balance.Event) {
	actions, err := l.balancer.Handle(nowMS, event)
	if err != nil {
		slog.Error("the module refuses an event", "error", err)
		return
	}
	l.execute(nowMS, actions)
}

func (l *eventLoop) execute(nowMS float64, actions []balance.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case balance.Send:
			l.startAttempt(nowMS, action)
		case balance.Reject, balance.Fail:
			l.rejectOrFail(nowMS, action)
		case balance.Cancel:
			if call := l.calls[action.Request]; call != nil && action.Attempt < len(call.attempts) {
				call.attempts[action.Attempt].cancel()
			}
		case balance.SetTimer:
			heap.Push(&l.timers, timer{dueMS: nowMS + math.Max(action.At, 0), token: action.Token})
		case balance.HealthCheck:
			l.startHealthCheck(nowMS, action.Server)
		case balance.CloseIdleConnections:
			if upstream := l.readyUpstreams[action.Server]; upstream != nil {
				l.pool.closeIdle(upstream)
			}
		case balance.SendGossip:
			l.peers.send(action.Peer, action.Data)
		case balance.Log:
			slog.Info("module", "text", action.Text)
		case balance.WatchEndpoints:
			l.discovery.watch(l.ctx)
		case balance.FetchEndpoints:
			l.discovery.fetchList(l.ctx)
		default:
			slog.Error("the module asks for what this sidecar cannot do", "action", action.Kind)
		}
	}
}

func (l *eventLoop) startAttempt(nowMS float64, action *balance.Action) {
	call := l.calls[action.Request]
	if call == nil {
		return
	}
	deadline := call.deadline
	if action.At > 0 {
		if dropAt := l.clock.timeAt(action.At); dropAt.Before(deadline) {
			deadline = dropAt
		}
	}
	upstream := l.readyUpstreams[action.Server]
	if upstream == nil { // hardly: the module sends to ready servers of the same list
		upstream = &upstreamHost{id: action.Server}
		upstream.retired.Store(true)
	}
	started := &attempt{call: call, number: len(call.attempts), upstream: upstream, decidedAtMS: nowMS, deadline: deadline, idempotencyWindowEnd: l.idempotencyWindowEnd(call)}
	started.ctx, started.cancel = context.WithCancel(l.ctx)
	call.attempts = append(call.attempts, started)
	call.inFlight++
	l.workers.Go(func() { l.post(attemptCompleted{started, l.pool.sendAttempt(started)}) })
}

// idempotencyWindowEnd is when the window ends in which servers drop a repeat of a call: counted from the earliest attempt that may
// have run. The module leaves time to connect, but a write may block, or move to a second connection.
func (l *eventLoop) idempotencyWindowEnd(call *call) (end time.Time) {
	class := &l.config.settings.Classes[call.request.Class]
	if class.Idempotency != balance.IdempotentWithKey {
		return end
	}
	for _, attempt := range call.attempts {
		// A window may be longer than a time.Duration: beyond the deadline it is no bound.
		if endMS := attempt.decidedAtMS + class.IdempotencyWindow; !attempt.neverExecuted && endMS < l.clock.unixMS(call.deadline) {
			if windowEnd := l.clock.timeAt(endMS); end.IsZero() || windowEnd.Before(end) {
				end = windowEnd
			}
		}
	}
	return end
}

func (l *eventLoop) startHealthCheck(nowMS float64, serverID balance.ServerID) {
	upstream := l.readyUpstreams[serverID]
	if upstream == nil {
		upstream = &upstreamHost{id: serverID}
		upstream.retired.Store(true)
	}
	l.workers.Go(func() { l.post(healthCheckDone{upstream, nowMS, l.pool.checkHealth(l.ctx, upstream)}) })
}

// rejectOrFail gives a call up: refused, where a later try does no harm, or failed.
func (l *eventLoop) rejectOrFail(nowMS float64, action *balance.Action) {
	call := l.calls[action.Request]
	if call == nil || !call.markAnswered() {
		return
	}
	l.cancelUnsentAttempts(call)
	switch {
	case action.Kind == balance.Reject:
		call.response <- response{status: statusRejected, retryAfterMS: action.At}
	case nowMS >= l.clock.unixMS(call.deadline):
		call.response <- response{status: statusTimedOut}
	default:
		call.response <- response{status: statusFailed}
	}
	l.releaseIfDone(call)
}

package live

import (
	"context"
	"math/rand/v2"
	"time"

	"milldeck/internal/lab"
)

// modelledPath is the network path between a sidecar and a server, with the plan's delays and the faults in force.
type modelledPath struct {
	fleet           *fleet
	server, sidecar int
}

// latency returns the one-way delay between the sidecar's zone and the server, with jitter.
func (p *modelledPath) latency() time.Duration {
	delayMS := p.fleet.plan.Servers[p.server].DelayByZone[p.fleet.plan.Sidecars[p.sidecar].Zone]
	return milliseconds(delayMS * (1 + p.fleet.plan.Experiment.Network.Jitter*(2*rand.Float64()-1)))
}

// ends returns the two ends of the link.
func (p *modelledPath) ends() (server, sidecar lab.LinkEnd) {
	return lab.LinkEnd{Kind: lab.ServerEnd, Index: p.server}, sidecarEnd(p.sidecar)
}

func (p *modelledPath) deliverRequest(ctx context.Context, newConnection bool) bool {
	server, sidecar := p.ends()
	oneWayTrips := 1.0
	if newConnection {
		oneWayTrips += 2 * handshakeRoundTrips
	}
	delay := time.Duration(oneWayTrips * float64(p.latency()))
	return p.fleet.network.transmit(ctx, sidecar, server, delay, rand.Float64())
}

func (p *modelledPath) deliverResponse(ctx context.Context) bool {
	server, sidecar := p.ends()
	return p.fleet.network.transmit(ctx, server, sidecar, p.latency(), rand.Float64())
}

// observedAttempt is an attempt that is reported to the checker and the recorder. The server of the attempt runs in this
// process or in a process of its own.
type observedAttempt struct {
	modelledPath
	requestID uint64
	attempt   int64
	request   *sentRequest // nil if no client has sent it
}

// recordAttempt reports an attempt to the checker. The second result is true if a client has sent the request.
func (f *fleet) recordAttempt(server int, requestID uint64, sidecar int, firstByteAt, lastByteAt time.Time) (*observedAttempt, bool) {
	request, ok := f.sentRequests.Load(requestID)
	attempt := &observedAttempt{
		modelledPath: modelledPath{f, server, sidecar}, requestID: requestID, attempt: f.lastAttempt.Add(1),
	}
	if ok {
		attempt.request = request.(*sentRequest)
		attempt.sidecar = attempt.request.Sidecar
	}
	received, started := f.millisecondsAt(lastByteAt), f.millisecondsAt(firstByteAt)
	f.checker.AttemptReceived(received, started, requestID, attempt.attempt, attempt.sidecar, server)
	return attempt, ok
}

func (a *observedAttempt) job() lab.Job {
	request := a.request
	return lab.Job{
		Attempt: a.attempt, Request: a.requestID, Class: request.Class,
		Key: request.Key, EffectID: request.EffectID, WorkMS: request.WorkMS,
		SenderInformed: a.fleet.knowsIncarnation(a.sidecar, a.server),
	}
}

func (a *observedAttempt) ended(result string) { a.endedAt(a.fleet.now(), result) }

// endedAt ends the attempt at a time of the run in ms.
func (a *observedAttempt) endedAt(now float64, result string) {
	a.fleet.checker.AttemptEnded(now, a.requestID, a.attempt, result)
	a.fleet.recorder.AttemptDone(now, a.sidecar, a.server, a.fleet.countAttempt(a.requestID), result)
}

func (a *observedAttempt) responseProduced() {
	a.fleet.checker.ResponseProduced(a.fleet.now(), a.requestID, a.server)
}

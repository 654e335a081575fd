package live

import (
	"context"
	"math/rand/v2"
	"time"

	"milldeck/internal/lab"
)

// sidecarPath is the modelled network between a sidecar and a server.
type sidecarPath struct {
	fleet           *fleet
	server, sidecar int
}

// latency is the one-way delay between the sidecar's zone and the server, with jitter.
func (l *sidecarPath) latency() time.Duration {
	delayMS := l.fleet.plan.Servers[l.server].DelayByZone[l.fleet.plan.Sidecars[l.sidecar].Zone]
	return milliseconds(delayMS * (1 + l.fleet.plan.Experiment.Network.Jitter*(2*rand.Float64()-1)))
}

// endpoints are the two ends of the link.
func (l *sidecarPath) endpoints() (server, sidecar lab.Endpoint) {
	return lab.Endpoint{Kind: lab.ServerEndpoint, Index: l.server}, sidecarEndpoint(l.sidecar)
}

func (l *sidecarPath) deliverRequest(ctx context.Context, newConnection bool) bool {
	server, sidecar := l.endpoints()
	oneWayTrips := 1.0
	if newConnection {
		oneWayTrips += 2 * handshakeRoundTrips
	}
	delay := time.Duration(oneWayTrips * float64(l.latency()))
	return l.fleet.network.transmit(ctx, sidecar, server, delay, rand.Float64())
}

func (l *sidecarPath) deliverResponse(ctx context.Context) bool {
	server, sidecar := l.endpoints()
	return l.fleet.network.transmit(ctx, server, sidecar, l.latency(), rand.Float64())
}

// observedAttempt is an attempt at a server in this or in its own process, which the checker and the recorder follow.
type observedAttempt struct {
	sidecarPath
	requestID uint64
	attempt   int64
	request   *sentRequest // nil: no client sent the request
}

// recordAttempt reports an attempt to the checker. ok tells whether a client sent its request.
func (f *fleet) recordAttempt(server int, requestID uint64, sidecar int, firstByteAt, lastByteAt time.Time) (*observedAttempt, bool) {
	request, ok := f.sentRequests.Load(requestID)
	attempt := &observedAttempt{
		sidecarPath: sidecarPath{f, server, sidecar}, requestID: requestID, attempt: f.lastAttempt.Add(1),
	}
	if ok {
		attempt.request = request.(*sentRequest)
		attempt.sidecar = attempt.request.Sidecar
	}
	received, started := f.millisecondsAt(lastByteAt), f.millisecondsAt(firstByteAt)
	f.checker.AttemptReceived(received, started, requestID, attempt.attempt, attempt.sidecar, server)
	return attempt, ok
}

func (c *observedAttempt) job() lab.Job {
	request := c.request
	return lab.Job{
		Attempt: c.attempt, Request: c.requestID, Class: request.Class,
		Key: request.Key, EffectID: request.EffectID, WorkMS: request.WorkMS,
		SenderInformed: c.fleet.isInformed(c.sidecar, c.server),
	}
}

func (c *observedAttempt) ended(result string) { c.endedAt(c.fleet.now(), result) }

// endedAt ends the attempt at a time of the run in ms.
func (c *observedAttempt) endedAt(now float64, result string) {
	c.fleet.checker.AttemptEnded(now, c.requestID, c.attempt, result)
	c.fleet.recorder.AttemptDone(now, c.sidecar, c.server, c.fleet.isRetry(c.requestID), result)
}

func (c *observedAttempt) responseProduced() {
	c.fleet.checker.ResponseProduced(c.fleet.now(), c.requestID, c.server)
}

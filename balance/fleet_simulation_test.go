package balance

import (
	"container/heap"
	"testing"
)

// simulatedFleet is a set of balancers with common servers, on one virtual clock. It shows behaviour that is harmless
// in one sidecar and harmful if all sidecars show it.
type simulatedFleet struct {
	t         *testing.T
	now       float64
	balancers []*Balancer
	lastID    RequestID
	pending   fleetEventHeap
	sequence  int

	// serve returns the result of an attempt at a server and the time that the attempt takes.
	serve func(s ServerID) (Result, float64)
	// onAction and onOutcome are called for each action and each outcome of each balancer.
	onAction  func(from int, a Action)
	onOutcome func(from int, o Outcome)
}

type fleetEvent struct {
	at       float64
	sequence int // order of events that are due at the same time
	to       int
	ev       Event
}

type fleetEventHeap []fleetEvent

func (e fleetEventHeap) Len() int { return len(e) }
func (e fleetEventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e fleetEventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends a fleetEvent.
func (e *fleetEventHeap) Push(v any) { *e = append(*e, v.(fleetEvent)) }

// Pop removes the last fleetEvent.
func (e *fleetEventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulatedFleet starts n balancers with the same servers.
func newSimulatedFleet(t *testing.T, cfg Config, n int, servers []Server) *simulatedFleet {
	fleet := &simulatedFleet{
		t: t, now: 1000,
		serve:    func(ServerID) (Result, float64) { return OK, 20 },
		onAction: func(int, Action) {}, onOutcome: func(int, Outcome) {},
	}
	for i := range n {
		cfg.Seed, cfg.SidecarIndex, cfg.SidecarCount = splitmix64(uint64(i)+1), i, n
		fleet.balancers = append(fleet.balancers, mustNew(t, cfg))
		fleet.execute(i, fleet.balancers[i].Start(fleet.now))
		fleet.deliver(i, EndpointUpdate{Kind: UpdateCached, Servers: servers})
	}
	return fleet
}

func (fleet *simulatedFleet) schedule(at float64, to int, ev Event) {
	fleet.sequence++
	heap.Push(&fleet.pending, fleetEvent{at, fleet.sequence, to, ev})
}

func (fleet *simulatedFleet) deliver(to int, ev Event) {
	fleet.t.Helper()
	actions, err := fleet.balancers[to].Handle(fleet.now, ev)
	if err != nil {
		fleet.t.Fatalf("%#v: %v", ev, err)
	}
	fleet.execute(to, actions)
}

func (fleet *simulatedFleet) execute(from int, actions []Action) {
	for _, a := range actions {
		fleet.onAction(from, a)
		switch a.Kind {
		case Send:
			r := fleet.balancers[from].requests.open[a.Request]
			result, took := fleet.serve(a.Server)
			if remaining := r.deadline - fleet.now; took > remaining {
				result, took = TimedOut, remaining
			}
			fleet.schedule(fleet.now+took, from, Outcome{
				Request: a.Request, Attempt: len(r.attempts) - 1, Server: a.Server, Result: result,
				Elapsed: took, RequestDone: result == OK,
			})
		case SetTimer:
			fleet.schedule(fleet.now+a.Delay, from, TimerFired{Token: a.Token})
		}
	}
}

// request delivers an idempotent request to one balancer.
func (fleet *simulatedFleet) request(to int, key uint64) {
	fleet.t.Helper()
	fleet.lastID++
	class := &fleet.balancers[to].config.Classes[idempotentClass]
	fleet.deliver(to, Request{ID: fleet.lastID, Class: idempotentClass, Key: key, Timeout: class.Deadline})
}

// run delivers the events that are due until a time.
func (fleet *simulatedFleet) run(until float64) {
	fleet.t.Helper()
	for len(fleet.pending) > 0 && fleet.pending[0].at <= until {
		e := heap.Pop(&fleet.pending).(fleetEvent)
		fleet.now = e.at
		if o, ok := e.ev.(Outcome); ok {
			r := fleet.balancers[e.to].requests.open[o.Request]
			if r == nil || !r.attempts[o.Attempt].inFlight {
				continue
			}
			o.RequestDone = o.RequestDone || r.finished
			fleet.onOutcome(e.to, o)
			e.ev = o
		}
		fleet.deliver(e.to, e.ev)
	}
	fleet.now = until
}

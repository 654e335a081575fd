package balance

import (
	"container/heap"
	"testing"
)

// simulatedFleet is many balancers and the servers that they share, on one virtual clock: what is harmless in one sidecar
// and harmful in all of them shows only here.
type simulatedFleet struct {
	t         *testing.T
	now       float64
	balancers []*Balancer
	lastID    RequestID
	pending   fleetEventHeap
	sequence  int

	// serve returns how an attempt at a server ends, and after what time.
	serve func(s ServerID) (Result, float64)
	// These are called for each action of each balancer, and for each outcome.
	onAction  func(from int, a Action)
	onOutcome func(from int, o Outcome)
}

type fleetEvent struct {
	at       float64
	sequence int // order of what is due at the same time
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
	w := &simulatedFleet{
		t: t, now: 1000,
		serve:    func(ServerID) (Result, float64) { return OK, 20 },
		onAction: func(int, Action) {}, onOutcome: func(int, Outcome) {},
	}
	for i := range n {
		cfg.Seed, cfg.SidecarIndex, cfg.SidecarCount = splitmix64(uint64(i)+1), i, n
		w.balancers = append(w.balancers, mustNew(t, cfg))
		w.execute(i, w.balancers[i].Start(w.now))
		w.deliver(i, EndpointUpdate{Kind: UpdateCached, Servers: servers})
	}
	return w
}

func (w *simulatedFleet) schedule(at float64, to int, ev Event) {
	w.sequence++
	heap.Push(&w.pending, fleetEvent{at, w.sequence, to, ev})
}

func (w *simulatedFleet) deliver(to int, ev Event) {
	w.t.Helper()
	actions, err := w.balancers[to].Handle(w.now, ev)
	if err != nil {
		w.t.Fatalf("%#v: %v", ev, err)
	}
	w.execute(to, actions)
}

func (w *simulatedFleet) execute(from int, actions []Action) {
	for _, a := range actions {
		w.onAction(from, a)
		switch a.Kind {
		case Send:
			r := w.balancers[from].requests.open[a.Request]
			res, took := w.serve(a.Server)
			if left := r.deadline - w.now; took > left {
				res, took = TimedOut, left
			}
			w.schedule(w.now+took, from, Outcome{
				Request: a.Request, Attempt: len(r.attempts) - 1, Server: a.Server, Result: res, Elapsed: took, RequestDone: res == OK,
			})
		case SetTimer:
			w.schedule(w.now+a.Delay, from, TimerFired{Token: a.Token})
		}
	}
}

// request delivers an idempotent request to one balancer.
func (w *simulatedFleet) request(to int, key uint64) {
	w.t.Helper()
	w.lastID++
	class := &w.balancers[to].config.Classes[idempotentClass]
	w.deliver(to, Request{ID: w.lastID, Class: idempotentClass, Key: key, Timeout: class.Deadline})
}

// run delivers all that is due until a time.
func (w *simulatedFleet) run(until float64) {
	w.t.Helper()
	for len(w.pending) > 0 && w.pending[0].at <= until {
		e := heap.Pop(&w.pending).(fleetEvent)
		w.now = e.at
		if o, ok := e.ev.(Outcome); ok {
			r := w.balancers[e.to].requests.open[o.Request]
			if r == nil || !r.attempts[o.Attempt].inFlight {
				continue
			}
			o.RequestDone = o.RequestDone || r.finished
			w.onOutcome(e.to, o)
			e.ev = o
		}
		w.deliver(e.to, e.ev)
	}
	w.now = until
}

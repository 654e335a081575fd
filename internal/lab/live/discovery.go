package live

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milldeck/internal/lab"
)

const (
	emptyLine   = 2 * time.Second // PROTOCOL: an empty line where nothing changes
	oldStays    = 1500 * time.Millisecond
	historyMost = 4096 // changes that an agent keeps for watches that ask after an older revision
)

// target is an entry in PROTOCOL's form.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     float64 `json:"boot_ms"`
}

type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// The states of PROTOCOL.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

// change is one entry that an agent has been sent.
type change struct {
	rev    int64
	server int
	entry  target
}

// agent is the stand-in for the discovery agent on one sidecar's machine: it answers at once with what it has
// been sent, and is silent while discovery is down.
type agent struct {
	f *fleet
	n int // of the sidecar

	mu      sync.Mutex
	rev     int64
	entries map[int]target // by server; those gone are left out
	boots   map[int]float64
	log     []change
	pending []change
	woken   chan struct{}
	srv     *http.Server
	moves   int
	queue   chan sending
}

// sending is a change on its way to an agent.
type sending struct {
	due float64 // ms
	change
}

// queueLength is how many changes can be on their way to an agent at a time; publishing waits beyond it.
const queueLength = 1 << 14

func newAgent(f *fleet, n int) *agent {
	return &agent{f: f, n: n, rev: 1, entries: map[int]target{}, boots: map[int]float64{}, woken: make(chan struct{}), queue: make(chan sending, queueLength)}
}

// open serves at the agent's address, or after a move at its other one.
func (a *agent) open() error {
	ln, err := net.Listen("tcp4", a.addr())
	if err != nil {
		return fmt.Errorf("discovery of sidecar %d: %w", a.n, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serve)
	a.srv = &http.Server{Handler: mux, ReadHeaderTimeout: closeWait}
	go a.srv.Serve(ln)
	return nil
}

func (a *agent) addr() string { return a.f.addrs.discovery(a.n, a.moves%2) }

// move goes to the other address; the old one takes nothing new and ends soon.
func (a *agent) move() error {
	old := a.srv
	a.moves++
	if err := a.open(); err != nil {
		return err
	}
	// Shutdown closes the listener at once and waits for watches, which never end by themselves.
	ctx, cancel := context.WithTimeout(context.Background(), oldStays)
	go func() {
		defer cancel()
		if old.Shutdown(ctx) != nil {
			old.Close()
		}
	}()
	return nil
}

func (a *agent) close() {
	if a.srv != nil {
		a.srv.Close()
	}
}

// deaf tells whether discovery cannot reach the agent.
func (a *agent) deaf() bool {
	cut, _, _, _ := a.f.net.way(lab.Endpoint{Kind: lab.DiscoveryEndpoint}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: a.n})
	return cut || a.f.discoveryDown.Load()
}

// receive takes changes as they come to the machine, in order, until the run ends.
func (a *agent) receive() {
	for {
		select {
		case <-a.f.ctx.Done():
			return
		case s := <-a.queue:
			if !sleep(a.f.ctx, millis(s.due-a.f.now())) {
				return
			}
			a.mu.Lock()
			a.pending = append(a.pending, s.change)
			a.mu.Unlock()
			a.catchUp()
		}
	}
}

// catchUp takes over what came, unless discovery is out of reach.
func (a *agent) catchUp() {
	if a.deaf() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		return
	}
	for _, c := range a.pending {
		a.rev = max(a.rev, c.rev)
		if c.entry.State == gone {
			delete(a.entries, c.server)
		} else {
			a.entries[c.server] = c.entry
		}
		a.boots[c.server] = c.entry.Boot
		a.log = append(a.log, c)
	}
	if extra := len(a.log) - historyMost; extra > 0 {
		a.log = a.log[extra:]
	}
	a.pending = nil
	close(a.woken)
	a.woken = make(chan struct{})
}

// all is the whole list; the caller holds the lock.
func (a *agent) all() list {
	l := list{Rev: a.rev, All: true, Targets: []target{}}
	for i := range a.f.servers {
		if e, is := a.entries[i]; is {
			l.Targets = append(l.Targets, e)
		}
	}
	return l
}

// since is what changed after a revision, newest entry of each server only; the whole list where that is not
// known any more. The caller holds the lock.
func (a *agent) since(rev int64) (list, map[int]bool) {
	told := map[int]bool{}
	if rev <= 0 || rev > a.rev || len(a.log) > 0 && rev < a.log[0].rev-1 {
		for i := range a.f.servers {
			if _, known := a.boots[i]; known {
				told[i] = a.entries[i].State == ready
			}
		}
		return a.all(), told
	}
	last := map[int]target{}
	for _, c := range a.log {
		if c.rev > rev {
			last[c.server] = c.entry
		}
	}
	l := list{Rev: a.rev, Targets: []target{}}
	for i := range a.f.servers {
		if e, is := last[i]; is {
			l.Targets = append(l.Targets, e)
			told[i] = e.State == ready
		}
	}
	return l, told
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("watch") == "" {
		a.mu.Lock()
		l, told := a.since(0)
		a.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(l) == nil {
			a.tell(told)
		}
		return
	}
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if q.Get("after") != "" && err != nil {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	a.watch(w, r, after)
}

func (a *agent) watch(w http.ResponseWriter, r *http.Request, after int64) {
	out := http.NewResponseController(w)
	quiet := time.NewTicker(emptyLine)
	defer quiet.Stop()
	first := true
	for {
		a.mu.Lock()
		l, told := a.since(after)
		woken := a.woken
		a.mu.Unlock()
		if l.All || len(l.Targets) > 0 || first {
			line, err := json.Marshal(l)
			if err != nil {
				return
			}
			if _, err := w.Write(append(line, '\n')); err != nil || out.Flush() != nil {
				return
			}
			a.tell(told)
			after, first = l.Rev, false
			quiet.Reset(emptyLine)
		}
		select {
		case <-r.Context().Done():
			return
		case <-woken:
		case <-quiet.C:
			if a.deaf() {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

// tell records what the sidecar has been told.
func (a *agent) tell(told map[int]bool) {
	now := a.f.now()
	for s, isReady := range told {
		a.f.judge.EndpointNotified(now, a.n, s, isReady)
	}
}

// entry is a server's, as one sidecar sees it.
func (f *fleet) entry(s *server, sidecar int, state string) target {
	boot := 0.0
	if s.boot > 0 {
		boot = f.unix(s.boot)
	}
	return target{
		UID: s.plan.UID, Endpoint: f.addrs.server(s.plan.AddressSlot, sidecar), Zone: f.plan.Experiment.Zones[s.plan.Zone],
		Model: s.plan.Spec.Kind, Pod: s.plan.Cell, State: state, Capacity: 1, Boot: boot,
	}
}

// publish tells every agent of a server, each after its own time and in order.
func (f *fleet) publish(s *server, state string) {
	if f.registry != nil {
		f.registry.publish(s, state)
		return
	}
	f.listMu.Lock()
	defer f.listMu.Unlock()
	f.rev++
	f.listed[s.n] = state
	for i, a := range f.agents {
		c := change{f.rev, s.n, f.entry(s, i, state)}
		select {
		case a.queue <- sending{f.now() + f.plan.Sidecars[i].NotificationDelayMS + f.discoveryLate, c}:
		case <-f.ctx.Done():
		}
	}
}

// state is what discovery has been told of a server.
func (f *fleet) state(s *server) string {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	return f.listed[s.n]
}

// informed tells whether a sidecar has been told of a server's present life.
func (f *fleet) informed(sidecar, server int) bool {
	a, s := f.agents[sidecar], f.servers[server]
	s.mu.Lock()
	boot := s.boot
	s.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	known, is := a.boots[server]
	return is && (boot == 0 || known == f.unix(boot))
}

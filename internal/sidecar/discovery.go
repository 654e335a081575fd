package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"milldeck/balance"
)

const (
	// What a watch that fell silent misses counts as told 6 s later (PROTOCOL). An empty line comes every 2 s; a
	// watch with none for a quarter longer has ended, whatever its connection says: a machine that is cut off
	// closes nothing. An early verdict costs one call at the machine's own agent; a late one would leave no time
	// for a second and third try, should these fall silent as well.
	silence = 2500 * time.Millisecond
	// Where lists are pushed the agent on the machine answers at once, or is silent because discovery is.
	agentWait = 1200 * time.Millisecond
	// Elsewhere a call may wait in turn at discovery, and one that is cut off looks the same. What discovery has
	// counts as told 6 s after it can be reached (PROTOCOL): two silent calls in a row have to be over by then, or
	// one and the module's longest pause.
	callWait = 2500 * time.Millisecond
	// From the third silent call on each may wait longer: a call that is given up goes to the end of the queue.
	queueWait  = 5 * time.Second
	queueLeast = time.Second // a call that discovery refuses sooner has not waited in turn
	dialWait   = time.Second
	maxValue   = 1 << 20                // thousands of servers; a process may have no more than 32 MB
	maxHint    = 1000                   // capacity_hint beyond it is no size
	leastPause = 100 * time.Millisecond // at the most before a call that follows a silent one, or the first that failed
	maxBackoff = 400 * time.Millisecond // the agent may come back with a drain, and then sends there must end within its grace
)

var (
	errSilent   = errors.New("no line in time")
	errRefused  = errors.New("discovery answers")
	errValueBig = errors.New("list too long")
)

// list is the form in which discovery tells of servers.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // on the scale of the sidecar's clock, which starts at Unix time
}

// check drops entries that cannot be used and refuses a list that would take servers away by mistake: what
// is no list, or none of whose entries can be used.
func (l *list) check() error {
	if l.All && l.Targets == nil {
		return errors.New("a whole list without targets")
	}
	said := len(l.Targets)
	times := make(map[string]int, said)
	for i := range l.Targets {
		times[l.Targets[i].UID]++
	}
	l.Targets = slices.DeleteFunc(l.Targets, func(t target) bool {
		times[t.UID]--
		return t.UID == "" || times[t.UID] > 0 || t.State != "Gone" && !usable(t.Endpoint) // of two the last holds
	})
	if said > 0 && len(l.Targets) == 0 {
		return errors.New("a list without any usable entry")
	}
	if len(l.Targets) < said {
		slog.Warn("discovery: entries without a use of their own left out", "entries", said-len(l.Targets))
	}
	for i := range l.Targets {
		t := &l.Targets[i]
		if !(t.Capacity > 0 && t.Capacity <= maxHint) {
			t.Capacity = 1
		}
		t.BootMS = max(t.BootMS, 0)
	}
	return nil
}

// usable tells whether an endpoint is an address and a port; there is no DNS.
func usable(endpoint string) bool {
	addr, err := netip.ParseAddrPort(endpoint)
	return err == nil && addr.Port() > 0 && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast()
}

// entry is a target as the module knows it. A server's number follows from its uid alone, so that a
// restarted sidecar ranks the servers as it did before.
func (cfg *Config) entry(t *target) balance.Server {
	h := fnv.New64a()
	io.WriteString(h, t.UID)
	s := balance.Server{
		ID: balance.ServerID(h.Sum64()), StartedAt: t.BootMS, RelativeCapacity: t.Capacity, Cell: t.PodGroup,
		Zone: indexOf(cfg.zones, t.Zone), Kind: indexOf(cfg.kinds, t.Model),
	}
	switch t.State {
	case "Ready":
		s.State = balance.Ready
	case "Gone":
		s.State = balance.Removed
	default: // Terminating; of a state not known here only that it is not ready
		s.State = balance.Draining
	}
	return s
}

// indexOf gives -1 for a name that the settings lack.
func indexOf(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// discovery carries out the module's calls for the server list. Each call or watch that fails or ends otherwise than
// by silence is reported once; when to call again is the module's decision.
type discovery struct {
	base   string // the loop's alone, as are gen, stop and ended
	gen    int    // counts the services asked: what an earlier one told is out of date
	client *http.Client
	rev    atomic.Int64 // of the list held; 0: none of this service's
	post   func(any)
	stop   context.CancelFunc // of all that is under way
	ended  chan struct{}      // closed when the watch has ended
	start  func(func())

	callWait, queueWait, agentWait, silence time.Duration
}

func newDiscovery(addr string, post func(any), start func(func())) *discovery {
	d := &discovery{
		post: post, start: start, stop: func() {},
		callWait: callWait, queueWait: queueWait, agentWait: agentWait, silence: silence,
		// No kept connections: on a broken one the transport would call a second time by itself.
		client: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
			DialContext: (&net.Dialer{Timeout: dialWait, KeepAlive: -1}).DialContext,
		}},
	}
	d.at(addr)
	return d
}

func (d *discovery) at(addr string) {
	d.base = "http://" + addr + "/registry/instances"
	d.ended = make(chan struct{})
	close(d.ended)
}

// move leaves one service for another: what the old one still tells or fails to tell no longer counts, and
// its rev means nothing to the new one. The caller opens the new watch.
func (d *discovery) move(addr string) {
	d.stop()
	d.gen++
	d.rev.Store(0)
	d.at(addr)
}

// watch follows changes, unless it does already: after a move the module may still ask again for a watch
// that ended before. A watch that falls silent is opened anew at once, as part of the same request of the module:
// what it misses soon counts as told, whatever pace the module keeps for calls that failed.
func (d *discovery) watch(ctx context.Context) {
	select {
	case <-d.ended:
	default:
		return
	}
	d.stop()
	ctx, d.stop = context.WithCancel(ctx)
	ended, base, gen := make(chan struct{}), d.base, d.gen
	d.ended = ended
	d.start(func() {
		began := time.Now()
		heard, err := d.follow(ctx, base, gen, d.callWait)
		for silent := 0; errors.Is(err, errSilent) && ctx.Err() == nil; {
			slog.Warn("discovery: watch opened anew", "error", err)
			pause(ctx, leastPause)
			if silent++; heard {
				silent = 0
			}
			wait := d.callWait
			if silent > 1 {
				wait = d.queueWait
			}
			began = time.Now()
			heard, err = d.follow(ctx, base, gen, wait)
		}
		close(ended)
		if ctx.Err() == nil {
			slog.Warn("discovery: watch ended", "error", err)
			d.failed(gen, began, heard, err)
		}
	})
}

// fetch asks for the whole list once.
func (d *discovery) fetch(ctx context.Context) {
	base, gen := d.base, d.gen
	d.start(func() {
		began := time.Now()
		heard, err := d.read(ctx, base, gen, d.callWait, d.callWait)
		if err != io.EOF && ctx.Err() == nil {
			slog.Warn("discovery: list call failed", "error", err)
			d.failed(gen, began, heard, err)
		}
	})
}

// failed reports the end of a call or watch. Only an answer that refuses a call after a while tells of a queue: what
// is out of reach refuses at once, or its connections break at whatever time.
func (d *discovery) failed(gen int, began time.Time, heard bool, err error) {
	queued := !heard && errors.Is(err, errRefused) && time.Since(began) >= queueLeast
	d.post(news{gen: gen, kind: balance.UpdateFailed, unqueued: !queued})
}

// subscribe keeps a watch where lists are pushed and the module does not ask for them. Only what fails at once
// backs off: a silent call has taken its time already.
func (d *discovery) subscribe(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	base, gen := d.base, d.gen
	d.start(func() {
		backoff := leastPause
		for ctx.Err() == nil {
			began := time.Now()
			_, err := d.follow(ctx, base, gen, d.agentWait)
			if time.Since(began) > maxBackoff {
				backoff = leastPause
			}
			if ctx.Err() == nil {
				slog.Warn("discovery: agent's watch ended", "error", err)
			}
			pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	})
}

// pause waits between half of a time and all of it: sidecars whose watches ended together do not come back in step.
func pause(ctx context.Context, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(most/2 + rand.N(most)/2):
	}
}

func (d *discovery) follow(ctx context.Context, base string, gen int, first time.Duration) (heard bool, err error) {
	url := base + "?watch=1"
	if rev := d.rev.Load(); rev > 0 {
		url += fmt.Sprintf("&after=%d", rev)
	}
	return d.read(ctx, url, gen, first, d.silence)
}

// read hands on each list of an answer until it ends, and tells whether there was a list or sign of life. The first may
// take as long as the call waits in turn.
func (d *discovery) read(ctx context.Context, url string, gen int, first, next time.Duration) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := time.AfterFunc(first, func() { cancel(errSilent) })
	defer guard.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := d.client.Do(req)
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		err = errSilent // its connection did not come up
	}
	if err != nil {
		return false, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%w %s", errRefused, resp.Status)
	}
	in := &pulse{in: resp.Body, beat: func() { heard = true; guard.Reset(next) }}
	lists := json.NewDecoder(in)
	for told := false; ; told = true {
		var l list
		if err := lists.Decode(&l); err != nil {
			switch cause := context.Cause(ctx); {
			case cause != nil:
				return heard, cause
			case err == io.EOF && !told:
				return heard, io.ErrUnexpectedEOF
			case err == io.EOF:
				return heard, err
			}
			return heard, fmt.Errorf("discovery: %w", err)
		}
		if err := l.check(); err != nil {
			return heard, fmt.Errorf("discovery: %w", err)
		}
		kind := balance.UpdateDelta
		if l.All {
			kind = balance.UpdateFull
		}
		d.post(news{gen: gen, kind: kind, list: l})
		in.beat()
		rest, _ := io.ReadAll(lists.Buffered()) // from memory: it cannot fail
		in.between(rest)
	}
}

// pulse reads a stream of lists and tells its signs of life. Empty lines are some only between two lists, which may
// be indented: inside of one they could go on forever without an end of it.
type pulse struct {
	in     io.Reader
	beat   func()
	inside bool // a list has begun
	held   int  // bytes since the last one ended
}

func (p *pulse) Read(b []byte) (int, error) {
	n, err := p.in.Read(b)
	if p.held += n; p.held > maxValue {
		return 0, errValueBig
	}
	if p.inside = p.inside || len(bytes.TrimSpace(b[:n])) > 0; !p.inside && n > 0 {
		p.held = 0
		p.beat()
	}
	return n, err
}

// between tells that a list has ended, and what has been read after it.
func (p *pulse) between(rest []byte) {
	p.held, p.inside = len(rest), len(bytes.TrimSpace(rest)) > 0
}

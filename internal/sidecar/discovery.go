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
	watchSilenceTimeout = 2500 * time.Millisecond
	// Where lists are pushed the agent on the machine answers at once, or is silent because discovery is.
	agentTimeout = 1200 * time.Millisecond
	// Elsewhere a call may wait in turn at discovery, and one that is cut off looks the same. What discovery has
	// counts as told 6 s after it can be reached (PROTOCOL): two silent calls in a row have to be over by then, or
	// one and the module's longest pause.
	callTimeout = 2500 * time.Millisecond
	// From the third silent call on each may wait longer: a call that is given up goes to the end of the queue.
	queuedCallTimeout = 5 * time.Second
	minQueuedTime     = time.Second // a call that discovery refuses sooner has not waited in turn
	dialTimeout       = time.Second
	maxListBytes      = 1 << 20                // thousands of servers; a process may have no more than 32 MB
	maxCapacityHint   = 1000                   // capacity_hint beyond it is no size
	initialBackoff    = 100 * time.Millisecond // at the most before a call that follows a silent one, or the first that failed
	maxBackoff        = 400 * time.Millisecond // the agent may come back with a drain, and then sends there must end within its grace
)

var (
	errWatchSilent      = errors.New("no line in time")
	errUnexpectedStatus = errors.New("discovery answers")
	errListTooLong      = errors.New("list too long")
)

// endpointList is the form in which discovery tells of servers.
type endpointList struct {
	Revision  int64      `json:"rev"`
	Complete  bool       `json:"all"`
	Endpoints []endpoint `json:"targets"`
}

type endpoint struct {
	UID          string  `json:"uid"`
	Address      string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       float64 `json:"boot_ms"` // on the scale of the sidecar's clock, which starts at Unix time
}

// sanitize drops entries that cannot be used and refuses a list that would take servers away by mistake: what
// is no list, or none of whose entries can be used.
func (l *endpointList) sanitize() error {
	if l.Complete && l.Endpoints == nil {
		return errors.New("a whole list without targets")
	}
	received := len(l.Endpoints)
	occurrences := make(map[string]int, received)
	for i := range l.Endpoints {
		occurrences[l.Endpoints[i].UID]++
	}
	l.Endpoints = slices.DeleteFunc(l.Endpoints, func(entry endpoint) bool {
		occurrences[entry.UID]--
		return entry.UID == "" || occurrences[entry.UID] > 0 || entry.State != "Gone" && !usableAddress(entry.Address) // of two the last holds
	})
	if received > 0 && len(l.Endpoints) == 0 {
		return errors.New("a list without any usable entry")
	}
	if len(l.Endpoints) < received {
		slog.Warn("discovery: entries without a use of their own left out", "entries", received-len(l.Endpoints))
	}
	for i := range l.Endpoints {
		entry := &l.Endpoints[i]
		if !(entry.CapacityHint > 0 && entry.CapacityHint <= maxCapacityHint) {
			entry.CapacityHint = 1
		}
		entry.BootMS = max(entry.BootMS, 0)
	}
	return nil
}

// usableAddress tells whether an endpoint is an address and a port; there is no DNS.
func usableAddress(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Port() > 0 && !addrPort.Addr().IsUnspecified() && !addrPort.Addr().IsMulticast()
}

// toServer is a target as the module knows it. A server's number follows from its uid alone, so that a
// restarted sidecar ranks the servers as it did before.
func (cfg *Config) toServer(listed *endpoint) balance.Server {
	hash := fnv.New64a()
	io.WriteString(hash, listed.UID)
	server := balance.Server{
		ID: balance.ServerID(hash.Sum64()), StartedAt: listed.BootMS, RelativeCapacity: listed.CapacityHint, Cell: listed.PodGroup,
		Zone: numberOrUnknown(cfg.zoneNumbers, listed.Zone), Kind: numberOrUnknown(cfg.kindNumbers, listed.Model),
	}
	switch listed.State {
	case "Ready":
		server.State = balance.Ready
	case "Gone":
		server.State = balance.Removed
	default: // Terminating; of a state not known here only that it is not ready
		server.State = balance.Draining
	}
	return server
}

// numberOrUnknown gives -1 for a name that the settings lack.
func numberOrUnknown(numbers map[string]int, name string) int {
	if number, ok := numbers[name]; ok {
		return number
	}
	return -1
}

// discoveryClient carries out the module's calls for the server list. Each call or watch that fails or ends otherwise than
// by silence is reported once; when to call again is the module's decision.
type discoveryClient struct {
	baseURL    string // the loop's alone, as are gen, stop and ended
	generation int    // counts the services asked: what an earlier one told is out of date
	client     *http.Client
	revision   atomic.Int64 // of the list held; 0: none of this service's
	post       func(any)
	cancel     context.CancelFunc // of all that is under way
	watchDone  chan struct{}      // closed when the watch has ended
	spawn      func(func())

	callTimeout, queuedCallTimeout, agentTimeout, silenceTimeout time.Duration
}

func newDiscoveryClient(address string, post func(any), spawn func(func())) *discoveryClient {
	d := &discoveryClient{
		post: post, spawn: spawn, cancel: func() {},
		callTimeout: callTimeout, queuedCallTimeout: queuedCallTimeout, agentTimeout: agentTimeout, silenceTimeout: watchSilenceTimeout,
		// No kept connections: on a broken one the transport would call a second time by itself.
		client: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader,
			DialContext: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		}},
	}
	d.setAddress(address)
	return d
}

func (d *discoveryClient) setAddress(address string) {
	d.baseURL = "http://" + address + "/registry/instances"
	d.watchDone = make(chan struct{})
	close(d.watchDone)
}

// switchAddress leaves one service for another: what the old one still tells or fails to tell no longer counts, and
// its rev means nothing to the new one. The caller opens the new watch.
func (d *discoveryClient) switchAddress(address string) {
	d.cancel()
	d.generation++
	d.revision.Store(0)
	d.setAddress(address)
}

// watch follows changes, unless it does already: after a move the module may still ask again for a watch
// that ended before. A watch that falls silent is opened anew at once, as part of the same request of the module:
// what it misses soon counts as told, whatever pace the module keeps for calls that failed.
func (d *discoveryClient) watch(ctx context.Context) {
	select {
	case <-d.watchDone:
	default:
		return
	}
	d.cancel()
	ctx, d.cancel = context.WithCancel(ctx)
	watchDone, baseURL, generation := make(chan struct{}), d.baseURL, d.generation
	d.watchDone = watchDone
	d.spawn(func() {
		startedAt := time.Now()
		received, err := d.openWatch(ctx, baseURL, generation, d.callTimeout)
		for silentCalls := 0; errors.Is(err, errWatchSilent) && ctx.Err() == nil; {
			slog.Warn("discovery: watch opened anew", "error", err)
			sleepJittered(ctx, initialBackoff)
			if silentCalls++; received {
				silentCalls = 0
			}
			timeout := d.callTimeout
			if silentCalls > 1 {
				timeout = d.queuedCallTimeout
			}
			startedAt = time.Now()
			received, err = d.openWatch(ctx, baseURL, generation, timeout)
		}
		close(watchDone)
		if ctx.Err() == nil {
			slog.Warn("discovery: watch ended", "error", err)
			d.reportFailure(generation, startedAt, received, err)
		}
	})
}

// fetchList asks for the whole list once.
func (d *discoveryClient) fetchList(ctx context.Context) {
	baseURL, generation := d.baseURL, d.generation
	d.spawn(func() {
		startedAt := time.Now()
		received, err := d.readLists(ctx, baseURL, generation, d.callTimeout, d.callTimeout)
		if err != io.EOF && ctx.Err() == nil {
			slog.Warn("discovery: list call failed", "error", err)
			d.reportFailure(generation, startedAt, received, err)
		}
	})
}

// reportFailure reports the end of a call or watch. Only an answer that refuses a call after a while tells of a queue: what
// is out of reach refuses at once, or its connections break at whatever time.
func (d *discoveryClient) reportFailure(generation int, startedAt time.Time, received bool, err error) {
	queued := !received && errors.Is(err, errUnexpectedStatus) && time.Since(startedAt) >= minQueuedTime
	d.post(endpointUpdate{generation: generation, kind: balance.UpdateFailed, unqueued: !queued})
}

// subscribe keeps a watch where lists are pushed and the module does not ask for them. Only what fails at once
// backs off: a silent call has taken its time already.
func (d *discoveryClient) subscribe(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	baseURL, generation := d.baseURL, d.generation
	d.spawn(func() {
		backoff := initialBackoff
		for ctx.Err() == nil {
			startedAt := time.Now()
			_, err := d.openWatch(ctx, baseURL, generation, d.agentTimeout)
			if time.Since(startedAt) > maxBackoff {
				backoff = initialBackoff
			}
			if ctx.Err() == nil {
				slog.Warn("discovery: agent's watch ended", "error", err)
			}
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	})
}

// sleepJittered waits between half of a time and all of it: sidecars whose watches ended together do not come back in step.
func sleepJittered(ctx context.Context, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(longest/2 + rand.N(longest)/2):
	}
}

func (d *discoveryClient) openWatch(ctx context.Context, baseURL string, generation int, firstTimeout time.Duration) (received bool, err error) {
	url := baseURL + "?watch=1"
	if revision := d.revision.Load(); revision > 0 {
		url += fmt.Sprintf("&after=%d", revision)
	}
	return d.readLists(ctx, url, generation, firstTimeout, d.silenceTimeout)
}

// readLists hands on each list of an answer until it ends, and tells whether there was a list or sign of life. The first may
// take as long as the call waits in turn.
func (d *discoveryClient) readLists(ctx context.Context, url string, generation int, firstTimeout, nextTimeout time.Duration) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(firstTimeout, func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := d.client.Do(req)
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		err = errWatchSilent // its connection did not come up
	}
	if err != nil {
		return false, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%w %s", errUnexpectedStatus, resp.Status)
	}
	heartbeats := &heartbeatReader{source: resp.Body, onHeartbeat: func() { received = true; silenceTimer.Reset(nextTimeout) }}
	decoder := json.NewDecoder(heartbeats)
	for receivedList := false; ; receivedList = true {
		var list endpointList
		if err := decoder.Decode(&list); err != nil {
			switch cause := context.Cause(ctx); {
			case cause != nil:
				return received, cause
			case err == io.EOF && !receivedList:
				return received, io.ErrUnexpectedEOF
			case err == io.EOF:
				return received, err
			}
			return received, fmt.Errorf("discovery: %w", err)
		}
		if err := list.sanitize(); err != nil {
			return received, fmt.Errorf("discovery: %w", err)
		}
		kind := balance.UpdateDelta
		if list.Complete {
			kind = balance.UpdateFull
		}
		d.post(endpointUpdate{generation: generation, kind: kind, endpoints: list})
		heartbeats.onHeartbeat()
		buffered, _ := io.ReadAll(decoder.Buffered()) // from memory: it cannot fail
		heartbeats.listEnded(buffered)
	}
}

// heartbeatReader reads a stream of lists and tells its signs of life. Empty lines are some only between two lists, which may
// be indented: inside of one they could go on forever without an end of it.
type heartbeatReader struct {
	source         io.Reader
	onHeartbeat    func()
	insideList     bool // a list has begun
	bytesSinceList int  // bytes since the last one ended
}

func (p *heartbeatReader) Read(buffer []byte) (int, error) {
	n, err := p.source.Read(buffer)
	if p.bytesSinceList += n; p.bytesSinceList > maxListBytes {
		return 0, errListTooLong
	}
	if p.insideList = p.insideList || len(bytes.TrimSpace(buffer[:n])) > 0; !p.insideList && n > 0 {
		p.bytesSinceList = 0
		p.onHeartbeat()
	}
	return n, err
}

// listEnded tells that a list has ended, and what has been read after it.
func (p *heartbeatReader) listEnded(buffered []byte) {
	p.bytesSinceList, p.insideList = len(buffered), len(bytes.TrimSpace(buffered)) > 0
}

package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/placement"
)

const (
	// The agent sends an empty line every 2 s. Each directive expires at its own time, for which the agent need not send a
	// message. A watch that sends nothing therefore only delays changes.
	placementHeartbeatTimeout   = 5 * time.Second
	placementInitialBackoff     = 200 * time.Millisecond
	placementMaxBackoff         = 2 * time.Second
	placementUnsupportedBackoff = 15 * time.Second // for an older agent, which does not serve a placement
	placementDialTimeout        = time.Second
	placementIdleTimeout        = 3 * reportInterval // of a connection between two load reports
)

var (
	errPlacementUnsupported  = errors.New("agent does not serve a placement")
	errPlacementTimeout      = errors.New("no data from the agent within the timeout")
	errPlacementNoDirectives = errors.New("complete placement has no list of directives")
)

// placementClient watches the placement at one address and posts load reports to that address. It makes no decisions: after
// each change it sends all directives in force to the event loop.
type placementClient struct {
	address    string
	baseURL    string
	generation int // number of address changes; updates of an earlier generation are ignored
	client     *http.Client
	post       func(loopEvent)
	startedAt  time.Time // origin of the monotonic clock
	placementTiming

	mu           sync.Mutex
	cache        *placement.Cache
	resyncNeeded bool // the next watch requests the complete placement
}

// placementTiming holds the intervals and the clock of a placementClient. Tests replace them.
type placementTiming struct {
	heartbeatTimeout time.Duration // a watch ends after this time without data
	reportInterval   time.Duration
	maxBackoff       time.Duration // between two watches
	wallClockMS      func() int64  // Unix milliseconds
}

func defaultPlacementTiming() placementTiming {
	return placementTiming{
		heartbeatTimeout: placementHeartbeatTimeout,
		reportInterval:   reportInterval,
		maxBackoff:       placementMaxBackoff,
		wallClockMS:      nowUnixMS,
	}
}

func nowUnixMS() int64 { return time.Now().UnixMilli() }

func newPlacementClient(address string, generation int, post func(loopEvent), timing placementTiming) *placementClient {
	return &placementClient{
		address:         address,
		baseURL:         "http://" + address + "/registry/",
		generation:      generation,
		post:            post,
		cache:           placement.NewCache(),
		startedAt:       time.Now(),
		placementTiming: timing,
		client: &http.Client{Transport: &http.Transport{
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        placementIdleTimeout,
			DialContext:            (&net.Dialer{Timeout: placementDialTimeout, KeepAlive: -1}).DialContext,
		}},
	}
}

// runWatch keeps a watch open until ctx ends. Without a watch, directives stay in force until they expire.
func (p *placementClient) runWatch(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	backoff := placementInitialBackoff
	lastMessage := ""
	for ctx.Err() == nil {
		received, err := p.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff = placementInitialBackoff
			lastMessage = ""
		}
		// Log only one line for an agent that stays unreachable. The messages are compared, as each failed dial returns
		// another error value with the same text.
		if message := err.Error(); message != lastMessage {
			placementLog.Warn("placement watch failed", "error", err)
			lastMessage = message
		}
		delay := backoff
		if errors.Is(err, errPlacementUnsupported) {
			delay = placementUnsupportedBackoff
		}
		sleepJittered(ctx, delay)
		backoff = min(2*backoff, p.maxBackoff)
	}
}

// watchOnce watches the changes after the cached placement until the watch ends. The error is never nil. received reports
// whether a placement or a heartbeat arrived.
func (p *placementClient) watchOnce(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeoutTimer := time.AfterFunc(p.heartbeatTimeout, func() { cancel(errPlacementTimeout) })
	defer timeoutTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.watchURL(), nil)
	if err != nil {
		return false, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false, errors.Join(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return false, errPlacementUnsupported
	default:
		return false, &unexpectedStatusError{resp.Status}
	}
	reader := bufio.NewReader(resp.Body)
	onHeartbeat := func() {
		received = true
		timeoutTimer.Reset(p.heartbeatTimeout)
	}
	for {
		object, err := readObject(reader, onHeartbeat)
		if err == nil {
			err = p.applyUpdate(object)
		}
		if cause := context.Cause(ctx); cause != nil {
			return received, cause
		}
		if err != nil {
			return received, err
		}
		onHeartbeat()
	}
}

func (p *placementClient) watchURL() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	url := p.baseURL + "placement?watch=1"
	if p.cache.Synced() && !p.resyncNeeded {
		url += fmt.Sprintf("&after=%d&epoch=%d", p.cache.Revision(), p.cache.Epoch())
	}
	return url
}

// applyUpdate applies one object of the watch to the cached placement. If the object does not continue the cached
// placement, the next watch requests the complete placement, and the cached one stays in force until then.
func (p *placementClient) applyUpdate(object []byte) error {
	var update placement.Update
	if err := json.Unmarshal(object, &update); err != nil {
		return err
	}
	if update.Complete && update.Directives == nil {
		return errPlacementNoDirectives
	}
	p.mu.Lock()
	wallMS, monotonicMS := p.readClocks()
	changed, err := p.cache.Apply(&update, wallMS, monotonicMS)
	p.resyncNeeded = errors.Is(err, placement.ErrDiscontinuous)
	p.mu.Unlock()
	if changed {
		p.post(p.snapshot(nil))
	}
	return err
}

// readClocks returns the readings of the two clocks by which directives expire, in milliseconds.
func (p *placementClient) readClocks() (wallMS, monotonicMS int64) {
	return p.wallClockMS(), time.Since(p.startedAt).Milliseconds()
}

// snapshot returns an update with all directives in force now. If reportDue is not nil, the event loop answers the update
// with a load report.
func (p *placementClient) snapshot(reportDue chan<- *placement.LoadReport) placementUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	takenAt := time.Now()
	wallMS, monotonicMS := p.readClocks()
	return placementUpdate{
		generation: p.generation,
		takenAt:    takenAt,
		placement:  p.cache.Active(wallMS, monotonicMS),
		reportDue:  reportDue,
	}
}

// synced reports whether any placement has arrived.
func (p *placementClient) synced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Synced()
}

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
	// An empty line arrives every 2 s. Directives end by themselves, so a silent watch only delays changes.
	placementHeartbeatTimeout   = 5 * time.Second
	placementInitialBackoff     = 200 * time.Millisecond
	placementMaxBackoff         = 2 * time.Second
	placementUnsupportedBackoff = 15 * time.Second // at an older agent, which serves no placement
	placementDialTimeout        = time.Second
	placementIdleTimeout        = 3 * reportInterval // of a connection between two reports
)

var (
	errPlacementUnsupported  = errors.New("agent serves no placement")
	errPlacementTimeout      = errors.New("placement watch is silent")
	errPlacementNoDirectives = errors.New("complete placement without directives")
)

// placementClient follows the placement at one address and posts load reports there. It makes no decisions: the event
// loop gets all directives in force each time something changes.
type placementClient struct {
	address    string
	baseURL    string
	generation int // counts the addresses; updates of an earlier one are ignored
	client     *http.Client
	post       func(loopEvent)
	startedAt  time.Time // origin of the monotonic clock
	placementTiming

	mu           sync.Mutex
	cache        *placement.Cache
	resyncNeeded bool // the next watch asks for the complete placement
}

// placementTiming holds the intervals and the clock of a placementClient, which tests replace.
type placementTiming struct {
	heartbeatTimeout time.Duration // without a sign of life a watch has ended
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

// runWatch keeps a watch open until ctx ends. Directives that are in force stay so while there is no watch.
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
		// One line for an agent that stays unreachable: each dial makes an error value of its own, with the same text.
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

// watchOnce follows the changes after the cached placement until the watch ends, always with an error. It also reports
// whether anything was received.
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

// applyUpdate applies one object of the watch. If it does not continue the cached placement, the next watch asks for the
// complete one; the cached one stays in force until then.
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

// readClocks returns the clocks by which directives end, in milliseconds.
func (p *placementClient) readClocks() (wallMS, monotonicMS int64) {
	return p.wallClockMS(), time.Since(p.startedAt).Milliseconds()
}

// snapshot is all that is in force now.
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

package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"milldeck/internal/placement"
)

const (
	// An empty line comes every 2 s. Entries end by themselves, so a watch that hangs costs news only.
	placementSilenceTimeout     = 5 * time.Second
	placementInitialBackoff     = 200 * time.Millisecond // before the first new try
	placementMaxBackoff         = 2 * time.Second        // between two tries
	placementUnsupportedBackoff = 15 * time.Second       // ... at an agent that knows of no placement: an old one
	maxPlacementBytes           = 2 << 20                // bytes of a line: a process may have no more than 32 MB
)

var (
	errPlacementUnsupported = errors.New("the agent knows of no placement")
	errPlacementTooLarge    = fmt.Errorf("a placement of over %d bytes", maxPlacementBytes)
	errPlacementSilent      = errors.New("no sign of life in time")
)

// placementClient follows the placement at one address and reports there. It decides nothing: what is in force goes to the
// loop, whole each time. There is none where the configuration names no address.
type placementClient struct {
	address    string
	baseURL    string
	generation int // counts the addresses: what an earlier one told is out of date
	client     *http.Client
	post       func(any)
	startedAt  time.Time // of the monotonic clock
	placementTiming

	mu           sync.Mutex
	reader       *placement.Cache
	resyncNeeded bool // the next watch asks for the whole
}

// placementTiming is what a test sets otherwise.
type placementTiming struct {
	silenceTimeout time.Duration // after which a watch has ended
	reportInterval time.Duration // between two reports
	maxBackoff     time.Duration // between two tries
	wallClockMS    func() int64  // Unix ms
}

func nowUnixMS() int64 { return time.Now().UnixMilli() }

// placementUpdate is what the loop is handed: all that is in force at a time, by an address; with a reporter's channel where a
// report is due.
type placementUpdate struct {
	generation int
	takenAt    time.Time
	placement  placement.Update
	reportDue  chan<- *placement.LoadReport
}

func newPlacementClient(address string, generation int, post func(any), timing placementTiming) *placementClient {
	return &placementClient{
		address: address, baseURL: "http://" + address + "/registry/", generation: generation, post: post, reader: placement.NewCache(),
		startedAt: time.Now(), placementTiming: timing,
		client: &http.Client{Transport: &http.Transport{
			DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader, MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * reportInterval,
			DialContext: (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
		}},
	}
}

// placementConfigFile is what the configuration says of the placement.
type placementConfigFile struct {
	Placement   string `json:"placement"`
	Application string `json:"application"`
	Version     string `json:"version"`
}

// validate refuses what is no address and port, and names that no report may hold.
func (f *placementConfigFile) validate() error {
	for key, name := range map[string]string{"application": f.Application, "version": f.Version} {
		if len(name) > placement.MaxNameLength {
			return fmt.Errorf("%s: %d bytes, at most %d", key, len(name), placement.MaxNameLength)
		}
	}
	if f.Placement == "" {
		return nil
	}
	addrPort, err := netip.ParseAddrPort(f.Placement)
	if err == nil && addrPort.Port() == 0 {
		err = errors.New("no port")
	}
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	return nil
}

// runWatch keeps a watch until ctx ends. A bad line ends one, and what was told before holds until it ends.
func (p *placementClient) runWatch(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	backoff, lastMessage := placementInitialBackoff, ""
	for ctx.Err() == nil {
		received, err := p.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff, lastMessage = placementInitialBackoff, ""
		}
		if message := err.Error(); message != lastMessage { // an agent that stays away is told of once
			slog.Warn("placement: watch ended", "error", err)
			lastMessage = message
		}
		pause := backoff
		if errors.Is(err, errPlacementUnsupported) {
			pause = placementUnsupportedBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)/2):
		}
		backoff = min(2*backoff, p.maxBackoff)
	}
}

// watchOnce follows changes after what is known, and tells whether it heard anything.
func (p *placementClient) watchOnce(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(p.silenceTimeout, func() { cancel(errPlacementSilent) })
	defer silenceTimer.Stop()
	p.mu.Lock()
	url := p.baseURL + "placement?watch=1"
	if p.reader.Synced() && !p.resyncNeeded {
		url += fmt.Sprintf("&after=%d&epoch=%d", p.reader.Revision(), p.reader.Epoch())
	}
	p.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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
		return false, fmt.Errorf("the agent answers %s", resp.Status)
	}
	reader := bufio.NewReader(resp.Body)
	onHeartbeat := func() {
		received = true
		silenceTimer.Reset(p.silenceTimeout)
	}
	for {
		value, err := readObject(reader, onHeartbeat)
		if err == nil {
			err = p.applyLine(value)
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

// applyLine takes a line in. What does not continue what is known has the next watch ask for the whole; what is known
// holds until that has come.
func (p *placementClient) applyLine(value []byte) error {
	var list placement.Update
	if err := json.Unmarshal(value, &list); err != nil {
		return err
	}
	if list.Complete && list.Directives == nil {
		return errors.New("a whole placement without entries")
	}
	p.mu.Lock()
	wallMS, monotonicMS := p.readClocks()
	changed, err := p.reader.Apply(&list, wallMS, monotonicMS)
	p.resyncNeeded = errors.Is(err, placement.ErrDiscontinuous)
	p.mu.Unlock()
	if changed {
		p.post(p.snapshot(nil))
	}
	return err
}

// readClocks is what entries end by: the wall clock and the monotonic one, in ms.
func (p *placementClient) readClocks() (wallMS, monotonicMS int64) {
	return p.wallClockMS(), time.Since(p.startedAt).Milliseconds()
}

// snapshot is what is in force.
func (p *placementClient) snapshot(reportDue chan<- *placement.LoadReport) placementUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	takenAt := time.Now()
	wallMS, monotonicMS := p.readClocks()
	return placementUpdate{p.generation, takenAt, p.reader.Active(wallMS, monotonicMS), reportDue}
}

// placementKnown tells whether any placement has come.
func (p *placementClient) placementKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reader.Synced()
}

// readObject reads a JSON object of any form, over one line or several. A blank line between objects is a sign of
// life; within one nothing is, so that what trickles ends the watch.
func readObject(reader *bufio.Reader, onHeartbeat func()) ([]byte, error) {
	var value []byte
	depth, inString, escaped := 0, false, false
	for {
		char, err := reader.ReadByte()
		switch {
		case err == io.EOF && value != nil:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case value == nil && char == '\n':
			onHeartbeat()
			continue
		case value == nil && (char == ' ' || char == '\t' || char == '\r'):
			continue
		case value == nil && char != '{':
			return nil, fmt.Errorf("%q begins no placement", char)
		case len(value) == maxPlacementBytes:
			return nil, errPlacementTooLarge
		}
		value = append(value, char)
		switch {
		case escaped:
			escaped = false
		case inString && char == '\\':
			escaped = true
		case char == '"':
			inString = !inString
		case inString:
		case char == '{' || char == '[':
			depth++
		case char == '}' || char == ']':
			if depth--; depth == 0 {
				return value, nil
			}
		}
	}
}

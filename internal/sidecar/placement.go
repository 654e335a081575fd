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
	placementSilence = 5 * time.Second
	placementFirst   = 200 * time.Millisecond // before the first new try
	placementMost    = 2 * time.Second        // between two tries
	placementNone    = 15 * time.Second       // ... at an agent that knows of no placement: an old one
	maxPlacement     = 2 << 20                // bytes of a line: a process may have no more than 32 MB
)

var (
	errNoPlacement    = errors.New("the agent knows of no placement")
	errPlacementLarge = fmt.Errorf("a placement of over %d bytes", maxPlacement)
	errPlacementLate  = errors.New("no sign of life in time")
)

// placing follows the placement at one address and reports there. It decides nothing: what is in force goes to the
// loop, whole each time. There is none where the configuration names no address.
type placing struct {
	addr   string
	base   string
	gen    int // counts the addresses: what an earlier one told is out of date
	client *http.Client
	post   func(any)
	began  time.Time // of the monotonic clock
	placementPace

	mu      sync.Mutex
	reader  *placement.Cache
	strange bool // the next watch asks for the whole
}

// placementPace is what a test sets otherwise.
type placementPace struct {
	silence time.Duration // after which a watch has ended
	every   time.Duration // between two reports
	most    time.Duration // between two tries
	wall    func() int64  // Unix ms
}

func unixMS() int64 { return time.Now().UnixMilli() }

// placed is what the loop is handed: all that is in force at a time, by an address; with a reporter's channel where a
// report is due.
type placed struct {
	gen    int
	at     time.Time
	list   placement.Update
	report chan<- *placement.LoadReport
}

func newPlacing(addr string, gen int, post func(any), pace placementPace) *placing {
	return &placing{
		addr: addr, base: "http://" + addr + "/registry/", gen: gen, post: post, reader: placement.NewCache(),
		began: time.Now(), placementPace: pace,
		client: &http.Client{Transport: &http.Transport{
			DisableCompression: true, MaxResponseHeaderBytes: maxHeader, MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * reportEvery,
			DialContext: (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
		}},
	}
}

// placementFile is what the configuration says of the placement.
type placementFile struct {
	Placement   string `json:"placement"`
	Application string `json:"application"`
	Version     string `json:"version"`
}

// check refuses what is no address and port, and names that no report may hold.
func (f *placementFile) check() error {
	for key, name := range map[string]string{"application": f.Application, "version": f.Version} {
		if len(name) > placement.MaxNameLength {
			return fmt.Errorf("%s: %d bytes, at most %d", key, len(name), placement.MaxNameLength)
		}
	}
	if f.Placement == "" {
		return nil
	}
	at, err := netip.ParseAddrPort(f.Placement)
	if err == nil && at.Port() == 0 {
		err = errors.New("no port")
	}
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	return nil
}

// follow keeps a watch until ctx ends. A bad line ends one, and what was told before holds until it ends.
func (p *placing) follow(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	backoff, last := placementFirst, ""
	for ctx.Err() == nil {
		heard, err := p.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if heard {
			backoff, last = placementFirst, ""
		}
		if text := err.Error(); text != last { // an agent that stays away is told of once
			slog.Warn("placement: watch ended", "error", err)
			last = text
		}
		pause := backoff
		if errors.Is(err, errNoPlacement) {
			pause = placementNone
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)/2):
		}
		backoff = min(2*backoff, p.most)
	}
}

// watch follows changes after what is known, and tells whether it heard anything.
func (p *placing) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := time.AfterFunc(p.silence, func() { cancel(errPlacementLate) })
	defer guard.Stop()
	p.mu.Lock()
	url := p.base + "placement?watch=1"
	if p.reader.Synced() && !p.strange {
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
		return false, errNoPlacement
	default:
		return false, fmt.Errorf("the agent answers %s", resp.Status)
	}
	in := bufio.NewReader(resp.Body)
	alive := func() {
		heard = true
		guard.Reset(p.silence)
	}
	for {
		value, err := readValue(in, alive)
		if err == nil {
			err = p.take(value)
		}
		if cause := context.Cause(ctx); cause != nil {
			return heard, cause
		}
		if err != nil {
			return heard, err
		}
		alive()
	}
}

// take takes a line in. What does not continue what is known has the next watch ask for the whole; what is known
// holds until that has come.
func (p *placing) take(value []byte) error {
	var l placement.Update
	if err := json.Unmarshal(value, &l); err != nil {
		return err
	}
	if l.Complete && l.Directives == nil {
		return errors.New("a whole placement without entries")
	}
	p.mu.Lock()
	wall, mono := p.clock()
	news, err := p.reader.Apply(&l, wall, mono)
	p.strange = errors.Is(err, placement.ErrDiscontinuous)
	p.mu.Unlock()
	if news {
		p.post(p.now(nil))
	}
	return err
}

// clock is what entries end by: the wall clock and the monotonic one, in ms.
func (p *placing) clock() (wallMS, monoMS int64) { return p.wall(), time.Since(p.began).Milliseconds() }

// now is what is in force.
func (p *placing) now(report chan<- *placement.LoadReport) placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	wall, mono := p.clock()
	return placed{p.gen, at, p.reader.Active(wall, mono), report}
}

// known tells whether any placement has come.
func (p *placing) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reader.Synced()
}

// readValue reads a JSON object of any form, over one line or several. A blank line between objects is a sign of
// life; within one nothing is, so that what trickles ends the watch.
func readValue(in *bufio.Reader, alive func()) ([]byte, error) {
	var value []byte
	depth, quoted, escaped := 0, false, false
	for {
		c, err := in.ReadByte()
		switch {
		case err == io.EOF && value != nil:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case value == nil && c == '\n':
			alive()
			continue
		case value == nil && (c == ' ' || c == '\t' || c == '\r'):
			continue
		case value == nil && c != '{':
			return nil, fmt.Errorf("%q begins no placement", c)
		case len(value) == maxPlacement:
			return nil, errPlacementLarge
		}
		value = append(value, c)
		switch {
		case escaped:
			escaped = false
		case quoted && c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth--; depth == 0 {
				return value, nil
			}
		}
	}
}

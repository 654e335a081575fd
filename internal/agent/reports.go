package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

const (
	// mostReporters are sidecars whose reports an agent keeps: one machine has one, and for a moment two of them.
	mostReporters = 16
	mostAddresses = 8
	// passEvery is at least between two batches to one address; sidecars report once a second, so each goes with one.
	passEvery = 900 * time.Millisecond
	// passSpread is the most that a batch waits for others, drawn, so that a fleet does not report in step.
	passSpread  = 100 * time.Millisecond
	passWait    = time.Second     // for one address to take a batch
	mostPassing = 8 * time.Second // between two tries at an address that takes none
	forgetAfter = 5 * time.Second // a report that nobody took is of no use any more
)

// reports are the newest of this machine's sidecars, on their way to whoever takes them. They are soft: one that is
// lost is made up for by the next.
type reports struct {
	http *http.Client

	mu   sync.Mutex
	of   map[string]report // by the sidecar's name
	seq  uint64
	news chan struct{} // closed at the next report
}

type report struct {
	seq  uint64
	at   time.Time
	data []byte
	heard
}

// heard is what the agent itself reads of a report: the label, and the revisions of list and placement in force.
type heard struct {
	version   string
	list, rev uint64
}

// latest is what the newest report of a sidecar said, nil where it is old or there is none.
func (p *reports) latest(name string, now time.Time) *heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, is := p.of[name]; is && now.Sub(r.at) <= reportFresh {
		return &r.heard
	}
	return nil
}

func newReports(to []string) (*reports, error) {
	if len(to) > mostAddresses {
		return nil, fmt.Errorf("reports: %d addresses, at most %d", len(to), mostAddresses)
	}
	for _, addr := range to {
		if err := registry.Loopback("reports", addr); err != nil {
			return nil, err
		}
	}
	return &reports{of: map[string]report{}, news: make(chan struct{}), http: &http.Client{Timeout: passWait, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: passWait}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}, nil
}

// serve takes a report of the sidecar.
func (p *reports) serve(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(headWait)) != nil {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, placement.MaxReportBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("report: %v", err), http.StatusBadRequest)
		return
	}
	if control.SetReadDeadline(time.Time{}) != nil {
		return
	}
	var in placement.LoadReport
	if err = json.Unmarshal(data, &in); err == nil {
		err = in.Validate()
	}
	if err != nil {
		http.Error(w, fmt.Sprintf("report: %v", err), http.StatusBadRequest)
		return
	}
	if !p.put(in.Sidecar, data, heard{in.Version, in.EndpointRevision, in.PlacementRevision}, time.Now()) {
		http.Error(w, fmt.Sprintf("report: %d sidecars report here already", mostReporters), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// put keeps a report as the newest of its sidecar; false where there are too many sidecars.
func (p *reports) put(name string, data []byte, said heard, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, old := range p.of {
		if now.Sub(old.at) > forgetAfter {
			delete(p.of, other)
		}
	}
	if _, known := p.of[name]; !known && len(p.of) >= mostReporters {
		return false
	}
	p.seq++
	p.of[name] = report{p.seq, now, data, said}
	close(p.news)
	p.news = make(chan struct{})
	return true
}

// batch gives the body of those after a number, nil if there are none, with the newest number and what to wait on.
func (p *reports) batch(after uint64, now time.Time) (body []byte, upTo uint64, news <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var parts [][]byte
	for _, one := range p.of {
		if one.seq > after && now.Sub(one.at) <= forgetAfter {
			parts = append(parts, one.data)
		}
	}
	if parts != nil {
		body = append(append([]byte(`{"reports":[`), bytes.Join(parts, []byte{','})...), "]}"...)
	}
	return body, p.seq, p.news
}

// pass passes reports on to an address until ctx ends, at most once in passEvery, the newest of each sidecar. Where
// nobody takes them they are dropped.
func (p *reports) pass(ctx context.Context, to string) {
	sent, backoff := uint64(0), passEvery
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		body, upTo, news := p.batch(sent, time.Now())
		if body == nil {
			select {
			case <-ctx.Done():
				return
			case <-news:
			}
			pause(rand.N(passSpread)) // others may come meanwhile
			continue
		}
		sent = upTo
		if err := p.post(ctx, to, body); err != nil {
			slog.Debug("reports not taken", "to", to, "error", err)
			pause(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, mostPassing)
			continue
		}
		backoff = passEvery
		pause(passEvery)
	}
}

func (p *reports) post(ctx context.Context, to string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/reports", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.http.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10)) // so that the connection is used again
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusInternalServerError { // it does not take any; what it refuses is lost
		return &registry.StatusError{Status: resp.StatusCode, Text: resp.Status}
	}
	return nil
}

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
	// maxReportingSidecars are sidecars whose reports an agent keeps: one machine has one, and for a moment two of them.
	maxReportingSidecars = 16
	maxReportAddresses   = 8
	// forwardInterval is at least between two batches to one address; sidecars report once a second, so each goes with one.
	forwardInterval = 900 * time.Millisecond
	// maxForwardJitter is the most that a batch waits for others, drawn, so that a fleet does not report in step.
	maxForwardJitter  = 100 * time.Millisecond
	forwardTimeout    = time.Second     // for one address to take a batch
	maxForwardBackoff = 8 * time.Second // between two tries at an address that takes none
	reportRetention   = 5 * time.Second // a report that nobody took is of no use any more
)

// reportForwarder are the newest of this machine's sidecars, on their way to whoever takes them. They are soft: one that is
// lost is made up for by the next.
type reportForwarder struct {
	client *http.Client

	mu      sync.Mutex
	newest  map[string]pendingReport // by the sidecar's name
	seq     uint64
	updated chan struct{} // closed at the next report
}

type pendingReport struct {
	seq        uint64
	receivedAt time.Time
	body       []byte
	reportedState
}

// reportedState is what the agent itself reads of a report: the label, and the revisions of list and placement in force.
type reportedState struct {
	version               string
	listRev, placementRev uint64
}

// latest is what the newest report of a sidecar said, nil where it is old or there is none.
func (f *reportForwarder) latest(sidecar string, now time.Time) *reportedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if report, ok := f.newest[sidecar]; ok && now.Sub(report.receivedAt) <= maxReportAge {
		return &report.reportedState
	}
	return nil
}

func newReportForwarder(addresses []string) (*reportForwarder, error) {
	if len(addresses) > maxReportAddresses {
		return nil, fmt.Errorf("reports: %d addresses, at most %d", len(addresses), maxReportAddresses)
	}
	for _, address := range addresses {
		if err := registry.CheckLoopback("reports", address); err != nil {
			return nil, err
		}
	}
	return &reportForwarder{newest: map[string]pendingReport{}, updated: make(chan struct{}), client: &http.Client{Timeout: forwardTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: forwardTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}, nil
}

// serve takes a report of the sidecar.
func (f *reportForwarder) serve(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(requestReadTimeout)) != nil {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, placement.MaxReportBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("report: %v", err), http.StatusBadRequest)
		return
	}
	if controller.SetReadDeadline(time.Time{}) != nil {
		return
	}
	var report placement.LoadReport
	if err = json.Unmarshal(data, &report); err == nil {
		err = report.Validate()
	}
	if err != nil {
		http.Error(w, fmt.Sprintf("report: %v", err), http.StatusBadRequest)
		return
	}
	if !f.store(report.Sidecar, data, reportedState{report.Version, report.EndpointRevision, report.PlacementRevision}, time.Now()) {
		http.Error(w, fmt.Sprintf("report: %d sidecars report here already", maxReportingSidecars), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// store keeps a report as the newest of its sidecar; false where there are too many sidecars.
func (f *reportForwarder) store(sidecar string, body []byte, state reportedState, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other, previous := range f.newest {
		if now.Sub(previous.receivedAt) > reportRetention {
			delete(f.newest, other)
		}
	}
	if _, known := f.newest[sidecar]; !known && len(f.newest) >= maxReportingSidecars {
		return false
	}
	f.seq++
	f.newest[sidecar] = pendingReport{f.seq, now, body, state}
	close(f.updated)
	f.updated = make(chan struct{})
	return true
}

// batch gives the body of those after a number, nil if there are none, with the newest number and what to wait on.
func (f *reportForwarder) batch(afterSeq uint64, now time.Time) (body []byte, newestSeq uint64, updated <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var parts [][]byte
	for _, report := range f.newest {
		if report.seq > afterSeq && now.Sub(report.receivedAt) <= reportRetention {
			parts = append(parts, report.body)
		}
	}
	if parts != nil {
		body = append(append([]byte(`{"reports":[`), bytes.Join(parts, []byte{','})...), "]}"...)
	}
	return body, f.seq, f.updated
}

// forward passes reports on to an address until ctx ends, at most once in forwardInterval, the newest of each sidecar. Where
// nobody takes them they are dropped.
func (f *reportForwarder) forward(ctx context.Context, address string) {
	sentUpTo, backoff := uint64(0), forwardInterval
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		body, newestSeq, updated := f.batch(sentUpTo, time.Now())
		if body == nil {
			select {
			case <-ctx.Done():
				return
			case <-updated:
			}
			pause(rand.N(maxForwardJitter)) // others may come meanwhile
			continue
		}
		sentUpTo = newestSeq
		if err := f.post(ctx, address, body); err != nil {
			slog.Debug("reports not taken", "to", address, "error", err)
			pause(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, maxForwardBackoff)
			continue
		}
		backoff = forwardInterval
		pause(forwardInterval)
	}
}

func (f *reportForwarder) post(ctx context.Context, address string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/reports", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10)) // so that the connection is used again
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError { // it does not take any; what it refuses is lost
		return &registry.StatusError{StatusCode: response.StatusCode, Message: response.Status}
	}
	return nil
}

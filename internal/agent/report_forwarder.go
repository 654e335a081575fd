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
	// maxReportingSidecars bounds the number of sidecars whose reports are cached. A machine has one sidecar, or two
	// sidecars during a replacement.
	maxReportingSidecars = 16
	maxReportAddresses   = 8
	// forwardInterval is the minimum time between two batches to one address. Sidecars report once a second, so each
	// report is forwarded.
	forwardInterval = 900 * time.Millisecond
	// maxForwardJitter bounds the random time for which a batch waits for further reports. The delay is random so that the
	// reports of a fleet do not arrive at the same time.
	maxForwardJitter        = 100 * time.Millisecond
	forwardTimeout          = time.Second     // for one batch to one address
	maxForwardBackoff       = 8 * time.Second // between two batches to an address that fails
	reportRetention         = 5 * time.Second // older reports are dropped
	maxForwardResponseBytes = 64 << 10
)

// reportForwarder caches the newest load report of each sidecar of this machine and forwards it to the collectors'
// addresses. Reports are soft state: the next report supersedes a lost one.
type reportForwarder struct {
	client *http.Client
	logger *slog.Logger

	mu      sync.Mutex
	newest  map[string]cachedReport // by the sidecar's name
	seq     uint64                  // sequence number of the newest report
	updated chan struct{}           // closed when the next report is stored
}

// cachedReport is a received report with its sequence number and time.
type cachedReport struct {
	seq        uint64
	receivedAt time.Time
	body       []byte
	reportedState
}

// reportedState is the part of a report that the agent uses for the registration: the sidecar's version, and the
// revisions of the list and the placement that the sidecar has applied.
type reportedState struct {
	version                         string
	listRevision, placementRevision uint64
}

// newReportForwarder validates the addresses and returns a forwarder. The caller runs forward for each address.
func newReportForwarder(addresses []string, logger *slog.Logger) (*reportForwarder, error) {
	if len(addresses) > maxReportAddresses {
		return nil, fmt.Errorf("reports: %d addresses, the limit is %d", len(addresses), maxReportAddresses)
	}
	for _, address := range addresses {
		if err := registry.CheckLoopback("reports", address); err != nil {
			return nil, err
		}
	}
	client := &http.Client{Timeout: forwardTimeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: forwardTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
	return &reportForwarder{client: client, logger: logger, newest: map[string]cachedReport{}, updated: make(chan struct{})}, nil
}

// latest returns the state from a sidecar's newest report; nil if there is none or it is older than maxReportAge.
func (f *reportForwarder) latest(sidecar string, now time.Time) *reportedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if report, ok := f.newest[sidecar]; ok && now.Sub(report.receivedAt) <= maxReportAge {
		return &report.reportedState
	}
	return nil
}

// serve handles a sidecar's request that posts a load report.
func (f *reportForwarder) serve(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(requestReadTimeout)) != nil {
		return // the connection is closed
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, placement.MaxReportBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("report: %v", err), http.StatusBadRequest)
		return
	}
	if controller.SetReadDeadline(time.Time{}) != nil {
		return // the connection is closed
	}
	report, err := decodeReport(body)
	if err != nil {
		http.Error(w, fmt.Sprintf("report: %v", err), http.StatusBadRequest)
		return
	}
	state := reportedState{report.Version, report.EndpointRevision, report.PlacementRevision}
	if !f.store(report.Sidecar, body, state, time.Now()) {
		http.Error(w, fmt.Sprintf("report: %d sidecars report here already", maxReportingSidecars), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decodeReport(body []byte) (*placement.LoadReport, error) {
	var report placement.LoadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	return &report, report.Validate()
}

// store caches a report as the newest of its sidecar. It returns false if the reports of maxReportingSidecars
// other sidecars are cached already.
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
	f.newest[sidecar] = cachedReport{f.seq, now, body, state}
	close(f.updated)
	f.updated = make(chan struct{})
	return true
}

// batch returns the body of a request with the reports after a sequence number (nil if there are none), the newest
// sequence number, and a channel that is closed when the next report is stored.
func (f *reportForwarder) batch(afterSeq uint64, now time.Time) (body []byte, newestSeq uint64, updated <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports [][]byte
	for _, report := range f.newest {
		if report.seq > afterSeq && now.Sub(report.receivedAt) <= reportRetention {
			reports = append(reports, report.body)
		}
	}
	if reports != nil {
		body = append(body, `{"reports":[`...)
		body = append(body, bytes.Join(reports, []byte{','})...)
		body = append(body, "]}"...)
	}
	return body, f.seq, f.updated
}

// forward sends the newest report of each sidecar to an address until ctx ends, at most once per forwardInterval. Reports
// that the address does not accept are dropped.
func (f *reportForwarder) forward(ctx context.Context, address string) {
	lastSentSeq, backoff := uint64(0), forwardInterval
	for ctx.Err() == nil {
		body, newestSeq, updated := f.batch(lastSentSeq, time.Now())
		if body == nil {
			select {
			case <-ctx.Done():
				return
			case <-updated:
			}
			pause(ctx, rand.N(maxForwardJitter)) // other sidecars' reports join the batch
			continue
		}
		lastSentSeq = newestSeq
		if err := f.post(ctx, address, body); err != nil {
			f.logger.Debug("load reports not forwarded", "address", address, "error", err)
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxForwardBackoff)
			continue
		}
		backoff = forwardInterval
		pause(ctx, forwardInterval)
	}
}

// post sends one batch. A connection error or a status of 500 and above is an error. Reports that the receiver rejects as
// invalid are lost without an error.
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
	// The connection can be reused only after the body has been read.
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxForwardResponseBytes))
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &registry.StatusError{StatusCode: response.StatusCode, Message: response.Status}
	}
	return nil
}

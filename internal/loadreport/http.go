package loadreport

import (
	"fmt"
	"net/http"
	"time"
)

// MaxBodyBytes limits the size of a batch: 128 reports of the largest size, or thousands of typical ones.
const MaxBodyBytes = 4 << 20

const bodyReadTimeout = 5 * time.Second

// ServeHTTP receives a batch of reports, {"reports":[...]}. While the collector does not accept reports (see
// SetAccepting), it responds with status 503. Otherwise it accepts the valid reports of the batch, and responds with 503 if
// it rejected any report because of MaxSidecars, else 400 if any report is invalid, and 204 if it accepted all reports.
func (c *Collector) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "reports are posted", http.StatusMethodNotAllowed)
		return
	}
	if !c.isAccepting() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "reports are not taken here now", http.StatusServiceUnavailable)
		return
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) != nil {
		return // the connection is closed
	}
	body := bufferPool.Get().(*buffer)
	defer bufferPool.Put(body)
	body.Reset()
	if _, err := body.ReadFrom(http.MaxBytesReader(w, request.Body, MaxBodyBytes)); err != nil {
		c.reject(w, err)
		return
	}
	if controller.SetReadDeadline(time.Time{}) != nil {
		return // the connection is closed
	}
	reports, err := decodeBatch(body.Bytes())
	if err != nil {
		c.reject(w, err)
		return
	}
	overCapacity, invalid := c.addBatch(reports)
	switch {
	case overCapacity:
		http.Error(w, errTooManySidecars.Error(), http.StatusServiceUnavailable)
	case invalid != nil:
		http.Error(w, invalid.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (c *Collector) isAccepting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepting
}

// reject responds with status 400 to a batch that cannot be read or decoded, and counts the batch.
func (c *Collector) reject(w http.ResponseWriter, err error) {
	c.mu.Lock()
	c.counts.Rejected++
	c.mu.Unlock()
	http.Error(w, fmt.Sprintf("reports: %v", err), http.StatusBadRequest)
}

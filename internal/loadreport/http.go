package loadreport

import (
	"fmt"
	"net/http"
	"time"
)

// MaxBodyBytes bounds one batch: 128 of the largest reports, thousands of typical ones.
const MaxBodyBytes = 4 << 20

const bodyReadTimeout = 5 * time.Second

// ServeHTTP receives a batch of reports, {"reports":[...]}. It answers 204 if all are accepted; 400 if any is invalid, and
// the others are accepted; 503 while the collector does not accept reports, or if there are too many sidecars.
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

// reject answers and counts a batch that cannot be read.
func (c *Collector) reject(w http.ResponseWriter, err error) {
	c.mu.Lock()
	c.counts.Rejected++
	c.mu.Unlock()
	http.Error(w, fmt.Sprintf("reports: %v", err), http.StatusBadRequest)
}

package hotkey

import (
	"encoding/json"
	"errors"
	"net/http"
)

// DrainStatus is the response to a drain request.
type DrainStatus struct {
	Drained bool `json:"ready"` // the replicated keys that the server served are warm on other servers
}

// Handler returns the HTTP handler for operators and drain controllers. It responds with 503 and Retry-After to every
// request of these paths while this controller does not hold the lease.
//
//	GET  /spread                 []KeyStatus
//	POST /spread/leave?uid=UID   calls Drain; the response is a DrainStatus
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /spread", func(w http.ResponseWriter, _ *http.Request) {
		statuses, err := c.Status()
		if statuses == nil {
			statuses = []KeyStatus{} // [] in JSON, not null
		}
		writeResponse(w, statuses, err)
	})
	mux.HandleFunc("POST /spread/leave", func(w http.ResponseWriter, r *http.Request) {
		drained, err := c.Drain(r.URL.Query().Get("uid"))
		writeResponse(w, DrainStatus{drained}, err)
	})
	return mux
}

// writeResponse writes a value as JSON, or the status code and text of an error.
func writeResponse(w http.ResponseWriter, value any, err error) {
	switch {
	case errors.Is(err, ErrNotLeader):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
	}
}

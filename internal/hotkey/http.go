package hotkey

import (
	"encoding/json"
	"errors"
	"net/http"
)

// DrainStatus answers a drain request.
type DrainStatus struct {
	Drained bool `json:"ready"` // what the server served of replicated keys is warm on other servers
}

// Handler serves operators and drain controllers. Every request is answered with 503 and Retry-After while the lease is
// held by another controller.
//
//	GET  /spread                 []KeyStatus
//	POST /spread/leave?uid=UID   Drain, answered with DrainStatus
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

// writeResponse writes a value as JSON, or the status and text of an error.
func writeResponse(w http.ResponseWriter, value any, err error) {
	switch {
	case errors.Is(err, ErrNotLeader):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // the client may have gone
	}
}

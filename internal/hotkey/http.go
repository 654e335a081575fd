package hotkey

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Handler serves what operators and drain controllers ask. All answer 503 while the duty is another's.
//
//	GET  /spread                 the table, [Row...]
//	POST /spread/leave?uid=UID   Drain: {"ready":BOOL}
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /spread", func(w http.ResponseWriter, _ *http.Request) {
		statuses, err := c.Status()
		if statuses == nil {
			statuses = []KeyStatus{}
		}
		writeResponse(w, statuses, err)
	})
	mux.HandleFunc("POST /spread/leave", func(w http.ResponseWriter, r *http.Request) {
		drained, err := c.Drain(r.URL.Query().Get("uid"))
		writeResponse(w, DrainStatus{drained}, err)
	})
	return mux
}

// DrainStatus is the answer about a server that is to leave.
type DrainStatus struct {
	Drained bool `json:"ready"` // what it carried is warm elsewhere
}

func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, ErrNotLeader):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // who asked may be gone
	}
}

package spread

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Handler serves what operators and drain controllers ask. All answer 503 while the duty is another's.
//
//	GET  /spread                 the table, [Row...]
//	POST /spread/leave?uid=UID   MakeBeforeBreak: {"ready":BOOL}
func (dr *Driver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /spread", func(w http.ResponseWriter, _ *http.Request) {
		rows, err := dr.Table()
		if rows == nil {
			rows = []Row{}
		}
		reply(w, rows, err)
	})
	mux.HandleFunc("POST /spread/leave", func(w http.ResponseWriter, r *http.Request) {
		ready, err := dr.MakeBeforeBreak(r.URL.Query().Get("uid"))
		reply(w, Leaving{ready}, err)
	})
	return mux
}

// Leaving is the answer about a server that is to leave.
type Leaving struct {
	Ready bool `json:"ready"` // what it carried is warm elsewhere
}

func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, ErrNotHeld):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // who asked may be gone
	}
}

package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	maxBodyBytes      = 4 << 20 // the largest batch that may be registered is under it
	readHeaderTimeout = 3 * time.Second
	readBodyTimeout   = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxWatchers       = 20_000
	// retryAfterSeconds is what a client is told to wait while there is no leader: an election takes about so long.
	retryAfterSeconds = "0.3"

	// staleAfter is the age from which on a replica's silence is no news.
	staleAfter = 3 * time.Second

	// AgeHeader and FreshHeader tell readers how old a replica's list may be (ms), and whether a leader that
	// has just proved its leadership says so.
	AgeHeader   = "X-Registry-Age-Ms"
	FreshHeader = "X-Registry-Fresh"
)

func (r *Replica) newHTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.serveList)
	mux.HandleFunc("GET /registry/instances/{uid}", r.serveGet)
	mux.HandleFunc("POST /registry/instances", r.leaderOnly(r.serveRegister))
	mux.HandleFunc("DELETE /registry/instances/{uid}", r.leaderOnly(r.serveDeregister))
	mux.HandleFunc("POST /registry/state", r.leaderOnly(r.serveState))
	mux.HandleFunc("POST /registry/renew", r.leaderOnly(r.serveRenew))
	mux.HandleFunc("POST /registry/suspects", r.leaderOnly(r.serveSuspects))
	mux.HandleFunc("GET /registry/placement", r.servePlacement)
	mux.HandleFunc("POST /registry/placement", r.leaderOnly(r.serveSetPlacement))
	mux.HandleFunc("GET /releases", r.serveReleases)
	mux.HandleFunc("GET /releases/{name}", r.serveRelease)
	mux.HandleFunc("POST /releases/{name}", r.leaderOnly(r.serveReleaseOp))
	mux.HandleFunc("GET /windows", r.serveWindows)
	mux.HandleFunc("POST /windows", r.leaderOnly(r.serveWindowOp))
	mux.HandleFunc("GET /duties", r.serveLeases)
	mux.HandleFunc("GET /duties/{name}", r.serveLease)
	mux.HandleFunc("POST /duties/renew", r.leaderOnly(r.serveRenewLeases))
	mux.HandleFunc("POST /duties/{name}/{op}", r.leaderOnly(r.serveLeaseOp))
	mux.HandleFunc("POST /registry/sidecars", r.leaderOnly(r.serveRegisterSidecars))
	mux.HandleFunc("GET /registry/sidecars", r.leaderOnly(r.serveListSidecars))
	mux.HandleFunc("GET /ledger", r.serveLedgerView)
	mux.HandleFunc("GET /ledger/permits/{id}", r.servePermit)
	mux.HandleFunc("POST /ledger/{op}", r.leaderOnly(r.serveLedgerOp))
	mux.HandleFunc("GET /registry/status", r.serveStatus)
	mux.HandleFunc("GET /registry/members", r.serveMembers)
	mux.HandleFunc("POST /registry/members", r.leaderOnly(r.serveAddMember))
	mux.HandleFunc("DELETE /registry/members", r.leaderOnly(r.serveRemoveMember))
	mux.HandleFunc("GET /registry/snapshot", r.serveSaveSnapshot)
	mux.HandleFunc("POST /registry/snapshot", r.leaderOnly(r.serveRestoreSnapshot))
	mux.HandleFunc("GET /health/ready", r.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// writeJSON writes one JSON object on a line.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		slog.Debug("answer not written", "error", err)
	}
}

// writeError answers with one line of text that says what is wrong.
func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

// leaderOnly sends writers on to the leader.
func (r *Replica) leaderOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if r.isLeader.Load() && r.raft.State() == raft.Leader {
			handler(w, request)
			return
		}
		leader := r.leaderAddr()
		if leader == "" || leader == r.options.HTTPAddr {
			r.writeNoLeader(w)
			return
		}
		w.Header().Set("Location", "http://"+leader+request.URL.RequestURI())
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

func (r *Replica) writeNoLeader(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeError(w, http.StatusServiceUnavailable, errors.New("there is no leader"))
}

// queryUint reads a query's figure; absent it is 0.
func queryUint(request *http.Request, name string) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fieldErrorf(name, "%q is no number", text)
	}
	return number, nil
}

// readJSON reads a request's JSON; what is wrong with it is answered in one line that names the field.
func readJSON(w http.ResponseWriter, request *http.Request, target any) bool {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(readBodyTimeout)) != nil {
		return false
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		status := http.StatusBadRequest
		if errors.As(err, new(*http.MaxBytesError)) {
			status, err = http.StatusRequestEntityTooLarge, fmt.Errorf("body: over %d bytes", maxBodyBytes)
		}
		writeError(w, status, err)
		return false
	}
	if controller.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	err = json.Unmarshal(data, target)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		err = fieldErrorf(typeErr.Field, "%s is no %s", typeErr.Value, typeErr.Type)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

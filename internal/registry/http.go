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

	"milldeck/internal/validation"
)

const (
	maxBodyBytes      = 4 << 20 // more than the largest batch of registrations takes
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 3 * time.Second
	readBodyTimeout   = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxWatchers       = 20_000
	// retryAfterSeconds is the Retry-After value of retryable errors. It is shorter than raftHeartbeatTimeout, the earliest
	// time after a leader's failure at which an election begins, so a client may retry several times until it ends.
	retryAfterSeconds = "0.3"

	// A replica whose state is staleAfter old, or older, sends no heartbeats to watchers, because it would not learn of a
	// change.
	staleAfter = 3 * time.Second
)

const (
	// AgeHeader holds the maximum age of the replica's state in ms.
	AgeHeader = "X-Registry-Age-Ms"
	// FreshHeader is true if the replica is the leader and verified its leadership less than maxFreshAge ago.
	FreshHeader = "X-Registry-Fresh"
)

// statusCode returns the HTTP status of the response to a write with this outcome.
func (o Outcome) statusCode() int {
	switch o {
	case OutcomeDone:
		return http.StatusOK
	case OutcomeNotFound:
		return http.StatusNotFound
	case OutcomeLimitExceeded:
		return http.StatusInsufficientStorage
	default:
		return http.StatusConflict
	}
}

func (r *Replica) newHTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.requireCaughtUp(r.serveList))
	mux.HandleFunc("GET /registry/instances/{uid}", r.requireCaughtUp(r.serveGet))
	mux.HandleFunc("POST /registry/instances", r.leaderOnly(r.serveRegister))
	mux.HandleFunc("DELETE /registry/instances/{uid}", r.leaderOnly(r.serveDeregister))
	mux.HandleFunc("POST /registry/state", r.leaderOnly(r.serveState))
	mux.HandleFunc("POST /registry/renew", r.leaderOnly(r.serveRenew))
	mux.HandleFunc("POST /registry/suspects", r.leaderOnly(r.serveSuspects))
	mux.HandleFunc("GET /registry/placement", r.requireCaughtUp(r.servePlacement))
	mux.HandleFunc("POST /registry/placement", r.leaderOnly(r.serveSetPlacement))
	mux.HandleFunc("GET /releases", r.requireCaughtUp(r.serveReleases))
	mux.HandleFunc("GET /releases/{name}", r.requireCaughtUp(r.serveRelease))
	mux.HandleFunc("POST /releases/{name}", r.leaderOnly(r.serveReleaseOp))
	mux.HandleFunc("GET /windows", r.requireCaughtUp(r.serveWindows))
	mux.HandleFunc("POST /windows", r.leaderOnly(r.serveWindowOp))
	mux.HandleFunc("GET /duties", r.requireCaughtUp(r.serveLeases))
	mux.HandleFunc("GET /duties/{name}", r.requireCaughtUp(r.serveLease))
	mux.HandleFunc("POST /duties/renew", r.leaderOnly(r.serveRenewLeases))
	mux.HandleFunc("POST /duties/{name}/{op}", r.leaderOnly(r.serveLeaseOp))
	mux.HandleFunc("POST /registry/sidecars", r.leaderOnly(r.serveRegisterSidecars))
	mux.HandleFunc("GET /registry/sidecars", r.leaderOnly(r.requireCaughtUp(r.serveListSidecars)))
	mux.HandleFunc("GET /ledger", r.requireCaughtUp(r.serveLedgerView))
	mux.HandleFunc("GET /ledger/permits/{id}", r.requireCaughtUp(r.servePermit))
	mux.HandleFunc("POST /ledger/{op}", r.leaderOnly(r.serveLedgerOp))
	mux.HandleFunc("GET /registry/status", r.serveStatus)
	mux.HandleFunc("GET /registry/members", r.serveMembers)
	mux.HandleFunc("POST /registry/members", r.leaderOnly(r.serveAddMember))
	mux.HandleFunc("DELETE /registry/members", r.leaderOnly(r.serveRemoveMember))
	mux.HandleFunc("GET /registry/snapshot", r.requireCaughtUp(r.serveSaveSnapshot))
	mux.HandleFunc("POST /registry/snapshot", r.leaderOnly(r.serveRestoreSnapshot))
	mux.HandleFunc("GET /health/ready", r.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// writeJSON writes a response with a value as one line of JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		componentLogger().Debug("response not written", "error", err)
	}
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorResponse{err.Error()})
}

// writeRetryable writes an error response that permits a retry after retryAfterSeconds.
func writeRetryable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeError(w, http.StatusServiceUnavailable, err)
}

// writeNoLeader writes the retryable error for a request that needs a leader when no leader is known or verified.
func (r *Replica) writeNoLeader(w http.ResponseWriter) {
	writeRetryable(w, errors.New("there is no leader"))
}

// leaderOnly serves requests on the leader. Other replicas redirect them to the leader.
func (r *Replica) leaderOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if r.restorePending() {
			writeRetryable(w, errRestorePending)
			return
		}
		if r.leadershipEstablished.Load() && r.raft.State() == raft.Leader {
			handler(w, request)
			return
		}
		r.redirectToLeader(w, request)
	}
}

func (r *Replica) redirectToLeader(w http.ResponseWriter, request *http.Request) {
	leader := r.leaderAddr()
	if leader == "" || leader == r.options.HTTPAddr {
		r.writeNoLeader(w)
		return
	}
	w.Header().Set("Location", "http://"+leader+request.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// queryUint parses a numeric query parameter. It returns 0 if the parameter is absent or empty.
func queryUint(request *http.Request, name string) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, validation.Errorf(name, "%q is not a number", text)
	}
	return number, nil
}

// readJSON decodes the JSON body of a request. On failure, it writes an error response and returns false. The response
// names a field that has the wrong type.
func readJSON(w http.ResponseWriter, request *http.Request, target any) bool {
	data, err := readBody(w, request)
	if err != nil {
		status := http.StatusBadRequest
		if errors.As(err, new(*http.MaxBytesError)) {
			status, err = http.StatusRequestEntityTooLarge, fmt.Errorf("body: over %d bytes", maxBodyBytes)
		}
		writeError(w, status, err)
		return false
	}
	err = json.Unmarshal(data, target)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		err = validation.Errorf(typeErr.Field, "a JSON %s is of the wrong type", typeErr.Value)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

// readBody reads the body of a request within readBodyTimeout.
func readBody(w http.ResponseWriter, request *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(readBodyTimeout)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	return data, controller.SetReadDeadline(time.Time{})
}

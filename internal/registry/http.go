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
	maxBody      = 4 << 20 // the largest batch that may be registered is under it
	headWait     = 3 * time.Second
	bodyWait     = 5 * time.Second
	idleWait     = 60 * time.Second
	mostWatchers = 20_000
	// retryIn is what a client is told to wait while there is no leader: an election takes about so long.
	retryIn = "0.3"

	// staleAfter is the age from which on a replica's silence is no news.
	staleAfter = 3 * time.Second

	// AgeHeader and FreshHeader tell readers how old a replica's list may be (ms), and whether a leader that
	// has just proved its leadership says so.
	AgeHeader   = "X-Registry-Age-Ms"
	FreshHeader = "X-Registry-Fresh"
)

func (r *Replica) server() *http.Server {
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
	mux.HandleFunc("GET /duties", r.serveDuties)
	mux.HandleFunc("GET /duties/{name}", r.serveDutyGet)
	mux.HandleFunc("POST /duties/renew", r.leaderOnly(r.serveDutyRenew))
	mux.HandleFunc("POST /duties/{name}/{op}", r.leaderOnly(r.serveDuty))
	mux.HandleFunc("POST /registry/sidecars", r.leaderOnly(r.serveSidecars))
	mux.HandleFunc("GET /registry/sidecars", r.leaderOnly(r.serveSidecarList))
	mux.HandleFunc("GET /ledger", r.serveLedgerView)
	mux.HandleFunc("GET /ledger/permits/{id}", r.servePermit)
	mux.HandleFunc("POST /ledger/{op}", r.leaderOnly(r.serveLedger))
	mux.HandleFunc("GET /registry/status", r.serveStatus)
	mux.HandleFunc("GET /registry/members", r.serveMembers)
	mux.HandleFunc("POST /registry/members", r.leaderOnly(r.serveAddMember))
	mux.HandleFunc("DELETE /registry/members", r.leaderOnly(r.serveRemoveMember))
	mux.HandleFunc("GET /registry/snapshot", r.serveSave)
	mux.HandleFunc("POST /registry/snapshot", r.leaderOnly(r.serveRestore))
	mux.HandleFunc("GET /health/ready", r.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.all, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headWait, IdleTimeout: idleWait, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// answer writes one JSON object on a line.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("answer not written", "error", err)
	}
}

// refuse answers with one line of text that says what is wrong.
func refuse(w http.ResponseWriter, status int, err error) {
	answer(w, status, map[string]string{"error": err.Error()})
}

// leaderOnly sends writers on to the leader.
func (r *Replica) leaderOnly(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if r.leading.Load() && r.raft.State() == raft.Leader {
			h(w, req)
			return
		}
		to := r.leader()
		if to == "" || to == r.opts.HTTP {
			r.noLeader(w)
			return
		}
		w.Header().Set("Location", "http://"+to+req.URL.RequestURI())
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

func (r *Replica) noLeader(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryIn)
	refuse(w, http.StatusServiceUnavailable, errors.New("there is no leader"))
}

// number reads a query's figure; absent it is 0.
func number(req *http.Request, name string) (uint64, error) {
	v := req.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, bad(name, "%q is no number", v)
	}
	return n, nil
}

// body reads a request's JSON; what is wrong with it is answered in one line that names the field.
func body(w http.ResponseWriter, req *http.Request, v any) bool {
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(bodyWait)) != nil {
		return false
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if err != nil {
		status := http.StatusBadRequest
		if errors.As(err, new(*http.MaxBytesError)) {
			status, err = http.StatusRequestEntityTooLarge, fmt.Errorf("body: over %d bytes", maxBody)
		}
		refuse(w, status, err)
		return false
	}
	if control.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	err = json.Unmarshal(data, v)
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		err = bad(kind.Field, "%s is no %s", kind.Value, kind.Type)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

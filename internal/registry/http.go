package registry

import (
	"bytes"
	"context"
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

// mark puts the age of the list into an answer's head.
func (r *Replica) mark(w http.ResponseWriter) {
	age := r.age()
	w.Header().Set(AgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set(FreshHeader, strconv.FormatBool(r.leading.Load() && age < freshFor))
}

// fresh settles a read that asks for the newest state, or answers why it cannot have it.
func (r *Replica) fresh(w http.ResponseWriter, req *http.Request) bool {
	if req.URL.Query().Get("fresh") == "" {
		return true
	}
	if !r.leading.Load() {
		r.leaderOnly(nil)(w, req)
		return false
	}
	ctx, cancel := context.WithTimeout(req.Context(), applyWait)
	defer cancel()
	if err := r.settle(ctx); err != nil {
		r.noLeader(w)
		return false
	}
	r.verified.Store(int64(time.Since(r.began)))
	return true
}

func (r *Replica) serveList(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	if q.Get("watch") != "" {
		r.serveWatch(w, req)
		return
	}
	if !r.fresh(w, req) {
		return
	}
	r.mark(w)
	if err := r.hub.WriteWhole(w); err != nil {
		slog.Debug("list not written", "error", err)
	}
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

// admitWatcher counts a watcher, or answers that there are too many.
func (r *Replica) admitWatcher(w http.ResponseWriter) bool {
	if r.watchers.Add(1) <= mostWatchers {
		return true
	}
	r.watchers.Add(-1)
	w.Header().Set("Retry-After", retryIn)
	refuse(w, http.StatusServiceUnavailable, errors.New("too many watchers"))
	return false
}

// serveWatch follows the list for one watcher, which is a cursor: see hub.
func (r *Replica) serveWatch(w http.ResponseWriter, req *http.Request) { r.watch(w, req, r.hub.Watch) }

// watch admits a watcher of something after the revision and the epoch of its query.
func (r *Replica) watch(w http.ResponseWriter, req *http.Request, follow watchFunc) {
	after, err := number(req, "after")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	epoch, err := number(req, "epoch")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if !r.admitWatcher(w) {
		return
	}
	defer r.watchers.Add(-1)
	r.mark(w)
	// A replica that hears of no leader says nothing rather than that nothing has changed: its watchers move on.
	err = follow(r.ctx, w, req, after, epoch, func() bool { return r.age() < staleAfter })
	if err != nil {
		slog.Debug("watch ended", "error", err)
	}
}

func (r *Replica) serveGet(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var i Instance
	var is bool
	r.hub.Read(func(s *State) { i, is = s.Get(req.PathValue("uid")) })
	r.mark(w)
	if !is {
		refuse(w, http.StatusNotFound, fmt.Errorf("%s is not registered", req.PathValue("uid")))
		return
	}
	answer(w, http.StatusOK, i)
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

// done answers a write.
func (r *Replica) done(w http.ResponseWriter, rec *Record, uids []string) {
	res, err := r.write(rec)
	switch {
	case errors.Is(err, ErrNotLeader):
		r.noLeader(w)
		return
	case err != nil:
		w.Header().Set("Retry-After", retryIn)
		refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	r.hub.Read(func(s *State) { r.leases.follow(time.Now(), s, uids) })
	status := map[Outcome]int{Done: http.StatusOK, Conflict: http.StatusConflict, NotFound: http.StatusNotFound, TooMany: http.StatusInsufficientStorage}[res.Outcome]
	answer(w, status, res)
}

// writeID checks the id of a write.
func writeID(id string) error {
	if len(id) > maxName {
		return bad("id", "over %d characters", maxName)
	}
	return nil
}

// registration is the body of a register call.
type registration struct {
	ID      string     `json:"id"`
	IfRev   *uint64    `json:"if_rev"`
	Guard   *Guard     `json:"guard"`
	Targets []Instance `json:"targets"`
}

// record checks a registration and makes the record of it, and the uids that it is about.
func (in *registration) record() (*Record, []string, error) {
	if err := writeID(in.ID); err != nil {
		return nil, nil, err
	}
	if len(in.Targets) == 0 || len(in.Targets) > maxBatch {
		return nil, nil, bad("targets", "%d entries, wanted 1 to %d", len(in.Targets), maxBatch)
	}
	var uids []string
	for k := range in.Targets {
		t := &in.Targets[k]
		if t.State == "" {
			t.State = Ready
		}
		if t.Capacity == 0 {
			t.Capacity = 1
		}
		t.Rev, t.Suspect = 0, false
		if err := t.check(); err != nil {
			return nil, nil, fmt.Errorf("targets[%d].%w", k, err)
		}
		uids = append(uids, t.UID)
	}
	return &Record{Op: OpRegister, ID: in.ID, IfRev: in.IfRev, Guard: in.Guard, Instances: in.Targets}, uids, nil
}

func (r *Replica) serveRegister(w http.ResponseWriter, req *http.Request) {
	var in registration
	if !body(w, req, &in) {
		return
	}
	rec, uids, err := in.record()
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	r.done(w, rec, uids)
}

func (r *Replica) serveDeregister(w http.ResponseWriter, req *http.Request) {
	uid, id := req.PathValue("uid"), req.URL.Query().Get("id")
	rev, err := number(req, "if_rev")
	if err == nil {
		err = writeID(id)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	r.done(w, &Record{Op: OpDeregister, ID: id, Refs: []Ref{{uid, rev}}}, []string{uid})
}

func (r *Replica) serveState(w http.ResponseWriter, req *http.Request) {
	var in struct {
		ID    string `json:"id"`
		UID   string `json:"uid"`
		State string `json:"state"`
		IfRev uint64 `json:"if_rev"`
		Guard *Guard `json:"guard"`
	}
	if !body(w, req, &in) {
		return
	}
	err := writeID(in.ID)
	if err == nil && in.UID == "" {
		err = bad("uid", "it is empty")
	}
	if err == nil && in.State != Ready && in.State != Terminating {
		err = bad("state", "%q is not %s or %s", in.State, Ready, Terminating)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	r.done(w, &Record{Op: OpState, ID: in.ID, State: in.State, Guard: in.Guard, Refs: []Ref{{in.UID, in.IfRev}}}, []string{in.UID})
}

// Renewal answers a batch of renewals.
type Renewal struct {
	Renewed int      `json:"renewed"`
	Unknown []string `json:"unknown"` // they have to register again
}

func (r *Replica) serveRenew(w http.ResponseWriter, req *http.Request) {
	var in struct {
		UIDs []string `json:"uids"`
	}
	if !body(w, req, &in) {
		return
	}
	if len(in.UIDs) == 0 || len(in.UIDs) > maxBatch {
		refuse(w, http.StatusBadRequest, bad("uids", "%d entries, wanted 1 to %d", len(in.UIDs), maxBatch))
		return
	}
	// A leader that was frozen must not promise a time that its successor does not know of.
	if r.age() > freshFor {
		r.noLeader(w)
		return
	}
	var unknown, alive []string
	r.hub.Read(func(s *State) { unknown, alive = r.leases.renew(time.Now(), s, in.UIDs) })
	if len(alive) > 0 {
		if err := r.unsuspect(alive); err != nil {
			r.noLeader(w)
			return
		}
	}
	answer(w, http.StatusOK, Renewal{len(in.UIDs) - len(unknown), append([]string{}, unknown...)})
}

func (r *Replica) unsuspect(uids []string) error {
	refs := make([]Ref, 0, len(uids))
	for _, uid := range uids {
		refs = append(refs, Ref{UID: uid})
	}
	_, err := r.write(&Record{Op: OpSuspect, Refs: refs})
	r.follow(refs)
	return err
}

// serveSuspects is the operator's decision on what was held back: they are alive, or they go.
func (r *Replica) serveSuspects(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Expire bool `json:"expire"`
	}
	if !body(w, req, &in) {
		return
	}
	var refs []Ref
	var uids []string
	r.hub.Read(func(s *State) {
		s.All(func(i *Instance) {
			if i.Suspect {
				refs = append(refs, Ref{UID: i.UID})
				uids = append(uids, i.UID)
			}
		})
	})
	if len(refs) == 0 {
		answer(w, http.StatusOK, Result{Outcome: Done, Why: "nothing is held back"})
		return
	}
	op := OpSuspect
	if in.Expire {
		op = OpDeregister
	}
	r.done(w, &Record{Op: op, Refs: refs}, uids)
}

// Status is what a replica says of itself.
type Status struct {
	HTTP      string `json:"http"`
	Role      string `json:"role"` // as raft names it: Leader, Follower, Candidate
	Leader    string `json:"leader"`
	Rev       uint64 `json:"rev"`
	Epoch     uint64 `json:"epoch"`
	Instances int    `json:"instances"`
	Suspects  int    `json:"suspects"`
	Watchers  int64  `json:"watchers"`
	AgeMS     int64  `json:"age_ms"`
	Applied   uint64 `json:"applied"`
	Fresh     bool   `json:"fresh"`
}

func (r *Replica) status() Status {
	age := r.age()
	st := Status{
		HTTP: r.opts.HTTP, Role: r.raft.State().String(), Leader: r.leader(), Watchers: r.watchers.Load(),
		AgeMS: age.Milliseconds(), Applied: r.raft.AppliedIndex(), Fresh: r.leading.Load() && age < freshFor,
	}
	r.hub.Read(func(s *State) {
		st.Rev, st.Epoch, st.Instances = s.Rev(), s.Epoch(), s.Len()
		s.All(func(i *Instance) {
			if i.Suspect {
				st.Suspects++
			}
		})
	})
	return st
}

func (r *Replica) serveStatus(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, r.status())
}

// serveReady: a replica is ready while it knows a leader, so that its reads are of today.
func (r *Replica) serveReady(w http.ResponseWriter, _ *http.Request) {
	if st := r.status(); st.Leader == "" || st.Epoch == 0 {
		refuse(w, http.StatusServiceUnavailable, errors.New("no leader yet"))
		return
	}
	answer(w, http.StatusOK, map[string]bool{"ready": true})
}

func (r *Replica) serveMembers(w http.ResponseWriter, _ *http.Request) {
	list, err := r.members()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	answer(w, http.StatusOK, list)
}

func (r *Replica) serveAddMember(w http.ResponseWriter, req *http.Request) {
	var m Member
	if !body(w, req, &m) {
		return
	}
	err := loopback("http", m.HTTP)
	if err == nil {
		err = loopback("raft", m.Raft)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	r.reconfigured(w, r.raft.AddVoter(raft.ServerID(m.HTTP), raft.ServerAddress(m.Raft), 0, applyWait).Error())
}

func (r *Replica) serveRemoveMember(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("http")
	list, err := r.members()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	for _, m := range list {
		if m.HTTP == name {
			r.reconfigured(w, r.raft.RemoveServer(raft.ServerID(name), 0, applyWait).Error())
			return
		}
	}
	refuse(w, http.StatusNotFound, fmt.Errorf("no member %q", name))
}

func (r *Replica) reconfigured(w http.ResponseWriter, err error) {
	if err != nil {
		w.Header().Set("Retry-After", retryIn)
		refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	r.serveMembers(w, nil)
}

func (r *Replica) serveSave(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var buf writer
	var err error
	r.hub.Read(func(s *State) { err = s.Snapshot(&buf) })
	if err != nil {
		refuse(w, http.StatusInternalServerError, err)
		return
	}
	r.mark(w)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(buf.data) // a client that is gone is told by nobody
}

func (r *Replica) serveRestore(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxSnapshot))
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	s, err := ReadSnapshot(bytes.NewReader(data))
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	res, err := r.restore(s)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	slog.Warn("restored from a backup, under a new epoch", "rev", res.Rev)
	answer(w, http.StatusOK, res)
}

package registry

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

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

package registry

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// proposeAndRespond answers a write.
func (r *Replica) proposeAndRespond(w http.ResponseWriter, record *Record, uids []string) {
	result, err := r.propose(record)
	switch {
	case errors.Is(err, ErrNotLeader):
		r.writeNoLeader(w)
		return
	case err != nil:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	r.hub.Read(func(state *StateMachine) { r.registrations.refresh(time.Now(), state, uids) })
	statusCode := map[Outcome]int{OutcomeDone: http.StatusOK, OutcomeConflict: http.StatusConflict, OutcomeNotFound: http.StatusNotFound, OutcomeLimitExceeded: http.StatusInsufficientStorage}[result.Outcome]
	writeJSON(w, statusCode, result)
}

// checkWriteID checks the id of a write.
func checkWriteID(id string) error {
	if len(id) > maxNameLength {
		return fieldErrorf("id", "over %d characters", maxNameLength)
	}
	return nil
}

// registerRequest is the body of a register call.
type registerRequest struct {
	ID         string     `json:"id"`
	IfRevision *uint64    `json:"if_rev"`
	Guard      *Guard     `json:"guard"`
	Targets    []Instance `json:"targets"`
}

// toRecord checks a registration and makes the record of it, and the uids that it is about.
func (in *registerRequest) toRecord() (*Record, []string, error) {
	if err := checkWriteID(in.ID); err != nil {
		return nil, nil, err
	}
	if len(in.Targets) == 0 || len(in.Targets) > maxBatchSize {
		return nil, nil, fieldErrorf("targets", "%d entries, wanted 1 to %d", len(in.Targets), maxBatchSize)
	}
	var uids []string
	for k := range in.Targets {
		instance := &in.Targets[k]
		if instance.State == "" {
			instance.State = InstanceReady
		}
		if instance.Capacity == 0 {
			instance.Capacity = 1
		}
		instance.Revision, instance.Suspect = 0, false
		if err := instance.validate(); err != nil {
			return nil, nil, fmt.Errorf("targets[%d].%w", k, err)
		}
		uids = append(uids, instance.UID)
	}
	return &Record{Op: OpRegister, ID: in.ID, IfRevision: in.IfRevision, Guard: in.Guard, Instances: in.Targets}, uids, nil
}

func (r *Replica) serveRegister(w http.ResponseWriter, request *http.Request) {
	var body registerRequest
	if !readJSON(w, request, &body) {
		return
	}
	record, uids, err := body.toRecord()
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, record, uids)
}

func (r *Replica) serveDeregister(w http.ResponseWriter, request *http.Request) {
	uid, id := request.PathValue("uid"), request.URL.Query().Get("id")
	revision, err := queryUint(request, "if_rev")
	if err == nil {
		err = checkWriteID(id)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, &Record{Op: OpDeregister, ID: id, Refs: []InstanceRef{{uid, revision}}}, []string{uid})
}

func (r *Replica) serveState(w http.ResponseWriter, request *http.Request) {
	var body struct {
		ID         string `json:"id"`
		UID        string `json:"uid"`
		State      string `json:"state"`
		IfRevision uint64 `json:"if_rev"`
		Guard      *Guard `json:"guard"`
	}
	if !readJSON(w, request, &body) {
		return
	}
	err := checkWriteID(body.ID)
	if err == nil && body.UID == "" {
		err = fieldErrorf("uid", "it is empty")
	}
	if err == nil && body.State != InstanceReady && body.State != InstanceTerminating {
		err = fieldErrorf("state", "%q is not %s or %s", body.State, InstanceReady, InstanceTerminating)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, &Record{Op: OpSetState, ID: body.ID, State: body.State, Guard: body.Guard, Refs: []InstanceRef{{body.UID, body.IfRevision}}}, []string{body.UID})
}

// InstanceRenewal answers a batch of renewals.
type InstanceRenewal struct {
	Renewed int      `json:"renewed"`
	Unknown []string `json:"unknown"` // they have to register again
}

func (r *Replica) serveRenew(w http.ResponseWriter, request *http.Request) {
	var body struct {
		UIDs []string `json:"uids"`
	}
	if !readJSON(w, request, &body) {
		return
	}
	if len(body.UIDs) == 0 || len(body.UIDs) > maxBatchSize {
		writeError(w, http.StatusBadRequest, fieldErrorf("uids", "%d entries, wanted 1 to %d", len(body.UIDs), maxBatchSize))
		return
	}
	// A leader that was frozen must not promise a time that its successor does not know of.
	if r.listAge() > maxFreshAge {
		r.writeNoLeader(w)
		return
	}
	var unknown, alive []string
	r.hub.Read(func(state *StateMachine) { unknown, alive = r.registrations.renew(time.Now(), state, body.UIDs) })
	if len(alive) > 0 {
		if err := r.clearSuspicion(alive); err != nil {
			r.writeNoLeader(w)
			return
		}
	}
	writeJSON(w, http.StatusOK, InstanceRenewal{len(body.UIDs) - len(unknown), append([]string{}, unknown...)})
}

func (r *Replica) clearSuspicion(uids []string) error {
	refs := make([]InstanceRef, 0, len(uids))
	for _, uid := range uids {
		refs = append(refs, InstanceRef{UID: uid})
	}
	_, err := r.propose(&Record{Op: OpSuspect, Refs: refs})
	r.refreshRegistrations(refs)
	return err
}

// serveSuspects is the operator's decision on what was held back: they are alive, or they go.
func (r *Replica) serveSuspects(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Expire bool `json:"expire"`
	}
	if !readJSON(w, request, &body) {
		return
	}
	var refs []InstanceRef
	var uids []string
	r.hub.Read(func(state *StateMachine) {
		state.ForEach(func(instance *Instance) {
			if instance.Suspect {
				refs = append(refs, InstanceRef{UID: instance.UID})
				uids = append(uids, instance.UID)
			}
		})
	})
	if len(refs) == 0 {
		writeJSON(w, http.StatusOK, Result{Outcome: OutcomeDone, Reason: "nothing is held back"})
		return
	}
	op := OpSuspect
	if body.Expire {
		op = OpDeregister
	}
	r.proposeAndRespond(w, &Record{Op: op, Refs: refs}, uids)
}

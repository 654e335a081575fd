package registry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"milldeck/internal/validation"
)

// proposeAndRespond proposes a record and responds with its result. The uids are those of the instances that the record
// concerns.
func (r *Replica) proposeAndRespond(w http.ResponseWriter, record *Record, uids []string) {
	result, err := r.propose(record)
	switch {
	case errors.Is(err, ErrNotLeader):
		r.writeNoLeader(w)
		return
	case err != nil:
		writeRetryable(w, err)
		return
	}
	r.refreshRegistrations(uids)
	writeJSON(w, result.Outcome.statusCode(), result)
}

// checkWriteID validates the idempotency key of a write.
func checkWriteID(id string) error {
	if len(id) > maxNameLength {
		return validation.Errorf("id", "over %d characters", maxNameLength)
	}
	return nil
}

// registerRequest is the body of a request that registers instances.
type registerRequest struct {
	Guard      *Guard     `json:"guard,omitempty"`
	ID         string     `json:"id"` // idempotency key
	IfRevision *uint64    `json:"if_rev,omitempty"`
	Instances  []Instance `json:"targets"`
}

// toRecord sets the defaults of omitted fields, validates the request, and returns its log record and the uids of its
// instances.
func (q *registerRequest) toRecord() (*Record, []string, error) {
	if err := checkWriteID(q.ID); err != nil {
		return nil, nil, err
	}
	if len(q.Instances) == 0 || len(q.Instances) > maxBatchSize {
		return nil, nil, validation.Errorf("targets", "%d entries, wanted 1 to %d", len(q.Instances), maxBatchSize)
	}
	uids := make([]string, 0, len(q.Instances))
	for i := range q.Instances {
		instance := &q.Instances[i]
		if instance.State == "" {
			instance.State = InstanceReady
		}
		if instance.Capacity == 0 {
			instance.Capacity = 1
		}
		instance.Revision, instance.Suspect = 0, false
		if err := instance.validate(); err != nil {
			return nil, nil, fmt.Errorf("targets[%d].%w", i, err)
		}
		uids = append(uids, instance.UID)
	}
	return &Record{Op: OpRegister, ID: q.ID, IfRevision: q.IfRevision, Guard: q.Guard, Instances: q.Instances}, uids, nil
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

// setStateRequest is the body of a request that sets the state of an instance.
type setStateRequest struct {
	Guard      *Guard  `json:"guard,omitempty"`
	ID         string  `json:"id"`               // idempotency key
	IfRevision *uint64 `json:"if_rev,omitempty"` // required revision of the instance; absent or 0: any
	State      string  `json:"state"`
	UID        string  `json:"uid"`
}

// toRecord validates the request and returns its log record.
func (q *setStateRequest) toRecord() (*Record, error) {
	if err := checkWriteID(q.ID); err != nil {
		return nil, err
	}
	if q.UID == "" {
		return nil, validation.Errorf("uid", "it is empty")
	}
	if q.State != InstanceReady && q.State != InstanceTerminating {
		return nil, invalidState(q.State)
	}
	ref := InstanceRef{UID: q.UID}
	if q.IfRevision != nil {
		ref.Revision = *q.IfRevision
	}
	return &Record{Op: OpSetState, ID: q.ID, State: q.State, Guard: q.Guard, Refs: []InstanceRef{ref}}, nil
}

func (r *Replica) serveState(w http.ResponseWriter, request *http.Request) {
	var body setStateRequest
	if !readJSON(w, request, &body) {
		return
	}
	record, err := body.toRecord()
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, record, []string{body.UID})
}

// renewRequest is the body of a heartbeat, which renews the leases of instances.
type renewRequest struct {
	UIDs []string `json:"uids"`
}

// InstanceRenewal is the response to a heartbeat of instances.
type InstanceRenewal struct {
	Renewed int      `json:"renewed"`
	Unknown []string `json:"unknown"` // not registered: they have to be registered again
}

func (r *Replica) serveRenew(w http.ResponseWriter, request *http.Request) {
	var body renewRequest
	if !readJSON(w, request, &body) {
		return
	}
	if len(body.UIDs) == 0 || len(body.UIDs) > maxBatchSize {
		writeError(w, http.StatusBadRequest, validation.Errorf("uids", "%d entries, wanted 1 to %d", len(body.UIDs), maxBatchSize))
		return
	}
	// A leader that was paused may have been replaced. It must not grant leases that its successor does not know of.
	if r.stateAge() > maxFreshAge {
		r.writeNoLeader(w)
		return
	}
	var unknown, suspects []string
	r.hub.Read(func(state *StateMachine) { unknown, suspects = r.registrations.renew(time.Now(), state, body.UIDs) })
	if len(suspects) > 0 {
		if err := r.clearSuspicion(suspects); err != nil {
			r.writeNoLeader(w)
			return
		}
	}
	writeJSON(w, http.StatusOK, InstanceRenewal{len(body.UIDs) - len(unknown), append([]string{}, unknown...)})
}

// clearSuspicion clears the suspect mark of instances that have sent a heartbeat.
func (r *Replica) clearSuspicion(uids []string) error {
	refs := make([]InstanceRef, 0, len(uids))
	for _, uid := range uids {
		refs = append(refs, InstanceRef{UID: uid})
	}
	_, err := r.propose(&Record{Op: OpSuspect, Refs: refs})
	r.refreshRegistrations(uids)
	return err
}

// suspectsRequest is the body of an operator's decision on all suspects: to expire them, or to clear them.
type suspectsRequest struct {
	Expire bool `json:"expire"`
}

func (r *Replica) serveSuspects(w http.ResponseWriter, request *http.Request) {
	var body suspectsRequest
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
		writeJSON(w, http.StatusOK, Result{Outcome: OutcomeDone, Reason: "no expiry is held back"})
		return
	}
	op := OpSuspect
	if body.Expire {
		op = OpDeregister
	}
	r.proposeAndRespond(w, &Record{Op: op, Refs: refs}, uids)
}

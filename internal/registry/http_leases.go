package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/validation"
)

// LeaseRequest is the body of an operation on a lease. The path holds the lease's name and the kind of the operation.
type LeaseRequest struct {
	ID        string `json:"id"` // idempotency key
	Candidate string `json:"who"`
	Token     uint64 `json:"token"`
	TTLMS     int64  `json:"ttl_ms"`
	Successor string `json:"to"`
	Data      []byte `json:"data"` // checkpoint
}

// operation returns the operation of a request, or a *validation.Error if the request is invalid.
func (l *LeaseRequest) operation(kind leasetable.OperationKind, name string) (*leasetable.Operation, error) {
	op := &leasetable.Operation{
		Kind: kind, Name: name, Candidate: l.Candidate, Token: l.Token, TTLMS: l.TTLMS, Successor: l.Successor, Data: l.Data,
	}
	if err := op.Validate(); err != nil {
		return nil, err
	}
	if op.Kind == leasetable.Expire {
		return nil, validation.Errorf("op", "only the leader expires leases")
	}
	if err := checkWriteID(l.ID); err != nil {
		return nil, err
	}
	return op, nil
}

func (r *Replica) serveLeaseOp(w http.ResponseWriter, request *http.Request) {
	var body LeaseRequest
	if !readJSON(w, request, &body) {
		return
	}
	op, err := body.operation(leasetable.OperationKind(request.PathValue("op")), request.PathValue("name"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	switch op.Kind {
	case leasetable.Campaign:
		if !r.admitCandidate(op.Name, op.Candidate) {
			r.writeLease(w, op.Name)
			return
		}
	case leasetable.Release:
		op.ShortTenure = r.leaseTracker.isShortTenure(time.Now(), op.Name, op.Candidate, op.Token)
	}
	result, err := r.propose(&Record{Op: OpLease, ID: body.ID, Lease: op})
	if err != nil {
		r.writeNoLeader(w)
		return
	}
	r.refreshLease(op.Name)
	if result.Outcome != OutcomeDone {
		writeJSON(w, result.Outcome.statusCode(), result)
		return
	}
	r.writeLease(w, op.Name)
}

// writeLease responds with the current state of a lease.
func (r *Replica) writeLease(w http.ResponseWriter, name string) {
	var lease leasetable.Lease
	var ok bool
	r.hub.Read(func(state *StateMachine) { lease, ok = state.leases.Get(name) })
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("lease %s does not exist", name))
		return
	}
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, lease)
}

func (r *Replica) serveLease(w http.ResponseWriter, request *http.Request) {
	if r.ensureFresh(w, request) {
		r.writeLease(w, request.PathValue("name"))
	}
}

// LeaseRenewal renews a lease that the candidate holds under a token or, with token 0, the candidate's place in the
// lease's queue.
type LeaseRenewal struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
}

// renewLeasesRequest is the body of a request that renews leases of one candidate.
type renewLeasesRequest struct {
	Leases    []LeaseRenewal `json:"duties"`
	Candidate string         `json:"who"`
}

// renewLeasesResponse lists the leases that the candidate neither holds nor waits for any more.
type renewLeasesResponse struct {
	Lost []string `json:"lost"`
}

func (r *Replica) serveRenewLeases(w http.ResponseWriter, request *http.Request) {
	var body renewLeasesRequest
	if !readJSON(w, request, &body) {
		return
	}
	if body.Candidate == "" || len(body.Leases) == 0 || len(body.Leases) > leasetable.MaxLeases {
		writeError(w, http.StatusBadRequest, validation.Errorf("duties", "%d entries of %q", len(body.Leases), body.Candidate))
		return
	}
	// Verify the leadership after the request has arrived: a leader that was replaced in the meantime must renew nothing.
	ctx, cancel := context.WithTimeout(request.Context(), applyTimeout)
	defer cancel()
	if r.awaitReadIndex(ctx) != nil {
		r.writeNoLeader(w)
		return
	}
	lost := []string{}
	r.hub.Read(func(state *StateMachine) {
		for _, renewal := range body.Leases {
			if !r.leaseTracker.renew(time.Now(), state, renewal.Name, body.Candidate, renewal.Token) {
				lost = append(lost, renewal.Name)
			}
		}
	})
	writeJSON(w, http.StatusOK, renewLeasesResponse{lost})
}

// serveLeases lists all leases or, with the query parameter watch, streams the changes of one lease.
func (r *Replica) serveLeases(w http.ResponseWriter, request *http.Request) {
	if name := request.URL.Query().Get("watch"); name != "" {
		r.serveLeaseWatch(w, request, name)
		return
	}
	if !r.ensureFresh(w, request) {
		return
	}
	var list []*leasetable.Lease
	r.hub.Read(func(state *StateMachine) { list = state.leases.Snapshot() })
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, list)
}

// serveLeaseWatch writes a line with the current state of a lease, another after each change, and a heartbeat (an empty
// line) every heartbeatInterval, until the client disconnects or the replica shuts down.
func (r *Replica) serveLeaseWatch(w http.ResponseWriter, request *http.Request, name string) {
	if !r.admitWatcher(w) {
		return
	}
	defer r.watchers.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	replacements := uint64(0) // stateReplacements when the last line was sent
	for sentRevision, first := uint64(0), true; ; {
		current := r.stateReplacements.Load()
		lease, changed := r.hub.Lease(name)
		confirmed := !r.restorePending() && r.stateReplacements.Load() == current
		// Revisions do not compare across a restore, so the first line after one is sent in any case.
		if confirmed && (first || lease.Revision > sentRevision || replacements != current) {
			first, replacements, sentRevision = false, current, lease.Revision
			lease.Name = name // a lease that does not exist has no name
			line, err := jsonLine(lease)
			if err != nil || writeLines(w, controller, [][]byte{line}) != nil {
				return
			}
		}
		select {
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
			if r.stateAge() < staleAfter && !r.restorePending() && writeLines(w, controller, [][]byte{{'\n'}}) != nil {
				return
			}
		}
	}
}

// jsonLine encodes a value as one line of a watch.
func jsonLine(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

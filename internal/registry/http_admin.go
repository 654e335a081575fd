package registry

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/hashicorp/raft"
)

// RoleLeader is the role of the leader in Status, as raft names it.
const RoleLeader = "Leader"

// Status is the status of a replica.
type Status struct {
	HTTPAddr     string `json:"http"`
	Role         string `json:"role"`   // in raft's terms: RoleLeader, Follower, Candidate
	Leader       string `json:"leader"` // HTTP address; "": no leader is known
	Revision     uint64 `json:"rev"`
	Epoch        uint64 `json:"epoch"`
	Instances    int    `json:"instances"`
	Suspects     int    `json:"suspects"` // instances whose expiry is held back
	Watchers     int64  `json:"watchers"`
	AgeMS        int64  `json:"age_ms"` // maximum age of the state
	AppliedIndex uint64 `json:"applied"`
	Fresh        bool   `json:"fresh"` // the replica is the leader and verified its leadership within the last second
}

func (r *Replica) status() Status {
	age := r.stateAge()
	status := Status{
		HTTPAddr: r.options.HTTPAddr, Role: r.raft.State().String(), Leader: r.leaderAddr(), Watchers: r.watchers.Load(),
		AgeMS: age.Milliseconds(), AppliedIndex: r.raft.AppliedIndex(), Fresh: r.leadershipEstablished.Load() && age < maxFreshAge && !r.restorePending(),
	}
	r.hub.Read(func(state *StateMachine) {
		status.Revision, status.Epoch, status.Instances = state.Revision(), state.Epoch(), state.Len()
		state.ForEach(func(instance *Instance) {
			if instance.Suspect {
				status.Suspects++
			}
		})
	})
	return status
}

func (r *Replica) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.status())
}

// readiness is the response body of a ready replica.
type readiness struct {
	Ready bool `json:"ready"`
}

// serveReady reports whether the replica has caught up since its start and knows a leader, so that its reads are recent.
func (r *Replica) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.caughtUp.Load() || r.restorePending() || r.leaderAddr() == "" {
		writeError(w, http.StatusServiceUnavailable, errors.New("no leader yet"))
		return
	}
	writeJSON(w, http.StatusOK, readiness{true})
}

func (r *Replica) serveMembers(w http.ResponseWriter, _ *http.Request) {
	members, err := r.members()
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, members)
}

func (r *Replica) serveAddMember(w http.ResponseWriter, request *http.Request) {
	var member Member
	if !readJSON(w, request, &member) {
		return
	}
	err := CheckLoopback("http", member.HTTPAddr)
	if err == nil {
		err = CheckLoopback("raft", member.RaftAddr)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	added := r.raft.AddVoter(raft.ServerID(member.HTTPAddr), raft.ServerAddress(member.RaftAddr), 0, applyTimeout)
	r.writeMembershipResult(w, added.Error())
}

func (r *Replica) serveRemoveMember(w http.ResponseWriter, request *http.Request) {
	name := request.URL.Query().Get("http")
	members, err := r.members()
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	if !slices.ContainsFunc(members, func(member Member) bool { return member.HTTPAddr == name }) {
		writeError(w, http.StatusNotFound, fmt.Errorf("no member %q", name))
		return
	}
	removed := r.raft.RemoveServer(raft.ServerID(name), 0, applyTimeout)
	r.writeMembershipResult(w, removed.Error())
}

// writeMembershipResult responds to a membership change with the members, or with the error.
func (r *Replica) writeMembershipResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeRetryable(w, err)
		return
	}
	r.serveMembers(w, nil)
}

func (r *Replica) serveSaveSnapshot(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var buffer snapshotBuffer
	var err error
	r.hub.Read(func(state *StateMachine) { err = state.WriteSnapshot(&buffer) })
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	r.setFreshnessHeaders(w)
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := w.Write(buffer.data); err != nil {
		r.logger.Debug("snapshot not written", "error", err)
	}
}

func (r *Replica) serveRestoreSnapshot(w http.ResponseWriter, request *http.Request) {
	state, err := ReadSnapshot(http.MaxBytesReader(w, request.Body, maxSnapshotBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	result, err := r.restore(state)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	r.logger.Warn("state restored from a backup under a new epoch", "revision", result.Revision)
	writeJSON(w, http.StatusOK, result)
}

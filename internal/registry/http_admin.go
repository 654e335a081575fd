package registry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/hashicorp/raft"
)

// Status is what a replica says of itself.
type Status struct {
	HTTPAddr     string `json:"http"`
	Role         string `json:"role"` // as raft names it: Leader, Follower, Candidate
	Leader       string `json:"leader"`
	Revision     uint64 `json:"rev"`
	Epoch        uint64 `json:"epoch"`
	Instances    int    `json:"instances"`
	Suspects     int    `json:"suspects"`
	Watchers     int64  `json:"watchers"`
	AgeMS        int64  `json:"age_ms"`
	AppliedIndex uint64 `json:"applied"`
	Fresh        bool   `json:"fresh"`
}

func (r *Replica) status() Status {
	age := r.listAge()
	status := Status{
		HTTPAddr: r.options.HTTPAddr, Role: r.raft.State().String(), Leader: r.leaderAddr(), Watchers: r.watchers.Load(),
		AgeMS: age.Milliseconds(), AppliedIndex: r.raft.AppliedIndex(), Fresh: r.isLeader.Load() && age < maxFreshAge,
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

// serveReady: a replica is ready while it knows a leader, so that its reads are of today.
func (r *Replica) serveReady(w http.ResponseWriter, _ *http.Request) {
	if status := r.status(); status.Leader == "" || status.Epoch == 0 {
		writeError(w, http.StatusServiceUnavailable, errors.New("no leader yet"))
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

func (r *Replica) serveMembers(w http.ResponseWriter, _ *http.Request) {
	list, err := r.members()
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (r *Replica) serveAddMember(w http.ResponseWriter, request *http.Request) {
	var member Member
	if !readJSON(w, request, &member) {
		return
	}
	err := checkLoopback("http", member.HTTPAddr)
	if err == nil {
		err = checkLoopback("raft", member.RaftAddr)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.writeReconfigured(w, r.raft.AddVoter(raft.ServerID(member.HTTPAddr), raft.ServerAddress(member.RaftAddr), 0, applyTimeout).Error())
}

func (r *Replica) serveRemoveMember(w http.ResponseWriter, request *http.Request) {
	name := request.URL.Query().Get("http")
	list, err := r.members()
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	for _, member := range list {
		if member.HTTPAddr == name {
			r.writeReconfigured(w, r.raft.RemoveServer(raft.ServerID(name), 0, applyTimeout).Error())
			return
		}
	}
	writeError(w, http.StatusNotFound, fmt.Errorf("no member %q", name))
}

func (r *Replica) writeReconfigured(w http.ResponseWriter, err error) {
	if err != nil {
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, err)
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
	w.Write(buffer.data) // a client that is gone is told by nobody
}

func (r *Replica) serveRestoreSnapshot(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxSnapshotBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	state, err := ReadSnapshot(bytes.NewReader(data))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	result, err := r.restore(state)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	slog.Warn("restored from a backup, under a new epoch", "rev", result.Revision)
	writeJSON(w, http.StatusOK, result)
}

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

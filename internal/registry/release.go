package registry

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"milldeck/internal/release"
)

// Releases is the table of releases, for reading.
func (s *State) Releases() *release.Table { return s.releases }

func (s *State) doRelease(index uint64, r *Record) Result {
	if op := r.Release; op != nil && op.Guarded() && (r.Guard == nil || r.Guard.Duty != release.Owner(op.Name)) {
		return Result{Conflict, index, "a step of a release is written under its own duty"}
	}
	if err := s.releases.Apply(index, r.Release); err != nil {
		return Result{Conflict, index, err.Error()}
	}
	return Result{Outcome: Done, Rev: index}
}

// ReleaseView is a release as it stands in the log, and what operators have told it, oldest first.
type ReleaseView struct {
	*release.State
	Told []release.Command `json:"told,omitempty"`
}

// serveReleases answers with all releases, without their units and plans.
func (r *Replica) serveReleases(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	out := []ReleaseView{}
	r.hub.Read(func(s *State) {
		for _, name := range s.releases.Names() {
			out = append(out, view(s, name, true))
		}
	})
	r.mark(w)
	answer(w, http.StatusOK, out)
}

// serveRelease answers with one release; brief leaves its units and plan out.
func (r *Replica) serveRelease(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var v ReleaseView
	name := req.PathValue("name")
	r.hub.Read(func(s *State) { v = view(s, name, req.URL.Query().Get("brief") != "") })
	if v.State == nil {
		refuse(w, http.StatusNotFound, fmt.Errorf("there is no release %s", name))
		return
	}
	r.mark(w)
	answer(w, http.StatusOK, v)
}

// view copies a release; the caller holds the state for reading.
func view(s *State, name string, brief bool) ReleaseView {
	of, told := s.releases.Get(name)
	if of == nil {
		return ReleaseView{}
	}
	c := *of
	c.Units = append([]release.Unit(nil), of.Units...)
	if brief {
		c.Units, c.Plan = nil, nil
	}
	return ReleaseView{&c, append([]release.Command(nil), told...)}
}

// ReleaseWrite is the body of a write about a release.
type ReleaseWrite struct {
	ID    string     `json:"id"`
	Guard *Guard     `json:"guard,omitempty"`
	Op    release.Op `json:"op"`
}

func (r *Replica) serveReleaseOp(w http.ResponseWriter, req *http.Request) {
	var in ReleaseWrite
	if !body(w, req, &in) {
		return
	}
	err := writeID(in.ID)
	switch name := req.PathValue("name"); {
	case err != nil:
	case in.Op.Start != nil && in.Op.Start.Name != name || in.Op.Start == nil && in.Op.Name != name:
		err = bad("op.name", "it is not that of the path, %q", name)
	case in.Op.Guarded() && in.Guard == nil:
		err = bad("guard", "a step is written under the release's duty")
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	r.done(w, &Record{Op: OpRelease, ID: in.ID, Guard: in.Guard, Release: &in.Op}, nil)
}

// WriteRelease writes an operation about a release; a step needs the write's guard to be the release's duty.
func (c *Client) WriteRelease(ctx context.Context, w Write, name string, op release.Op) (Result, error) {
	var res Result
	if op.Start == nil {
		op.Name = name
	}
	return res, c.post(ctx, "/releases/"+url.PathEscape(name), ReleaseWrite{w.id(), w.Guard, op}, &res)
}

// Release reads a release; brief leaves its units and plan out. Fresh: as no later write has changed it.
func (c *Client) Release(ctx context.Context, name string, brief, fresh bool) (ReleaseView, error) {
	q := url.Values{}
	if brief {
		q.Set("brief", "1")
	}
	if fresh {
		q.Set("fresh", "1")
	}
	var v ReleaseView
	return v, c.call(ctx, http.MethodGet, "/releases/"+url.PathEscape(name)+"?"+q.Encode(), nil, &v)
}

// Releases reads all releases, without their units and plans.
func (c *Client) Releases(ctx context.Context) ([]ReleaseView, error) {
	var out []ReleaseView
	return out, c.call(ctx, http.MethodGet, "/releases", nil, &out)
}

package registry

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"milldeck/internal/release"
)

// Releases is the table of releases, for reading.
func (s *StateMachine) Releases() *release.Table { return s.releases }

func (s *StateMachine) applyRelease(index uint64, record *Record) Result {
	if op := record.Release; op != nil && op.RequiresToken() && (record.Guard == nil || record.Guard.Lease != release.Owner(op.Name)) {
		return Result{OutcomeConflict, index, "a step of a release is written under its own duty"}
	}
	if err := s.releases.Apply(index, record.Release); err != nil {
		return Result{OutcomeConflict, index, err.Error()}
	}
	return Result{Outcome: OutcomeDone, Revision: index}
}

// ReleaseView is a release as it stands in the log, and what operators have told it, oldest first.
type ReleaseView struct {
	*release.State
	Commands []release.Command `json:"told,omitempty"`
}

// serveReleases answers with all releases, without their units and plans.
func (r *Replica) serveReleases(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	views := []ReleaseView{}
	r.hub.Read(func(state *StateMachine) {
		for _, name := range state.releases.Names() {
			views = append(views, viewRelease(state, name, true))
		}
	})
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, views)
}

// serveRelease answers with one release; brief leaves its units and plan out.
func (r *Replica) serveRelease(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var found ReleaseView
	name := request.PathValue("name")
	r.hub.Read(func(state *StateMachine) { found = viewRelease(state, name, request.URL.Query().Get("brief") != "") })
	if found.State == nil {
		writeError(w, http.StatusNotFound, fmt.Errorf("there is no release %s", name))
		return
	}
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, found)
}

// viewRelease copies a release; the caller holds the state for reading.
func viewRelease(state *StateMachine, name string, brief bool) ReleaseView {
	stored, commands := state.releases.Get(name)
	if stored == nil {
		return ReleaseView{}
	}
	copied := *stored
	copied.Units = append([]release.Unit(nil), stored.Units...)
	if brief {
		copied.Units, copied.Plan = nil, nil
	}
	return ReleaseView{&copied, append([]release.Command(nil), commands...)}
}

// ReleaseRequest is the body of a write about a release.
type ReleaseRequest struct {
	ID    string            `json:"id"`
	Guard *Guard            `json:"guard,omitempty"`
	Op    release.Operation `json:"op"`
}

func (r *Replica) serveReleaseOp(w http.ResponseWriter, request *http.Request) {
	var body ReleaseRequest
	if !readJSON(w, request, &body) {
		return
	}
	err := checkWriteID(body.ID)
	switch name := request.PathValue("name"); {
	case err != nil:
	case body.Op.Start != nil && body.Op.Start.Name != name || body.Op.Start == nil && body.Op.Name != name:
		err = fieldErrorf("op.name", "it is not that of the path, %q", name)
	case body.Op.RequiresToken() && body.Guard == nil:
		err = fieldErrorf("guard", "a step is written under the release's duty")
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, &Record{Op: OpRelease, ID: body.ID, Guard: body.Guard, Release: &body.Op}, nil)
}

// WriteRelease writes an operation about a release; a step needs the write's guard to be the release's duty.
func (c *Client) WriteRelease(ctx context.Context, options WriteOptions, name string, op release.Operation) (Result, error) {
	var result Result
	if op.Start == nil {
		op.Name = name
	}
	return result, c.post(ctx, "/releases/"+url.PathEscape(name), ReleaseRequest{options.ensureID(), options.Guard, op}, &result)
}

// Release reads a release; brief leaves its units and plan out. Fresh: as no later write has changed it.
func (c *Client) Release(ctx context.Context, name string, brief, fresh bool) (ReleaseView, error) {
	query := url.Values{}
	if brief {
		query.Set("brief", "1")
	}
	if fresh {
		query.Set("fresh", "1")
	}
	var found ReleaseView
	return found, c.call(ctx, http.MethodGet, "/releases/"+url.PathEscape(name)+"?"+query.Encode(), nil, &found)
}

// Releases reads all releases, without their units and plans.
func (c *Client) Releases(ctx context.Context) ([]ReleaseView, error) {
	var views []ReleaseView
	return views, c.call(ctx, http.MethodGet, "/releases", nil, &views)
}

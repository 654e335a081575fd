package registry

import (
	"fmt"
	"net/http"
	"slices"

	"milldeck/internal/release"
	"milldeck/internal/validation"
)

// ReleaseView is the replicated state of a release, with the commands of operators, oldest first.
type ReleaseView struct {
	*release.State
	Commands []release.Command `json:"told,omitempty"`
}

// viewRelease returns a copy of a release that stays valid when the state changes. The copy's State is nil if the release
// does not exist. Brief omits the units and the plan.
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
	return ReleaseView{&copied, slices.Clone(commands)}
}

// serveReleases lists all releases, without their units and plans.
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

func (r *Replica) serveRelease(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	name, brief := request.PathValue("name"), request.URL.Query().Get("brief") != ""
	var view ReleaseView
	r.hub.Read(func(state *StateMachine) { view = viewRelease(state, name, brief) })
	if view.State == nil {
		writeError(w, http.StatusNotFound, fmt.Errorf("release %s does not exist", name))
		return
	}
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, view)
}

// ReleaseRequest is the body of an operation on a release.
type ReleaseRequest struct {
	ID    string            `json:"id"` // idempotency key
	Guard *Guard            `json:"guard,omitempty"`
	Op    release.Operation `json:"op"`
}

// validate returns a *validation.Error for the first invalid field. Name is the release in the path.
func (q *ReleaseRequest) validate(name string) error {
	if err := checkWriteID(q.ID); err != nil {
		return err
	}
	bodyName := q.Op.Name
	if q.Op.Start != nil {
		bodyName = q.Op.Start.Name
	}
	switch {
	case bodyName != name:
		return validation.Errorf("op.name", "it differs from %q in the path", name)
	case q.Op.RequiresToken() && q.Guard == nil:
		return validation.Errorf("guard", "a step needs the token of the release's lease")
	}
	return nil
}

func (r *Replica) serveReleaseOp(w http.ResponseWriter, request *http.Request) {
	var body ReleaseRequest
	if !readJSON(w, request, &body) {
		return
	}
	if err := body.validate(request.PathValue("name")); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	r.proposeAndRespond(w, &Record{Op: OpRelease, ID: body.ID, Guard: body.Guard, Release: &body.Op}, nil)
}

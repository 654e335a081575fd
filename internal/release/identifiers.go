package release

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"milldeck/internal/supervisor"
)

// requestIDHashBytes is the number of hash bytes in the ID of a platform request.
const requestIDHashBytes = 12

// Owner returns the name of a release's lease. The release is written under the lease's fencing token, and the lease owns
// the release's permits.
func Owner(name string) string { return "release/" + name }

// CohortID returns the ID of the placement directive that makes sidecars count requests to updated servers separately.
func (s *State) CohortID() string { return "cohort/" + s.Name }

// PermitID returns the ID of a unit's present permit. The ID is derived from the written state, so that a repeated
// request refers to the same permit.
func (s *State) PermitID(unit *Unit) string {
	direction := "to"
	if unit.RollbackPermit {
		direction = "back"
	}
	return fmt.Sprintf("%s@%d/%s/%d/%s", Owner(s.Name), s.StartRevision, direction, unit.PermitAttempt, unit.ID)
}

// RequestID returns the ID of a unit's present platform request. The ID is derived from the written state, so that the
// platform recognizes a repeated request whichever controller sends it.
func (s *State) RequestID(unit *Unit) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s\x00%d", s.Name, s.StartRevision, unit.ID, unit.Request.Sequence))
	return "rel-" + hex.EncodeToString(sum[:requestIDHashBytes])
}

// platformRequest returns a unit's present request in the platform's form. It lacks the text of the configuration, which
// the sender adds. The sender looks the text up by the names of the unit and the configuration.
func (s *State) platformRequest(unit *Unit) supervisor.Request {
	request := supervisor.Request{
		ID:          s.RequestID(unit),
		Op:          unit.Request.Op,
		Epoch:       unit.Request.Epoch,
		Unit:        unit.Name,
		Incarnation: unit.Request.Incarnation,
	}
	desired := unit.desiredImage()
	switch unit.Request.Op {
	case supervisor.Start:
		request.Kind = s.platformKind()
		request.Version = desired.Version
		request.ConfigName = desired.ConfigName
		request.Listen = unit.Listen
		request.Zone = unit.Zone
	case supervisor.Reload:
		request.ConfigName = desired.ConfigName
	}
	return request
}

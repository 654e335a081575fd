package release

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"milldeck/internal/supervisor"
)

// requestIDHashBytes is how much of a hash a platform request's ID carries.
const requestIDHashBytes = 12

// Owner is the name of the lease under whose token a release is written. It also owns the release's permits.
func Owner(name string) string { return "release/" + name }

// CohortID is the placement directive that has sidecars count requests to updated servers separately.
func (s *State) CohortID() string { return "cohort/" + s.Name }

// PermitID is the ID of a unit's present permit. It follows from the written state, so that a repeated request of it is
// the same permit.
func (s *State) PermitID(unit *Unit) string {
	direction := "to"
	if unit.RollbackPermit {
		direction = "back"
	}
	return fmt.Sprintf("%s@%d/%s/%d/%s", Owner(s.Name), s.StartRevision, direction, unit.PermitAttempt, unit.ID)
}

// RequestID is the ID of a unit's present platform request. It follows from the written state, so that the platform
// recognizes a repetition, whoever sends it.
func (s *State) RequestID(unit *Unit) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s\x00%d", s.Name, s.StartRevision, unit.ID, unit.Request.Sequence))
	return "rel-" + hex.EncodeToString(sum[:requestIDHashBytes])
}

// platformRequest is a unit's present request in the platform's form, without the text of its configuration: the sender
// adds it, by the unit's name and the configuration's.
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

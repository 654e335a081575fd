package registry

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/validation"
)

// maxSidecars bounds the number of registered sidecars.
const maxSidecars = 100_000

// Sidecar is a sidecar as its agent registers it. The endpoint list does not contain sidecars; the disruption ledger
// counts them.
type Sidecar struct {
	Name     string  `json:"name"`
	Version  string  `json:"version,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Tenant   string  `json:"tenant,omitempty"`
	Ready    bool    `json:"ready"`             // it passes its health check and has the endpoint list
	Draining bool    `json:"ending,omitempty"`  // it is shutting down
	BootMS   float64 `json:"boot_ms,omitempty"` // last start, Unix ms
	TTLMS    int64   `json:"ttl_ms"`            // lease duration
	Revision uint64  `json:"rev"`               // of its last change
	Suspect  bool    `json:"suspect,omitempty"` // its lease has expired, but the expiry is held back

	// The revisions that the sidecar has in force. They change with every change of the list, so only the leader holds
	// them, in memory.
	ListRevision      uint64 `json:"list_rev,omitempty"`
	PlacementRevision uint64 `json:"placement_rev,omitempty"`
}

// Values of Record.State in a record about sidecars: what happened to the sidecars in Refs.
const (
	sidecarDeregistered = "left"
	sidecarExpired      = "lost"
	sidecarSuspected    = "held"
)

// validate returns a *validation.Error for the first invalid field.
func (s *Sidecar) validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameLength:
		return validation.Errorf("name", "%d characters, wanted 1 to %d", len(s.Name), maxNameLength)
	case len(s.Version) > maxNameLength || len(s.Zone) > maxNameLength || len(s.Tenant) > maxNameLength:
		return validation.Errorf("version, zone, tenant", "over %d characters", maxNameLength)
	case !validTTLMS(s.TTLMS):
		return validation.Errorf("ttl_ms", "%d is not within %d to %d", s.TTLMS, minTTLMS, maxTTLMS)
	case !validBootMS(s.BootMS):
		return validation.Errorf("boot_ms", "%v is not a time in Unix ms", s.BootMS)
	}
	return nil
}

// storedFields returns the sidecar with only those fields that its agent determines and the log stores.
func (s Sidecar) storedFields() Sidecar {
	s.Revision, s.Suspect, s.ListRevision, s.PlacementRevision = 0, false, 0, 0
	return s
}

// disruptionUnit returns the sidecar as a unit of the disruption ledger.
func (s *Sidecar) disruptionUnit() disruption.Unit {
	unit := disruption.Unit{
		ID: disruption.UnitID(disruption.KindSidecar, s.Name), Kind: disruption.KindSidecar,
		Zone: s.Zone, Version: s.Version, Capacity: 1, BootMS: s.BootMS, Condition: disruption.ConditionUnready,
	}
	if s.Tenant != "" {
		unit.Tenants = []string{s.Tenant}
	}
	switch {
	case s.Draining:
		unit.Condition = disruption.ConditionDraining
	case s.Ready:
		unit.Condition = disruption.ConditionUp
	}
	return unit
}

// applySidecars registers the sidecars in record.Sidecars, and applies record.State to those in record.Refs.
func (s *StateMachine) applySidecars(index uint64, record *Record) Result {
	ledger := s.ensureLedger(index)
	added := 0
	for i := range record.Sidecars {
		if ledger.sidecars[record.Sidecars[i].Name] == nil {
			added++
		}
	}
	if len(ledger.sidecars)+added > maxSidecars {
		return Result{OutcomeLimitExceeded, s.revision, fmt.Sprintf("%d sidecars are registered", len(ledger.sidecars))}
	}
	for _, sidecar := range record.Sidecars {
		sidecar.Revision = index
		ledger.sidecars[sidecar.Name] = &sidecar
		ledger.table.Register(index, sidecar.disruptionUnit())
	}
	for _, ref := range record.Refs {
		ledger.applySidecarState(index, ref, record.State)
	}
	return doneResult(index)
}

// applySidecarState removes a sidecar or marks it as suspect, depending on the state. It does nothing if the sidecar
// has registered again since the record was proposed.
func (l *ledger) applySidecarState(index uint64, ref InstanceRef, state string) {
	existing := l.sidecars[ref.UID]
	if existing == nil || ref.Revision != 0 && ref.Revision != existing.Revision {
		return
	}
	id := disruption.UnitID(disruption.KindSidecar, ref.UID)
	switch state {
	case sidecarDeregistered:
		delete(l.sidecars, ref.UID)
		l.table.Deregister(index, id)
	case sidecarExpired:
		delete(l.sidecars, ref.UID)
		l.table.MarkLost(index, id)
	case sidecarSuspected:
		updated := *existing
		updated.Suspect = true
		l.sidecars[ref.UID] = &updated
		l.table.MarkUnknown(index, id)
	}
}

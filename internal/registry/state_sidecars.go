package registry

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/validation"
)

// maxSidecars bounds the sidecars that may be registered.
const maxSidecars = 100_000

// Sidecar is a sidecar as its agent registers it. Sidecars are not part of the endpoint list; the disruption ledger
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

	// The revisions that it has in force change with every change of the list. They are held in the leader's memory only.
	ListRevision      uint64 `json:"list_rev,omitempty"`
	PlacementRevision uint64 `json:"placement_rev,omitempty"`
}

// What a record says happened to the sidecars that it refers to; stored in Record.State.
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

// persisted is the part of a sidecar that its agent determines and the log records.
func (s Sidecar) persisted() Sidecar {
	s.Revision, s.Suspect, s.ListRevision, s.PlacementRevision = 0, false, 0, 0
	return s
}

// disruptionUnit is the sidecar as the ledger counts it.
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

// applySidecars registers the sidecars of a record, and applies its State to those that it refers to.
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

// applySidecarState applies what happened to a sidecar, unless it has registered again since.
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

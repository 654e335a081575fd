package maintenance

import (
	"strings"

	"milldeck/internal/disruption"
)

// LeaseName is the lease that the one active controller of all windows holds. The lease owns the windows'
// disruption permits and exclusion directives.
const LeaseName = "window"

// View is the part of the replicated state that the Reconciler reads, all at one revision.
type View struct {
	Revision     uint64
	Table        *Table
	PermitStages map[string]disruption.Stage // of the windows' permits, by permit ID
	OutOfService map[string]ServerStatus     // servers of windows that are out of service, by UID
	Fleet        Fleet
	LiveSidecars []string // all of them have to confirm an exclusion
}

// ServerStatus is the status, in the disruption ledger, of a server that a window has taken out of service.
type ServerStatus struct {
	// Ready is true if a health check or a registration shows that the server is up. Once the return has begun,
	// an observation from before the return no longer counts.
	Ready    bool   `json:"up"`
	Revision uint64 `json:"rev"` // of the last change of its condition
	Endpoint string `json:"endpoint"`
}

// ReadView reads what the Reconciler needs from the replicated state at a revision.
func ReadView(revision uint64, table *Table, ledger *disruption.Ledger) *View {
	view := &View{
		Revision:     revision,
		Table:        table,
		PermitStages: map[string]disruption.Stage{},
		OutOfService: map[string]ServerStatus{},
		Fleet:        Fleet{},
	}
	for _, window := range table.Windows() {
		permit, found := ledger.Permit(window.PermitID())
		if found {
			view.PermitStages[permit.ID] = permit.Stage
		}
		if !window.OutOfService() {
			continue
		}
		for _, uid := range window.ServerUIDs {
			unit, registered := ledger.Unit(serverUnitID(uid))
			view.OutOfService[uid] = ServerStatus{
				Revision: unit.TransitionRevision,
				Endpoint: unit.Endpoint,
				Ready:    registered && observedUp(&unit, &permit),
			}
		}
	}
	for _, unit := range ledger.Units() {
		_, name, _ := strings.Cut(unit.ID, "/")
		switch {
		case unit.Kind == disruption.KindServer:
			view.Fleet[name] = unit.Tenants
		case unit.Condition != disruption.ConditionLost:
			view.LiveSidecars = append(view.LiveSidecars, name)
		}
	}
	return view
}

// observedUp reports whether a unit is up, by the same rule as the ledger: an observation from before the return
// began does not show that the unit is back.
func observedUp(unit *disruption.Unit, permit *disruption.Permit) bool {
	if unit.Condition != disruption.ConditionUp {
		return false
	}
	return unit.TransitionRevision > permit.BeginRevision || permit.Stage != disruption.StageReturning ||
		unit.ObservedRevision > permit.ReturnRevision
}

func serverUnitID(uid string) string { return disruption.UnitID(disruption.KindServer, uid) }

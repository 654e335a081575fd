package disruption

import (
	"math"
	"slices"
)

// Kind says what a unit is.
type Kind string

// The kinds of units.
const (
	KindServer  Kind = "server"
	KindSidecar Kind = "sidecar"
)

// Condition is what is known of a unit. A unit in any condition but ConditionUp counts as unavailable.
type Condition string

// The conditions.
const (
	ConditionUp        Condition = "up"       // registered, ready and warmed up; a sidecar answers and has the endpoint list
	ConditionWarmingUp Condition = "cold"     // it serves, but with a part of its capacity only
	ConditionUnready   Condition = "unready"  // registered, but it does not serve
	ConditionDraining  Condition = "draining" // Terminating in the endpoint list, or a sidecar that shuts down
	ConditionLost      Condition = "lost"     // its lease expired; it stays until it registers again, is replaced or removed
	ConditionUnknown   Condition = "unseen"   // its lease expired, but the registry holds the expiry back: it may well serve
)

// Unit is a server or a sidecar of the fleet.
type Unit struct {
	ID        string    `json:"id"` // as UnitID gives it
	Kind      Kind      `json:"kind"`
	Zone      string    `json:"zone,omitempty"`
	Model     string    `json:"model,omitempty"`   // machine model
	PodGroup  int       `json:"pod,omitempty"`     // of a server
	Tenants   []string  `json:"tenants,omitempty"` // that it serves; none: all
	Version   string    `json:"version,omitempty"`
	Capacity  float64   `json:"capacity"` // relative to other units; 0 counts as 1
	Condition Condition `json:"condition"`
	// TransitionRevision is the log revision at which its condition, incarnation or version last changed.
	TransitionRevision uint64 `json:"rev"`

	Endpoint         string  `json:"endpoint,omitempty"` // of a server: a new server at a lost one's endpoint replaces it
	BootMS           float64 `json:"boot_ms,omitempty"`  // its last start, Unix ms; another value is another incarnation
	WarmedUp         bool    `json:"warm,omitempty"`     // it was ConditionUp before in this incarnation
	ObservedRevision uint64  `json:"seen,omitempty"`     // log revision at which it last registered or was observed
	Predecessor      string  `json:"for,omitempty"`      // the unit that it has replaced; it can replace one only
	Successor        string  `json:"next,omitempty"`     // of a lost unit under a permit: who registered at its endpoint since
}

// UnitID is the name of a unit in the ledger: its kind and its name among those of that kind.
func UnitID(kind Kind, name string) string { return string(kind) + "/" + name }

// capacityScale is the number of thousandths in one. Capacities are summed as whole thousandths, so that a sum does
// not depend on the order of its terms: a replica that was restored from a snapshot decides like one that was not.
const capacityScale = 1000

// milliCapacity is the unit's capacity in thousandths, at least one.
func (u *Unit) milliCapacity() int64 {
	capacity := u.Capacity
	if !(capacity > 0) { // NaN as well
		capacity = 1
	}
	return max(int64(math.Round(capacityScale*min(capacity, maxUnitCapacity))), 1)
}

// sameAttributes reports whether two units agree in everything but condition, incarnation, version and revisions.
func sameAttributes(a, b *Unit) bool {
	return a.Zone == b.Zone && a.Model == b.Model && a.PodGroup == b.PodGroup && a.Capacity == b.Capacity && a.Endpoint == b.Endpoint &&
		a.WarmedUp == b.WarmedUp && a.Predecessor == b.Predecessor && a.Successor == b.Successor && slices.Equal(a.Tenants, b.Tenants)
}

// sameConstraints reports whether two states of a unit belong to the same constraints.
func sameConstraints(a, b *Unit) bool {
	return a.Zone == b.Zone && a.PodGroup == b.PodGroup && a.Version == b.Version && a.Model == b.Model &&
		slices.Equal(a.Tenants, b.Tenants)
}

// unitState is a unit with what the ledger tracks about it.
type unitState struct {
	Unit
	constraints []*constraint
	permit      *permitState // that has taken it out; nil: none
}

// unavailable reports whether the unit counts as unavailable.
func (u *unitState) unavailable() bool { return u.Condition != ConditionUp || u.permit != nil }

// countsAsWarmingUp reports whether the unit's capacity counts as warming up: it is, or it is out under a permit and
// will be once it returns.
func (u *unitState) countsAsWarmingUp() bool {
	if u.Condition == ConditionWarmingUp {
		return true
	}
	return u.permit != nil && (u.permit.Disposition != DispositionRetire || u.permit.Aborted)
}

// serving reports whether a permit for the unit would take capacity away that may still serve.
func (u *unitState) serving() bool {
	if u.permit != nil {
		return false
	}
	return u.Condition == ConditionUp || u.Condition == ConditionWarmingUp || u.Condition == ConditionUnknown
}

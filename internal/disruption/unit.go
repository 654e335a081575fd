package disruption

import (
	"math"
	"slices"
)

// Kind is the kind of a unit.
type Kind string

// The kinds of units.
const (
	KindServer  Kind = "server"
	KindSidecar Kind = "sidecar"
)

// Condition is the last known condition of a unit. Units in all conditions except ConditionUp count as unavailable.
type Condition string

// The conditions.
const (
	ConditionUp        Condition = "up"       // registered, ready and warmed up; a sidecar: it answers and has the endpoint list
	ConditionWarmingUp Condition = "cold"     // serves with a part of its capacity
	ConditionUnready   Condition = "unready"  // registered, but does not serve
	ConditionDraining  Condition = "draining" // Terminating in the endpoint list; a sidecar: it shuts down
	ConditionLost      Condition = "lost"     // its lease expired; it stays listed until it registers again, is replaced or removed
	ConditionUnknown   Condition = "unseen"   // its lease expired, but the registry holds the expiry back: the unit may still serve
)

// Unit is a server or a sidecar of the fleet.
type Unit struct {
	ID        string    `json:"id"` // as returned by UnitID
	Kind      Kind      `json:"kind"`
	Zone      string    `json:"zone,omitempty"`
	Model     string    `json:"model,omitempty"`   // machine model
	PodGroup  int       `json:"pod,omitempty"`     // servers only
	Tenants   []string  `json:"tenants,omitempty"` // tenants that it serves; empty: all
	Version   string    `json:"version,omitempty"`
	Capacity  float64   `json:"capacity"` // relative to other units; 0 counts as 1
	Condition Condition `json:"condition"`
	// TransitionRevision is the log revision of the last change of the condition, incarnation or version.
	TransitionRevision uint64 `json:"rev"`

	Endpoint         string  `json:"endpoint,omitempty"` // servers only; a new server at a lost server's endpoint replaces it
	BootMS           float64 `json:"boot_ms,omitempty"`  // start time, Unix ms; another value is another incarnation
	WarmedUp         bool    `json:"warm,omitempty"`     // was last observed up in this incarnation, or needs no warm-up
	ObservedRevision uint64  `json:"seen,omitempty"`     // log revision of the last registration or observation
	Predecessor      string  `json:"for,omitempty"`      // ID of the unit that this one has replaced; a unit can replace only one
	Successor        string  `json:"next,omitempty"`     // if lost and under a permit: server since registered at its endpoint
}

// UnitID returns the ID of a unit in the ledger, which consists of its kind and its name within that kind.
func UnitID(kind Kind, name string) string { return string(kind) + "/" + name }

// capacityScale is the number of thousandths in one. The ledger sums capacities as whole thousandths, because an integer
// sum does not depend on the order of its terms: a replica restored from a snapshot decides like the other replicas.
const capacityScale = 1000

// milliCapacity returns the unit's capacity in thousandths, at least one.
func (u *Unit) milliCapacity() int64 {
	capacity := u.Capacity
	if !(capacity > 0) { // NaN as well
		capacity = 1
	}
	return max(int64(math.Round(capacityScale*min(capacity, maxUnitCapacity))), 1)
}

// sameAttributes reports whether two units are equal except for condition, incarnation, version and revisions.
func sameAttributes(a, b *Unit) bool {
	return a.Zone == b.Zone && a.Model == b.Model && a.PodGroup == b.PodGroup && a.Capacity == b.Capacity &&
		a.Endpoint == b.Endpoint && a.WarmedUp == b.WarmedUp &&
		a.Predecessor == b.Predecessor && a.Successor == b.Successor && slices.Equal(a.Tenants, b.Tenants)
}

// sameConstraints reports whether two states of a unit belong to the same constraints.
func sameConstraints(a, b *Unit) bool {
	return a.Zone == b.Zone && a.PodGroup == b.PodGroup && a.Version == b.Version && a.Model == b.Model &&
		slices.Equal(a.Tenants, b.Tenants)
}

// unitState is a unit with its derived state, which is not saved with it.
type unitState struct {
	Unit
	constraints []*constraint
	permit      *permitState // granted permit that the unit is under, from the grant to the unit's completion; nil: none
}

func (u *unitState) unavailable() bool { return u.Condition != ConditionUp || u.permit != nil }

// countsAsWarmingUp reports whether the unit's capacity counts as warming up: the unit warms up now, or it is under a
// permit and will warm up when it returns.
func (u *unitState) countsAsWarmingUp() bool {
	if u.Condition == ConditionWarmingUp {
		return true
	}
	return u.permit != nil && (u.permit.Disposition != DispositionRetire || u.permit.Aborted)
}

// serving reports whether the unit may still serve, so that a permit for it would take capacity away.
func (u *unitState) serving() bool {
	if u.permit != nil {
		return false
	}
	return u.Condition == ConditionUp || u.Condition == ConditionWarmingUp || u.Condition == ConditionUnknown
}

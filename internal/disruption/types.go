// Package disruption is the ledger of what is out of a fleet, and of who may take more out. Units are servers and
// sidecars; a budget bounds how many of those that it selects are out at any moment, whatever the reason: who failed
// alone counts like who was sent out. A permit takes named units out. It is granted when the entry of the log that
// makes room is applied, all budgets at once, and it ends by evidence only: a lease that ends says who may act, never
// what is true of a unit.
//
// The ledger is a part of the list service's replicated state. It has no clock, no sockets and no randomness: the
// same operations in the same order give the same ledger on every replica, in a controller and in a simulation.
package disruption

// Kind says what a unit is.
type Kind string

// The kinds of units.
const (
	KindServer  Kind = "server"
	KindSidecar Kind = "sidecar"
)

// Condition is what is known of a unit. All but Up count as out.
type Condition string

// The conditions.
const (
	ConditionUp        Condition = "up"       // registered, ready, warm; a sidecar answers and has the list
	ConditionWarmingUp Condition = "cold"     // it answers, but a part of its capacity is still to come
	ConditionUnready   Condition = "unready"  // registered, but it does not serve
	ConditionDraining  Condition = "draining" // Terminating in the list, or a sidecar that ends
	ConditionLost      Condition = "lost"     // its lease ended; it stays until it registers again, is replaced or forgotten
	ConditionUnknown   Condition = "unseen"   // held back from expiry: whether it lives cannot be seen
)

// Unit is something that serves and can be out.
type Unit struct {
	ID                 string    `json:"id"` // UnitID of its kind and name
	Kind               Kind      `json:"kind"`
	Zone               string    `json:"zone,omitempty"`
	Model              string    `json:"model,omitempty"`
	PodGroup           int       `json:"pod,omitempty"`     // pod group of a server
	Tenants            []string  `json:"tenants,omitempty"` // that it serves; none: all
	Version            string    `json:"version,omitempty"`
	Capacity           float64   `json:"capacity"` // relative; 0 counts as 1
	Condition          Condition `json:"condition"`
	TransitionRevision uint64    `json:"rev"` // of the log, when its condition, life or version last changed

	Endpoint         string  `json:"endpoint,omitempty"` // of a server: another that registers there stands in a lost one's place
	BootMS           float64 `json:"boot_ms,omitempty"`  // of its last start, Unix ms; another one is another life
	WarmedUp         bool    `json:"warm,omitempty"`     // it was found Up in this life
	ObservedRevision uint64  `json:"seen,omitempty"`     // revision at which it was last registered or found
	Predecessor      string  `json:"for,omitempty"`      // the unit that it has replaced: it replaces no second one
	Successor        string  `json:"next,omitempty"`     // of a lost unit under a permit: who registered at its endpoint since
}

// UnitID names a unit in the ledger.
func UnitID(kind Kind, name string) string { return string(kind) + "/" + name }

// Selector says which units a budget, a halt or a drain is about. An empty field selects all.
type Selector struct {
	Kind     Kind     `json:"kind,omitempty" toml:"kind"`
	Zone     string   `json:"zone,omitempty" toml:"zone"`
	Model    string   `json:"model,omitempty" toml:"model"`
	PodGroup *int     `json:"pod,omitempty" toml:"pod"`
	Tenant   string   `json:"tenant,omitempty" toml:"tenant"`
	Version  string   `json:"version,omitempty" toml:"version"`
	IDs      []string `json:"ids,omitempty" toml:"ids"`
}

// Limit bounds units: a count, a share of those selected rounded down, or the smaller where both are given.
// Neither: no bound.
type Limit struct {
	Count    *int     `json:"count,omitempty" toml:"count"`
	Fraction *float64 `json:"share,omitempty" toml:"share"` // 0 to 1
}

// Budget bounds what is out of the units that it selects.
type Budget struct {
	Name           string   `json:"name" toml:"name"`
	Selector       Selector `json:"select" toml:"select"`
	MaxUnavailable Limit    `json:"max_out" toml:"max_out"`
	MaxWarmingUp   Limit    `json:"max_cold" toml:"max_cold"` // of the capacity, what is cold; a count is in units of mean capacity
}

// Priority is the order of grants: the lower goes first, and within a rank the older.
type Priority int

// The ranks. Ways back take nothing further out and need no grant; what is in a rank is what takes units out.
const (
	PriorityRollback Priority = iota // a way back that has to take a unit out to put the old version there
	PriorityDeadline                 // a contract's closing time presses
	PriorityDrain
	PriorityRollout // steps of releases
)

// Stage is where a permit stands.
type Stage string

// The stages, in order. Settled and cancelled permits are dropped once nothing refers to them.
const (
	StageRequested Stage = "asked"
	StageGranted   Stage = "granted"   // its units count as out from here on
	StageActive    Stage = "out"       // its owner has said that it begins
	StageReturning Stage = "returning" // its owner has said that it brings them back
	StageCompleted Stage = "settled"   // evidence says that all are back, replaced or retired
	StageCancelled Stage = "cancelled" // it was never granted, or nothing was taken out under it
)

// Disposition says what becomes of a unit at the end of a permit.
type Disposition string

// The ends.
const (
	DispositionReturn  Disposition = "back"    // the same unit, Up again with a later Rev than the grant
	DispositionReplace Disposition = "replace" // another unit, named when it is settled, is Up in its place
	DispositionRetire  Disposition = "retire"  // it leaves for good: settled once it is out of the list
)

// Permit takes units out of the fleet.
type Permit struct {
	ID              string      `json:"id"`    // chosen by who asks: a repeat is no second one
	Owner           string      `json:"owner"` // the duty under whose token everything about it is written
	Purpose         string      `json:"purpose"`
	Units           []string    `json:"units"`
	Priority        Priority    `json:"rank"`
	Disposition     Disposition `json:"end"`
	Stage           Stage       `json:"stage"`
	CompletedUnits  []string    `json:"settled,omitempty"` // of Units, those that evidence has ended already
	RequestRevision uint64      `json:"asked_at"`          // revisions of the log
	GrantRevision   uint64      `json:"got_at,omitempty"`
	WaitReason      string      `json:"why,omitempty"` // why it still waits: the budget or halt that holds it

	// Instead names, for a unit that is the only one of its pod group or zone, one that is Up elsewhere and carries what
	// stood only there. It is not taken out while the permit lasts. Alone does without, by an operator's word.
	Substitutes       map[string]string `json:"instead,omitempty"`
	WithoutSubstitute bool              `json:"alone,omitempty"`
	BeginRevision     uint64            `json:"out_at,omitempty"`  // revision of its begin
	ReturnRevision    uint64            `json:"back_at,omitempty"` // revision at which its owner said that it comes back
	Aborted           bool              `json:"undone,omitempty"`  // cancelled after its begin: a unit that is Up again ends it, whatever End says
}

// Halt keeps grants back. Scope is "" for the fleet, "budget/NAME", or an owner ("release/NAME").
type Halt struct {
	Scope    string `json:"scope"`
	IssuedBy string `json:"by"` // an operator, a guard, or "doubt"
	Reason   string `json:"why"`
	Revision uint64 `json:"rev"`
}

// The outcomes of an operation.
const (
	OutcomeApplied      Outcome = "done"
	OutcomeRejected     Outcome = "refused"   // as things stand it must not be; the reason says what stands against it
	OutcomeNotFound     Outcome = "not_found" // there is no such permit, budget, halt or unit
	OutcomeLimitReached Outcome = "too_many"  // a bound of the ledger is reached
)

// Outcome says what became of an operation.
type Outcome string

// OpKind is what an operation does.
type OpKind string

// The operations. All but See, Forget, Halt and Resume of an operator need the owner's duty and token, which the state
// that holds the ledger has checked before it applies one.
const (
	OpSetBudget     OpKind = "budget"  // sets Budget, or drops the one of that name where Drop is set
	OpRequest       OpKind = "ask"     // Permit
	OpBegin         OpKind = "begin"   // Permit.ID is out from now on: written before the first act
	OpReturn        OpKind = "return"  // Permit.ID comes back
	OpComplete      OpKind = "settle"  // Units of Permit.ID are ended, by Successors where they are replaced; refused without evidence
	OpCancel        OpKind = "cancel"  // Permit.ID is not needed: dropped, or where it was granted settled by evidence
	OpHalt          OpKind = "halt"    // Halt
	OpResume        OpKind = "resume"  // Halt.Scope
	OpObserve       OpKind = "see"     // Seen: what was found of units
	OpForget        OpKind = "forget"  // Units that are lost and will not come back, by an operator
	OpForceComplete OpKind = "release" // Permit.ID is settled by an operator's word, not by evidence
)

// Op is one operation.
type Op struct {
	Kind       OpKind            `json:"kind"`
	Budget     *Budget           `json:"budget,omitempty"`
	Delete     bool              `json:"drop,omitempty"`
	Permit     *Permit           `json:"permit,omitempty"`
	Units      []string          `json:"units,omitempty"`
	Successors map[string]string `json:"successors,omitempty"` // unit to the unit in its place
	Halt       *Halt             `json:"halt,omitempty"`
	Observed   []Unit            `json:"seen,omitempty"`
	Owner      string            `json:"owner,omitempty"` // the duty of who asks; "operator/NAME" for people
}

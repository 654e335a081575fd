// Package disruption implements the disruption ledger, which bounds how much of a fleet may be unavailable at a time.
// It resembles a Kubernetes PodDisruptionBudget, but counts voluntary and involuntary disruptions alike.
//
// The units of the ledger are servers and sidecars. A Budget bounds how many of the units that it selects are
// unavailable for any reason: a unit that failed counts like a unit that was taken out on purpose. A Permit allows its
// owner to take named units out of service. The ledger checks a permit against all budgets at once, and grants it while
// it applies the log entry that makes the permit admissible. Once the owner has begun to take units out, the permit ends
// on evidence about its units, or when an operator forces its completion. The expiry of the owner's lease does not end
// the permit: a lease says who may act, not what state a unit is in.
//
// The package owns the replicated record of units, budgets, permits and halts, the order of grants, the ledger's JSON
// form, and the built-in rules: each pod group and each zone keeps a serving server, and for each kind of unit at most
// one zone has more than half of its units unavailable. The package does not take units out of service: controllers do.
// It does not check leases or fencing tokens: the registry's state machine does before it calls Apply. It does not probe
// servers: observers report the condition of units with OpObserve.
//
// The ledger has no clock, no I/O and no randomness: the same operations in the same order give the same ledger on
// every replica, in a controller and in a simulation.
package disruption

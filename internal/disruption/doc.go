// Package disruption is the ledger that bounds how much of a fleet may be unavailable at any moment, much as
// Kubernetes' PodDisruptionBudget does for pods, but for voluntary and involuntary disruptions alike.
//
// Its units are servers and sidecars. A Budget bounds how many of the units that it selects are unavailable, whatever
// the reason: a unit that failed by itself counts like one that was taken out on purpose. A Permit allows its owner to
// take named units out of service. It is granted when the log entry that makes it admissible is applied, against all
// budgets at once, and it ends by evidence only: an expired lease says who may act, never what state a unit is in.
//
// The package owns the replicated record of units, budgets, permits and halts, the rules that are always in force
// (no pod group and no zone without a serving server, one zone at most with most of its units unavailable), the order
// of grants, and the ledger's JSON form. It does not take units out of service, check leases or fencing tokens, or
// probe servers: controllers do the first, the registry's state machine the second before it calls Apply, and whoever
// can observe a unit reports it with OpObserve.
//
// The ledger has no clock, no I/O and no randomness: the same operations in the same order give the same ledger on
// every replica, in a controller and in a simulation.
package disruption

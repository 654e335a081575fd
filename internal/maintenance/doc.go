// Package maintenance takes servers out of service for maintenance, in the hours that the contracts of their tenants
// approve.
//
// It owns the contracts in force, the maintenance windows with their stages, the halts, and the time that the windows of
// each tenant have used. They form the Table, a deterministic state machine in the registry's replicated state. The
// Planner finds the earliest start that all contracts approve. The Reconciler compares a View of the replicated state
// with what sidecars report and returns what to write next; package controller runs it under the lease LeaseName.
//
// The invariant: no request of a tenant is excluded from a server for maintenance outside the hours that its contract
// approves. The Table has no clock of its own. Each operation carries the controller's time and the leader's, each with
// its uncertainty, and is checked when it is applied, on every replica alike, against the approved interval that is
// stored with the window. The exclusion directives for sidecars come from the same log record as the check, expire
// within ExclusionTTLMS, and never later than the close of the hours.
//
// The package does not stop or start servers, does not do the maintenance work, and does not open sockets. Disruption
// budgets and permits belong to package disruption, the delivery of directives to package placement.
package maintenance

// Package maintenance takes servers out of service for maintenance, in the hours that the contracts of their
// tenants approve.
//
// The package owns the contracts in force, the maintenance windows with their stages, the halts, and the time
// that the windows of each tenant have used. They form the Table, a deterministic state machine in the registry's
// replicated state. The Planner finds the earliest start that all contracts approve. The Reconciler compares a
// View of the replicated state with the sidecars' load reports and returns the next writes. Package controller
// runs the Reconciler under the lease LeaseName.
//
// The invariant: sidecars exclude a server from the requests of a tenant for maintenance only within the hours
// that the tenant's contract approves. The Table has no clock. Each operation carries the time of the controller
// and the time of the leader, each with its uncertainty. When a replica applies an operation, it checks these
// times against the approved interval that is stored with the window. The log record that passes the check also
// sets the exclusion directives for the sidecars. A directive expires within ExclusionTTLMS, and never later than
// the close of the approved hours.
//
// The package does not stop or start servers, does not do the maintenance work, and does not open sockets.
// Package disruption owns the disruption budgets and permits. Package placement delivers the directives.
package maintenance

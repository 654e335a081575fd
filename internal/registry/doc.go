// Package registry is a replicated service registry: the endpoint list that sidecars discover servers from, with
// leases, watches and one revision for everything that it stores. It replaces a single discovery server by three or
// five replicas.
//
// The core is a deterministic state machine without sockets and clocks ([StateMachine]), which hashicorp/raft drives
// from its log. The index of a log entry is the revision of the change that it makes; so a revision is the version of
// the list, the cursor of a watch and a fencing token at once. A [Replica] serves the state machine over HTTP, a [Hub]
// streams changes to watchers, and a [Client] talks to any of the replicas.
//
// The state machine owns the instances, and contains the tables of other packages, which share its log: the leases of
// leader election, the placement, releases, maintenance windows and the disruption ledger. Their rules are those
// packages' own. Soft state (lease renewals, the revisions that sidecars have in force) stays in the leader's memory and
// is rebuilt by a new leader.
package registry

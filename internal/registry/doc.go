// Package registry implements a replicated service registry. It holds the endpoint list from which sidecars discover
// servers. Registrations have leases, clients can watch for changes, and one revision counter covers all stored data.
// Three or five replicas take the place of a single discovery server.
//
// The core is [StateMachine], a deterministic state machine without sockets or clocks. hashicorp/raft applies the
// entries of its log to it. The index of a log entry is the revision of the change that the entry makes. A revision is
// therefore the version of the list, the cursor of a watch and a fencing token at once. A [Replica] serves the state
// machine over HTTP, a [Hub] streams changes to watchers, and a [Client] sends requests to any replica.
//
// The state machine owns the instances. It also contains the tables of other packages, which share its log: the leases
// of leader election, the placement, releases, maintenance windows and the disruption ledger. Those packages define the
// rules of their tables. Soft state (lease renewals, and the revisions that sidecars have in force) exists only in the
// memory of the leader; a new leader rebuilds it.
package registry

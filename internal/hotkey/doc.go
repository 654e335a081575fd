// Package hotkey replicates hot keys to additional servers. Sidecars route the requests of a key to the key's few home
// servers, which keep it cached; a hot key overloads them. The package decides which keys need replicas, on which
// servers, and which fraction of the key's load each replica takes.
//
// Planner implements the rules as pure computation: it uses no clock, no sockets and no randomness. Its input is the
// list of servers and the sidecars' load reports, with times in seconds of Unix time; its output is the changes of the
// placement directives to write. Controller runs a Planner while it holds the lease LeaseName: it reads endpoints and
// reports, and writes the changes to the registry under the lease's fencing token.
//
// Loads and capacities are in ms of work per second: requests per second times the work of a request in ms. Sidecars
// measure loads with package topk and route requests by the directives; this package does not route requests. It has no
// storage of its own: a new leader restores its state from the directives in force.
package hotkey

// Package hotkey replicates hot keys over additional servers. Each key is normally served by its few home servers, so
// that these keep it cached; a hot key overloads them. The package decides which keys need replicas, on which servers,
// and which fraction of the key's load each replica takes.
//
// Planner holds the rules and is pure: no clock, no sockets, no randomness. It is given the list of servers and the
// sidecars' load reports, with times in seconds of Unix time, and returns the changes of the placement directives that
// are to be written. Controller runs a Planner while it holds the lease LeaseName: it reads endpoints and reports, and
// writes the changes to the registry under the lease's fencing token.
//
// Loads and capacities are in ms of work a second: requests a second times the work of a request in ms. Sidecars measure
// them with package topk. The package doesn't route requests: sidecars do, by the directives. It stores nothing of its
// own: a new leader restores the state from the directives in force.
package hotkey

// Package controlplane simulates the control plane of a fleet on a virtual clock. It runs the deterministic cores of the
// real processes (disruption ledger, leader election, releases and drains, maintenance windows, placement, hot-key
// planner, process supervisor) on a model of a cluster of servers and sidecars, without requests.
//
// A simulation starts a release of servers, a release of sidecars, a drain, a maintenance window and a hot key at about
// the same time. Meanwhile it injects faults: a zone is lost, leaders and controllers crash, pause or are partitioned,
// clocks are wrong and the platform fails. A seed determines all of it. A checker reports rule violations. It reads the
// model of the cluster, never the tables of the control plane that it checks.
//
// The package owns the model of the cluster, the fault schedule and the checker. It opens no sockets, starts no
// goroutines and reads no clock: the same options and seed give the same result. Package batch runs many seeds.
package controlplane

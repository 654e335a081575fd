// Package controlplane simulates the control plane of a fleet on a virtual clock. It runs the same pure cores that run
// in processes (disruption ledger, leader election, releases and drains, maintenance windows, placement, hot-key
// planner, process supervisor) over a modelled cluster of servers and sidecars, without requests.
//
// A simulation starts a release of servers, a release of sidecars, a drain, a maintenance window and a hot key at about
// the same time, and injects faults meanwhile: a zone is lost, leaders and controllers crash, pause or are partitioned,
// clocks are wrong and the platform fails. All of it is drawn from a seed. A checker that reads the modelled cluster, and
// never the tables of the control plane that it judges, reports which rules were violated.
//
// The package owns the model of the cluster, the fault schedule and the checker. It opens no sockets, starts no
// goroutines and reads no clock: the same options and seed give the same result. Package batch plays many seeds.
package controlplane

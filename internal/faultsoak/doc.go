// Package faultsoak plays random, overlapping faults against real sidecar processes and checks that no promise of the
// platform is broken. A run is drawn from a seed: sidecars and servers are processes on loopback addresses; in between
// stand a fault proxy for each link, an agent of discovery for each sidecar, and clients that behave well and badly. System
// calls of the sidecars fail and their wall clocks are stepped by package shim.
//
//   - plan.go draws the faults, run.go injects them.
//   - clients.go, proxy.go and agent.go record what clients sent and got, what servers were sent and when, and what
//     sidecars were told and when.
//   - oracle.go compares the records with the promises, once the run is over. It knows nothing of the sidecar's code; in
//     addition the violations that a sidecar has found in itself are read from its log.
//
// What differs from package lab/live: there faults are named in an experiment and the clients are the platform's; here they
// are random, two or three at a time, and reach below the protocol.
package faultsoak

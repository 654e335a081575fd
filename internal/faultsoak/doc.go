// Package faultsoak injects random, overlapping faults into real sidecar processes and checks that the sidecars keep the
// platform's promises. A seed determines a run. Sidecars and servers are processes on loopback addresses. The soak itself runs
// a fault proxy for each link between a sidecar and a server, the discovery agents of each sidecar, and clients that behave
// well and badly. Package shim makes system calls of the sidecars fail and steps their wall clocks.
//
//   - plan.go draws the faults, run.go schedules them and inject.go injects them.
//   - clients.go and bad_clients.go record requests and responses, proxy.go records what servers receive and when.
//   - agent.go serves the endpoint lists to the sidecars; inject.go records when each sidecar has to know a change.
//   - oracle.go checks the records against the promises after the run. It does not use the sidecar's code. In addition,
//     sidecar.go reads from a sidecar's log the invariant violations that the sidecar has detected itself.
//
// In package lab/live an experiment names the faults and the clients are the platform's. The faults of this package are random,
// two or three at a time, and include failures below the protocol, such as failing system calls.
package faultsoak

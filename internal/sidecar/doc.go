// Package sidecar runs a client-side load-balancing sidecar on real sockets, between one application and the servers that
// it calls.
//
// All decisions (which server gets a request, when to retry, hedge, reject or check health) are those of package balance.
// This package connects it to the world:
//
//   - frontend, clientListener: HTTP from the application. They read requests, bound what is open, and write one response
//     for each request.
//   - eventLoop: owns the balancer, its timers, the calls in flight and the table of ready upstreams. All events reach the
//     balancer on its goroutine; the balancer's actions are executed there and never block.
//   - connPool: connections to servers. It sends attempts and health checks and classifies how they ended, in particular
//     whether a server may have executed a request.
//   - discoveryClient: polls or watches the endpoint list.
//   - placementClient: follows the placement, where one is configured, and posts load reports.
//   - peerTransport: carries gossip between the sidecars of a tier.
//
// The package stores nothing: a restarted sidecar knows the endpoints of its configuration file until discovery answers.
// It does not retry by itself, except for watches of the endpoint list and of the placement.
package sidecar

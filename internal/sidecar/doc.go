// Package sidecar runs a client-side load-balancing sidecar on real sockets, between one application and the servers that
// the application calls.
//
// Package balance makes all decisions: which server gets a request, and when to retry, hedge, reject or check health.
// This package does the I/O:
//
//   - frontend, clientListener: serve HTTP to the application. They read requests, limit open connections and requests,
//     and write one response for each request.
//   - eventLoop: owns the balancer, its timers, the calls in flight and the table of ready upstreams. One goroutine passes
//     all events to the balancer and executes the balancer's actions, without blocking.
//   - connPool: holds the connections to servers. It sends attempts and health checks and classifies their outcome, in
//     particular whether a server may have executed a request.
//   - discoveryClient: polls or watches the endpoint list.
//   - placementClient: follows the placement, where one is configured, and posts load reports.
//   - peerTransport: carries gossip between the sidecars of a tier.
//
// The package persists nothing: a restarted sidecar uses the endpoints of its configuration file until discovery answers.
// The package retries nothing on its own, except the watches of the endpoint list and of the placement.
package sidecar

// Package balance is the decision module of one sidecar's load balancer. It decides which server receives a request,
// when an attempt is retried, which servers are ejected, which requests are shed and when discovery is polled.
//
// The module is a pure state machine. Its caller hands it one Event at a time, with the time at which it happened, and
// carries out the Actions that Balancer.Handle returns. The module opens no sockets, starts no goroutines, reads no clock
// and takes its randomness from Config.Seed: the same settings and events always give the same actions. It does not parse
// settings and knows no protocol. Package sidecar drives it in service, package wire and cmd/simadapter drive it from a
// simulator. One Balancer belongs to one sidecar; sidecars share nothing but the gossip that they exchange.
//
// All times and durations are milliseconds of the caller's clock, and rates are per millisecond, unless a field says
// otherwise.
//
// # Mechanism
//
// Server selection is a health-weighted round robin. Each server has a health multiplier that falls with its consecutive
// errors and recovers with time (health in capacity.go). Smooth weighted round robin over capacity × health picks the
// server of a first attempt (pick.go); a server that holds more than its share of the requests in flight is passed over
// (bounded load). A retry goes to the healthiest server that the request has not tried. With key affinity a key's requests
// go to a small subset of the servers, the same at all sidecars (affinity.go).
//
// # Files
//
// The files that take decisions are listed as "policy" in deploy/balancer.toml and are short enough to be ported by hand:
//
//	balance.go    the course of a request: attempts, retries, the final answer
//	attempts.go   outcomes, overdue attempts, health checks before a first attempt
//	admission.go  load shedding by class and tenant
//	pick.go       server selection
//	affinity.go   the servers of a key
//	capacity.go   weights: learned capacity, health, slow start
//	outlier.go    ejection of servers and zones
//	gossip.go     what sidecars publish and believe
//	discovery.go  endpoint updates and polls
//	placement.go  exclusions and replicas of hot keys
//
// The others define the interface (config.go, event.go, action.go), route events (handle.go) and hold state. balancer.go,
// server.go and request.go have what is remembered, estimates.go, stats.go and load_report.go what is measured.
// rotation.go, weight_trend.go, round.go, pool.go, selection.go, key_order.go, key_frequency.go and server_list.go are the
// indices that keep the cost of a pick independent of the number of servers.
package balance

// Package balance is the decision module of one sidecar's load balancer. It decides which server receives a request,
// when a request is retried, which servers are ejected, which requests are shed and when discovery is polled.
//
// The module is a pure state machine. The caller passes one Event at a time to Balancer.Handle, with the time at which the
// event happened, and executes the Actions that Handle returns. The module opens no sockets, starts no goroutines, reads no
// clock and derives its random numbers from Config.Seed: the same settings and events always yield the same actions. It
// parses no settings and implements no protocol. Package sidecar drives the module in production; package wire and
// cmd/simadapter drive it from a simulator. Each sidecar has one Balancer. Sidecars share only the gossip that they
// exchange.
//
// All times and durations are milliseconds of the caller's clock, and rates are per millisecond, unless a field's comment
// states another unit.
//
// # Mechanism
//
// Server selection is a health-weighted round robin. Each server has a health multiplier, which falls with consecutive
// errors and recovers with time (health in capacity.go). Smooth weighted round robin over capacity × health selects the
// server of a first attempt (pick.go). Bounded load applies: a server that holds more than its share of the requests in
// flight is passed over. A retry goes to the healthiest server that the request has not tried. With key affinity, all
// sidecars send a key's requests to the same small subset of the servers (affinity.go).
//
// # Files
//
// The files that make decisions are listed as "policy" in deploy/balancer.toml and are short enough to be ported by hand:
//
//	balance.go    the lifecycle of a request: attempts, retries, the final answer
//	attempts.go   outcomes, overdue attempts, health checks before a first attempt
//	admission.go  load shedding by class and tenant
//	pick.go       server selection
//	affinity.go   the servers of a key
//	capacity.go   weights: learned capacity, health, slow start
//	outlier.go    ejection of servers and zones
//	gossip.go     findings that sidecars publish and accept
//	discovery.go  endpoint updates and polls
//	placement.go  exclusions and replicas of hot keys
//
// The other files define the interface (config.go, event.go, action.go), dispatch events (handle.go) and hold state.
// balancer.go, server.go and request.go hold the state of the balancer, its servers and its requests; estimates.go,
// stats.go and load_report.go hold measurements. rotation.go, weight_trend.go, round.go, pool.go, selection.go,
// key_order.go, key_frequency.go and server_list.go maintain the indices that keep the cost of a pick independent of the
// number of servers.
package balance

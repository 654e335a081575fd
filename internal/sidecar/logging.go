package sidecar

import "log/slog"

// Life-cycle messages and their attributes. Platforms and CI read these lines, so they stay as they are; they use the default
// logger, without a component. At startup the line with ReadyMessage has the address under ListenKey.
const (
	ReadyMessage       = "ready"
	ReloadedMessage    = "reloaded" // DiscoveryKey has the new address; a reload that changes none has a remark behind the word
	NotReloadedMessage = "not reloaded"
	DrainingMessage    = "draining"
	DrainedMessage     = "drained"
	ListenKey          = "listen"
	DiscoveryKey       = "discovery"
)

// InvariantViolatedMessage is the message of each violation of an invariant that is logged. The fault soak searches for it.
const InvariantViolatedMessage = "invariant violated"

// One logger for each component.
var (
	configLog    = slog.With("component", "config")
	loopLog      = slog.With("component", "event-loop")
	frontendLog  = slog.With("component", "frontend")
	discoveryLog = slog.With("component", "discovery")
	placementLog = slog.With("component", "placement")
	invariantLog = slog.With("component", "invariants")
	traceLog     = slog.With("component", "trace")
	gossipLog    = slog.With("component", "gossip")
)

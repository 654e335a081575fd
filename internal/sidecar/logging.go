package sidecar

import "log/slog"

// One logger for each component. Life-cycle messages (ready, reloaded, draining, drained) use the default logger, without a
// component, because other programs read them.
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

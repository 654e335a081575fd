package maintenance

// Times of the protocol between controller, replicas and sidecars, in ms.
const (
	// ExclusionTTLMS is the longest time from the write of an exclusion directive to its expiry: an approval that is
	// revoked ends within this time even where no sidecar can be notified.
	ExclusionTTLMS = 30_000
	// ExclusionRefreshMS is the time after which an exclusion is extended: a third of its TTL, so that it survives two
	// lost attempts.
	ExclusionRefreshMS = 10_000
	// CloseGuardMS is the margin before a close, for a directive on its way to a sidecar and for the sidecar's clock.
	CloseGuardMS = 2_000
	// MaxClockSkewMS is the largest accepted difference between the times of controller and leader. It covers an
	// operation's way to the leader, not an election in between.
	MaxClockSkewMS = 5_000
	// MaxClockUncertaintyMS is the largest uncertainty that a clock may declare and still be accepted.
	MaxClockUncertaintyMS = 5_000
)

// Bounds of the replicated state.
const (
	MaxWindows          = 2000
	MaxFinishedWindows  = 500 // finished windows retained for lookups; the oldest are evicted first
	MaxServersPerWindow = 500
	MaxContracts        = 1000
	MaxHalts            = 2000
	MaxMonthsPerTenant  = 24 // months of usage retained for each tenant
	MaxAttempts         = 8  // drains of one window that did not finish in time

	maxNameLength   = 128
	maxReasonLength = 512
	maxWorkMS       = 24 * hourMS // longer work takes several windows
)

// Units of time, in ms.
const (
	minuteMS = 60_000
	hourMS   = 60 * minuteMS
	dayMS    = 24 * hourMS
)

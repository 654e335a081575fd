package maintenance

// Times of the protocol between controller, replicas and sidecars, in ms.
const (
	// ExclusionTTLMS is the longest time from the write of an exclusion directive to its expiry. It bounds how
	// long an exclusion outlasts a revoked approval if no sidecar can be notified.
	ExclusionTTLMS = 30_000
	// ExclusionRefreshMS is the time after which the controller extends an exclusion. It is a third of the TTL,
	// so that the exclusion survives two failed extensions.
	ExclusionRefreshMS = 10_000
	// CloseMarginMS is the margin before a close. It covers the delivery of a directive to a sidecar and the error
	// of the sidecar's clock.
	CloseMarginMS = 2_000
	// MaxClockSkewMS is the largest accepted difference between the time of the controller and the time of the
	// leader in an operation. It covers the transfer of the operation to the leader, but not an election during
	// the transfer.
	MaxClockSkewMS = 5_000
	// MaxClockUncertaintyMS is the largest accepted uncertainty of a clock.
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
	MaxAttempts         = 8  // attempts after which a window is rejected if it returns without its work done

	maxNameLength   = 128
	maxReasonLength = 512
	maxWorkMS       = 24 * hourMS // longer work needs several windows
)

// Units of time, in ms.
const (
	minuteMS = 60_000
	hourMS   = 60 * minuteMS
	dayMS    = 24 * hourMS
)

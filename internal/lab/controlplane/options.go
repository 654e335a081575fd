package controlplane

import "time"

// Options are the size of the fleet, the injected defects and settings for individual tests.
type Options struct {
	Sidecars, Servers int // 8 or more of each kind; experiments/fleet-night.toml has 1,000 and 2,000
	Defects           Defects

	// The fields below are for individual tests. A zero value leaves the choice to the seed.

	StartMS                 int64         // Unix ms
	SlowReturn              bool          // servers under maintenance return half an hour late
	NoFaults                bool          // no faults are injected
	StopAtFirstViolation    bool          // the simulation ends at the first violation
	ControllerClockOffsetMS int64         // added to the clock of the first maintenance controller
	HoursOpenIn             time.Duration // time from the start to the opening of every tenant's approved hours
	HoursCloseIn            time.Duration // time from the start to the close of every tenant's approved hours
}

// Defects are the defects that are injected into the simulated control plane. The checker must detect each of them.
type Defects struct {
	StaleReads                   bool // permits are granted on availability data that is one second old
	CompletePermitsOnLeaseExpiry bool // a permit is completed when the lease of its owner expires
	UseControllerClock           bool // approved hours are evaluated by the controller's clock instead of the registry leader's
	IgnoreFencingTokens          bool // writes with a stale fencing token are applied
	ExcludePastClose             bool // exclusions expire after the close of the approved hours
	DelayReleaseWrites           bool // a release delta is written only after the effects that rely on it
}

package controlplane

import "time"

// Options are the size of the fleet, the injected defects and the settings of single tests.
type Options struct {
	Sidecars, Servers int // 8 or more of each; experiments/fleet-night.toml has 1,000 and 2,000
	Defects           Defects

	// The rest is for single tests. A zero value leaves the choice to the seed.

	StartMS                 int64         // Unix ms
	SlowReturn              bool          // servers under maintenance return half an hour late
	NoFaults                bool          // no faults are injected
	StopAtFirstViolation    bool          // the simulation ends with the first violation
	ControllerClockOffsetMS int64         // added to the clock of the first maintenance controller
	HoursOpenIn             time.Duration // from the start to the opening of every tenant's approved hours
	HoursCloseIn            time.Duration // from the start to their close
}

// Defects are bugs injected into the simulated control plane. The checker has to find each of them.
type Defects struct {
	StaleReads                   bool // permits are granted on the availability of a second ago
	CompletePermitsOnLeaseExpiry bool // a permit is completed when the lease of its owner expires
	UseControllerClock           bool // approved hours are evaluated by the controller's clock instead of the leader's
	IgnoreFencingTokens          bool // writes are applied whatever their fencing token
	ExcludePastClose             bool // exclusions expire after the close of the approved hours
	DelayReleaseWrites           bool // a release delta is written after its effects
}

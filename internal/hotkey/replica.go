package hotkey

import (
	"math"

	"milldeck/internal/placement"
)

// ReplicaState is the state of a key's replica on a server.
type ReplicaState int

// The states of a replica. A retiring replica becomes active again if its key needs the capacity.
const (
	Warming  ReplicaState = iota // gets at most WarmupShare of the load, until it has given enough responses
	Active                       // takes a share that grows with the number of its responses
	Retiring                     // its share falls to 0 within RetirePeriod, then it is removed
)

// replica is the replica of a key on one server.
type replica struct {
	serverUID string
	state     ReplicaState
	responses float64 // to requests of the key, estimated from reports
	revision  uint64  // of the first confirmed directive that lists the replica; 0 before that
	loadShare float64 // fraction of the key's load by the last confirmed directive
	startedAt float64 // s
	retiredAt float64 // s

	// inheritedRampFactor is the ramp factor that the replica had under the previous leader. It is a lower bound of the
	// ramp factor, so that the replica keeps its share before it has given responses under this leader.
	inheritedRampFactor float64
}

// rampFactor returns the fraction of its full share that a replica takes, 0 to 1.
func (r *replica) rampFactor(config *Config, now float64) float64 {
	factor := r.inheritedRampFactor
	if r.responses >= config.WarmResponses {
		factor = math.Max(factor, math.Min(r.responses/config.FullShareResponses, 1))
	}
	if r.state == Retiring {
		if config.RetirePeriod == 0 {
			return 0
		}
		factor *= math.Max(1-(now-r.retiredAt)/config.RetirePeriod, 0)
	}
	return factor
}

// advance makes a warming replica active once it has given enough responses or has an inherited ramp factor.
func (r *replica) advance(config *Config) {
	if r.state == Warming && (r.responses >= config.WarmResponses || r.inheritedRampFactor > 0) {
		r.state = Active
	}
}

// expired reports whether a replica must be removed: it has retired, or has not warmed up within WarmupTimeout.
func (r *replica) expired(config *Config, now float64) bool {
	switch r.state {
	case Retiring:
		return now-r.retiredAt >= config.RetirePeriod
	case Warming:
		return now-r.startedAt >= config.WarmupTimeout
	case Active:
	}
	return false
}

// estimateResponses returns the number of responses that the replica has given according to the observations. One sidecar
// accounts for at most 1/requiredReporters of the result, so that no sidecar alone makes a replica warm.
func (r *replica) estimateResponses(observed []observation, requiredReporters int) float64 {
	total, largest := 0.0, 0.0
	for _, seen := range observed {
		requests := seen.requests * r.loadShare
		switch {
		case seen.toRevision < r.revision:
			continue
		case seen.fromRevision < r.revision:
			requests /= 2 // the sidecar adopted the directive at an unknown time in between, so half of the requests count
		}
		total += requests
		largest = math.Max(largest, requests)
	}
	if requiredReporters > 1 {
		others := total - largest
		total = others + math.Min(largest, others/float64(requiredReporters-1))
	}
	return total
}

// perReplicaWarmupShare returns the fraction of a key's load that each replica without a share gets under a directive.
func perReplicaWarmupShare(config *Config, copies []placement.KeyCopy) float64 {
	warming := 0
	for _, replica := range copies {
		if !(replica.LoadFraction > 0) {
			warming++
		}
	}
	return math.Min(config.WarmupShare, config.MaxWarmupShare/math.Max(float64(warming), 1))
}

package hotkey

import (
	"math"

	"milldeck/internal/placement"
)

// ReplicaState is the state of a key's replica on a server.
type ReplicaState int

// The states of a replica. A retiring one becomes active again where it is needed.
const (
	Warming  ReplicaState = iota // gets WarmupShare of the load and has answered too little to take its share
	Active                       // takes a share that grows with the responses it has given
	Retiring                     // to be removed; its share falls to 0 within RetirePeriod
)

// replica is one server's replica of a key.
type replica struct {
	serverUID string
	state     ReplicaState
	responses float64 // to requests of the key, as far as reports show them
	revision  uint64  // of the first directive that named it; 0: not confirmed
	loadShare float64 // fraction of the key's load that it gets by the directive confirmed last
	startedAt float64 // s
	retiredAt float64 // s

	// inheritedRampFactor is the ramp factor that a replica had when this leader took it over. It keeps it before it has
	// answered anything.
	inheritedRampFactor float64
}

// rampFactor is the fraction of its full share that a replica can take, 0 to 1.
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

// advance makes a replica active that has answered enough.
func (r *replica) advance(config *Config) {
	if r.state == Warming && (r.responses >= config.WarmResponses || r.inheritedRampFactor > 0) {
		r.state = Active
	}
}

// expired reports whether a replica is to be removed: it has retired, or does not warm up.
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

// estimateResponses returns the responses that a replica has given by what sidecars show. Each sidecar counts at most as its equal
// part among requiredReporters, so that none makes a replica warm by itself.
func (r *replica) estimateResponses(observed []observation, requiredReporters int) float64 {
	total, largest := 0.0, 0.0
	for _, seen := range observed {
		requests := seen.requests * r.loadShare
		switch {
		case seen.toRevision < r.revision:
			continue
		case seen.fromRevision < r.revision:
			requests /= 2 // it has followed the directive for a part of the time: half of it, as far as is known
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

// perReplicaWarmupShare is the fraction of a key's load that each replica without a share gets by a directive.
func perReplicaWarmupShare(config *Config, copies []placement.KeyCopy) float64 {
	warming := 0
	for _, replica := range copies {
		if !(replica.LoadFraction > 0) {
			warming++
		}
	}
	return math.Min(config.WarmupShare, config.MaxWarmupShare/math.Max(float64(warming), 1))
}

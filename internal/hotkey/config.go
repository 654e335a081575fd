package hotkey

import (
	"fmt"

	"milldeck/internal/validation"
)

// Config says what servers can do and how far the Planner goes. Loads and capacities are in ms of work a second.
type Config struct {
	// ServerCapacity is the capacity of a server whose relative capacity is 1 and whose own isn't known.
	ServerCapacity float64
	// RequestWork is the work of a usual request in ms. It sets how much noise a measured load may have, and turns loads
	// into numbers of requests.
	RequestWork float64
	// HalfLife is the half-life of the sidecars' load averages in s.
	HalfLife float64
	// TargetUtilization is the fraction of a server's capacity, 0 to 1, up to which hot keys may load it, all other load
	// included.
	TargetUtilization float64
	// MinHeadroom, 0 to TargetUtilization, is the fraction of the fleet's capacity that has to be free: with less,
	// warming up replicas makes an overload worse.
	MinHeadroom float64

	// WarmupShare is the fraction of a key's load, 0 to 1, that sidecars send to each replica that is warming up.
	WarmupShare float64
	// MaxWarmupShare bounds what all replicas of a key that are warming up get together; they get equal parts of it.
	MaxWarmupShare float64
	// MaxWarming is how many replicas of a key warm up at a time; as many as are active may, where that is more.
	MaxWarming int
	// WarmResponses is the number of responses after which a replica becomes active.
	WarmResponses float64
	// FullShareResponses, at least WarmResponses, is the number of responses after which it takes its full share.
	FullShareResponses float64
	// WarmupWork is the extra work of warming up one replica in ms.
	WarmupWork float64
	// WarmupBudget is the fraction of the fleet's capacity that warming up replicas of all keys may take. As much as
	// accrues in a second may be saved up.
	WarmupBudget float64
	// MinWarmupBudget is what warming up may take in any case, in ms of work a second.
	MinWarmupBudget float64
	// WarmupTimeout is the time in s after which a replica that is still warming up is removed.
	WarmupTimeout float64

	// MaxKeys is how many keys are replicated at a time.
	MaxKeys int
	// ReplicasPerServer is how many replicas of all keys there may be for each ready server, and how many may be started
	// a second.
	ReplicasPerServer float64
	// ScaleDownUtilization is the fraction of the target utilization that the remaining servers may reach when replicas
	// are removed. It is far enough under what scales up that noise doesn't alternate the two.
	ScaleDownUtilization float64
	// ScaleDownStabilization is the time in s after a scale-up in which a key isn't scaled down.
	ScaleDownStabilization float64
	// ScaleDownInterval is the time in s between two steps of scaling a key down.
	ScaleDownInterval float64
	// RetirePeriod is the time in s in which the share of a replica that is to be removed falls to 0.
	RetirePeriod float64

	// DirectiveTTL is the time in s for which a directive is valid; it is renewed when half of it has passed.
	DirectiveTTL float64
}

// DefaultConfig returns the settings for servers of a capacity in ms of work a second, and requests of usually
// requestWork ms.
func DefaultConfig(serverCapacity, requestWork float64) Config {
	const warmupWork = 3 // requests: a few that miss the cache, as they arrive together, each about twice its work
	return Config{
		ServerCapacity:    serverCapacity,
		RequestWork:       requestWork,
		HalfLife:          0.7, // the onset of a hot key has to show within a second
		TargetUtilization: 0.8, // above it queues grow faster than the utilization is worth
		MinHeadroom:       0.1, // with less than that, noise alone fills a server

		// A hot key's home servers are overloaded within 2 s, and what they cannot do may as well warm up replicas: with
		// 0.02 and 0.2 these are active 0.6 s later in experiments/hot-key-sim.toml.
		WarmupShare:        0.05,
		MaxWarmupShare:     0.5,
		MaxWarming:         15,
		WarmResponses:      2, // the first response alone warms up; the others show that the server is well
		FullShareResponses: 4,
		WarmupWork:         warmupWork * requestWork,
		WarmupBudget:       0.03,
		MinWarmupBudget:    10 * warmupWork * requestWork, // ten replicas a second in the smallest fleet
		WarmupTimeout:      20,                            // WarmResponses at WarmupShare of 15 requests a second

		MaxKeys:                32, // more aren't a few hot keys but a heavy tail
		ReplicasPerServer:      1,
		ScaleDownUtilization:   0.6,
		ScaleDownStabilization: 5, // a key whose load returns within seconds finds its replicas warm
		ScaleDownInterval:      2,
		RetirePeriod:           1,

		DirectiveTTL: 12, // several elections and attempts
	}
}

// Validate returns a wrapped *validation.Error for a setting that is out of its range. The names are those of flags and
// experiment files where these have the setting.
func (c *Config) Validate() error {
	for _, setting := range []struct {
		name                string
		value, lower, upper float64
	}{
		{"bear", c.ServerCapacity, 1e-3, 1e9},
		{"work", c.RequestWork, 1e-3, 1e6},
		{"half_life", c.HalfLife, 0.1, 60},
		{"target_utilization", c.TargetUtilization, 0.1, 1},
		{"min_headroom", c.MinHeadroom, 0.01, c.TargetUtilization},
		{"warmup_share", c.WarmupShare, 1e-6, 0.5},
		{"max_warmup_share", c.MaxWarmupShare, 1e-6, 0.5},
		{"max_warming", float64(c.MaxWarming), 1, 1000},
		{"warm_responses", c.WarmResponses, 1, 1e4},
		{"full_share_responses", c.FullShareResponses, c.WarmResponses, 1e5},
		{"warmup_work", c.WarmupWork, 1e-3, 1e6},
		{"budget", c.WarmupBudget, 0, 1},
		{"min_warmup_budget", c.MinWarmupBudget, 0, 1e9},
		{"max_keys", float64(c.MaxKeys), 1, 1024},
		{"copies", c.ReplicasPerServer, 0, 10},
		{"scale_down_utilization", c.ScaleDownUtilization, 0.01, 0.9},
		{"warmup_timeout", c.WarmupTimeout, 1, 3600},
		{"scale_down_stabilization", c.ScaleDownStabilization, 0, 3600},
		{"scale_down_interval", c.ScaleDownInterval, 0.1, 3600},
		{"retire_period", c.RetirePeriod, 0, 60},
		{"directive_ttl", c.DirectiveTTL, 1, 600},
	} {
		if !(setting.value >= setting.lower && setting.value <= setting.upper) {
			err := validation.Errorf(setting.name, "%v is not within %v to %v", setting.value, setting.lower, setting.upper)
			return fmt.Errorf("hotkey: %w", err)
		}
	}
	return nil
}

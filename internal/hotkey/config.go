package hotkey

import (
	"fmt"

	"milldeck/internal/validation"
)

// Config holds the capacity of servers and the limits of the Planner. Loads and capacities are in ms of work per second.
type Config struct {
	// ServerCapacity is the capacity of a server whose relative capacity is 1 and whose observed capacity is unknown.
	ServerCapacity float64
	// RequestWork is the work of a typical request in ms. The expected noise of a measured load is computed from it, and
	// it converts loads to numbers of requests.
	RequestWork float64
	// HalfLife is the half-life of the sidecars' load averages in s.
	HalfLife float64
	// TargetUtilization is the fraction of a server's capacity, 0 to 1, that hot keys and all other load together may use.
	TargetUtilization float64
	// MinHeadroom, 0 to TargetUtilization, is the fraction of capacity that must be free in the fleet for a scale-up. With
	// less free capacity, warming up replicas makes an overload worse.
	MinHeadroom float64

	// WarmupShare is the fraction of a key's load, 0 to 1, that sidecars send to each replica that is warming up.
	WarmupShare float64
	// MaxWarmupShare limits the total fraction of a key's load that its replicas in warm-up get. When the limit applies,
	// each of these replicas gets an equal part of MaxWarmupShare.
	MaxWarmupShare float64
	// MaxWarming limits how many replicas of a key warm up at a time. If the key has more active replicas than this, the
	// limit is the number of its active replicas.
	MaxWarming int
	// WarmResponses is the number of responses after which a replica becomes active.
	WarmResponses float64
	// FullShareResponses, at least WarmResponses, is the number of responses after which a replica takes its full share.
	FullShareResponses float64
	// WarmupWork is the extra work of warming up one replica in ms.
	WarmupWork float64
	// WarmupBudget is the fraction of the fleet's capacity that may be spent on warming up replicas, of all keys together.
	// Unused budget accumulates, up to the budget of one second.
	WarmupBudget float64
	// MinWarmupBudget is the smallest budget for warming up replicas, in ms of work per second.
	MinWarmupBudget float64
	// WarmupTimeout is the time in s after which a replica that is still warming up is removed.
	WarmupTimeout float64

	// MaxKeys limits how many keys are replicated at a time.
	MaxKeys int
	// ReplicasPerServer, times the number of ready servers, limits the replicas of all keys. The same limit applies to the
	// replicas that are started per second.
	ReplicasPerServer float64
	// ScaleDownUtilization is the fraction of the target utilization that the remaining servers may reach when replicas
	// are removed. It is far enough below the scale-up threshold that noise does not scale a key up and down in turn.
	ScaleDownUtilization float64
	// ScaleDownStabilization is the time in s after a scale-up in which a key is not scaled down.
	ScaleDownStabilization float64
	// ScaleDownInterval is the time in s between two steps of scaling a key down.
	ScaleDownInterval float64
	// RetirePeriod is the time in s over which the share of a retiring replica falls to 0.
	RetirePeriod float64

	// DirectiveTTL is the time in s for which a directive is valid; it is renewed when half of it has passed.
	DirectiveTTL float64
}

// DefaultConfig returns the settings for servers with the capacity serverCapacity, in ms of work per second, and requests
// that typically cost requestWork ms of work.
func DefaultConfig(serverCapacity, requestWork float64) Config {
	// warmupWork is in units of requestWork: a few requests arrive together and miss the cache, and each costs about twice
	// its usual work.
	const warmupWork = 3
	return Config{
		ServerCapacity:    serverCapacity,
		RequestWork:       requestWork,
		HalfLife:          0.7, // a new hot key must show in the averages within a second
		TargetUtilization: 0.8, // above 0.8, the growth of queues outweighs the gain in utilization
		MinHeadroom:       0.1, // with less headroom, noise alone uses up a server's capacity

		// A hot key overloads its home servers within 2 s, so requests that they cannot serve anyway can warm up replicas.
		// With 0.02 and 0.2, replicas become active 0.6 s later in experiments/hot-key-sim.toml.
		WarmupShare:        0.05,
		MaxWarmupShare:     0.5,
		MaxWarming:         15,
		WarmResponses:      2, // the first fills the cache; the others show that the server is healthy
		FullShareResponses: 4,
		WarmupWork:         warmupWork * requestWork,
		WarmupBudget:       0.03,
		MinWarmupBudget:    10 * warmupWork * requestWork, // ten replicas per second in the smallest fleet
		WarmupTimeout:      20,                            // WarmResponses at WarmupShare of 15 requests per second

		MaxKeys:                32, // more keys are a heavy-tailed distribution, not a few hot keys
		ReplicasPerServer:      1,
		ScaleDownUtilization:   0.6,
		ScaleDownStabilization: 5, // replicas are still warm when a key's load returns within seconds
		ScaleDownInterval:      2,
		RetirePeriod:           1,

		DirectiveTTL: 12, // long enough for several elections and write attempts
	}
}

// Validate returns a wrapped *validation.Error for the first setting that is out of its range. The error names the setting
// as flags and experiment files do, if they have it.
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

// Package spread decides which keys are spread over more servers than their own, and over which. Each key keeps to few
// servers, so that they stay warm; a hot one chokes these. Sidecars report the heat of their keys (package summary); the
// Decider adds it up over the fleet, and where the least that a key's heat can be is more than its own servers can bear,
// it has copies warmed: further servers in the key's own order. A copy carries its share once it has answered enough.
//
// Decider is pure: no clock, no sockets, no randomness; times are inputs, in seconds of Unix time. Driver, in driver.go,
// is what runs it beside the list service.
package hotkey

import "fmt"

// Config says what servers can bear and how far the Decider goes. Loads are in ms of work a second.
type Config struct {
	ServerCapacity     float64 // load that a server of capacity 1 does, where it tells nothing else
	RequestWork        float64 // ms: a usual request, for what chance can make of a load and for answers told by loads
	HalfLife           float64 // s: half-life of the sidecars' summaries
	TargetUtilization  float64 // 0 to 1: part of what a server bears that hot keys may fill, with all else on it
	MinHeadroom        float64 // 0 to Full: with less than this part free everywhere, spreading makes things worse
	WarmupShare        float64 // 0 to 1: part of a key's load that sidecars send to a copy whose share is 0 ...
	MaxWarmupShare     float64 // 0 to 1: ... and to all such copies of a key together, in equal parts, where that is less
	MaxWarming         int     // copies of a key that are warmed at a time, or as many as carry it where that is more
	WarmResponses      float64 // answers after which a copy carries a first part of its share
	FullShareResponses float64 // answers after which it carries all of it, at least Warm
	WarmupWork         float64 // ms: extra work of warming one copy
	// Budget is the part of what the fleet bears that extra cold work for all keys together may take, Least the ms a
	// second that it may take in any case. A second of either may be saved up.
	WarmupBudget, MinWarmupBudget float64

	MaxKeys           int     // keys spread at a time
	ReplicasPerServer float64 // copies of all keys together, for each ready server, at a time and begun a second
	// ScaleDownUtilization is the part of what the servers left would have room for that a key's heat has to fall to before it is
	// narrowed: far enough under what widens it that chance does not trade the two.
	ScaleDownUtilization   float64
	ScaleDownStabilization float64 // s for which a key that was widened is not narrowed
	ScaleDownInterval      float64 // s between two steps of narrowing
	RetirePeriod           float64 // s in which a copy that is given up loses its share
	WarmupTimeout          float64 // s after which a copy that still is not warm is given up
	DirectiveTTL           float64 // s for which an entry holds; it is prolonged when half of it is over
}

// DefaultConfig returns the settings for servers that each do bear ms of work a second, and requests of usually work ms.
func DefaultConfig(serverCapacity, requestWork float64) Config {
	return Config{
		ServerCapacity: serverCapacity, RequestWork: requestWork,
		HalfLife:          0.7, // an onset has to show within a second
		TargetUtilization: 0.8, // above it queues grow faster than they are worth
		MinHeadroom:       0.1, // less than that, and chance alone fills a server
		// A hot key's own servers choke within 2 s, and what they cannot do may as well warm: with 0.02 and 0.2 copies
		// carry 0.6 s later in experiments/hot-key-sim.toml.
		WarmupShare: 0.05, MaxWarmupShare: 0.5, MaxWarming: 15,
		WarmResponses: 2, FullShareResponses: 4, // the first answer alone warms; the others show that the server is well
		WarmupWork:   3 * requestWork,                             // a few cold answers, as they come together, each about twice its work
		WarmupBudget: 0.03, MinWarmupBudget: 10 * 3 * requestWork, // ten copies a second in the smallest fleet
		MaxKeys:              32, // more are no few hot keys but a heavy tail
		ReplicasPerServer:    1,
		ScaleDownUtilization: 0.6, ScaleDownStabilization: 5, ScaleDownInterval: 2, // a key whose heat comes back within seconds finds its copies warm
		RetirePeriod:  1,
		WarmupTimeout: 20, // Warm answers by the trickle of 15 requests a second
		DirectiveTTL:  12, // several elections and tries
	}
}

// Validate tells which setting cannot be.
func (c *Config) Validate() error {
	for _, setting := range []struct {
		name        string
		v, from, to float64
	}{
		{"bear", c.ServerCapacity, 1e-3, 1e9}, {"work", c.RequestWork, 1e-3, 1e6}, {"half", c.HalfLife, 0.1, 60}, {"full", c.TargetUtilization, 0.1, 1},
		{"min_room", c.MinHeadroom, 0.01, c.TargetUtilization}, {"trickle", c.WarmupShare, 1e-6, 0.5}, {"trickles", c.MaxWarmupShare, 1e-6, 0.5},
		{"warmers", float64(c.MaxWarming), 1, 1000}, {"warm", c.WarmResponses, 1, 1e4},
		{"ramp", c.FullShareResponses, c.WarmResponses, 1e5}, {"cold_work", c.WarmupWork, 1e-3, 1e6}, {"budget", c.WarmupBudget, 0, 1},
		{"least", c.MinWarmupBudget, 0, 1e9},
		{"max_keys", float64(c.MaxKeys), 1, 1024}, {"copies", c.ReplicasPerServer, 0, 10},
		{"narrow_at", c.ScaleDownUtilization, 0.01, 0.9}, {"give_up", c.WarmupTimeout, 1, 3600}, {"hold", c.ScaleDownStabilization, 0, 3600}, {"narrow_every", c.ScaleDownInterval, 0.1, 3600},
		{"cool", c.RetirePeriod, 0, 60}, {"until", c.DirectiveTTL, 1, 600},
	} {
		if !(setting.v >= setting.from && setting.v <= setting.to) {
			return fmt.Errorf("spread: %s = %v is not within %v to %v", setting.name, setting.v, setting.from, setting.to)
		}
	}
	return nil
}

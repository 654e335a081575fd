// Package spread decides which keys are spread over more servers than their own, and over which. Each key keeps to few
// servers, so that they stay warm; a hot one chokes these. Sidecars report the heat of their keys (package summary); the
// Decider adds it up over the fleet, and where the least that a key's heat can be is more than its own servers can bear,
// it has copies warmed: further servers in the key's own order. A copy carries its share once it has answered enough.
//
// Decider is pure: no clock, no sockets, no randomness; times are inputs, in seconds of Unix time. Driver, in driver.go,
// is what runs it beside the list service.
package spread

import "fmt"

// Config says what servers can bear and how far the Decider goes. Loads are in ms of work a second.
type Config struct {
	Bear     float64 // load that a server of capacity 1 does, where it tells nothing else
	Work     float64 // ms: a usual request, for what chance can make of a load and for answers told by loads
	Half     float64 // s: half-life of the sidecars' summaries
	Full     float64 // 0 to 1: part of what a server bears that hot keys may fill, with all else on it
	MinRoom  float64 // 0 to Full: with less than this part free everywhere, spreading makes things worse
	Trickle  float64 // 0 to 1: part of a key's load that sidecars send to a copy whose share is 0 ...
	Trickles float64 // 0 to 1: ... and to all such copies of a key together, in equal parts, where that is less
	Warmers  int     // copies of a key that are warmed at a time, or as many as carry it where that is more
	Warm     float64 // answers after which a copy carries a first part of its share
	Ramp     float64 // answers after which it carries all of it, at least Warm
	ColdWork float64 // ms: extra work of warming one copy
	// Budget is the part of what the fleet bears that extra cold work for all keys together may take, Least the ms a
	// second that it may take in any case. A second of either may be saved up.
	Budget, Least float64

	MaxKeys int     // keys spread at a time
	Copies  float64 // copies of all keys together, for each ready server, at a time and begun a second
	// NarrowAt is the part of what the servers left would have room for that a key's heat has to fall to before it is
	// narrowed: far enough under what widens it that chance does not trade the two.
	NarrowAt    float64
	Hold        float64 // s for which a key that was widened is not narrowed
	NarrowEvery float64 // s between two steps of narrowing
	Cool        float64 // s in which a copy that is given up loses its share
	GiveUp      float64 // s after which a copy that still is not warm is given up
	Until       float64 // s for which an entry holds; it is prolonged when half of it is over
}

// Default returns the settings for servers that each do bear ms of work a second, and requests of usually work ms.
func Default(bear, work float64) Config {
	return Config{
		Bear: bear, Work: work,
		Half:    0.7, // an onset has to show within a second
		Full:    0.8, // above it queues grow faster than they are worth
		MinRoom: 0.1, // less than that, and chance alone fills a server
		// A hot key's own servers choke within 2 s, and what they cannot do may as well warm: with 0.02 and 0.2 copies
		// carry 0.6 s later in experiments/hot-key-sim.toml.
		Trickle: 0.05, Trickles: 0.5, Warmers: 15,
		Warm: 2, Ramp: 4, // the first answer alone warms; the others show that the server is well
		ColdWork: 3 * work,                   // a few cold answers, as they come together, each about twice its work
		Budget:   0.03, Least: 10 * 3 * work, // ten copies a second in the smallest fleet
		MaxKeys:  32, // more are no few hot keys but a heavy tail
		Copies:   1,
		NarrowAt: 0.6, Hold: 5, NarrowEvery: 2, // a key whose heat comes back within seconds finds its copies warm
		Cool:   1,
		GiveUp: 20, // Warm answers by the trickle of 15 requests a second
		Until:  12, // several elections and tries
	}
}

// Check tells which setting cannot be.
func (c *Config) Check() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"bear", c.Bear, 1e-3, 1e9}, {"work", c.Work, 1e-3, 1e6}, {"half", c.Half, 0.1, 60}, {"full", c.Full, 0.1, 1},
		{"min_room", c.MinRoom, 0.01, c.Full}, {"trickle", c.Trickle, 1e-6, 0.5}, {"trickles", c.Trickles, 1e-6, 0.5},
		{"warmers", float64(c.Warmers), 1, 1000}, {"warm", c.Warm, 1, 1e4},
		{"ramp", c.Ramp, c.Warm, 1e5}, {"cold_work", c.ColdWork, 1e-3, 1e6}, {"budget", c.Budget, 0, 1},
		{"least", c.Least, 0, 1e9},
		{"max_keys", float64(c.MaxKeys), 1, 1024}, {"copies", c.Copies, 0, 10},
		{"narrow_at", c.NarrowAt, 0.01, 0.9}, {"give_up", c.GiveUp, 1, 3600}, {"hold", c.Hold, 0, 3600}, {"narrow_every", c.NarrowEvery, 0.1, 3600},
		{"cool", c.Cool, 0, 60}, {"until", c.Until, 1, 600},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("spread: %s = %v is not within %v to %v", f.name, f.v, f.from, f.to)
		}
	}
	return nil
}

package lab

import (
	"fmt"
	"math"
)

// Regression is what a version of servers does wrong. The zero value is a version that does nothing wrong.
type Regression struct {
	NeverReady        bool    `toml:"never_ready"`    // it says that it is not ready, and is never listed
	FailsAtStart      bool    `toml:"fails_at_start"` // it ends with status 1 before it listens
	ErrorShare        float64 `toml:"error_share"`    // of its requests, which fail at once
	Slowdown          float64 `toml:"slower_by"`      // factor by which its work takes longer ...
	SlowdownAboveLoad float64 `toml:"slower_above"`   // ... of requests that meet more than so many others a core
	Class             string  `toml:"class"`          // only requests of this class suffer; "": all
	Tenant            string  `toml:"tenant"`         // only those of this tenant; "": all
	LeakMBPerSecond   float64 `toml:"leak_mb_s"`      // memory that it loses a second
	LeakLimitMB       float64 `toml:"leak_most_mb"`   // at which it is killed; 0: 256
	LosesAnswers      bool    `toml:"loses_answers"`  // at SIGTERM, where it would answer what it has taken
}

// Bounds of a leak: it is real memory of the machine that plays the run.
const (
	defaultLeakMB = 256
	maxLeakMB     = 1024
	maxLeakRate   = 256
)

// Validate refuses what cannot be and fills in what is left out; classes are the names that there are.
func (h *Regression) Validate(prefix string, classes []string, bad func(key, format string, args ...any)) {
	if h.Slowdown == 0 {
		h.Slowdown = 1
	}
	if h.LeakLimitMB == 0 {
		h.LeakLimitMB = defaultLeakMB
	}
	for _, r := range []struct {
		key         string
		v, lo, most float64
	}{
		{"error_share", h.ErrorShare, 0, 1}, {"slower_by", h.Slowdown, 1, 1000}, {"slower_above", h.SlowdownAboveLoad, 0, 1e4},
		{"leak_mb_s", h.LeakMBPerSecond, 0, maxLeakRate}, {"leak_most_mb", h.LeakLimitMB, 1, maxLeakMB},
	} {
		if !(r.v >= r.lo && r.v <= r.most) || math.IsNaN(r.v) {
			bad(prefix+r.key, "%v is not within %v to %v", r.v, r.lo, r.most)
		}
	}
	if h.Class == "" {
		return
	}
	for _, class := range classes {
		if class == h.Class {
			return
		}
	}
	bad(prefix+"class", "unknown class %q", h.Class)
}

// Apply tells whether a request suffers from it; fate is an even draw from 0 to 1 of the request's own, and load
// how many others the server holds a core. Slower is the factor of its work, at least 1.
func (h *Regression) Apply(class, tenant string, load, draw float64) (fail bool, slowdown float64) {
	if h.Class != "" && h.Class != class || h.Tenant != "" && h.Tenant != tenant {
		return false, 1
	}
	slowdown = 1
	if load > h.SlowdownAboveLoad {
		slowdown = max(1, h.Slowdown)
	}
	return draw < h.ErrorShare, slowdown
}

// TOML is the harm as a file of its own.
func (h *Regression) TOML() string {
	return fmt.Sprintf("never_ready = %v\nfails_at_start = %v\nerror_share = %f\nslower_by = %f\nslower_above = %f\nclass = %q\ntenant = %q\nleak_mb_s = %f\nleak_most_mb = %f\nloses_answers = %v\n",
		h.NeverReady, h.FailsAtStart, h.ErrorShare, h.Slowdown, h.SlowdownAboveLoad, h.Class, h.Tenant, h.LeakMBPerSecond, h.LeakLimitMB, h.LosesAnswers)
}

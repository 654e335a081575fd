package lab

import (
	"fmt"
	"math"
)

// Harm is what a version of servers does wrong. The zero value is a version that does nothing wrong.
type Harm struct {
	NeverReady   bool    `toml:"never_ready"`    // it says that it is not ready, and is never listed
	FailsAtStart bool    `toml:"fails_at_start"` // it ends with status 1 before it listens
	ErrorShare   float64 `toml:"error_share"`    // of its requests, which fail at once
	SlowerBy     float64 `toml:"slower_by"`      // factor by which its work takes longer ...
	SlowerAbove  float64 `toml:"slower_above"`   // ... of requests that meet more than so many others a core
	Class        string  `toml:"class"`          // only requests of this class suffer; "": all
	Tenant       string  `toml:"tenant"`         // only those of this tenant; "": all
	LeakMBS      float64 `toml:"leak_mb_s"`      // memory that it loses a second
	LeakMostMB   float64 `toml:"leak_most_mb"`   // at which it is killed; 0: 256
	LosesAnswers bool    `toml:"loses_answers"`  // at SIGTERM, where it would answer what it has taken
}

// Bounds of a leak: it is real memory of the machine that plays the run.
const (
	defaultLeakMB = 256
	maxLeakMB     = 1024
	maxLeakRate   = 256
)

// Check refuses what cannot be and fills in what is left out; classes are the names that there are.
func (h *Harm) Check(at string, classes []string, bad func(key, format string, args ...any)) {
	if h.SlowerBy == 0 {
		h.SlowerBy = 1
	}
	if h.LeakMostMB == 0 {
		h.LeakMostMB = defaultLeakMB
	}
	for _, r := range []struct {
		key         string
		v, lo, most float64
	}{
		{"error_share", h.ErrorShare, 0, 1}, {"slower_by", h.SlowerBy, 1, 1000}, {"slower_above", h.SlowerAbove, 0, 1e4},
		{"leak_mb_s", h.LeakMBS, 0, maxLeakRate}, {"leak_most_mb", h.LeakMostMB, 1, maxLeakMB},
	} {
		if !(r.v >= r.lo && r.v <= r.most) || math.IsNaN(r.v) {
			bad(at+r.key, "%v is not within %v to %v", r.v, r.lo, r.most)
		}
	}
	if h.Class == "" {
		return
	}
	for _, c := range classes {
		if c == h.Class {
			return
		}
	}
	bad(at+"class", "unknown class %q", h.Class)
}

// Befalls tells whether a request suffers from it; fate is an even draw from 0 to 1 of the request's own, and load
// how many others the server holds a core. Slower is the factor of its work, at least 1.
func (h *Harm) Befalls(class, tenant string, load, fate float64) (fails bool, slower float64) {
	if h.Class != "" && h.Class != class || h.Tenant != "" && h.Tenant != tenant {
		return false, 1
	}
	slower = 1
	if load > h.SlowerAbove {
		slower = max(1, h.SlowerBy)
	}
	return fate < h.ErrorShare, slower
}

// Text is the harm as a file of its own.
func (h *Harm) Text() string {
	return fmt.Sprintf("never_ready = %v\nfails_at_start = %v\nerror_share = %f\nslower_by = %f\nslower_above = %f\nclass = %q\ntenant = %q\nleak_mb_s = %f\nleak_most_mb = %f\nloses_answers = %v\n",
		h.NeverReady, h.FailsAtStart, h.ErrorShare, h.SlowerBy, h.SlowerAbove, h.Class, h.Tenant, h.LeakMBS, h.LeakMostMB, h.LosesAnswers)
}

package lab

import (
	"fmt"
	"slices"
)

// Regression is the misbehaviour of a version of servers. The zero value is a version without regression.
type Regression struct {
	NeverReady           bool    `toml:"never_ready"`    // its readiness check fails, and it is never listed
	FailsAtStart         bool    `toml:"fails_at_start"` // it exits with status 1 before it listens
	ErrorShare           float64 `toml:"error_share"`    // share of the requests that fail without doing their work
	Slowdown             float64 `toml:"slower_by"`      // factor by which the work of requests takes longer
	SlowdownAboveLoad    float64 `toml:"slower_above"`   // requests are slowed down only beyond this many other requests per core
	Class                string  `toml:"class"`          // only requests of this class are affected; "": all classes
	Tenant               string  `toml:"tenant"`         // only requests of this tenant are affected; "": all tenants
	LeakMBPerSecond      float64 `toml:"leak_mb_s"`
	LeakLimitMB          float64 `toml:"leak_most_mb"`  // memory at which the server is killed; 0: 256
	ExitsWithoutDraining bool    `toml:"loses_answers"` // at SIGTERM it exits without responding to the requests in flight
}

// Bounds of a regression. A leak really allocates its memory on the machine that runs the experiment.
const (
	defaultLeakMB        = 256
	maxLeakMB            = 1024
	maxLeakMBPerSecond   = 256
	maxSlowdown          = 1000
	maxSlowdownAboveLoad = 1e4
)

// Validate reports invalid values by their keys, which begin with the prefix, and sets defaults. The classes are the names of
// the experiment's classes.
func (r *Regression) Validate(prefix string, classes []string, reportf func(key, format string, args ...any)) {
	setDefault(&r.Slowdown, 1)
	setDefault(&r.LeakLimitMB, defaultLeakMB)
	for _, bound := range []struct {
		key                    string
		value, lowest, highest float64
	}{
		{"error_share", r.ErrorShare, 0, 1},
		{"slower_by", r.Slowdown, 1, maxSlowdown},
		{"slower_above", r.SlowdownAboveLoad, 0, maxSlowdownAboveLoad},
		{"leak_mb_s", r.LeakMBPerSecond, 0, maxLeakMBPerSecond},
		{"leak_most_mb", r.LeakLimitMB, 1, maxLeakMB},
	} {
		if !(bound.value >= bound.lowest && bound.value <= bound.highest) { // NaN is never within
			reportf(prefix+bound.key, "%v is not within %v to %v", bound.value, bound.lowest, bound.highest)
		}
	}
	if r.Class != "" && !slices.Contains(classes, r.Class) {
		reportf(prefix+"class", "unknown class %q", r.Class)
	}
}

// Apply returns how a request is affected: whether it fails, and the factor of its work, at least 1. The load is the number of
// other requests at the server per core. The draw is a uniform random number from 0 to 1 for this request.
func (r *Regression) Apply(class, tenant string, load, draw float64) (fail bool, slowdown float64) {
	if r.Class != "" && r.Class != class || r.Tenant != "" && r.Tenant != tenant {
		return false, 1
	}
	slowdown = 1
	if load > r.SlowdownAboveLoad {
		slowdown = max(1, r.Slowdown)
	}
	return draw < r.ErrorShare, slowdown
}

// TOML returns the regression as a file of its own.
func (r *Regression) TOML() string {
	return fmt.Sprintf(`never_ready = %v
fails_at_start = %v
error_share = %f
slower_by = %f
slower_above = %f
class = %q
tenant = %q
leak_mb_s = %f
leak_most_mb = %f
loses_answers = %v
`,
		r.NeverReady, r.FailsAtStart, r.ErrorShare, r.Slowdown, r.SlowdownAboveLoad,
		r.Class, r.Tenant, r.LeakMBPerSecond, r.LeakLimitMB, r.ExitsWithoutDraining)
}

// Package plan is what a release is to do: a strict TOML file, and its dry run against a view of the fleet and its
// budgets. It is pure but for Load, which reads the file.
package plan

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/config"
	"milldeck/internal/disruption"
)

// What a halt does to the units that the release has moved already.
const (
	OnHaltHold     = "hold" // they stay as they are until an operator resumes or sends the release back
	OnHaltRollback = "back" // they go back to the version that they had
)

// Bounds of a plan. They are far beyond what people write, and keep the release's record in the log small.
const (
	maxWaves    = 64
	maxSeconds  = 30 * 24 * 3600
	maxNameSize = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Plan is one release: one change, to the units that Select names, wave by wave.
type Plan struct {
	Name            string              `toml:"name" json:"name"`
	Change          Change              `toml:"what" json:"what"`
	Selector        disruption.Selector `toml:"select" json:"select"`
	Waves           []Wave              `toml:"wave" json:"waves"`
	Limits          Limits              `toml:"limits" json:"limits"`
	Guards          Guards              `toml:"guards" json:"guards"`
	OnHalt          string              `toml:"on_halt" json:"on_halt"`
	DeadlineSeconds float64             `toml:"deadline_s" json:"deadline_s"` // s from the start, paused or not; past it the release halts
}

// Change is what the units run afterwards. A release moves servers or sidecars, never both: what harms could not be told
// apart. A sidecar's configuration alone is read again without a restart.
type Change struct {
	ServerVersion  string `toml:"server" json:"server,omitempty"`
	SidecarVersion string `toml:"sidecar" json:"sidecar,omitempty"`
	SidecarConfig  string `toml:"sidecar_config" json:"sidecar_config,omitempty"`
}

// Wave takes Count units, or a Share of the release's units rounded up, of each zone or of Zone alone; neither: all
// that earlier waves have left there.
type Wave struct {
	Zone        string   `toml:"zone" json:"zone,omitempty"`
	Count       *int     `toml:"count" json:"count,omitempty"`
	Share       *float64 `toml:"share" json:"share,omitempty"` // 0 to 1
	BakeSeconds float64  `toml:"bake_s" json:"bake_s"`         // s that the wave is watched at least, after its last unit is up
	// Widen is by how many units the wave may grow, taken from later waves, when it has baked and too little traffic has
	// met it for a verdict.
	MaxExtraUnits int `toml:"widen" json:"widen,omitempty"`
}

// Limits bound the release beside the fleet's budgets. Shares are of the release's units.
type Limits struct {
	MaxUnavailable disruption.Limit `toml:"max_out" json:"max_out"`   // none: one unit at a time
	MaxWarmingUp   disruption.Limit `toml:"max_cold" json:"max_cold"` // none: no bound beside the budgets'
}

// Guards are the differences between new and old, at the same time and in the same zone and class, that are tolerated.
// Nil takes the default.
type Guards struct {
	ServedTolerance  *float64 `toml:"served" json:"served,omitempty"`     // of the share answered in time, by how much it may be lower
	LateTolerance    *float64 `toml:"late" json:"late,omitempty"`         // of the share answered late
	FailedTolerance  *float64 `toml:"failed" json:"failed,omitempty"`     // of the share failed
	LatencyTolerance *float64 `toml:"latency" json:"latency,omitempty"`   // of the share slower than three quarters of the old
	RestartTolerance *float64 `toml:"restarts" json:"restarts,omitempty"` // of the restarts of a unit in a second
	MemoryTolerance  *float64 `toml:"memory" json:"memory,omitempty"`     // relative, of the mean memory of a unit
	// FalseAlarmRate is the chance that a healthy release is halted by any of its comparisons, over its whole course.
	FalseAlarmRate *float64 `toml:"false_alarms" json:"false_alarms,omitempty"`
}

// Load reads and checks the plan at path.
func Load(path string) (*Plan, error) {
	p := &Plan{}
	file, err := config.Load(path, p)
	if err != nil {
		return nil, err
	}
	return p, p.validate(file)
}

// Parse is Load for bytes at hand; path only names them in errors.
func Parse(path string, data []byte) (*Plan, error) {
	p := &Plan{}
	file, err := config.Parse(path, data, p)
	if err != nil {
		return nil, err
	}
	return p, p.validate(file)
}

// Kind is the kind of units that the release moves.
func (p *Plan) Kind() disruption.Kind {
	if p.Change.ServerVersion != "" {
		return disruption.KindServer
	}
	return disruption.KindSidecar
}

// Hash tells two plans apart: a plan that was edited under way is another one.
func (p *Plan) Hash() string {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // numbers are finite once checked, and all else can be encoded
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// validate tells the first value that cannot be.
func (p *Plan) validate(file *config.File) error {
	switch {
	case len(p.Name) > maxNameSize || !namePattern.MatchString(p.Name):
		return file.Errorf("name", "%q is not 1 to %d of a-z, 0-9, '.', '_', '-', beginning with a letter or digit", p.Name, maxNameSize)
	case p.Change == Change{}:
		return file.Errorf("what", "nothing to release: server, sidecar or sidecar_config is needed")
	case p.Change.ServerVersion != "" && (p.Change.SidecarVersion != "" || p.Change.SidecarConfig != ""):
		return file.Errorf("what.server", "servers and sidecars in one release: what harms could not be told apart, make two")
	case p.Selector.Kind != "" && p.Selector.Kind != p.Kind():
		return file.Errorf("select.kind", "%q, but the release is of a %s", p.Selector.Kind, p.Kind())
	case p.Selector.Version != "":
		return file.Errorf("select.version", "a release moves units to a version: what it selects may not change by that")
	case len(p.Waves) == 0 || len(p.Waves) > maxWaves:
		return file.Errorf("wave", "%d waves, wanted 1 to %d", len(p.Waves), maxWaves)
	case p.OnHalt != OnHaltHold && p.OnHalt != OnHaltRollback:
		return file.Errorf("on_halt", "%q is not %q or %q", p.OnHalt, OnHaltHold, OnHaltRollback)
	case !(p.DeadlineSeconds > 0 && p.DeadlineSeconds <= maxSeconds):
		return file.Errorf("deadline_s", "%v is not above 0 and at most %d", p.DeadlineSeconds, maxSeconds)
	}
	totalBakeSeconds := 0.0
	for i, wave := range p.Waves {
		if err := wave.validate(file, fmt.Sprintf("wave[%d].", i)); err != nil {
			return err
		}
		totalBakeSeconds += wave.BakeSeconds
	}
	if totalBakeSeconds >= p.DeadlineSeconds {
		return file.Errorf("deadline_s", "%v s, but the waves alone bake for %v s", p.DeadlineSeconds, totalBakeSeconds)
	}
	for _, entry := range []struct {
		key   string
		entry disruption.Limit
	}{{"limits.max_out", p.Limits.MaxUnavailable}, {"limits.max_cold", p.Limits.MaxWarmingUp}} {
		if err := validateLimit(file, entry.key, entry.entry); err != nil {
			return err
		}
	}
	return p.Guards.validate(file)
}

func (w *Wave) validate(file *config.File, prefix string) error {
	switch {
	case w.Count != nil && w.Share != nil:
		return file.Errorf(prefix+"share", "count and share: only one says what a wave takes")
	case w.Count != nil && *w.Count < 1:
		return file.Errorf(prefix+"count", "%d is less than 1", *w.Count)
	case w.Share != nil && !(*w.Share > 0 && *w.Share <= 1):
		return file.Errorf(prefix+"share", "%v is not above 0 and at most 1", *w.Share)
	case !(w.BakeSeconds >= 0 && w.BakeSeconds <= maxSeconds):
		return file.Errorf(prefix+"bake_s", "%v is not within 0 to %d", w.BakeSeconds, maxSeconds)
	case w.MaxExtraUnits < 0:
		return file.Errorf(prefix+"widen", "%d is less than 0", w.MaxExtraUnits)
	}
	return nil
}

func validateLimit(file *config.File, key string, limit disruption.Limit) error {
	if limit.Count != nil && *limit.Count < 1 {
		return file.Errorf(key+".count", "%d would let nothing move", *limit.Count)
	}
	if limit.Fraction != nil && !(*limit.Fraction > 0 && *limit.Fraction <= 1) {
		return file.Errorf(key+".share", "%v is not above 0 and at most 1", *limit.Fraction)
	}
	return nil
}

func (g *Guards) validate(file *config.File) error {
	for _, guard := range []struct {
		key   string
		guard *float64
		max   float64
	}{
		{"served", g.ServedTolerance, 0.5}, {"late", g.LateTolerance, 0.5}, {"failed", g.FailedTolerance, 0.5}, {"latency", g.LatencyTolerance, 0.5},
		{"restarts", g.RestartTolerance, 0.5}, {"memory", g.MemoryTolerance, 10}, {"false_alarms", g.FalseAlarmRate, 0.2},
	} {
		if guard.guard != nil && !(*guard.guard > 0 && *guard.guard <= guard.max) {
			return file.Errorf("guards."+guard.key, "%v is not above 0 and at most %v", *guard.guard, guard.max)
		}
	}
	return nil
}

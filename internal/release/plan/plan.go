// Package plan is what a release is to do: a strict TOML file, and its dry run against a view of the fleet and its
// budgets. It is pure but for Load, which reads the file.
package plan

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/conf"
	"milldeck/internal/disruption"
)

// What a halt does to the units that the release has moved already.
const (
	Hold = "hold" // they stay as they are until an operator resumes or sends the release back
	Back = "back" // they go back to the version that they had
)

// Bounds of a plan. They are far beyond what people write, and keep the release's record in the log small.
const (
	maxWaves    = 64
	maxSeconds  = 30 * 24 * 3600
	maxNameSize = 64
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Plan is one release: one change, to the units that Select names, wave by wave.
type Plan struct {
	Name     string              `toml:"name" json:"name"`
	What     What                `toml:"what" json:"what"`
	Select   disruption.Selector `toml:"select" json:"select"`
	Waves    []Wave              `toml:"wave" json:"waves"`
	Limits   Limits              `toml:"limits" json:"limits"`
	Guards   Guards              `toml:"guards" json:"guards"`
	OnHalt   string              `toml:"on_halt" json:"on_halt"`
	Deadline float64             `toml:"deadline_s" json:"deadline_s"` // s from the start, paused or not; past it the release halts
}

// What is what the units run afterwards. A release moves servers or sidecars, never both: what harms could not be told
// apart. A sidecar's configuration alone is read again without a restart.
type What struct {
	Server        string `toml:"server" json:"server,omitempty"`
	Sidecar       string `toml:"sidecar" json:"sidecar,omitempty"`
	SidecarConfig string `toml:"sidecar_config" json:"sidecar_config,omitempty"`
}

// Wave takes Count units, or a Share of the release's units rounded up, of each zone or of Zone alone; neither: all
// that earlier waves have left there.
type Wave struct {
	Zone  string   `toml:"zone" json:"zone,omitempty"`
	Count *int     `toml:"count" json:"count,omitempty"`
	Share *float64 `toml:"share" json:"share,omitempty"` // 0 to 1
	Bake  float64  `toml:"bake_s" json:"bake_s"`         // s that the wave is watched at least, after its last unit is up
	// Widen is by how many units the wave may grow, taken from later waves, when it has baked and too little traffic has
	// met it for a verdict.
	Widen int `toml:"widen" json:"widen,omitempty"`
}

// Limits bound the release beside the fleet's budgets. Shares are of the release's units.
type Limits struct {
	MaxOut  disruption.Limit `toml:"max_out" json:"max_out"`   // none: one unit at a time
	MaxCold disruption.Limit `toml:"max_cold" json:"max_cold"` // none: no bound beside the budgets'
}

// Guards are the differences between new and old, at the same time and in the same zone and class, that are tolerated.
// Nil takes the default.
type Guards struct {
	Served   *float64 `toml:"served" json:"served,omitempty"`     // of the share answered in time, by how much it may be lower
	Late     *float64 `toml:"late" json:"late,omitempty"`         // of the share answered late
	Failed   *float64 `toml:"failed" json:"failed,omitempty"`     // of the share failed
	Latency  *float64 `toml:"latency" json:"latency,omitempty"`   // of the share slower than three quarters of the old
	Restarts *float64 `toml:"restarts" json:"restarts,omitempty"` // of the restarts of a unit in a second
	Memory   *float64 `toml:"memory" json:"memory,omitempty"`     // relative, of the mean memory of a unit
	// FalseAlarms is the chance that a healthy release is halted by any of its comparisons, over its whole course.
	FalseAlarms *float64 `toml:"false_alarms" json:"false_alarms,omitempty"`
}

// Load reads and checks the plan at path.
func Load(path string) (*Plan, error) {
	p := &Plan{}
	f, err := conf.Load(path, p)
	if err != nil {
		return nil, err
	}
	return p, p.check(f)
}

// Parse is Load for bytes at hand; path only names them in errors.
func Parse(path string, data []byte) (*Plan, error) {
	p := &Plan{}
	f, err := conf.Parse(path, data, p)
	if err != nil {
		return nil, err
	}
	return p, p.check(f)
}

// Kind is the kind of units that the release moves.
func (p *Plan) Kind() disruption.Kind {
	if p.What.Server != "" {
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

// check tells the first value that cannot be.
func (p *Plan) check(f *conf.File) error {
	switch {
	case len(p.Name) > maxNameSize || !nameForm.MatchString(p.Name):
		return f.Errorf("name", "%q is not 1 to %d of a-z, 0-9, '.', '_', '-', beginning with a letter or digit", p.Name, maxNameSize)
	case p.What == What{}:
		return f.Errorf("what", "nothing to release: server, sidecar or sidecar_config is needed")
	case p.What.Server != "" && (p.What.Sidecar != "" || p.What.SidecarConfig != ""):
		return f.Errorf("what.server", "servers and sidecars in one release: what harms could not be told apart, make two")
	case p.Select.Kind != "" && p.Select.Kind != p.Kind():
		return f.Errorf("select.kind", "%q, but the release is of a %s", p.Select.Kind, p.Kind())
	case p.Select.Version != "":
		return f.Errorf("select.version", "a release moves units to a version: what it selects may not change by that")
	case len(p.Waves) == 0 || len(p.Waves) > maxWaves:
		return f.Errorf("wave", "%d waves, wanted 1 to %d", len(p.Waves), maxWaves)
	case p.OnHalt != Hold && p.OnHalt != Back:
		return f.Errorf("on_halt", "%q is not %q or %q", p.OnHalt, Hold, Back)
	case !(p.Deadline > 0 && p.Deadline <= maxSeconds):
		return f.Errorf("deadline_s", "%v is not above 0 and at most %d", p.Deadline, maxSeconds)
	}
	bake := 0.0
	for i, w := range p.Waves {
		if err := w.check(f, fmt.Sprintf("wave[%d].", i)); err != nil {
			return err
		}
		bake += w.Bake
	}
	if bake >= p.Deadline {
		return f.Errorf("deadline_s", "%v s, but the waves alone bake for %v s", p.Deadline, bake)
	}
	for _, l := range []struct {
		key string
		l   disruption.Limit
	}{{"limits.max_out", p.Limits.MaxOut}, {"limits.max_cold", p.Limits.MaxCold}} {
		if err := checkLimit(f, l.key, l.l); err != nil {
			return err
		}
	}
	return p.Guards.check(f)
}

func (w *Wave) check(f *conf.File, at string) error {
	switch {
	case w.Count != nil && w.Share != nil:
		return f.Errorf(at+"share", "count and share: only one says what a wave takes")
	case w.Count != nil && *w.Count < 1:
		return f.Errorf(at+"count", "%d is less than 1", *w.Count)
	case w.Share != nil && !(*w.Share > 0 && *w.Share <= 1):
		return f.Errorf(at+"share", "%v is not above 0 and at most 1", *w.Share)
	case !(w.Bake >= 0 && w.Bake <= maxSeconds):
		return f.Errorf(at+"bake_s", "%v is not within 0 to %d", w.Bake, maxSeconds)
	case w.Widen < 0:
		return f.Errorf(at+"widen", "%d is less than 0", w.Widen)
	}
	return nil
}

func checkLimit(f *conf.File, key string, l disruption.Limit) error {
	if l.Count != nil && *l.Count < 1 {
		return f.Errorf(key+".count", "%d would let nothing move", *l.Count)
	}
	if l.Fraction != nil && !(*l.Fraction > 0 && *l.Fraction <= 1) {
		return f.Errorf(key+".share", "%v is not above 0 and at most 1", *l.Fraction)
	}
	return nil
}

func (g *Guards) check(f *conf.File) error {
	for _, v := range []struct {
		key string
		v   *float64
		max float64
	}{
		{"served", g.Served, 0.5}, {"late", g.Late, 0.5}, {"failed", g.Failed, 0.5}, {"latency", g.Latency, 0.5},
		{"restarts", g.Restarts, 0.5}, {"memory", g.Memory, 10}, {"false_alarms", g.FalseAlarms, 0.2},
	} {
		if v.v != nil && !(*v.v > 0 && *v.v <= v.max) {
			return f.Errorf("guards."+v.key, "%v is not above 0 and at most %v", *v.v, v.max)
		}
	}
	return nil
}

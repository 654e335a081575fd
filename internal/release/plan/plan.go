// Package plan is what a release is to do: a strict TOML file, and its preview against a view of the fleet and its budgets.
//
// It owns the plan's file format, its validation, and the selection of units and their division into waves. Package release
// carries a plan out. Only Load does I/O.
package plan

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/config"
	"milldeck/internal/disruption"
)

// HaltPolicy is what a halt does to units that the release has updated already. Its values are those of the file, and
// stored.
type HaltPolicy string

// The halt policies.
const (
	OnHaltHold     HaltPolicy = "hold" // they stay updated until an operator resumes the release or rolls it back
	OnHaltRollback HaltPolicy = "back" // they return to their previous version
)

// Plan is one release: one change to the selected units, wave by wave.
type Plan struct {
	Name     string              `toml:"name" json:"name"`
	Change   Change              `toml:"what" json:"what"`
	Selector disruption.Selector `toml:"select" json:"select"`
	Waves    []Wave              `toml:"wave" json:"waves"`
	Limits   Limits              `toml:"limits" json:"limits"`
	Guards   Guards              `toml:"guards" json:"guards"`
	OnHalt   HaltPolicy          `toml:"on_halt" json:"on_halt"`
	// DeadlineSeconds counts from the start of the release, halts included. When it is over the release halts.
	DeadlineSeconds float64 `toml:"deadline_s" json:"deadline_s"`
}

// Change is what the units run after the release. A release changes servers or sidecars, never both: a regression could not
// be attributed. A change of a sidecar's configuration alone is reloaded without a restart.
type Change struct {
	ServerVersion  string `toml:"server" json:"server,omitempty"`
	SidecarVersion string `toml:"sidecar" json:"sidecar,omitempty"`
	SidecarConfig  string `toml:"sidecar_config" json:"sidecar_config,omitempty"`
}

// Version is the version that the units run after the release, empty where it stays.
func (c *Change) Version() string {
	if c.ServerVersion != "" {
		return c.ServerVersion
	}
	return c.SidecarVersion
}

// Wave is a part of the release's units: Count units, or a Share of the units rounded up, of each zone or of Zone alone.
// With neither it is all units there that earlier waves have left.
type Wave struct {
	Zone  string   `toml:"zone" json:"zone,omitempty"`
	Count *int     `toml:"count" json:"count,omitempty"`
	Share *float64 `toml:"share" json:"share,omitempty"` // 0 to 1
	// BakeSeconds is for how long the wave is at least analysed after its last unit has converged. 0: it is not analysed.
	BakeSeconds float64 `toml:"bake_s" json:"bake_s"`
	// MaxExtraUnits is how many units of later waves the wave may be extended by, one at a time, where it has baked and
	// met too little traffic for a verdict.
	MaxExtraUnits int `toml:"widen" json:"widen,omitempty"`
}

// Limits bound the release beside the fleet's budgets. Shares are of the release's units.
type Limits struct {
	MaxUnavailable disruption.Limit `toml:"max_out" json:"max_out"`   // none: one unit at a time
	MaxWarmingUp   disruption.Limit `toml:"max_cold" json:"max_cold"` // none: bounded by the budgets alone
}

// Guards are by how much the new version may be worse than the old one at the same time, in the same zone and class of
// requests. Nil takes the default.
type Guards struct {
	ServedTolerance  *float64 `toml:"served" json:"served,omitempty"`     // share answered in time, lower by
	LateTolerance    *float64 `toml:"late" json:"late,omitempty"`         // share answered late, higher by
	FailedTolerance  *float64 `toml:"failed" json:"failed,omitempty"`     // share failed, higher by
	LatencyTolerance *float64 `toml:"latency" json:"latency,omitempty"`   // share slower than the old third quartile, higher by
	RestartTolerance *float64 `toml:"restarts" json:"restarts,omitempty"` // restarts of a unit in a second, more by
	MemoryTolerance  *float64 `toml:"memory" json:"memory,omitempty"`     // mean memory of a unit, higher by, relative
	// FalseAlarmRate is the probability that any comparison halts a healthy release, over its whole course.
	FalseAlarmRate *float64 `toml:"false_alarms" json:"false_alarms,omitempty"`
}

// Load reads and validates the plan at path. Its errors name file, line and key.
func Load(path string) (*Plan, error) {
	p := &Plan{}
	file, err := config.Load(path, p)
	if err != nil {
		return nil, err
	}
	if err := p.validate(file); err != nil {
		return nil, err
	}
	return p, nil
}

// Parse is Load for the bytes of a file. Path only names the file in errors.
func Parse(path string, data []byte) (*Plan, error) {
	p := &Plan{}
	file, err := config.Parse(path, data, p)
	if err != nil {
		return nil, err
	}
	if err := p.validate(file); err != nil {
		return nil, err
	}
	return p, nil
}

// Kind is the kind of units that the release changes.
func (p *Plan) Kind() disruption.Kind {
	if p.Change.ServerVersion != "" {
		return disruption.KindServer
	}
	return disruption.KindSidecar
}

// RestartsUnits reports whether units are restarted, and so out, while they are updated.
func (p *Plan) RestartsUnits() bool { return p.Change.Version() != "" }

// Hash identifies the plan's content: a plan that was edited has another one.
func (p *Plan) Hash() string {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // a validated plan has finite numbers only, and everything else can be encoded
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

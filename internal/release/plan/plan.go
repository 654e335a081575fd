// Package plan defines the plan of a release: a strict TOML file, and its preview for a given fleet and its budgets.
//
// It owns the file format, its validation, the selection of units and their assignment to waves. Package release executes
// the plan. Only Load does I/O.
package plan

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/config"
	"milldeck/internal/disruption"
)

// HaltPolicy says what a halt does to units that the release has already updated. Its values are written in plan files and
// in stored releases.
type HaltPolicy string

// The halt policies.
const (
	OnHaltHold     HaltPolicy = "hold" // updated units stay updated until an operator resumes the release or rolls it back
	OnHaltRollback HaltPolicy = "back" // updated units return to their previous version
)

// Plan describes one release: one change, applied to the selected units wave by wave.
type Plan struct {
	Name     string              `toml:"name" json:"name"`
	Change   Change              `toml:"what" json:"what"`
	Selector disruption.Selector `toml:"select" json:"select"`
	Waves    []Wave              `toml:"wave" json:"waves"`
	Limits   Limits              `toml:"limits" json:"limits"`
	Guards   Guards              `toml:"guards" json:"guards"`
	OnHalt   HaltPolicy          `toml:"on_halt" json:"on_halt"`
	// DeadlineSeconds counts from the start of the release and includes the time in halts. The release halts when it expires.
	DeadlineSeconds float64 `toml:"deadline_s" json:"deadline_s"`
}

// Change is the version or configuration that a release rolls out. A release changes servers or sidecars, never both,
// because a regression could not be attributed to one of them. Sidecars reload a configuration without a restart if their
// version stays the same.
type Change struct {
	ServerVersion  string `toml:"server" json:"server,omitempty"`
	SidecarVersion string `toml:"sidecar" json:"sidecar,omitempty"`
	SidecarConfig  string `toml:"sidecar_config" json:"sidecar_config,omitempty"`
}

// Version returns the version that the release rolls out, or "" if it changes only a configuration.
func (c *Change) Version() string {
	if c.ServerVersion != "" {
		return c.ServerVersion
	}
	return c.SidecarVersion
}

// Wave is a part of the release's units. From each zone, or only from Zone if it is set, it takes Count units or, rounded
// up, Share of the release's units in the zone. With neither it takes all units that earlier waves have left in the zone.
type Wave struct {
	Zone  string   `toml:"zone" json:"zone,omitempty"`
	Count *int     `toml:"count" json:"count,omitempty"`
	Share *float64 `toml:"share" json:"share,omitempty"` // 0 to 1
	// BakeSeconds is the minimum time for which the wave is analysed after its last unit has converged. 0: no analysis.
	BakeSeconds float64 `toml:"bake_s" json:"bake_s"`
	// MaxExtraUnits limits how many units of later waves are added to this wave, one at a time, if the traffic of the bake
	// was too little for a verdict.
	MaxExtraUnits int `toml:"widen" json:"widen,omitempty"`
}

// Limits restrict the release in addition to the fleet's budgets. Shares refer to the release's units.
type Limits struct {
	MaxUnavailable disruption.Limit `toml:"max_out" json:"max_out"`   // unset: one unit at a time
	MaxWarmingUp   disruption.Limit `toml:"max_cold" json:"max_cold"` // unset: only the budgets apply
}

// Guards are the tolerances by which the new version may be worse than the old one, compared at the same time, in the same
// zone and class of requests. Nil selects the default.
type Guards struct {
	ServedTolerance  *float64 `toml:"served" json:"served,omitempty"`     // decrease of the share answered in time
	LateTolerance    *float64 `toml:"late" json:"late,omitempty"`         // increase of the share answered late
	FailedTolerance  *float64 `toml:"failed" json:"failed,omitempty"`     // increase of the share that failed
	LatencyTolerance *float64 `toml:"latency" json:"latency,omitempty"`   // increase of the share above the old third quartile
	RestartTolerance *float64 `toml:"restarts" json:"restarts,omitempty"` // additional restarts per unit and second
	MemoryTolerance  *float64 `toml:"memory" json:"memory,omitempty"`     // relative increase of a unit's mean memory
	// FalseAlarmRate is the probability that any comparison halts a healthy release during its whole course.
	FalseAlarmRate *float64 `toml:"false_alarms" json:"false_alarms,omitempty"`
}

// Load reads and validates the plan file at path. Its errors name file, line and key.
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

// Parse is like Load for the content of a file. The path is only used in errors.
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

// Kind returns the kind of units that the release changes.
func (p *Plan) Kind() disruption.Kind {
	if p.Change.ServerVersion != "" {
		return disruption.KindServer
	}
	return disruption.KindSidecar
}

// RestartsUnits reports whether an update restarts the unit, which is then unavailable for some time.
func (p *Plan) RestartsUnits() bool { return p.Change.Version() != "" }

// Hash identifies the plan's content: a plan with edited values has a different hash.
func (p *Plan) Hash() string {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // impossible: a validated plan has only finite numbers, and all other values can be encoded
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

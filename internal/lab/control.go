package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// ControlPlaneSpec has an experiment played with the control plane: servers and sidecars are processes that a platform of the
// lab's starts, and controllers act on them. The lab only starts what there is first, sends the load, plays faults and
// judges.
type ControlPlaneSpec struct {
	ServerVersion      string                 `toml:"server_version"`  // on which servers start
	SidecarVersion     string                 `toml:"sidecar_version"` // on which sidecars start
	DetectionMS        float64                `toml:"sight_ms"`        // how long what fails by itself may be unknown to controllers
	AllowMixedVersions bool                   `toml:"mixed"`           // units of one kind may end on several versions
	Versions           []VersionSpec          `toml:"version"`
	Controllers        []ControllerSpec       `toml:"controller"`
	Steps              []StepSpec             `toml:"step"`
	Budgets            []BudgetSpec           `toml:"budget"`
	MaintenanceHours   []MaintenanceHoursSpec `toml:"hours"`
	FinalStates        []FinalStateSpec       `toml:"end"`
	Tenants            []TenantSpec           `toml:"tenant"`
	ColdWork           ColdWorkSpec           `toml:"spread"`
}

// VersionSpec is a version of servers or sidecars that the platform can run.
type VersionSpec struct {
	Name        string     `toml:"name"`
	Kind        string     `toml:"kind"`     // "server" or "sidecar"
	MaxRestarts int        `toml:"restarts"` // by the platform itself
	GraceMS     int64      `toml:"grace_ms"` // 0: the platform's
	Regression  Regression `toml:"harm"`     // of servers
}

// ControllerSpec is a process of the program that acts on the fleet. In Args and Config, {replicas} stands for the
// addresses of the list service with commas between, {list} for the same as an array of TOML, {supervisor}, {listen} and
// {name} for the platform's, its own address and its name, {at:NAME} for another one's address, {server:N} for a server's
// name, {dir} for a folder of its own and {config} for its file.
type ControllerSpec struct {
	Name            string   `toml:"name"`
	Args            []string `toml:"args"`
	Config          string   `toml:"config"`
	ReadyLine       string   `toml:"ready"`   // what it logs once it is ready; "": msg=serves
	AtS             float64  `toml:"at_s"`    // when it is started; 0: before the load
	ReceivesReports bool     `toml:"reports"` // agents pass sidecars' reports on to it
}

// StepSpec is what an operator does in the run: a command of the program, with the placeholders of controllers and {file},
// or an act at the platform behind the controllers' back.
type StepSpec struct {
	AtS        float64  `toml:"at_s"`
	Args       []string `toml:"args"`
	File       string   `toml:"file"`
	ExitStatus int      `toml:"status"` // that the command has to end with
	Action     string   `toml:"do"`     // "stop", "start" or "restart", of Target, at the platform; "drain": in the list; "copies": places copies of all keys there
	Target     string   `toml:"target"`
}

// BudgetSpec bounds what may be out of the units that it selects, for the rule "budget". The ledger is told of it before
// the run.
type BudgetSpec struct {
	Name         string `toml:"name"`
	Kind         string `toml:"kind"` // "server" or "sidecar"
	Zone         string `toml:"zone"` // "": all
	ServerKind   string `toml:"of"`   // kind of servers; "": all
	MaxOut       int    `toml:"most"`
	LedgerMaxOut *int   `toml:"told"` // what the ledger is told in place of Most, to try the judge
}

// MaintenanceHoursSpec is a time in which a tenant may be kept off servers, for the rule "hours".
type MaintenanceHoursSpec struct {
	Tenant string  `toml:"tenant"`
	FromS  float64 `toml:"from_s"`
	ToS    float64 `toml:"to_s"`
}

// FinalStateSpec says how units have to stand at the end, for the rule "stranded". Those that none is about stand as at the start.
type FinalStateSpec struct {
	Target  string `toml:"target"`
	Version string `toml:"version"`
	Removed bool   `toml:"gone"`
}

// TenantSpec says whose sidecars are.
type TenantSpec struct {
	Name   string `toml:"name"`
	Target string `toml:"target"`
}

// ColdWorkSpec bounds cold work, for the rule "spread": within any window, copies of keys may do cold at most a part of what
// all servers can do.
type ColdWorkSpec struct {
	WindowS  float64 `toml:"window_s"` // 0: no bound
	MaxShare float64 `toml:"most"`
}

const (
	defaultDetectionMS = 5000 // a lease, its expiry and the news of it
	maxControllers     = 20
	maxVersions        = 50
	maxControlEntries  = 200 // entries of the other lists
)

// unsupportedWithControlPlane are the faults that servers' processes do not play.
var unsupportedWithControlPlane = []FaultKind{FaultRollingReplacement, FaultConnectionRefused, FaultNoResponse, FaultReset, FaultCorruptResponse}

// HasControlPlane tells whether the control plane takes part.
func (f *Experiment) HasControlPlane() bool { return f.ControlPlane != nil }

func (f *Experiment) validateControlPlane(bad reportFunc, inside func(string, float64, float64, float64)) {
	c := f.ControlPlane
	if c == nil {
		return
	}
	if f.Discovery.Source != "registry" {
		bad("control", "the control plane needs discovery.source = \"registry\"")
	}
	if c.DetectionMS == 0 {
		c.DetectionMS = defaultDetectionMS
	}
	inside("control.sight_ms", c.DetectionMS, 0, 6e5)
	f.validateVersions(bad, inside)
	if len(c.Controllers) > maxControllers {
		bad("control.controller", "%d controllers, at most %d", len(c.Controllers), maxControllers)
	}
	seen := map[string]bool{}
	for i := range c.Controllers {
		k, at := &c.Controllers[i], fmt.Sprintf("control.controller[%d].", i)
		if !isPlainName(k.Name) || seen[k.Name] {
			bad(at+"name", "%q is no plain name or stands twice", k.Name)
		}
		seen[k.Name] = true
		inside(at+"at_s", k.AtS, 0, f.DurationS)
		if len(k.Args) == 0 {
			bad(at+"args", "a controller needs its command line")
		}
		if k.ReadyLine == "" {
			k.ReadyLine = "msg=serves"
		}
	}
	for key, n := range map[string]int{"step": len(c.Steps), "budget": len(c.Budgets), "hours": len(c.MaintenanceHours), "end": len(c.FinalStates), "tenant": len(c.Tenants)} {
		if n > maxControlEntries {
			bad("control."+key, "%d entries, at most %d", n, maxControlEntries)
		}
	}
	f.validateSteps(bad, inside)
	f.validateCheckedRules(bad, inside)
	for i := range f.Faults {
		if k := FaultKind(f.Faults[i].Kind); slices.Contains(unsupportedWithControlPlane, k) {
			bad(fmt.Sprintf("fault[%d].kind", i), "%s is not played with the control plane", k)
		}
	}
}

// isPlainName holds names to what is safe as a file's and in a command line.
func isPlainName(s string) bool {
	return s != "" && len(s) <= 40 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") == "" && s[0] != '-' && s[0] != '.'
}

func (f *Experiment) validateVersions(bad reportFunc, inside func(string, float64, float64, float64)) {
	c := f.ControlPlane
	var classes []string
	for i := range f.Classes {
		classes = append(classes, f.Classes[i].Name)
	}
	if len(c.Versions) > maxVersions {
		bad("control.version", "%d versions, at most %d", len(c.Versions), maxVersions)
	}
	seen := map[string]bool{}
	for i := range c.Versions {
		v, at := &c.Versions[i], fmt.Sprintf("control.version[%d].", i)
		if v.Kind != "server" && v.Kind != "sidecar" {
			bad(at+"kind", "%q is not server or sidecar", v.Kind)
		}
		if id := v.Kind + " " + v.Name; !isPlainName(v.Name) || seen[id] {
			bad(at+"name", "%q is no plain name or stands twice", v.Name)
		} else {
			seen[id] = true
		}
		inside(at+"restarts", float64(v.MaxRestarts), 0, 1000)
		inside(at+"grace_ms", float64(v.GraceMS), 0, 6e5)
		if v.Kind == "sidecar" && v.Regression != (Regression{}) {
			bad(at+"harm", "only versions of servers harm")
		}
		v.Regression.Validate(at+"harm.", classes, bad)
	}
	if !seen["server "+c.ServerVersion] {
		bad("control.server_version", "there is no version %q of servers", c.ServerVersion)
	}
	if !seen["sidecar "+c.SidecarVersion] {
		bad("control.sidecar_version", "there is no version %q of sidecars", c.SidecarVersion)
	}
}

func (f *Experiment) validateSteps(bad reportFunc, inside func(string, float64, float64, float64)) {
	for i := range f.ControlPlane.Steps {
		s, at := &f.ControlPlane.Steps[i], fmt.Sprintf("control.step[%d].", i)
		inside(at+"at_s", s.AtS, 0, f.DurationS)
		inside(at+"status", float64(s.ExitStatus), 0, 255)
		if (s.Action == "") == (len(s.Args) == 0) {
			bad(at+"do", "a step is either a command line or an act")
		}
		if s.Action == "" {
			continue
		}
		if !slices.Contains([]string{"stop", "start", "restart", "drain", "copies"}, s.Action) {
			bad(at+"do", "%q is not stop, start, restart, drain or copies", s.Action)
		}
		f.validateUnitTarget(at+"target", s.Target, bad)
	}
}

// validateUnitTarget refuses a target that names no servers or sidecars.
func (f *Experiment) validateUnitTarget(key, text string, bad reportFunc) {
	if t, err := parseTarget(text, f); err != nil {
		bad(key, "%v", err)
	} else if t.parties&(partyServers|partySidecars) == 0 {
		bad(key, "%q names no servers and no sidecars", text)
	}
}

func (f *Experiment) validateCheckedRules(bad reportFunc, inside func(string, float64, float64, float64)) {
	c := f.ControlPlane
	for i := range c.Budgets {
		b, at := &c.Budgets[i], fmt.Sprintf("control.budget[%d].", i)
		if b.Kind != "server" && b.Kind != "sidecar" {
			bad(at+"kind", "%q is not server or sidecar", b.Kind)
		}
		if b.Zone != "" && f.zoneIndex(b.Zone) < 0 {
			bad(at+"zone", "unknown zone %q", b.Zone)
		}
		if b.ServerKind != "" && !slices.ContainsFunc(f.Servers, func(k ServerSpec) bool { return k.Kind == b.ServerKind }) {
			bad(at+"of", "unknown kind %q", b.ServerKind)
		}
		inside(at+"most", float64(b.MaxOut), 0, maxServers)
		if b.LedgerMaxOut == nil {
			b.LedgerMaxOut = &b.MaxOut
		}
		inside(at+"told", float64(*b.LedgerMaxOut), 0, maxServers)
		if !isPlainName(b.Name) {
			bad(at+"name", "%q is no plain name", b.Name)
		}
	}
	for i, h := range c.MaintenanceHours {
		if !(h.FromS >= 0 && h.ToS > h.FromS) || math.IsInf(h.ToS, 0) {
			bad(fmt.Sprintf("control.hours[%d].to_s", i), "%v to %v s is no time", h.FromS, h.ToS)
		}
	}
	for i, e := range c.FinalStates {
		at := fmt.Sprintf("control.end[%d].", i)
		f.validateUnitTarget(at+"target", e.Target, bad)
		if (e.Version == "") == !e.Removed {
			bad(at+"version", "units end on a version or are gone")
		}
	}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("control.tenant[%d].", i)
		if !isPlainName(t.Name) {
			bad(at+"name", "%q is no plain name", t.Name)
		}
		f.validateUnitTarget(at+"target", t.Target, bad)
	}
	inside("control.spread.window_s", c.ColdWork.WindowS, 0, 3600)
	inside("control.spread.most", c.ColdWork.MaxShare, 0, 1)
}

// MatchUnits are the servers (of) and sidecars (beside) that a target of the control plane names, by their numbers.
func (p *Plan) MatchUnits(text string) (serverIndexes, sidecarIndexes []int) {
	target, err := parseTarget(text, p.Experiment)
	if err != nil {
		return nil, nil // checked when the file was read
	}
	if target.parties&partyServers != 0 {
		serverIndexes = p.matchServers(target)
	}
	if target.parties&partySidecars != 0 {
		sidecarIndexes = p.matchSidecars(target)
	}
	return serverIndexes, sidecarIndexes
}

// Tenant is whose a sidecar is; "": nobody's.
func (p *Plan) Tenant(sidecar int) string {
	if !p.Experiment.HasControlPlane() {
		return ""
	}
	for _, tenant := range p.Experiment.ControlPlane.Tenants {
		if _, sidecarIndexes := p.MatchUnits(tenant.Target); slices.Contains(sidecarIndexes, sidecar) {
			return tenant.Name
		}
	}
	return ""
}

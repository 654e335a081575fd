package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// ControlFile has an experiment played with the control plane: servers and sidecars are processes that a platform of the
// lab's starts, and controllers act on them. The lab only starts what there is first, sends the load, plays faults and
// judges.
type ControlFile struct {
	ServerVersion  string           `toml:"server_version"`  // on which servers start
	SidecarVersion string           `toml:"sidecar_version"` // on which sidecars start
	SightMS        float64          `toml:"sight_ms"`        // how long what fails by itself may be unknown to controllers
	Mixed          bool             `toml:"mixed"`           // units of one kind may end on several versions
	Versions       []VersionFile    `toml:"version"`
	Controllers    []ControllerFile `toml:"controller"`
	Steps          []StepFile       `toml:"step"`
	Budgets        []BudgetFile     `toml:"budget"`
	Hours          []HoursFile      `toml:"hours"`
	Ends           []EndFile        `toml:"end"`
	Tenants        []TenantFile     `toml:"tenant"`
	Spread         SpreadFile       `toml:"spread"`
}

// VersionFile is a version of servers or sidecars that the platform can run.
type VersionFile struct {
	Name     string `toml:"name"`
	Kind     string `toml:"kind"`     // "server" or "sidecar"
	Restarts int    `toml:"restarts"` // by the platform itself
	GraceMS  int64  `toml:"grace_ms"` // 0: the platform's
	Harm     Harm   `toml:"harm"`     // of servers
}

// ControllerFile is a process of the program that acts on the fleet. In Args and Config, {replicas} stands for the
// addresses of the list service with commas between, {list} for the same as an array of TOML, {supervisor}, {listen} and
// {name} for the platform's, its own address and its name, {at:NAME} for another one's address, {server:N} for a server's
// name, {dir} for a folder of its own and {config} for its file.
type ControllerFile struct {
	Name    string   `toml:"name"`
	Args    []string `toml:"args"`
	Config  string   `toml:"config"`
	Ready   string   `toml:"ready"`   // what it logs once it is ready; "": msg=serves
	AtS     float64  `toml:"at_s"`    // when it is started; 0: before the load
	Reports bool     `toml:"reports"` // agents pass sidecars' reports on to it
}

// StepFile is what an operator does in the run: a command of the program, with the placeholders of controllers and {file},
// or an act at the platform behind the controllers' back.
type StepFile struct {
	AtS    float64  `toml:"at_s"`
	Args   []string `toml:"args"`
	File   string   `toml:"file"`
	Status int      `toml:"status"` // that the command has to end with
	Do     string   `toml:"do"`     // "stop", "start" or "restart", of Target, at the platform; "drain": in the list; "copies": places copies of all keys there
	Target string   `toml:"target"`
}

// BudgetFile bounds what may be out of the units that it selects, for the rule "budget". The ledger is told of it before
// the run.
type BudgetFile struct {
	Name string `toml:"name"`
	Kind string `toml:"kind"` // "server" or "sidecar"
	Zone string `toml:"zone"` // "": all
	Of   string `toml:"of"`   // kind of servers; "": all
	Most int    `toml:"most"`
	Told *int   `toml:"told"` // what the ledger is told in place of Most, to try the judge
}

// HoursFile is a time in which a tenant may be kept off servers, for the rule "hours".
type HoursFile struct {
	Tenant string  `toml:"tenant"`
	FromS  float64 `toml:"from_s"`
	ToS    float64 `toml:"to_s"`
}

// EndFile says how units have to stand at the end, for the rule "stranded". Those that none is about stand as at the start.
type EndFile struct {
	Target  string `toml:"target"`
	Version string `toml:"version"`
	Gone    bool   `toml:"gone"`
}

// TenantFile says whose sidecars are.
type TenantFile struct {
	Name   string `toml:"name"`
	Target string `toml:"target"`
}

// SpreadFile bounds cold work, for the rule "spread": within any window, copies of keys may do cold at most a part of what
// all servers can do.
type SpreadFile struct {
	WindowS float64 `toml:"window_s"` // 0: no bound
	Most    float64 `toml:"most"`
}

const (
	defaultSightMS = 5000 // a lease, its expiry and the news of it
	maxControllers = 20
	maxVersions    = 50
	maxControl     = 200 // entries of the other lists
)

// unplayed are the faults that servers' processes do not play.
var unplayed = []FaultKind{Roll, Refused, Silent, ResetUnder, Spoilt}

// Controlled tells whether the control plane takes part.
func (f *File) Controlled() bool { return f.Control != nil }

func (f *File) checkControl(bad badFunc, inside func(string, float64, float64, float64)) {
	c := f.Control
	if c == nil {
		return
	}
	if f.Discovery.Source != "registry" {
		bad("control", "the control plane needs discovery.source = \"registry\"")
	}
	if c.SightMS == 0 {
		c.SightMS = defaultSightMS
	}
	inside("control.sight_ms", c.SightMS, 0, 6e5)
	f.checkVersions(bad, inside)
	if len(c.Controllers) > maxControllers {
		bad("control.controller", "%d controllers, at most %d", len(c.Controllers), maxControllers)
	}
	seen := map[string]bool{}
	for i := range c.Controllers {
		k, at := &c.Controllers[i], fmt.Sprintf("control.controller[%d].", i)
		if !plainName(k.Name) || seen[k.Name] {
			bad(at+"name", "%q is no plain name or stands twice", k.Name)
		}
		seen[k.Name] = true
		inside(at+"at_s", k.AtS, 0, f.DurationS)
		if len(k.Args) == 0 {
			bad(at+"args", "a controller needs its command line")
		}
		if k.Ready == "" {
			k.Ready = "msg=serves"
		}
	}
	for key, n := range map[string]int{"step": len(c.Steps), "budget": len(c.Budgets), "hours": len(c.Hours), "end": len(c.Ends), "tenant": len(c.Tenants)} {
		if n > maxControl {
			bad("control."+key, "%d entries, at most %d", n, maxControl)
		}
	}
	f.checkSteps(bad, inside)
	f.checkJudged(bad, inside)
	for i := range f.Faults {
		if k := FaultKind(f.Faults[i].Kind); slices.Contains(unplayed, k) {
			bad(fmt.Sprintf("fault[%d].kind", i), "%s is not played with the control plane", k)
		}
	}
}

// plainName holds names to what is safe as a file's and in a command line.
func plainName(s string) bool {
	return s != "" && len(s) <= 40 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") == "" && s[0] != '-' && s[0] != '.'
}

func (f *File) checkVersions(bad badFunc, inside func(string, float64, float64, float64)) {
	c := f.Control
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
		if id := v.Kind + " " + v.Name; !plainName(v.Name) || seen[id] {
			bad(at+"name", "%q is no plain name or stands twice", v.Name)
		} else {
			seen[id] = true
		}
		inside(at+"restarts", float64(v.Restarts), 0, 1000)
		inside(at+"grace_ms", float64(v.GraceMS), 0, 6e5)
		if v.Kind == "sidecar" && v.Harm != (Harm{}) {
			bad(at+"harm", "only versions of servers harm")
		}
		v.Harm.Check(at+"harm.", classes, bad)
	}
	if !seen["server "+c.ServerVersion] {
		bad("control.server_version", "there is no version %q of servers", c.ServerVersion)
	}
	if !seen["sidecar "+c.SidecarVersion] {
		bad("control.sidecar_version", "there is no version %q of sidecars", c.SidecarVersion)
	}
}

func (f *File) checkSteps(bad badFunc, inside func(string, float64, float64, float64)) {
	for i := range f.Control.Steps {
		s, at := &f.Control.Steps[i], fmt.Sprintf("control.step[%d].", i)
		inside(at+"at_s", s.AtS, 0, f.DurationS)
		inside(at+"status", float64(s.Status), 0, 255)
		if (s.Do == "") == (len(s.Args) == 0) {
			bad(at+"do", "a step is either a command line or an act")
		}
		if s.Do == "" {
			continue
		}
		if !slices.Contains([]string{"stop", "start", "restart", "drain", "copies"}, s.Do) {
			bad(at+"do", "%q is not stop, start, restart, drain or copies", s.Do)
		}
		f.checkUnits(at+"target", s.Target, bad)
	}
}

// checkUnits refuses a target that names no servers or sidecars.
func (f *File) checkUnits(key, text string, bad badFunc) {
	if t, err := parseTarget(text, f); err != nil {
		bad(key, "%v", err)
	} else if t.who&(servers|sidecars) == 0 {
		bad(key, "%q names no servers and no sidecars", text)
	}
}

func (f *File) checkJudged(bad badFunc, inside func(string, float64, float64, float64)) {
	c := f.Control
	for i := range c.Budgets {
		b, at := &c.Budgets[i], fmt.Sprintf("control.budget[%d].", i)
		if b.Kind != "server" && b.Kind != "sidecar" {
			bad(at+"kind", "%q is not server or sidecar", b.Kind)
		}
		if b.Zone != "" && f.zone(b.Zone) < 0 {
			bad(at+"zone", "unknown zone %q", b.Zone)
		}
		if b.Of != "" && !slices.ContainsFunc(f.Servers, func(k KindFile) bool { return k.Kind == b.Of }) {
			bad(at+"of", "unknown kind %q", b.Of)
		}
		inside(at+"most", float64(b.Most), 0, maxServers)
		if b.Told == nil {
			b.Told = &b.Most
		}
		inside(at+"told", float64(*b.Told), 0, maxServers)
		if !plainName(b.Name) {
			bad(at+"name", "%q is no plain name", b.Name)
		}
	}
	for i, h := range c.Hours {
		if !(h.FromS >= 0 && h.ToS > h.FromS) || math.IsInf(h.ToS, 0) {
			bad(fmt.Sprintf("control.hours[%d].to_s", i), "%v to %v s is no time", h.FromS, h.ToS)
		}
	}
	for i, e := range c.Ends {
		at := fmt.Sprintf("control.end[%d].", i)
		f.checkUnits(at+"target", e.Target, bad)
		if (e.Version == "") == !e.Gone {
			bad(at+"version", "units end on a version or are gone")
		}
	}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("control.tenant[%d].", i)
		if !plainName(t.Name) {
			bad(at+"name", "%q is no plain name", t.Name)
		}
		f.checkUnits(at+"target", t.Target, bad)
	}
	inside("control.spread.window_s", c.Spread.WindowS, 0, 3600)
	inside("control.spread.most", c.Spread.Most, 0, 1)
}

// Units are the servers (of) and sidecars (beside) that a target of the control plane names, by their numbers.
func (p *Plan) Units(text string) (of, beside []int) {
	t, err := parseTarget(text, p.File)
	if err != nil {
		return nil, nil // checked when the file was read
	}
	if t.who&servers != 0 {
		of = p.matchServers(t)
	}
	if t.who&sidecars != 0 {
		beside = p.matchSidecars(t)
	}
	return of, beside
}

// Tenant is whose a sidecar is; "": nobody's.
func (p *Plan) Tenant(sidecar int) string {
	if !p.File.Controlled() {
		return ""
	}
	for _, t := range p.File.Control.Tenants {
		if _, of := p.Units(t.Target); slices.Contains(of, sidecar) {
			return t.Name
		}
	}
	return ""
}

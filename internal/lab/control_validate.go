package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"milldeck/internal/readiness"
)

const (
	defaultDetectionMS = 5000       // covers a lease, its expiry and the notification of the expiry
	listenPlaceholder  = "{listen}" // the controller's own address
	maxControllers     = 20
	maxVersions        = 50
	maxControlEntries  = 200 // entries of each list other than controllers and versions
	maxNameBytes       = 40
)

// unsupportedWithControlPlane are the faults that server processes cannot emulate.
var unsupportedWithControlPlane = []FaultKind{
	FaultRollingReplacement, FaultConnectionRefused, FaultNoResponse, FaultReset, FaultCorruptResponse,
}

func (e *Experiment) validateControlPlane(v *validator) {
	spec := e.ControlPlane
	if spec == nil {
		return
	}
	if e.Discovery.Source != DiscoveryRegistry {
		v.reportf("control", "the control plane needs discovery.source = \"registry\"")
	}
	setDefault(&spec.DetectionMS, defaultDetectionMS)
	v.number("control.sight_ms", spec.DetectionMS, 0, 6e5)
	e.validateVersions(v)
	e.validateControllers(v)
	for _, list := range []struct {
		key   string
		count int
	}{
		{"step", len(spec.Steps)}, {"budget", len(spec.Budgets)}, {"hours", len(spec.MaintenanceHours)},
		{"end", len(spec.FinalStates)}, {"tenant", len(spec.Tenants)},
	} {
		if list.count > maxControlEntries {
			v.reportf("control."+list.key, "%d entries, at most %d", list.count, maxControlEntries)
		}
	}
	e.validateSteps(v)
	e.validateBudgets(v)
	e.validateMaintenanceHours(v)
	e.validateUnits(v)
	v.number("control.spread.window_s", spec.WarmupWork.WindowS, 0, 3600)
	v.number("control.spread.most", spec.WarmupWork.MaxShare, 0, 1)
	for i := range e.Faults {
		if kind := FaultKind(e.Faults[i].Kind); slices.Contains(unsupportedWithControlPlane, kind) {
			v.reportf(fmt.Sprintf("fault[%d].kind", i), "%s is not supported with the control plane", kind)
		}
	}
}

// isValidName reports whether a name is safe as a file name and on a command line.
func isValidName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-."
	if name == "" || len(name) > maxNameBytes || name[0] == '-' || name[0] == '.' {
		return false
	}
	return strings.Trim(name, allowed) == ""
}

func (e *Experiment) validateVersions(v *validator) {
	spec := e.ControlPlane
	var classes []string
	for i := range e.Classes {
		classes = append(classes, e.Classes[i].Name)
	}
	if len(spec.Versions) > maxVersions {
		v.reportf("control.version", "%d versions, at most %d", len(spec.Versions), maxVersions)
	}
	type versionKey struct{ kind, name string }
	versions := map[versionKey]bool{}
	for i := range spec.Versions {
		version, prefix := &spec.Versions[i], fmt.Sprintf("control.version[%d].", i)
		v.oneOf(prefix+"kind", version.Kind, unitServer, unitSidecar)
		key := versionKey{version.Kind, version.Name}
		if !isValidName(version.Name) || versions[key] {
			v.reportf(prefix+"name", "%q is not a valid name or is a duplicate", version.Name)
		}
		versions[key] = true
		v.number(prefix+"restarts", float64(version.MaxRestarts), 0, 1000)
		v.number(prefix+"grace_ms", float64(version.GraceMS), 0, 6e5)
		if version.Kind == unitSidecar && version.Regression != (Regression{}) {
			v.reportf(prefix+"harm", "only versions of servers have regressions")
		}
		version.Regression.Validate(prefix+"harm.", classes, v.reportf)
	}
	if !versions[versionKey{unitServer, spec.ServerVersion}] {
		v.reportf("control.server_version", "there is no version %q of servers", spec.ServerVersion)
	}
	if !versions[versionKey{unitSidecar, spec.SidecarVersion}] {
		v.reportf("control.sidecar_version", "there is no version %q of sidecars", spec.SidecarVersion)
	}
}

func (e *Experiment) validateControllers(v *validator) {
	controllers := e.ControlPlane.Controllers
	if len(controllers) > maxControllers {
		v.reportf("control.controller", "%d controllers, at most %d", len(controllers), maxControllers)
	}
	names := map[string]bool{}
	for i := range controllers {
		controller, prefix := &controllers[i], fmt.Sprintf("control.controller[%d].", i)
		if !isValidName(controller.Name) || names[controller.Name] {
			v.reportf(prefix+"name", "%q is not a valid name or is a duplicate", controller.Name)
		}
		names[controller.Name] = true
		v.number(prefix+"at_s", controller.AtS, 0, e.DurationS)
		controller.validateReadiness(prefix, v)
	}
}

// formerReadyLines are log lines that `ready` named before it named a path. Controllers that log or logged them answer the
// readiness check at the default path.
var formerReadyLines = []string{"msg=serves", "msg=controls"}

// validateReadiness checks that the lab can ask the controller whether it is ready.
func (c *ControllerSpec) validateReadiness(prefix string, v *validator) {
	if len(c.Args) == 0 {
		v.reportf(prefix+"args", "a controller needs a command line")
	}
	if slices.Contains(formerReadyLines, c.ReadyPath) {
		if err := c.CheckListens(); err != nil {
			v.reportf(prefix+"ready", "log lines are no longer read, and %w", err)
		}
		c.ReadyPath = readiness.Path
	}
	setDefault(&c.ReadyPath, readiness.Path)
	if !strings.HasPrefix(c.ReadyPath, "/") {
		v.reportf(prefix+"ready", "%q is no path: log lines are no longer read; set the path that the controller answers with status 200"+
			" once it is ready, such as %q, or leave the key out", c.ReadyPath, readiness.Path)
	}
}

// CheckListens returns an error if the controller is not told the address at which a run with real processes asks whether it
// is ready.
func (c *ControllerSpec) CheckListens() error {
	if strings.Contains(strings.Join(c.Args, " ")+c.Config, listenPlaceholder) {
		return nil
	}
	return fmt.Errorf("neither args nor config has %s, the address at which the controller is asked whether it is ready", listenPlaceholder)
}

func (e *Experiment) validateSteps(v *validator) {
	for i := range e.ControlPlane.Steps {
		step, prefix := &e.ControlPlane.Steps[i], fmt.Sprintf("control.step[%d].", i)
		v.number(prefix+"at_s", step.AtS, 0, e.DurationS)
		v.number(prefix+"status", float64(step.ExitStatus), 0, 255)
		if (step.Action == "") == (len(step.Args) == 0) {
			v.reportf(prefix+"do", "a step needs either args or an action")
		}
		if step.Action == "" {
			continue
		}
		v.oneOf(prefix+"do", step.Action, actionStop, actionStart, actionRestart, actionDrain, actionCopies)
		e.validateUnitTarget(prefix+"target", step.Target, v)
	}
}

// validateUnitTarget checks that a target names servers or sidecars.
func (e *Experiment) validateUnitTarget(key, text string, v *validator) {
	target, err := parseTarget(text, e)
	if err != nil {
		v.reportf(key, "%w", err)
		return
	}
	if target.components&(componentServers|componentSidecars) == 0 {
		v.reportf(key, "%q names no servers and no sidecars", text)
	}
}

func (e *Experiment) validateBudgets(v *validator) {
	for i := range e.ControlPlane.Budgets {
		budget, prefix := &e.ControlPlane.Budgets[i], fmt.Sprintf("control.budget[%d].", i)
		v.oneOf(prefix+"kind", budget.Kind, unitServer, unitSidecar)
		if budget.Zone != "" && e.zoneIndex(budget.Zone) < 0 {
			v.reportf(prefix+"zone", "unknown zone %q", budget.Zone)
		}
		if budget.ServerKind != "" && !e.hasServerKind(budget.ServerKind) {
			v.reportf(prefix+"of", "unknown kind %q", budget.ServerKind)
		}
		v.number(prefix+"most", float64(budget.MaxUnavailable), 0, maxServers)
		if budget.LedgerMaxUnavailable == nil {
			budget.LedgerMaxUnavailable = &budget.MaxUnavailable
		}
		v.number(prefix+"told", float64(*budget.LedgerMaxUnavailable), 0, maxServers)
		if !isValidName(budget.Name) {
			v.reportf(prefix+"name", "%q is not a valid name", budget.Name)
		}
	}
}

// hasServerKind reports whether the experiment has servers of a kind.
func (e *Experiment) hasServerKind(kind string) bool {
	return slices.ContainsFunc(e.Servers, func(spec ServerSpec) bool { return spec.Kind == kind })
}

func (e *Experiment) validateMaintenanceHours(v *validator) {
	for i, hours := range e.ControlPlane.MaintenanceHours {
		if !(hours.FromS >= 0 && hours.ToS > hours.FromS) || math.IsInf(hours.ToS, 0) {
			v.reportf(fmt.Sprintf("control.hours[%d].to_s", i), "%v to %v s is not a period", hours.FromS, hours.ToS)
		}
	}
}

func (e *Experiment) validateUnits(v *validator) {
	for i, state := range e.ControlPlane.FinalStates {
		prefix := fmt.Sprintf("control.end[%d].", i)
		e.validateUnitTarget(prefix+"target", state.Target, v)
		if (state.Version == "") == !state.Removed {
			v.reportf(prefix+"version", "exactly one of version and gone must be set")
		}
	}
	for i, tenant := range e.ControlPlane.Tenants {
		prefix := fmt.Sprintf("control.tenant[%d].", i)
		if !isValidName(tenant.Name) {
			v.reportf(prefix+"name", "%q is not a valid name", tenant.Name)
		}
		e.validateUnitTarget(prefix+"target", tenant.Target, v)
	}
}

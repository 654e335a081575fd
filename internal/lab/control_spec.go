package lab

import "slices"

// ControlPlaneSpec states how an experiment runs with the control plane. Servers and sidecars are processes that the
// emulator's supervisor starts, and controllers act on them. The emulator starts the initial processes, sends the load,
// injects faults and checks the rules.
type ControlPlaneSpec struct {
	ServerVersion      string                 `toml:"server_version"`  // version that servers start on
	SidecarVersion     string                 `toml:"sidecar_version"` // version that sidecars start on
	DetectionMS        float64                `toml:"sight_ms"`        // time that controllers have to detect a failure
	AllowMixedVersions bool                   `toml:"mixed"`           // units of one kind may end on several versions
	Versions           []VersionSpec          `toml:"version"`
	Controllers        []ControllerSpec       `toml:"controller"`
	Steps              []StepSpec             `toml:"step"`
	Budgets            []BudgetSpec           `toml:"budget"`
	MaintenanceHours   []MaintenanceHoursSpec `toml:"hours"`
	FinalStates        []FinalStateSpec       `toml:"end"`
	Tenants            []TenantSpec           `toml:"tenant"`
	WarmupWork         WarmupWorkSpec         `toml:"spread"`
}

// Kinds of the units that the control plane acts on.
const (
	unitServer  = "server"
	unitSidecar = "sidecar"
)

// VersionSpec is a version of servers or sidecars that the supervisor can run.
type VersionSpec struct {
	Name        string     `toml:"name"`
	Kind        string     `toml:"kind"`     // "server" or "sidecar"
	MaxRestarts int        `toml:"restarts"` // how often the supervisor itself restarts a process that exits
	GraceMS     int64      `toml:"grace_ms"` // time from SIGTERM to SIGKILL; 0: the supervisor's default
	Regression  Regression `toml:"harm"`     // misbehaviour of this version, for servers only
}

// ControllerSpec is a process of this program that acts on the fleet. Args and Config may hold placeholders: {replicas} for
// the comma-separated addresses of the registry, {list} for the same addresses as a TOML array, {supervisor} for the
// supervisor's address, {listen} for the controller's own address, {name} for its name, {at:NAME} for another controller's
// address, {server:N} for a server's UID, {dir} for a directory of its own and {config} for the path of its configuration file.
type ControllerSpec struct {
	Name            string   `toml:"name"`
	Args            []string `toml:"args"`
	Config          string   `toml:"config"`
	ReadyPath       string   `toml:"ready"`   // path that it answers with status 200 at {listen} once it is ready; "": readiness.Path
	AtS             float64  `toml:"at_s"`    // time of its start; 0: before the load
	ReceivesReports bool     `toml:"reports"` // agents forward load reports of sidecars to it
}

// Actions of a StepSpec that run no command.
const (
	actionStop    = "stop"    // through the supervisor
	actionStart   = "start"   // through the supervisor
	actionRestart = "restart" // through the supervisor
	actionDrain   = "drain"   // through the registry
	actionCopies  = "copies"  // places copies of all keys on the target
)

// StepSpec is an operation of an operator during the run: a command of this program, with the placeholders of ControllerSpec
// and {file}, or an action that bypasses the controllers.
type StepSpec struct {
	AtS        float64  `toml:"at_s"`
	Args       []string `toml:"args"`
	File       string   `toml:"file"`   // contents of the file that {file} names
	ExitStatus int      `toml:"status"` // exit status that the command is expected to have
	Action     string   `toml:"do"`     // the action on Target; "": Args is run
	Target     string   `toml:"target"`
}

// BudgetSpec limits how many of the units that it selects may be unavailable at a time, for RuleDisruptionBudget. The emulator
// configures the ledger with it before the run.
type BudgetSpec struct {
	Name                 string `toml:"name"`
	Kind                 string `toml:"kind"` // "server" or "sidecar"
	Zone                 string `toml:"zone"` // "": all zones
	ServerKind           string `toml:"of"`   // "": all kinds of servers
	MaxUnavailable       int    `toml:"most"`
	LedgerMaxUnavailable *int   `toml:"told"` // the ledger's limit if it differs from MaxUnavailable, to test the checker
}

// MaintenanceHoursSpec is a period in which a tenant may be excluded from servers, for RuleMaintenanceHours.
type MaintenanceHoursSpec struct {
	Tenant string  `toml:"tenant"`
	FromS  float64 `toml:"from_s"`
	ToS    float64 `toml:"to_s"`
}

// FinalStateSpec is the state that units must have at the end of the run, for RuleFinalState. Units without an entry must be
// in service on their initial version.
type FinalStateSpec struct {
	Target  string `toml:"target"`
	Version string `toml:"version"`
	Removed bool   `toml:"gone"`
}

// TenantSpec assigns sidecars to a tenant.
type TenantSpec struct {
	Name   string `toml:"name"`
	Target string `toml:"target"`
}

// WarmupWorkSpec limits the work of cache misses at replicas of hot keys, for RuleHotKeyCost: within any window, at most a
// share of the capacity of all servers.
type WarmupWorkSpec struct {
	WindowS  float64 `toml:"window_s"` // 0: no bound
	MaxShare float64 `toml:"most"`
}

// MatchUnits returns the indexes of the servers and sidecars that a target of the control plane names.
func (p *Plan) MatchUnits(text string) (serverIndexes, sidecarIndexes []int) {
	target, err := parseTarget(text, p.Experiment)
	if err != nil {
		return nil, nil // targets were validated when the experiment was read
	}
	if target.components&componentServers != 0 {
		serverIndexes = p.matchServers(target)
	}
	if target.components&componentSidecars != 0 {
		sidecarIndexes = p.matchSidecars(target)
	}
	return serverIndexes, sidecarIndexes
}

// Tenant returns the tenant of a sidecar, or "" if it has none.
func (p *Plan) Tenant(sidecar int) string {
	if !p.Experiment.HasControlPlane() {
		return ""
	}
	for _, tenant := range p.Experiment.ControlPlane.Tenants {
		if _, indexes := p.MatchUnits(tenant.Target); slices.Contains(indexes, sidecar) {
			return tenant.Name
		}
	}
	return ""
}

package lab

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults. The comments name the fields of FaultSpec that a kind uses beside AtS and DurationS. Unless stated
// otherwise, the effect of a fault ends after DurationS.
const (
	FaultKill                  FaultKind = "kill"           // Target, Share: the process is killed; it is started again after DurationS, a server with a slow start
	FaultFreeze                FaultKind = "freeze"         // Target, Share: the process is stopped and continued, as by SIGSTOP and SIGCONT
	FaultRestart               FaultKind = "restart"        // Target, Share, Steps: graceful restart, as by SIGTERM; servers drain and come back with a slow start
	FaultReload                FaultKind = "reload"         // Target, Share: sidecars get SIGHUP, and the address of discovery changes
	FaultSlow                  FaultKind = "slow"           // Target, Share, Factor: servers are slower by a factor
	FaultErrors                FaultKind = "errors"         // Target, Share, Probability: servers fail requests without doing their work
	FaultNoResponse            FaultKind = "silent"         // Target, Share: servers accept requests and never respond
	FaultConnectionRefused     FaultKind = "refused"        // Target, Share: servers refuse connections
	FaultReset                 FaultKind = "reset"          // Target, Share, Probability: connections are reset after the request was executed
	FaultCorruptResponse       FaultKind = "spoilt"         // Target, Share, Probability: responses are corrupt; the request was executed
	FaultPartition             FaultKind = "cut"            // Between, Direction, or Target (replicas): a partition, nothing passes
	FaultDelay                 FaultKind = "delay"          // Between, Direction, DelayMS: messages take longer
	FaultPacketLoss            FaultKind = "loss"           // Between, Direction, Probability: requests or responses are lost
	FaultZoneOutage            FaultKind = "zone-lost"      // Target (zone:X): its servers vanish and come back with a slow start
	FaultDiscoveryDown         FaultKind = "discovery-down" // no sidecar is notified of any change
	FaultDiscoveryDelay        FaultKind = "discovery-late" // DelayMS: notifications arrive later
	FaultDiscoveryFalseRemoval FaultKind = "discovery-bad"  // Share: running servers are listed as removed
	FaultRegistryDown          FaultKind = "registry-down"  // all replicas of the registry are killed and started again
	FaultRollingReplacement    FaultKind = "roll"           // Target, Share, Steps, ReuseAddresses: servers are replaced by new ones, with a slow start
	FaultDescriptorExhaustion  FaultKind = "descriptors"    // Target, Share: idle connections exhaust the sidecars' file descriptors
	FaultHotKeyControllerDown  FaultKind = "decider-down"   // the hot-key controller is down; its successor continues from the placement
	FaultLoadReportLoss        FaultKind = "reports-lost"   // Probability: load reports of sidecars are lost
	FaultFalseLoadReports      FaultKind = "reports-lie"    // Target, Share: sidecars report load of keys that no client requests
	FaultSupervisor            FaultKind = "platform"       // Misbehaviour, Operation, CallCount: the supervisor misbehaves
)

// IsHotKeyFault reports whether a fault affects the hot-key controller or its input.
func IsHotKeyFault(kind FaultKind) bool {
	return kind == FaultHotKeyControllerDown || kind == FaultLoadReportLoss || kind == FaultFalseLoadReports
}

// faultRequirements states what the entry of a kind of fault must contain.
type faultRequirements struct {
	components componentSet // components that the fault can affect

	duration, probability, share, factor, delay bool // fields that have to be set
}

var requirementsByFault = map[FaultKind]faultRequirements{
	FaultKill:                  {components: componentServers | componentSidecars | componentControlPlane},
	FaultFreeze:                {components: componentServers | componentSidecars | componentControlPlane | componentSupervisor, duration: true},
	FaultRestart:               {components: componentServers | componentSidecars},
	FaultReload:                {components: componentSidecars},
	FaultSlow:                  {components: componentServers, duration: true, factor: true},
	FaultErrors:                {components: componentServers, duration: true, probability: true},
	FaultNoResponse:            {components: componentServers, duration: true},
	FaultConnectionRefused:     {components: componentServers, duration: true},
	FaultReset:                 {components: componentServers, duration: true, probability: true},
	FaultCorruptResponse:       {components: componentServers, duration: true, probability: true},
	FaultPartition:             {components: componentLinks, duration: true},
	FaultDelay:                 {components: componentLinks, duration: true, delay: true},
	FaultPacketLoss:            {components: componentLinks, duration: true, probability: true},
	FaultZoneOutage:            {components: componentZones, duration: true},
	FaultDiscoveryDown:         {components: componentNone, duration: true},
	FaultDiscoveryDelay:        {components: componentNone, duration: true, delay: true},
	FaultDiscoveryFalseRemoval: {components: componentNone, duration: true, share: true},
	FaultRegistryDown:          {components: componentNone, duration: true},
	FaultRollingReplacement:    {components: componentServers, duration: true},
	FaultDescriptorExhaustion:  {components: componentSidecars, duration: true},
	FaultHotKeyControllerDown:  {components: componentNone, duration: true},
	FaultLoadReportLoss:        {components: componentNone, duration: true, probability: true},
	FaultFalseLoadReports:      {components: componentSidecars, duration: true},
	FaultSupervisor:            {components: componentNone},
}

// FaultKinds returns the names of all kinds of faults, sorted.
func FaultKinds() []string {
	var names []string
	for kind := range maps.Keys(requirementsByFault) {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// SupervisorMisbehaviours lists the ways in which the supervisor can misbehave; see docs/supervisor.md.
var SupervisorMisbehaviours = []string{"fail", "hang", "late", "half", "lose", "twice", "wrong", "forget"}

// Fault is a scheduled fault with its targets drawn.
type Fault struct {
	Kind        FaultKind
	StartMS     float64
	EndMS       float64 // 0: the fault does not end
	Servers     []int   // indexes in Plan.Servers
	Sidecars    []int   // indexes in Plan.Sidecars
	Label       string  // kind and target as the experiment states them, for reports
	Probability float64
	Factor      float64
	DelayMS     float64

	// Of the control plane: replicas of the registry and agents by number, controllers by name.
	Replicas, Agents []int
	Leader           bool // the replica that is the leader when the fault starts
	Controllers      []string
	Supervisor       bool

	// Of the supervisor: see FaultSpec.
	Misbehaviour, Operation string
	CallCount               int

	// Of links: the two sides, and the directions that the fault affects.
	SideA, SideB      LinkEndSet
	Forward, Backward bool // from A to B, from B to A
}

// Affects reports whether a link fault affects messages from one end of a link to the other.
func (f *Fault) Affects(from, to LinkEnd) bool {
	return f.Forward && f.SideA.contains(from) && f.SideB.contains(to) ||
		f.Backward && f.SideB.contains(from) && f.SideA.contains(to)
}

// LinkEndSet is the set of link ends on one side of a link fault.
type LinkEndSet struct {
	Servers, Sidecars  map[int]bool
	Clients, Discovery bool
}

func (s *LinkEndSet) contains(end LinkEnd) bool {
	switch end.Kind {
	case ServerEnd:
		return s.Servers[end.Index]
	case SidecarEnd:
		return s.Sidecars[end.Index]
	case ClientEnd:
		return s.Clients
	default:
		return s.Discovery
	}
}

// LinkEndKind is the kind of process at an end of a link.
type LinkEndKind uint8

// The kinds of link ends. The index of a client is that of its sidecar; discovery has none.
const (
	ServerEnd LinkEndKind = iota
	SidecarEnd
	ClientEnd
	DiscoveryEnd
)

// LinkEnd is one end of a link.
type LinkEnd struct {
	Kind  LinkEndKind
	Index int
}

// Lowest and highest delay of a message between two sidecars in ms, as in the users' service.
const (
	MinPeerDelayMS = 1.3
	MaxPeerDelayMS = 12.0
)

// resolve draws the targets of a fault.
func (f *FaultSpec) resolve(p *Plan, rng *rand.Rand) Fault {
	fault := Fault{
		Kind: FaultKind(f.Kind), StartMS: 1000 * f.AtS, Label: f.label(),
		Probability: f.Probability, Factor: f.Factor, DelayMS: f.DelayMS,
		Misbehaviour: f.Misbehaviour, Operation: f.Operation, CallCount: f.CallCount,
	}
	if f.DurationS > 0 {
		fault.EndMS = fault.StartMS + 1000*f.DurationS
	}
	if p.Experiment.HasControlPlane() && f.Target != "" {
		p.resolveControlPlaneTarget(f, &fault)
		if fault.Kind == FaultPartition {
			return fault
		}
	}
	requirements := requirementsByFault[fault.Kind]
	switch requirements.components {
	case componentLinks:
		fault.SideA, fault.SideB = p.linkEnds(f.Between[0]), p.linkEnds(f.Between[1])
		fault.Forward = f.Direction != directionReverse
		fault.Backward = f.Direction != directionForward
	case componentNone:
		if fault.Kind == FaultDiscoveryFalseRemoval {
			fault.Servers = sampleShare(p.initialServers(), f.Share, rng)
		}
	default:
		target, _ := parseTarget(f.Target, p.Experiment) // validated when the experiment was read
		affected := target.components & requirements.components
		if affected&componentServers != 0 || requirements.components == componentZones {
			fault.Servers = sampleShare(p.matchServers(target), f.Share, rng)
		}
		if affected&componentSidecars != 0 {
			fault.Sidecars = sampleShare(p.matchSidecars(target), f.Share, rng)
		}
	}
	return fault
}

// resolveControlPlaneTarget sets those targets of a fault that are processes of the control plane.
func (p *Plan) resolveControlPlaneTarget(spec *FaultSpec, fault *Fault) {
	target, err := parseControlPlaneTarget(spec.Target, p.Experiment)
	if err != nil {
		return // the fault's targets are servers or sidecars
	}
	switch target.components {
	case componentReplicas:
		fault.Leader = target.leader
		if !target.leader {
			fault.Replicas = target.indexesBelow(RegistryReplicas)
		}
	case componentAgents:
		fault.Agents = target.indexesBelow(len(p.Sidecars))
	case componentControllers:
		for _, controller := range p.Experiment.ControlPlane.Controllers {
			if target.controller == "" || controller.Name == target.controller {
				fault.Controllers = append(fault.Controllers, controller.Name)
			}
		}
	case componentSupervisor:
		fault.Supervisor = true
	}
}

// PartitionsReplicas reports whether a fault partitions a replica of the registry from the others.
func (p *Plan) PartitionsReplicas() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool {
		return f.Kind == FaultPartition && (f.Leader || len(f.Replicas) > 0)
	})
}

// label returns the name of the fault in reports.
func (f *FaultSpec) label() string {
	place := f.Target
	if len(f.Between) == 2 {
		place = f.Between[0] + "/" + f.Between[1]
	}
	if place == "" {
		return f.Kind
	}
	return f.Kind + " " + place
}

// sampleShare draws a share of the indexes, at least one, and returns the drawn ones sorted. A share of 0 means all.
func sampleShare(all []int, share float64, rng *rand.Rand) []int {
	if share == 0 || len(all) == 0 {
		return all
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:max(1, int(share*float64(len(all))+0.5))]
	slices.Sort(all)
	return all
}

package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// FaultKind says what a fault does; the comments name the fields of FaultSpec that count beside AtS and DurationS.
type FaultKind string

// The faults. Unless it says otherwise, what a fault has broken is whole again after DurationS.
const (
	FaultKill                  FaultKind = "kill"           // Target, Share: ends at once; starts anew after DurationS, a server cold
	FaultFreeze                FaultKind = "freeze"         // Target, Share: stopped and continued, as by SIGSTOP and SIGCONT
	FaultRestart               FaultKind = "restart"        // Target, Share, Steps: as by SIGTERM; a server drains and comes back cold
	FaultReload                FaultKind = "reload"         // Target, Share: sidecars get SIGHUP, and discovery moves
	FaultSlow                  FaultKind = "slow"           // Target, Share, By: servers are slower by a factor
	FaultErrors                FaultKind = "errors"         // Target, Share, Part: servers fail requests at once
	FaultNoResponse            FaultKind = "silent"         // Target, Share: servers take requests and say nothing
	FaultConnectionRefused     FaultKind = "refused"        // Target, Share: servers refuse connections
	FaultReset                 FaultKind = "reset"          // Target, Share, Part: connections break after the request has run
	FaultCorruptResponse       FaultKind = "spoilt"         // Target, Share, Part: answers are noise; the request has run
	FaultPartition             FaultKind = "cut"            // Between, Direction: nothing passes
	FaultDelay                 FaultKind = "delay"          // Between, Direction, MS: all takes longer
	FaultPacketLoss            FaultKind = "loss"           // Between, Direction, Part: requests or answers are lost
	FaultZoneOutage            FaultKind = "zone-lost"      // Target (zone:X): its servers vanish and come back cold
	FaultDiscoveryDown         FaultKind = "discovery-down" // nothing is told
	FaultDiscoveryDelay        FaultKind = "discovery-late" // MS: all is told so much later
	FaultDiscoveryFalseRemoval FaultKind = "discovery-bad"  // Share: so many running servers are listed as gone
	FaultRegistryDown          FaultKind = "registry-down"  // all replicas of the list service are killed, and started again
	FaultRollingReplacement    FaultKind = "roll"           // Target, Share, Steps, Reuse: servers are replaced by new ones, cold
	FaultDescriptorExhaustion  FaultKind = "descriptors"    // Target, Share: idle connections fill the sidecars' descriptors
	FaultHotKeyControllerDown  FaultKind = "decider-down"   // nobody decides which keys are spread; its successor goes on from the placement
	FaultLoadReportLoss        FaultKind = "reports-lost"   // Part: so many of the sidecars' reports are lost
	FaultFalseLoadReports      FaultKind = "reports-lie"    // Target, Share: sidecars report heat of keys that nobody asks for
	FaultSupervisor            FaultKind = "platform"       // What, On, Count: the platform that starts and stops processes does wrong
)

// partyMask says which parties a kind of fault can befall.
type partyMask uint16

const (
	partyServers partyMask = 1 << iota
	partySidecars
	partyZones
	partyLinks
	partyNone
	partyReplicas // of the list service
	partyAgents
	partyControllers
	partySupervisor

	// partyControlPlane are the processes of the control plane that can be killed; with the platform all that it has started would
	// end, so that one can only be frozen.
	partyControlPlane = partyReplicas | partyAgents | partyControllers
)

// faultRequirements is what a kind of fault wants of its entry.
type faultRequirements struct {
	parties        partyMask
	requiredFields string // of "for part by ms", those that it wants
}

var requirementsByFault = map[FaultKind]faultRequirements{
	FaultKill: {partyServers | partySidecars | partyControlPlane, ""}, FaultFreeze: {partyServers | partySidecars | partyControlPlane | partySupervisor, "for"}, FaultRestart: {partyServers | partySidecars, ""},
	FaultReload: {partySidecars, ""}, FaultSlow: {partyServers, "for by"}, FaultErrors: {partyServers, "for part"}, FaultNoResponse: {partyServers, "for"},
	FaultConnectionRefused: {partyServers, "for"}, FaultReset: {partyServers, "for part"}, FaultCorruptResponse: {partyServers, "for part"},
	FaultPartition: {partyLinks, "for"}, FaultDelay: {partyLinks, "for ms"}, FaultPacketLoss: {partyLinks, "for part"}, FaultZoneOutage: {partyZones, "for"},
	FaultDiscoveryDown: {partyNone, "for"}, FaultDiscoveryDelay: {partyNone, "for ms"}, FaultDiscoveryFalseRemoval: {partyNone, "for share"},
	FaultHotKeyControllerDown: {partyNone, "for"}, FaultLoadReportLoss: {partyNone, "for part"}, FaultFalseLoadReports: {partySidecars, "for"},
	FaultRegistryDown: {partyNone, "for"}, FaultSupervisor: {partyNone, ""}, FaultRollingReplacement: {partyServers, "for"}, FaultDescriptorExhaustion: {partySidecars, "for"},
}

// FaultKinds lists the kinds of faults by name.
func FaultKinds() []string {
	var names []string
	for k := range maps.Keys(requirementsByFault) {
		names = append(names, string(k))
	}
	slices.Sort(names)
	return names
}

// maxSteps bounds the steps of a roll or restart.
const maxSteps = 1000

func (f *FaultSpec) validate(file *Experiment, key string, bad reportFunc) {
	requirements, known := requirementsByFault[FaultKind(f.Kind)]
	if !known {
		bad(key+".kind", "unknown fault %q, there are %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return
	}
	if !(f.AtS >= 0 && f.AtS <= file.DurationS) {
		bad(key+".at_s", "%v is not within the run of %v s", f.AtS, file.DurationS)
	}
	if !(f.DurationS >= 0 && f.DurationS <= maxDurationS) {
		bad(key+".for_s", "%v is not a duration", f.DurationS)
	}
	if !(f.Share >= 0 && f.Share <= 1) {
		bad(key+".share", "%v is not a share", f.Share)
	}
	if f.Steps < 0 || f.Steps > maxSteps {
		bad(key+".steps", "%d is not within 0 to %d", f.Steps, maxSteps)
	}
	for _, field := range strings.Fields(requirements.requiredFields) {
		switch {
		case field == "for" && f.DurationS == 0:
			bad(key+".for_s", "%s needs a duration", f.Kind)
		case field == "part" && !(f.Probability > 0 && f.Probability <= 1):
			bad(key+".part", "%s needs a part within 0 to 1", f.Kind)
		case field == "share" && f.Share == 0:
			bad(key+".share", "%s needs a share", f.Kind)
		case field == "by" && !(f.Factor >= 1 && f.Factor <= 1e4):
			bad(key+".by", "%s needs a factor within 1 to 10000", f.Kind)
		case field == "ms" && !(f.DelayMS > 0 && f.DelayMS <= 6e4):
			bad(key+".ms", "%s needs milliseconds within 0 to 60000", f.Kind)
		}
	}
	fromRegistry := file.Discovery.Source == "registry"
	switch kind := FaultKind(f.Kind); {
	case file.HasControlPlane() && (kind == FaultSupervisor || kind == FaultPartition && f.Target != ""):
		f.validateControlPlaneFault(file, key, bad)
	case kind == FaultSupervisor:
		bad(key+".kind", "%s needs [control]", f.Kind)
	case IsHotKeyFault(kind) && (file.HotKeys == nil || !file.HotKeys.Enabled):
		bad(key+".kind", "%s needs [spread] with on = true", f.Kind)
	case kind == FaultRegistryDown && !fromRegistry:
		bad(key+".kind", "%s needs discovery.source = \"registry\"", f.Kind)
	case fromRegistry && (kind == FaultPartition || kind == FaultDiscoveryDown || kind == FaultDiscoveryDelay || kind == FaultDiscoveryFalseRemoval):
		bad(key+".kind", "%s needs discovery.source = \"lab\"", f.Kind)
	case requirements.parties == partyLinks:
		f.validateLinks(file, key, bad)
	case requirements.parties != partyNone:
		if target, err := parseTarget(f.Target, file); err != nil {
			bad(key+".target", "%v", err)
		} else if target.parties&requirements.parties == 0 || file.HasControlPlane() && f.Kind == string(FaultFreeze) && target.parties&partyServers != 0 {
			bad(key+".target", "%s cannot befall %q", f.Kind, f.Target)
		}
	case f.Target != "" && f.Target != "discovery":
		bad(key+".target", "%s befalls discovery, not %q", f.Kind, f.Target)
	}
}

func (f *FaultSpec) validateLinks(file *Experiment, key string, bad reportFunc) {
	if len(f.Between) != 2 {
		bad(key+".between", "%s needs two parties or groups", f.Kind)
		return
	}
	for _, party := range f.Between {
		if _, err := parseTarget(party, file); err != nil {
			bad(key+".between", "%v", err)
		}
	}
	if direction := f.Direction; direction != "" && direction != "both" && direction != "there" && direction != "back" {
		bad(key+".direction", "%q is not both, there or back", direction)
	}
}

// target is a parsed name of parties.
type target struct {
	parties     partyMask
	zone        int    // -1: any
	kind        string // "": any
	first, last int    // of a numbered range; -1: all
	controller  string // "": none
	leader      bool
	discovery   bool
	clients     bool
}

// parseTarget reads "servers", "sidecars", "clients", "discovery", "zone:NAME" (both servers and sidecars
// there), "kind:NAME" (servers), "server:N", "server:N-M" and the same of sidecars. Numbers count from 0.
func parseTarget(text string, file *Experiment) (target, error) {
	t := target{zone: -1, first: -1, last: -1}
	name, arg, _ := strings.Cut(text, ":")
	switch name {
	case "servers":
		t.parties = partyServers
	case "sidecars":
		t.parties = partySidecars
	case "clients":
		t.clients = true
		t.parties = partyNone
	case "discovery":
		t.discovery = true
		t.parties = partyNone
	case "zone":
		t.parties = partyServers | partySidecars | partyZones
		if t.zone = file.zoneIndex(arg); t.zone < 0 {
			return t, fmt.Errorf("unknown zone %q", arg)
		}
	case "kind":
		t.parties, t.kind = partyServers, arg
		if !slices.ContainsFunc(file.Servers, func(k ServerSpec) bool { return k.Kind == arg }) {
			return t, fmt.Errorf("unknown kind %q", arg)
		}
	case "server", "sidecar":
		t.parties = partyServers
		most := 0
		for i := range file.Servers {
			most += int(file.Servers[i].Count.Min)
		}
		if name == "sidecar" {
			t.parties, most = partySidecars, int(file.Sidecars.Count.Min)
		}
		from, to, ranged := strings.Cut(arg, "-")
		var err error
		if t.first, err = strconv.Atoi(from); err == nil {
			t.last = t.first
			if ranged {
				t.last, err = strconv.Atoi(to)
			}
		}
		if err != nil || t.first < 0 || t.last < t.first || t.last >= most {
			return t, fmt.Errorf("unknown target %q, numbers go from 0 to %d", text, most-1)
		}
	default:
		return parseControlPlaneTarget(text, file)
	}
	return t, nil
}

// Fault is a fault with its targets drawn.
type Fault struct {
	Kind           FaultKind
	StartMS, EndMS float64 // ms; End is 0 where it does not end
	Servers        []int   // in Plan.Servers
	Sidecars       []int   // in Plan.Sidecars
	Label          string  // as the experiment words it, for reports
	Probability    float64
	Factor         float64
	DelayMS        float64

	// Of the control plane: replicas (Leader: the one that leads then) and agents by number, controllers by name, and
	// the platform, which may also do wrong as What says.
	Replicas, Agents        []int
	Leader                  bool
	Controllers             []string
	Supervisor              bool
	Misbehaviour, Operation string
	CallCount               int

	// Of links: which there are, and which way nothing passes.
	SideA, SideB      EndpointSet
	Forward, Backward bool
}

// EndpointSet is one end of a link fault.
type EndpointSet struct {
	Servers, Sidecars  map[int]bool
	Clients, Discovery bool
}

func (p *EndpointSet) contains(end Endpoint) bool {
	switch end.Kind {
	case ServerEndpoint:
		return p.Servers[end.Index]
	case SidecarEndpoint:
		return p.Sidecars[end.Index]
	case ClientEndpoint:
		return p.Clients
	default:
		return p.Discovery
	}
}

// EndpointKind is what stands at an end of a link.
type EndpointKind uint8

// The kinds of ends; a client's number is that of its sidecar, and discovery has none.
const (
	ServerEndpoint EndpointKind = iota
	SidecarEndpoint
	ClientEndpoint
	DiscoveryEndpoint
)

// Endpoint is one end of a link.
type Endpoint struct {
	Kind  EndpointKind
	Index int
}

// Affects tells whether a link fault holds for what goes from one end to another.
func (f *Fault) Affects(from, to Endpoint) bool {
	return f.Forward && f.SideA.contains(from) && f.SideB.contains(to) || f.Backward && f.SideB.contains(from) && f.SideA.contains(to)
}

// A message from one sidecar to another takes between these times in ms, as in the users' service (BRIEF).
const MinPeerDelayMS, MaxPeerDelayMS = 1.3, 12.0

// resolve draws the targets of a fault.
func (f *FaultSpec) resolve(p *Plan, rng *rand.Rand) Fault {
	fault := Fault{
		Kind: FaultKind(f.Kind), StartMS: 1000 * f.AtS, Probability: f.Probability, Factor: f.Factor, DelayMS: f.DelayMS, Label: f.label(),
	}
	if f.DurationS > 0 {
		fault.EndMS = fault.StartMS + 1000*f.DurationS
	}
	fault.Misbehaviour, fault.Operation, fault.CallCount = f.Misbehaviour, f.Operation, f.CallCount
	requirements := requirementsByFault[fault.Kind]
	if p.Experiment.HasControlPlane() && f.Target != "" {
		p.resolveControlPlaneTarget(f, &fault)
		if fault.Kind == FaultPartition {
			return fault
		}
	}
	switch requirements.parties {
	case partyLinks:
		fault.SideA, fault.SideB = p.endpointSet(f.Between[0]), p.endpointSet(f.Between[1])
		fault.Forward, fault.Backward = f.Direction != "back", f.Direction != "there"
	case partyNone:
		if fault.Kind == FaultDiscoveryFalseRemoval {
			fault.Servers = sampleShare(p.initialServers(), f.Share, rng)
		}
	default:
		target, _ := parseTarget(f.Target, p.Experiment) // checked when the file was read
		if target.parties&requirements.parties&partyServers != 0 || requirements.parties == partyZones {
			fault.Servers = sampleShare(p.matchServers(target), f.Share, rng)
		}
		if target.parties&requirements.parties&partySidecars != 0 {
			fault.Sidecars = sampleShare(p.matchSidecars(target), f.Share, rng)
		}
	}
	return fault
}

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

// sampleShare takes a share of the parties, at least one, in their order; share 0 takes all.
func sampleShare(all []int, share float64, rng *rand.Rand) []int {
	if share == 0 || len(all) == 0 {
		return all
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:max(1, int(share*float64(len(all))+0.5))]
	slices.Sort(all)
	return all
}

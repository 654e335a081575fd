package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// FaultKind says what a fault does; the comments name the fields of FaultFile that count beside AtS and ForS.
type FaultKind string

// The faults. Unless it says otherwise, what a fault has broken is whole again after ForS.
const (
	Kill          FaultKind = "kill"           // Target, Share: ends at once; starts anew after ForS, a server cold
	Freeze        FaultKind = "freeze"         // Target, Share: stopped and continued, as by SIGSTOP and SIGCONT
	Restart       FaultKind = "restart"        // Target, Share, Steps: as by SIGTERM; a server drains and comes back cold
	Reload        FaultKind = "reload"         // Target, Share: sidecars get SIGHUP, and discovery moves
	Slow          FaultKind = "slow"           // Target, Share, By: servers are slower by a factor
	FastErrors    FaultKind = "errors"         // Target, Share, Part: servers fail requests at once
	Silent        FaultKind = "silent"         // Target, Share: servers take requests and say nothing
	Refused       FaultKind = "refused"        // Target, Share: servers refuse connections
	ResetUnder    FaultKind = "reset"          // Target, Share, Part: connections break after the request has run
	Spoilt        FaultKind = "spoilt"         // Target, Share, Part: answers are noise; the request has run
	Cut           FaultKind = "cut"            // Between, Direction: nothing passes
	Delay         FaultKind = "delay"          // Between, Direction, MS: all takes longer
	Loss          FaultKind = "loss"           // Between, Direction, Part: requests or answers are lost
	ZoneLost      FaultKind = "zone-lost"      // Target (zone:X): its servers vanish and come back cold
	DiscoveryDown FaultKind = "discovery-down" // nothing is told
	DiscoveryLate FaultKind = "discovery-late" // MS: all is told so much later
	DiscoveryBad  FaultKind = "discovery-bad"  // Share: so many running servers are listed as gone
	RegistryDown  FaultKind = "registry-down"  // all replicas of the list service are killed, and started again
	Roll          FaultKind = "roll"           // Target, Share, Steps, Reuse: servers are replaced by new ones, cold
	Descriptors   FaultKind = "descriptors"    // Target, Share: idle connections fill the sidecars' descriptors
	DeciderDown   FaultKind = "decider-down"   // nobody decides which keys are spread; its successor goes on from the placement
	ReportsLost   FaultKind = "reports-lost"   // Part: so many of the sidecars' reports are lost
	ReportsLie    FaultKind = "reports-lie"    // Target, Share: sidecars report heat of keys that nobody asks for
	Platform      FaultKind = "platform"       // What, On, Count: the platform that starts and stops processes does wrong
)

// who says which parties a kind of fault can befall.
type who uint16

const (
	servers who = 1 << iota
	sidecars
	zones
	links
	nobody
	replicas // of the list service
	agents
	controllers
	platform

	// planes are the processes of the control plane that can be killed; with the platform all that it has started would
	// end, so that one can only be frozen.
	planes = replicas | agents | controllers
)

// faultNeeds is what a kind of fault wants of its entry.
type faultNeeds struct {
	who    who
	fields string // of "for part by ms", those that it wants
}

var faultKinds = map[FaultKind]faultNeeds{
	Kill: {servers | sidecars | planes, ""}, Freeze: {servers | sidecars | planes | platform, "for"}, Restart: {servers | sidecars, ""},
	Reload: {sidecars, ""}, Slow: {servers, "for by"}, FastErrors: {servers, "for part"}, Silent: {servers, "for"},
	Refused: {servers, "for"}, ResetUnder: {servers, "for part"}, Spoilt: {servers, "for part"},
	Cut: {links, "for"}, Delay: {links, "for ms"}, Loss: {links, "for part"}, ZoneLost: {zones, "for"},
	DiscoveryDown: {nobody, "for"}, DiscoveryLate: {nobody, "for ms"}, DiscoveryBad: {nobody, "for share"},
	DeciderDown: {nobody, "for"}, ReportsLost: {nobody, "for part"}, ReportsLie: {sidecars, "for"},
	RegistryDown: {nobody, "for"}, Platform: {nobody, ""}, Roll: {servers, "for"}, Descriptors: {sidecars, "for"},
}

// FaultKinds lists the kinds of faults by name.
func FaultKinds() []string {
	var names []string
	for k := range maps.Keys(faultKinds) {
		names = append(names, string(k))
	}
	slices.Sort(names)
	return names
}

// maxSteps bounds the steps of a roll or restart.
const maxSteps = 1000

func (f *FaultFile) check(file *File, at string, bad badFunc) {
	needs, known := faultKinds[FaultKind(f.Kind)]
	if !known {
		bad(at+".kind", "unknown fault %q, there are %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return
	}
	if !(f.AtS >= 0 && f.AtS <= file.DurationS) {
		bad(at+".at_s", "%v is not within the run of %v s", f.AtS, file.DurationS)
	}
	if !(f.ForS >= 0 && f.ForS <= maxDurationS) {
		bad(at+".for_s", "%v is not a duration", f.ForS)
	}
	if !(f.Share >= 0 && f.Share <= 1) {
		bad(at+".share", "%v is not a share", f.Share)
	}
	if f.Steps < 0 || f.Steps > maxSteps {
		bad(at+".steps", "%d is not within 0 to %d", f.Steps, maxSteps)
	}
	for _, field := range strings.Fields(needs.fields) {
		switch {
		case field == "for" && f.ForS == 0:
			bad(at+".for_s", "%s needs a duration", f.Kind)
		case field == "part" && !(f.Part > 0 && f.Part <= 1):
			bad(at+".part", "%s needs a part within 0 to 1", f.Kind)
		case field == "share" && f.Share == 0:
			bad(at+".share", "%s needs a share", f.Kind)
		case field == "by" && !(f.By >= 1 && f.By <= 1e4):
			bad(at+".by", "%s needs a factor within 1 to 10000", f.Kind)
		case field == "ms" && !(f.MS > 0 && f.MS <= 6e4):
			bad(at+".ms", "%s needs milliseconds within 0 to 60000", f.Kind)
		}
	}
	own := file.Discovery.Source == "registry"
	switch kind := FaultKind(f.Kind); {
	case file.Controlled() && (kind == Platform || kind == Cut && f.Target != ""):
		f.checkPlane(file, at, bad)
	case kind == Platform:
		bad(at+".kind", "%s needs [control]", f.Kind)
	case OfSpreader(kind) && (file.Spread == nil || !file.Spread.On):
		bad(at+".kind", "%s needs [spread] with on = true", f.Kind)
	case kind == RegistryDown && !own:
		bad(at+".kind", "%s needs discovery.source = \"registry\"", f.Kind)
	case own && (kind == Cut || kind == DiscoveryDown || kind == DiscoveryLate || kind == DiscoveryBad):
		bad(at+".kind", "%s needs discovery.source = \"lab\"", f.Kind)
	case needs.who == links:
		f.checkLinks(file, at, bad)
	case needs.who != nobody:
		if s, err := parseTarget(f.Target, file); err != nil {
			bad(at+".target", "%v", err)
		} else if s.who&needs.who == 0 || file.Controlled() && f.Kind == string(Freeze) && s.who&servers != 0 {
			bad(at+".target", "%s cannot befall %q", f.Kind, f.Target)
		}
	case f.Target != "" && f.Target != "discovery":
		bad(at+".target", "%s befalls discovery, not %q", f.Kind, f.Target)
	}
}

func (f *FaultFile) checkLinks(file *File, at string, bad badFunc) {
	if len(f.Between) != 2 {
		bad(at+".between", "%s needs two parties or groups", f.Kind)
		return
	}
	for _, t := range f.Between {
		if _, err := parseTarget(t, file); err != nil {
			bad(at+".between", "%v", err)
		}
	}
	if d := f.Direction; d != "" && d != "both" && d != "there" && d != "back" {
		bad(at+".direction", "%q is not both, there or back", d)
	}
}

// target is a parsed name of parties.
type target struct {
	who         who
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
func parseTarget(text string, file *File) (target, error) {
	t := target{zone: -1, first: -1, last: -1}
	name, arg, _ := strings.Cut(text, ":")
	switch name {
	case "servers":
		t.who = servers
	case "sidecars":
		t.who = sidecars
	case "clients":
		t.clients = true
		t.who = nobody
	case "discovery":
		t.discovery = true
		t.who = nobody
	case "zone":
		t.who = servers | sidecars | zones
		if t.zone = file.zone(arg); t.zone < 0 {
			return t, fmt.Errorf("unknown zone %q", arg)
		}
	case "kind":
		t.who, t.kind = servers, arg
		if !slices.ContainsFunc(file.Servers, func(k KindFile) bool { return k.Kind == arg }) {
			return t, fmt.Errorf("unknown kind %q", arg)
		}
	case "server", "sidecar":
		t.who = servers
		most := 0
		for i := range file.Servers {
			most += int(file.Servers[i].Count.Least)
		}
		if name == "sidecar" {
			t.who, most = sidecars, int(file.Sidecars.Count.Least)
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
		return parsePlane(text, file)
	}
	return t, nil
}

// Fault is a fault with its targets drawn.
type Fault struct {
	Kind     FaultKind
	At, End  float64 // ms; End is 0 where it does not end
	Servers  []int   // in Plan.Servers
	Sidecars []int   // in Plan.Sidecars
	Label    string  // as the experiment words it, for reports
	Part     float64
	By       float64
	MS       float64

	// Of the control plane: replicas (Leader: the one that leads then) and agents by number, controllers by name, and
	// the platform, which may also do wrong as What says.
	Replicas, Agents []int
	Leader           bool
	Controllers      []string
	Supervisor       bool
	What, On         string
	Count            int

	// Of links: which there are, and which way nothing passes.
	A, B        Parties
	There, Back bool
}

// Parties is one end of a link fault.
type Parties struct {
	Servers, Sidecars  map[int]bool
	Clients, Discovery bool
}

func (p *Parties) has(end End) bool {
	switch end.Kind {
	case ServerEnd:
		return p.Servers[end.N]
	case SidecarEnd:
		return p.Sidecars[end.N]
	case ClientEnd:
		return p.Clients
	default:
		return p.Discovery
	}
}

// EndKind is what stands at an end of a link.
type EndKind uint8

// The kinds of ends; a client's number is that of its sidecar, and discovery has none.
const (
	ServerEnd EndKind = iota
	SidecarEnd
	ClientEnd
	DiscoveryEnd
)

// End is one end of a link.
type End struct {
	Kind EndKind
	N    int
}

// Hits tells whether a link fault holds for what goes from one end to another.
func (f *Fault) Hits(from, to End) bool {
	return f.There && f.A.has(from) && f.B.has(to) || f.Back && f.B.has(from) && f.A.has(to)
}

// A message from one sidecar to another takes between these times in ms, as in the users' service (BRIEF).
const PeerLeastMS, PeerMostMS = 1.3, 12.0

// resolve draws the targets of a fault.
func (f *FaultFile) resolve(p *Plan, rng *rand.Rand) Fault {
	out := Fault{
		Kind: FaultKind(f.Kind), At: 1000 * f.AtS, Part: f.Part, By: f.By, MS: f.MS, Label: f.label(),
	}
	if f.ForS > 0 {
		out.End = out.At + 1000*f.ForS
	}
	out.What, out.On, out.Count = f.What, f.On, f.Count
	needs := faultKinds[out.Kind]
	if p.File.Controlled() && f.Target != "" {
		p.plane(f, &out)
		if out.Kind == Cut {
			return out
		}
	}
	switch needs.who {
	case links:
		out.A, out.B = p.parties(f.Between[0]), p.parties(f.Between[1])
		out.There, out.Back = f.Direction != "back", f.Direction != "there"
	case nobody:
		if out.Kind == DiscoveryBad {
			out.Servers = draw(p.standing(), f.Share, rng)
		}
	default:
		t, _ := parseTarget(f.Target, p.File) // checked when the file was read
		if t.who&needs.who&servers != 0 || needs.who == zones {
			out.Servers = draw(p.matchServers(t), f.Share, rng)
		}
		if t.who&needs.who&sidecars != 0 {
			out.Sidecars = draw(p.matchSidecars(t), f.Share, rng)
		}
	}
	return out
}

func (f *FaultFile) label() string {
	at := f.Target
	if len(f.Between) == 2 {
		at = f.Between[0] + "/" + f.Between[1]
	}
	if at == "" {
		return f.Kind
	}
	return f.Kind + " " + at
}

// draw takes a share of the parties, at least one, in their order; share 0 takes all.
func draw(all []int, share float64, rng *rand.Rand) []int {
	if share == 0 || len(all) == 0 {
		return all
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:max(1, int(share*float64(len(all))+0.5))]
	slices.Sort(all)
	return all
}

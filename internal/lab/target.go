package lab

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// RegistryReplicas is the number of replicas of the registry in a run.
const RegistryReplicas = 3

// componentSet is a set of kinds of components that faults can affect.
type componentSet uint16

const (
	componentServers componentSet = 1 << iota
	componentSidecars
	componentZones
	componentLinks
	componentNone
	componentReplicas // of the registry
	componentAgents
	componentControllers
	componentSupervisor

	// componentControlPlane are the processes of the control plane that can be killed. The supervisor is not one of them: all
	// processes that it has started would end with it.
	componentControlPlane = componentReplicas | componentAgents | componentControllers
)

// target is the parsed target of a fault, a step or another entry of an experiment.
type target struct {
	components  componentSet
	zone        int    // -1: any zone
	kind        string // kind of servers; "": any
	first, last int    // range of indexes; -1: all
	controller  string // name of a controller; "": any
	leader      bool
	discovery   bool
	clients     bool
}

// includes reports whether an index lies in the range of the target.
func (t *target) includes(index int) bool {
	return t.first < 0 || index >= t.first && index <= t.last
}

// indexesBelow returns the indexes below count that lie in the range of the target.
func (t *target) indexesBelow(count int) []int {
	var indexes []int
	for i := range count {
		if t.includes(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// parseTarget parses "servers", "sidecars", "clients", "discovery", "zone:NAME" (its servers and sidecars), "kind:NAME" (its
// servers), "server:N", "server:N-M", "sidecar:N", "sidecar:N-M" and the targets of parseControlPlaneTarget. Indexes count
// from 0.
func parseTarget(text string, e *Experiment) (target, error) {
	t := target{zone: -1, first: -1, last: -1}
	name, arg, _ := strings.Cut(text, ":")
	var err error
	switch name {
	case "servers":
		t.components = componentServers
	case "sidecars":
		t.components = componentSidecars
	case "clients":
		t.components, t.clients = componentNone, true
	case targetDiscovery:
		t.components, t.discovery = componentNone, true
	case "zone":
		t.components = componentServers | componentSidecars | componentZones
		if t.zone = e.zoneIndex(arg); t.zone < 0 {
			err = fmt.Errorf("unknown zone %q", arg)
		}
	case "kind":
		t.components, t.kind = componentServers, arg
		if !e.hasServerKind(arg) {
			err = fmt.Errorf("unknown kind %q", arg)
		}
	case unitServer:
		t.components = componentServers
		err = t.parseIndexes(text, arg, e.minServers())
	case unitSidecar:
		t.components = componentSidecars
		err = t.parseIndexes(text, arg, int(e.Sidecars.Count.Min))
	default:
		return parseControlPlaneTarget(text, e)
	}
	return t, err
}

// minServers returns the least number of servers that a plan of the experiment can have.
func (e *Experiment) minServers() int {
	count := 0
	for i := range e.Servers {
		count += int(e.Servers[i].Count.Min)
	}
	return count
}

// parseIndexes parses "N" or "N-M", with indexes below count. The text is the whole target, for errors.
func (t *target) parseIndexes(text, indexes string, count int) error {
	from, to, isRange := strings.Cut(indexes, "-")
	if !isRange {
		to = from
	}
	first, firstErr := strconv.Atoi(from)
	last, lastErr := strconv.Atoi(to)
	if firstErr != nil || lastErr != nil || first < 0 || last < first || last >= count {
		return fmt.Errorf("unknown target %q, numbers go from 0 to %d", text, count-1)
	}
	t.first, t.last = first, last
	return nil
}

// parseControlPlaneTarget parses "replica:N", "replicas", "leader", "agent:N", "agents", "controller:NAME", "controllers"
// and "supervisor". These targets exist only with the control plane.
func parseControlPlaneTarget(text string, e *Experiment) (target, error) {
	t := target{zone: -1, first: -1, last: -1}
	unknown := fmt.Errorf("unknown target %q", text)
	if !e.HasControlPlane() {
		return t, unknown
	}
	if name, arg, named := strings.Cut(text, ":"); named {
		switch name {
		case "replica":
			t.components = componentReplicas
			err := t.parseIndex(text, arg, RegistryReplicas)
			return t, err
		case "agent":
			t.components = componentAgents
			err := t.parseIndex(text, arg, int(e.Sidecars.Count.Min))
			return t, err
		case "controller":
			t.components, t.controller = componentControllers, arg
			if e.hasController(arg) {
				return t, nil
			}
		}
		return t, unknown
	}
	switch text {
	case "replicas":
		t.components = componentReplicas
	case "leader":
		t.components, t.leader = componentReplicas, true
	case "agents":
		t.components = componentAgents
	case "controllers":
		t.components = componentControllers
	case targetSupervisor:
		t.components = componentSupervisor
	default:
		return t, unknown
	}
	return t, nil
}

// parseIndex parses "N", an index below count. The text is the whole target, for errors.
func (t *target) parseIndex(text, index string, count int) error {
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || n >= count {
		return fmt.Errorf("unknown target %q, numbers go from 0 to %d", text, count-1)
	}
	t.first, t.last = n, n
	return nil
}

// hasController reports whether the experiment has a controller of a name.
func (e *Experiment) hasController(name string) bool {
	return slices.ContainsFunc(e.ControlPlane.Controllers, func(c ControllerSpec) bool { return c.Name == name })
}

// matchServers returns the indexes of the initial servers that a target names.
func (p *Plan) matchServers(t target) []int {
	var indexes []int
	for _, i := range p.initialServers() {
		server := &p.Servers[i]
		inZone := t.zone < 0 || server.Zone == t.zone
		ofKind := t.kind == "" || server.Spec.Kind == t.kind
		if inZone && ofKind && t.includes(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// matchSidecars returns the indexes of the sidecars that a target names.
func (p *Plan) matchSidecars(t target) []int {
	var indexes []int
	for i := range p.Sidecars {
		inZone := t.zone < 0 || p.Sidecars[i].Zone == t.zone
		if inZone && t.includes(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// linkEnds returns the link ends that a target names.
func (p *Plan) linkEnds(text string) LinkEndSet {
	t, _ := parseTarget(text, p.Experiment) // validated when the experiment was read
	set := LinkEndSet{
		Servers: map[int]bool{}, Sidecars: map[int]bool{}, Clients: t.clients, Discovery: t.discovery,
	}
	if t.components&componentServers != 0 {
		for _, i := range p.matchServers(t) {
			set.Servers[i] = true
		}
	}
	if t.components&componentSidecars != 0 {
		for _, i := range p.matchSidecars(t) {
			set.Sidecars[i] = true
		}
	}
	return set
}

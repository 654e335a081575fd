package lab

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// RegistryReplicas is how many replicas the list service of a run has.
const RegistryReplicas = 3

// SupervisorMisbehaviours are what the platform that starts and stops processes can do wrong; see docs/supervisor.md.
var SupervisorMisbehaviours = []string{"fail", "hang", "late", "half", "lose", "twice", "wrong", "forget"}

// maxCallCount bounds how many calls a fault of the platform can be about.
const maxCallCount = 1000

// validateControlPlaneFault checks a fault of the platform's doing, or a replica that is cut off.
func (f *FaultSpec) validateControlPlaneFault(file *Experiment, key string, bad reportFunc) {
	if FaultKind(f.Kind) == FaultPartition {
		target, err := parseControlPlaneTarget(f.Target, file)
		switch {
		case err != nil:
			bad(key+".target", "%v", err)
		case target.parties != partyReplicas:
			bad(key+".target", "of targets only replicas can be cut off, not %q", f.Target)
		}
		return
	}
	if !slices.Contains(SupervisorMisbehaviours, f.Misbehaviour) {
		bad(key+".what", "%q is none of %s", f.Misbehaviour, strings.Join(SupervisorMisbehaviours, ", "))
	}
	if f.Operation != "" && f.Operation != "do" && f.Operation != "list" {
		bad(key+".on", "%q is not do or list", f.Operation)
	}
	if f.CallCount < 0 || f.CallCount > maxCallCount {
		bad(key+".count", "%d is not within 0 to %d", f.CallCount, maxCallCount)
	}
	if f.Target != "" && f.Target != "supervisor" {
		bad(key+".target", "%s befalls the supervisor, not %q", f.Kind, f.Target)
	}
}

// parseControlPlaneTarget reads "replica:N", "replicas", "leader", "agent:N", "agents", "controller:NAME", "controllers" and
// "supervisor". They are there with the control plane alone.
func parseControlPlaneTarget(text string, file *Experiment) (target, error) {
	t := target{zone: -1, first: -1, last: -1}
	unknown := fmt.Errorf("unknown target %q", text)
	if !file.HasControlPlane() {
		return t, unknown
	}
	name, arg, named := strings.Cut(text, ":")
	number := func(most int) error {
		if !named {
			return nil
		}
		n, err := strconv.Atoi(arg)
		if err != nil || n < 0 || n >= most {
			return fmt.Errorf("unknown target %q, numbers go from 0 to %d", text, most-1)
		}
		t.first, t.last = n, n
		return nil
	}
	switch {
	case name == "replica" && named, text == "replicas":
		t.parties = partyReplicas
		return t, number(RegistryReplicas)
	case text == "leader":
		t.parties, t.leader = partyReplicas, true
	case name == "agent" && named, text == "agents":
		t.parties = partyAgents
		return t, number(int(file.Sidecars.Count.Min))
	case text == "controllers":
		t.parties = partyControllers
	case name == "controller" && slices.ContainsFunc(file.ControlPlane.Controllers, func(c ControllerSpec) bool { return c.Name == arg }):
		t.parties, t.controller = partyControllers, arg
	case text == "supervisor":
		t.parties = partySupervisor
	default:
		return t, unknown
	}
	return t, nil
}

// resolveControlPlaneTarget gives a fault its targets in the control plane.
func (p *Plan) resolveControlPlaneTarget(spec *FaultSpec, fault *Fault) {
	t, err := parseControlPlaneTarget(spec.Target, p.Experiment)
	if err != nil {
		return // it befalls servers or sidecars
	}
	matchingNumbers := func(n int) []int {
		var all []int
		for i := range n {
			if t.first < 0 || i == t.first {
				all = append(all, i)
			}
		}
		return all
	}
	switch t.parties {
	case partyReplicas:
		if fault.Leader = t.leader; !t.leader {
			fault.Replicas = matchingNumbers(RegistryReplicas)
		}
	case partyAgents:
		fault.Agents = matchingNumbers(len(p.Sidecars))
	case partyControllers:
		for _, c := range p.Experiment.ControlPlane.Controllers {
			if t.controller == "" || c.Name == t.controller {
				fault.Controllers = append(fault.Controllers, c.Name)
			}
		}
	case partySupervisor:
		fault.Supervisor = true
	}
}

// PartitionsReplicas tells whether a fault cuts a replica off.
func (p *Plan) PartitionsReplicas() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == FaultPartition && (f.Leader || len(f.Replicas) > 0) })
}

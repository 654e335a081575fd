package lab

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Replicas is how many replicas the list service of a run has.
const Replicas = 3

// PlatformFaults are what the platform that starts and stops processes can do wrong; see docs/supervisor.md.
var PlatformFaults = []string{"fail", "hang", "late", "half", "lose", "twice", "wrong", "forget"}

// maxCalls bounds how many calls a fault of the platform can be about.
const maxCalls = 1000

// checkPlane checks a fault of the platform's doing, or a replica that is cut off.
func (f *FaultFile) checkPlane(file *File, at string, bad badFunc) {
	if FaultKind(f.Kind) == Cut {
		t, err := parsePlane(f.Target, file)
		switch {
		case err != nil:
			bad(at+".target", "%v", err)
		case t.who != replicas:
			bad(at+".target", "of targets only replicas can be cut off, not %q", f.Target)
		}
		return
	}
	if !slices.Contains(PlatformFaults, f.What) {
		bad(at+".what", "%q is none of %s", f.What, strings.Join(PlatformFaults, ", "))
	}
	if f.On != "" && f.On != "do" && f.On != "list" {
		bad(at+".on", "%q is not do or list", f.On)
	}
	if f.Count < 0 || f.Count > maxCalls {
		bad(at+".count", "%d is not within 0 to %d", f.Count, maxCalls)
	}
	if f.Target != "" && f.Target != "supervisor" {
		bad(at+".target", "%s befalls the supervisor, not %q", f.Kind, f.Target)
	}
}

// parsePlane reads "replica:N", "replicas", "leader", "agent:N", "agents", "controller:NAME", "controllers" and
// "supervisor". They are there with the control plane alone.
func parsePlane(text string, file *File) (target, error) {
	t := target{zone: -1, first: -1, last: -1}
	unknown := fmt.Errorf("unknown target %q", text)
	if !file.Controlled() {
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
		t.who = replicas
		return t, number(Replicas)
	case text == "leader":
		t.who, t.leader = replicas, true
	case name == "agent" && named, text == "agents":
		t.who = agents
		return t, number(int(file.Sidecars.Count.Least))
	case text == "controllers":
		t.who = controllers
	case name == "controller" && slices.ContainsFunc(file.Control.Controllers, func(c ControllerFile) bool { return c.Name == arg }):
		t.who, t.controller = controllers, arg
	case text == "supervisor":
		t.who = platform
	default:
		return t, unknown
	}
	return t, nil
}

// plane gives a fault its targets in the control plane.
func (p *Plan) plane(f *FaultFile, out *Fault) {
	t, err := parsePlane(f.Target, p.File)
	if err != nil {
		return // it befalls servers or sidecars
	}
	numbers := func(n int) []int {
		var all []int
		for i := range n {
			if t.first < 0 || i == t.first {
				all = append(all, i)
			}
		}
		return all
	}
	switch t.who {
	case replicas:
		if out.Leader = t.leader; !t.leader {
			out.Replicas = numbers(Replicas)
		}
	case agents:
		out.Agents = numbers(len(p.Sidecars))
	case controllers:
		for _, c := range p.File.Control.Controllers {
			if t.controller == "" || c.Name == t.controller {
				out.Controllers = append(out.Controllers, c.Name)
			}
		}
	case platform:
		out.Supervisor = true
	}
}

// CutsReplicas tells whether a fault cuts a replica off.
func (p *Plan) CutsReplicas() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == Cut && (f.Leader || len(f.Replicas) > 0) })
}

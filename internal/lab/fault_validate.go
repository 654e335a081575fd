package lab

import (
	"slices"
	"strings"
)

const (
	maxSteps     = 1000 // steps of a rolling replacement or restart
	maxCallCount = 1000 // calls that a fault of the supervisor affects
)

// Values of FaultSpec.Direction; "" is the same as both.
const (
	directionBoth    = "both"
	directionForward = "there" // from the first entry of Between to the second
	directionReverse = "back"
)

// Targets that are a single component.
const (
	targetDiscovery  = "discovery"
	targetSupervisor = "supervisor"
)

// validate checks a fault. The key is that of the fault in the file.
func (f *FaultSpec) validate(e *Experiment, key string, v *validator) {
	requirements, known := requirementsByFault[FaultKind(f.Kind)]
	if !known {
		v.reportf(key+".kind", "unknown fault %q; the kinds of faults are %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return
	}
	if !(f.AtS >= 0 && f.AtS <= e.DurationS) {
		v.reportf(key+".at_s", "%v is not within the run of %v s", f.AtS, e.DurationS)
	}
	if !(f.DurationS >= 0 && f.DurationS <= maxDurationS) {
		v.reportf(key+".for_s", "%v is not a duration", f.DurationS)
	}
	if !(f.Share >= 0 && f.Share <= 1) {
		v.reportf(key+".share", "%v is not within 0 to 1", f.Share)
	}
	if f.Steps < 0 || f.Steps > maxSteps {
		v.reportf(key+".steps", "%d is not within 0 to %d", f.Steps, maxSteps)
	}
	f.validateRequired(requirements, key, v)
	if f.validateEnvironment(e, key, v) {
		f.validateTarget(e, requirements, key, v)
	}
}

// validateRequired checks the fields that the kind of fault needs.
func (f *FaultSpec) validateRequired(requirements faultRequirements, key string, v *validator) {
	if requirements.duration && f.DurationS == 0 {
		v.reportf(key+".for_s", "%s needs a duration", f.Kind)
	}
	if requirements.probability && !(f.Probability > 0 && f.Probability <= 1) {
		v.reportf(key+".part", "%s needs a probability above 0 and at most 1", f.Kind)
	}
	if requirements.share && f.Share == 0 {
		v.reportf(key+".share", "%s needs a share", f.Kind)
	}
	if requirements.factor && !(f.Factor >= 1 && f.Factor <= 1e4) {
		v.reportf(key+".by", "%s needs a factor within 1 to 10000", f.Kind)
	}
	if requirements.delay && !(f.DelayMS > 0 && f.DelayMS <= maxDelayMS) {
		v.reportf(key+".ms", "%s needs a delay above 0 and at most 60000 ms", f.Kind)
	}
}

// validateEnvironment checks that the experiment has the components that the fault affects.
func (f *FaultSpec) validateEnvironment(e *Experiment, key string, v *validator) bool {
	kind := FaultKind(f.Kind)
	fromRegistry := e.Discovery.Source == DiscoveryRegistry
	switch {
	case f.targetsControlPlane(e):
		return true
	case kind == FaultSupervisor:
		v.reportf(key+".kind", "%s needs [control]", f.Kind)
	case IsHotKeyFault(kind) && (e.HotKeys == nil || !e.HotKeys.Enabled):
		v.reportf(key+".kind", "%s needs [spread] with on = true", f.Kind)
	case kind == FaultRegistryDown && !fromRegistry:
		v.reportf(key+".kind", "%s needs discovery.source = \"registry\"", f.Kind)
	case fromRegistry && needsLabDiscovery(kind):
		v.reportf(key+".kind", "%s needs discovery.source = \"lab\"", f.Kind)
	default:
		return true
	}
	return false
}

// targetsControlPlane reports whether the supervisor misbehaves or a replica of the registry is partitioned.
func (f *FaultSpec) targetsControlPlane(e *Experiment) bool {
	kind := FaultKind(f.Kind)
	return e.HasControlPlane() && (kind == FaultSupervisor || kind == FaultPartition && f.Target != "")
}

// needsLabDiscovery reports whether a fault is supported only with the emulator's stand-in for the registry.
func needsLabDiscovery(kind FaultKind) bool {
	switch kind {
	case FaultPartition, FaultDiscoveryDown, FaultDiscoveryDelay, FaultDiscoveryFalseRemoval:
		return true
	default:
		return false
	}
}

// validateTarget checks the target of the fault.
func (f *FaultSpec) validateTarget(e *Experiment, requirements faultRequirements, key string, v *validator) {
	switch {
	case f.targetsControlPlane(e) && FaultKind(f.Kind) == FaultPartition:
		f.validatePartitionedReplica(e, key, v)
	case f.targetsControlPlane(e):
		f.validateSupervisorFault(key, v)
	case requirements.components == componentLinks:
		f.validateLinks(e, key, v)
	case requirements.components != componentNone:
		f.validateComponents(e, requirements, key, v)
	case f.Target != "" && f.Target != targetDiscovery:
		v.reportf(key+".target", "%s affects discovery, not %q", f.Kind, f.Target)
	}
}

// validateComponents checks that the target names components that the fault can affect.
func (f *FaultSpec) validateComponents(e *Experiment, requirements faultRequirements, key string, v *validator) {
	target, err := parseTarget(f.Target, e)
	if err != nil {
		v.reportf(key+".target", "%w", err)
		return
	}
	// With the control plane, processes of servers are not frozen.
	freezesServer := FaultKind(f.Kind) == FaultFreeze && target.components&componentServers != 0
	if target.components&requirements.components == 0 || e.HasControlPlane() && freezesServer {
		v.reportf(key+".target", "%s cannot affect %q", f.Kind, f.Target)
	}
}

func (f *FaultSpec) validateLinks(e *Experiment, key string, v *validator) {
	if len(f.Between) != 2 {
		v.reportf(key+".between", "%s needs two targets", f.Kind)
		return
	}
	for _, side := range f.Between {
		if _, err := parseTarget(side, e); err != nil {
			v.reportf(key+".between", "%w", err)
		}
	}
	if f.Direction != "" {
		v.oneOf(key+".direction", f.Direction, directionBoth, directionForward, directionReverse)
	}
}

func (f *FaultSpec) validatePartitionedReplica(e *Experiment, key string, v *validator) {
	target, err := parseControlPlaneTarget(f.Target, e)
	if err != nil {
		v.reportf(key+".target", "%w", err)
		return
	}
	if target.components != componentReplicas {
		v.reportf(key+".target", "only replicas can be partitioned by a target, not %q", f.Target)
	}
}

func (f *FaultSpec) validateSupervisorFault(key string, v *validator) {
	if !slices.Contains(SupervisorMisbehaviours, f.Misbehaviour) {
		v.reportf(key+".what", "%q is not one of %s", f.Misbehaviour, strings.Join(SupervisorMisbehaviours, ", "))
	}
	if f.Operation != "" {
		v.oneOf(key+".on", f.Operation, "do", "list")
	}
	if f.CallCount < 0 || f.CallCount > maxCallCount {
		v.reportf(key+".count", "%d is not within 0 to %d", f.CallCount, maxCallCount)
	}
	if f.Target != "" && f.Target != targetSupervisor {
		v.reportf(key+".target", "%s affects the supervisor, not %q", f.Kind, f.Target)
	}
}

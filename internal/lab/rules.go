package lab

import "slices"

// Rule names a rule that a run is checked against.
type Rule string

// The rules. The first five are those of the protocol of sidecars; a violation of the next three invalidates the run. The
// values are those of results.
const (
	RuleSingleResponse   Rule = "answer"   // each accepted request gets one final response in time
	RuleDuplicateEffect  Rule = "twice"    // no effect happens twice
	RuleParallelAttempts Rule = "parallel" // no two attempts of a request are in flight at the same time
	RuleDraining         Rule = "drain"    // no new attempt to a draining or removed server after the grace
	RuleSlowStart        Rule = "cold"     // no warming-up server is overloaded by sidecars that were notified of its start
	RuleForeignResponse  Rule = "foreign"  // a response belongs to its request and was produced by a server
	RuleUnknownRequest   Rule = "unknown"  // no server gets a request that no client sent
	RuleSidecarCrash     Rule = "crash"    // a sidecar exits only when it is requested to

	// The rules of the control plane; see ControlPlaneChecker and HotKeyChecker.
	RuleDisruptionBudget Rule = "budget"   // no disruption exceeds its budget
	RuleMaintenanceHours Rule = "hours"    // no tenant is excluded from a server outside its hours
	RuleDuplicateAction  Rule = "once"     // no action is carried out twice
	RuleFinalState       Rule = "stranded" // at the end all units are in service, on the expected version
	RuleHotKeyCost       Rule = "spread"   // replicas of hot keys stay within their limits
)

// Rules lists all rules in the order of reports.
var Rules = append(slices.Clone(sidecarRules), ControlPlaneRules...)

var sidecarRules = []Rule{
	RuleSingleResponse, RuleDuplicateEffect, RuleParallelAttempts, RuleDraining, RuleSlowStart, RuleForeignResponse,
	RuleUnknownRequest, RuleSidecarCrash,
}

// ControlPlaneRules lists the rules of the control plane in the order of reports.
var ControlPlaneRules = []Rule{
	RuleDisruptionBudget, RuleMaintenanceHours, RuleDuplicateAction, RuleFinalState, RuleHotKeyCost,
}

// ApplicableRules lists the rules that a run of the experiment is checked against.
func (e *Experiment) ApplicableRules() []Rule {
	if e.HasControlPlane() {
		return Rules
	}
	return sidecarRules
}

// Violation is a violation of a rule, with the history of the request if there is one.
type Violation struct {
	Rule    Rule     `json:"rule"`
	AtMS    float64  `json:"at_ms"`
	Request uint64   `json:"request,omitempty"`
	Detail  string   `json:"what"`
	History []string `json:"story,omitempty"`
}

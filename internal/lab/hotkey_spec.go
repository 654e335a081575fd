package lab

// HotKeySpec makes `milldeck lab sim` run the hot-key controller and check the cost of the replicas of hot keys. setDefaults
// sets absent values. Capacities are ms of standard work a second.
type HotKeySpec struct {
	Enabled bool `toml:"on"`     // the controller runs; false: hot keys are measured only
	Oracle  bool `toml:"oracle"` // instead of the controller: all servers cache the hot keys, and requests for them go to any server

	PlanIntervalMS   float64 `toml:"step_ms"`   // interval between two plans of the controller
	ReportIntervalMS float64 `toml:"report_ms"` // interval between two load reports of a sidecar
	ReportDelayMS    Range   `toml:"tell_ms"`   // delay of a load report from a sidecar to the controller
	WriteDelayMS     Range   `toml:"write_ms"`  // delay from a plan of the controller to the placement
	PlacementDelayMS Range   `toml:"place_ms"`  // delay from a change of the placement to each sidecar

	ServerCapacity  float64 `toml:"bear"`     // capacity of a usual server; 0: the mean of the initial servers
	RequestWorkMS   float64 `toml:"work_ms"`  // work of a usual request; 0: the mean of the classes
	WarmupBudget    float64 `toml:"budget"`   // share of the fleet's capacity for warm-up work; 0: the controller's default
	CopiesPerServer float64 `toml:"copies"`   // 0: the controller's default
	MaxKeys         int     `toml:"max_keys"` // 0: the controller's default

	Limits CopyLimitsSpec `toml:"allowed"`
}

// CopyLimitsSpec limits the cost of the replicas of hot keys for RuleHotKeyCost, independently of the controller's settings.
type CopyLimitsSpec struct {
	WarmupWorkShare float64 `toml:"cold"`   // share of the fleet's capacity for warm-up work; a burst may use one second's allowance
	CopiesPerServer float64 `toml:"copies"` // copies of all keys at a time, per ready server
}

func (s *HotKeySpec) setDefaults() {
	setDefault(&s.PlanIntervalMS, 150)
	setDefault(&s.ReportIntervalMS, 1000)
	setDefault(&s.Limits.WarmupWorkShare, 0.03)
	setDefault(&s.Limits.CopiesPerServer, 1)
	setDefault(&s.ReportDelayMS, Range{2, 60})
	setDefault(&s.WriteDelayMS, Range{5, 40})
	setDefault(&s.PlacementDelayMS, Range{20, 120})
}

func (e *Experiment) validateHotKeys(v *validator) {
	spec := e.HotKeys
	if spec == nil {
		return
	}
	spec.setDefaults()
	if spec.Enabled && spec.Oracle {
		v.reportf("spread.oracle", "the oracle replaces the controller: on and oracle exclude each other")
	}
	v.number("spread.step_ms", spec.PlanIntervalMS, 10, maxDelayMS)
	v.number("spread.report_ms", spec.ReportIntervalMS, 50, maxDelayMS)
	v.numberRange("spread.tell_ms", spec.ReportDelayMS, 0, maxDelayMS)
	v.numberRange("spread.write_ms", spec.WriteDelayMS, 0, maxDelayMS)
	v.numberRange("spread.place_ms", spec.PlacementDelayMS, 0, maxDelayMS)
	v.number("spread.bear", spec.ServerCapacity, 0, 1e9)
	v.number("spread.work_ms", spec.RequestWorkMS, 0, 1e6)
	v.number("spread.budget", spec.WarmupBudget, 0, 1)
	v.number("spread.copies", spec.CopiesPerServer, 0, 10)
	v.number("spread.max_keys", float64(spec.MaxKeys), 0, 1024)
	v.number("spread.allowed.cold", spec.Limits.WarmupWorkShare, 0, 1)
	v.number("spread.allowed.copies", spec.Limits.CopiesPerServer, 0, 64)
}

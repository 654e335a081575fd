package lab

// HotKeySpec has `lab sim` play the spreader of hot keys beside the sidecars, and be judged by what its copies cost.
// What is left out has the default that defaults gives; loads are ms of work a second.
type HotKeySpec struct {
	Enabled bool `toml:"on"`     // it decides; else only figures are taken
	Oracle  bool `toml:"oracle"` // in its place: all servers always know the hot keys, which go to any of them

	PlanIntervalMS   float64 `toml:"step_ms"`   // between two decisions
	ReportIntervalMS float64 `toml:"report_ms"` // between two reports of a sidecar
	ReportDelayMS    Range   `toml:"tell_ms"`   // from a sidecar to who decides
	WriteDelayMS     Range   `toml:"write_ms"`  // until a decision is in the placement
	PlacementDelayMS Range   `toml:"place_ms"`  // from there to each sidecar

	ServerCapacity  float64 `toml:"bear"`     // what a server does; 0: what they do in the mean
	RequestWorkMS   float64 `toml:"work_ms"`  // a usual request; 0: the mean of the classes
	WarmupBudget    float64 `toml:"budget"`   // part of what the fleet bears for extra cold work; 0: the spreader's own
	CopiesPerServer float64 `toml:"copies"`   // for each server; 0: the spreader's own
	MaxKeys         int     `toml:"max_keys"` // 0: the spreader's own

	Limits CopyLimitsSpec `toml:"allowed"`
}

// CopyLimitsSpec is what copies may cost for the rule `spread`, whatever the spreader is told.
type CopyLimitsSpec struct {
	ColdWorkShare   float64 `toml:"cold"`   // part of what the fleet does that extra cold work at copies may take, a second of it at once
	CopiesPerServer float64 `toml:"copies"` // of all keys at a time, for each server that is ready
}

// validateHotKeys checks and completes what the file says of the spreader.
func (f *Experiment) validateHotKeys(bad reportFunc, inside func(string, float64, float64, float64), within func(string, Range, float64, float64)) {
	s := f.HotKeys
	if s == nil {
		return
	}
	for _, d := range []struct {
		at *float64
		v  float64
	}{{&s.PlanIntervalMS, 150}, {&s.ReportIntervalMS, 1000}, {&s.Limits.ColdWorkShare, 0.03}, {&s.Limits.CopiesPerServer, 1}} {
		if *d.at == 0 {
			*d.at = d.v
		}
	}
	for _, d := range []struct {
		at *Range
		v  Range
	}{{&s.ReportDelayMS, Range{2, 60}}, {&s.WriteDelayMS, Range{5, 40}}, {&s.PlacementDelayMS, Range{20, 120}}} {
		if *d.at == (Range{}) {
			*d.at = d.v
		}
	}
	if s.Enabled && s.Oracle {
		bad("spread.oracle", "the oracle stands in for the spreader: on and oracle exclude each other")
	}
	inside("spread.step_ms", s.PlanIntervalMS, 10, 6e4)
	inside("spread.report_ms", s.ReportIntervalMS, 50, 6e4)
	within("spread.tell_ms", s.ReportDelayMS, 0, 6e4)
	within("spread.write_ms", s.WriteDelayMS, 0, 6e4)
	within("spread.place_ms", s.PlacementDelayMS, 0, 6e4)
	inside("spread.bear", s.ServerCapacity, 0, 1e9)
	inside("spread.work_ms", s.RequestWorkMS, 0, 1e6)
	inside("spread.budget", s.WarmupBudget, 0, 1)
	inside("spread.copies", s.CopiesPerServer, 0, 10)
	inside("spread.max_keys", float64(s.MaxKeys), 0, 1024)
	inside("spread.allowed.cold", s.Limits.ColdWorkShare, 0, 1)
	inside("spread.allowed.copies", s.Limits.CopiesPerServer, 0, 64)
}

// Capacity is the work that a server does warm and by itself, in ms a second.
func (s *ServerPlan) Capacity() float64 { return 1000 * s.Speed * float64(s.Spec.Cores) }

// MeanServerCapacity is what servers of the start do in the mean, MeanWork the work of a request, both in ms.
func (p *Plan) MeanServerCapacity() float64 {
	sum, standing := 0.0, p.initialServers()
	for _, i := range standing {
		sum += p.Servers[i].Capacity()
	}
	return sum / float64(max(len(standing), 1))
}

// MeanWork is the mean work of a request in ms, over the classes.
func (p *Plan) MeanWork() float64 {
	sum, shares := 0.0, 0.0
	for i := range p.Classes {
		c := &p.Classes[i]
		sum += c.Share * (c.WorkMS.Min + c.WorkMS.Max) / 2
		shares += c.Share
	}
	return sum / max(shares, 1e-9)
}

// IsHotKeyFault tells whether a fault befalls the spreader or what it is told.
func IsHotKeyFault(kind FaultKind) bool {
	return kind == FaultHotKeyControllerDown || kind == FaultLoadReportLoss || kind == FaultFalseLoadReports
}

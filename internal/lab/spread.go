package lab

// SpreaderFile has `lab sim` play the spreader of hot keys beside the sidecars, and be judged by what its copies cost.
// What is left out has the default that defaults gives; loads are ms of work a second.
type SpreaderFile struct {
	On     bool `toml:"on"`     // it decides; else only figures are taken
	Oracle bool `toml:"oracle"` // in its place: all servers always know the hot keys, which go to any of them

	StepMS   float64 `toml:"step_ms"`   // between two decisions
	ReportMS float64 `toml:"report_ms"` // between two reports of a sidecar
	TellMS   Range   `toml:"tell_ms"`   // from a sidecar to who decides
	WriteMS  Range   `toml:"write_ms"`  // until a decision is in the placement
	PlaceMS  Range   `toml:"place_ms"`  // from there to each sidecar

	Bear   float64 `toml:"bear"`     // what a server does; 0: what they do in the mean
	WorkMS float64 `toml:"work_ms"`  // a usual request; 0: the mean of the classes
	Budget float64 `toml:"budget"`   // part of what the fleet bears for extra cold work; 0: the spreader's own
	Copies float64 `toml:"copies"`   // for each server; 0: the spreader's own
	Keys   int     `toml:"max_keys"` // 0: the spreader's own

	Allowed AllowedFile `toml:"allowed"`
}

// AllowedFile is what copies may cost for the rule `spread`, whatever the spreader is told.
type AllowedFile struct {
	Cold   float64 `toml:"cold"`   // part of what the fleet does that extra cold work at copies may take, a second of it at once
	Copies float64 `toml:"copies"` // of all keys at a time, for each server that is ready
}

// checkSpread checks and completes what the file says of the spreader.
func (f *File) checkSpread(bad badFunc, inside func(string, float64, float64, float64), within func(string, Range, float64, float64)) {
	s := f.Spread
	if s == nil {
		return
	}
	for _, d := range []struct {
		at *float64
		v  float64
	}{{&s.StepMS, 150}, {&s.ReportMS, 1000}, {&s.Allowed.Cold, 0.03}, {&s.Allowed.Copies, 1}} {
		if *d.at == 0 {
			*d.at = d.v
		}
	}
	for _, d := range []struct {
		at *Range
		v  Range
	}{{&s.TellMS, Range{2, 60}}, {&s.WriteMS, Range{5, 40}}, {&s.PlaceMS, Range{20, 120}}} {
		if *d.at == (Range{}) {
			*d.at = d.v
		}
	}
	if s.On && s.Oracle {
		bad("spread.oracle", "the oracle stands in for the spreader: on and oracle exclude each other")
	}
	inside("spread.step_ms", s.StepMS, 10, 6e4)
	inside("spread.report_ms", s.ReportMS, 50, 6e4)
	within("spread.tell_ms", s.TellMS, 0, 6e4)
	within("spread.write_ms", s.WriteMS, 0, 6e4)
	within("spread.place_ms", s.PlaceMS, 0, 6e4)
	inside("spread.bear", s.Bear, 0, 1e9)
	inside("spread.work_ms", s.WorkMS, 0, 1e6)
	inside("spread.budget", s.Budget, 0, 1)
	inside("spread.copies", s.Copies, 0, 10)
	inside("spread.max_keys", float64(s.Keys), 0, 1024)
	inside("spread.allowed.cold", s.Allowed.Cold, 0, 1)
	inside("spread.allowed.copies", s.Allowed.Copies, 0, 64)
}

// Bears is the work that a server does warm and by itself, in ms a second.
func (s *ServerPlan) Bears() float64 { return 1000 * s.Speed * float64(s.Kind.Cores) }

// MeanBear is what servers of the start do in the mean, MeanWork the work of a request, both in ms.
func (p *Plan) MeanBear() float64 {
	sum, standing := 0.0, p.standing()
	for _, i := range standing {
		sum += p.Servers[i].Bears()
	}
	return sum / float64(max(len(standing), 1))
}

// MeanWork is the mean work of a request in ms, over the classes.
func (p *Plan) MeanWork() float64 {
	sum, shares := 0.0, 0.0
	for i := range p.Classes {
		c := &p.Classes[i]
		sum += c.Share * (c.WorkMS.Least + c.WorkMS.Most) / 2
		shares += c.Share
	}
	return sum / max(shares, 1e-9)
}

// OfSpreader tells whether a fault befalls the spreader or what it is told.
func OfSpreader(kind FaultKind) bool {
	return kind == DeciderDown || kind == ReportsLost || kind == ReportsLie
}

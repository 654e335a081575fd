package lab

// hotKeyPeriod is a time in which one key has a part of all requests.
type hotKeyPeriod struct {
	from, to float64 // ms
	key      uint64
}

// maxHotKeyPeriods bounds them in one experiment.
const maxHotKeyPeriods = 10_000

// hotKeyPeriods are all of the plan, in order.
func (p *Plan) hotKeyPeriods() []hotKeyPeriod {
	var periods []hotKeyPeriod
	start := 0.0
	for i := range p.Experiment.Phases {
		phase := &p.Experiment.Phases[i]
		end := min(start+1000*phase.DurationS, p.DurationMS)
		if i == len(p.Experiment.Phases)-1 {
			end = p.DurationMS
		}
		keyChangeMS := 1000 * phase.KeyChangeS
		if keyChangeMS == 0 {
			keyChangeMS = max(end-start, 1)
		}
		for from := start; phase.Kind == "hot" && from < end && len(periods) < maxHotKeyPeriods; from += keyChangeMS {
			to := min(from+keyChangeMS, end)
			_, key := p.hotKeyAt((from + to) / 2)
			periods = append(periods, hotKeyPeriod{from, to, key})
		}
		start = end
	}
	return periods
}

// HotKeys are all keys that are hot at some time.
func (p *Plan) HotKeys() map[uint64]bool {
	keys := map[uint64]bool{}
	for _, period := range p.hotKeyPeriods() {
		keys[period.key] = true
	}
	return keys
}

// WithoutHotKeys is the experiment without its hot phases: the load is as steady as before them.
func (f *Experiment) WithoutHotKeys() *Experiment {
	copied := *f
	copied.Phases = nil
	for _, phase := range f.Phases {
		if phase.Kind == "hot" {
			phase.Kind, phase.Share, phase.KeyChangeS = "steady", 0, 0
		}
		copied.Phases = append(copied.Phases, phase)
	}
	return &copied
}

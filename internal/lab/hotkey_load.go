package lab

const (
	// hotKeyNumberBase is the number of the first hot key, far above those that clients draw.
	hotKeyNumberBase = 1 << 40
	// hotKeysPerPhase is the distance between the numbers of the first hot keys of consecutive phases.
	hotKeysPerPhase = 1000
	// maxHotKeyPeriods bounds the periods of an experiment.
	maxHotKeyPeriods = 10_000
)

// hotKeyPeriod is a period in which one key has a share of all requests.
type hotKeyPeriod struct {
	from, to float64 // ms
	key      uint64
}

// ClientKey returns the key of a number. Clients draw numbers from 0.
func (p *Plan) ClientKey(n int) uint64 { return mixHash(streamArrivals, uint64(n)) | 1 }

// hotKeyAt returns the key that is hot at a time, and its share of all requests, or 0 if no key is hot.
func (p *Plan) hotKeyAt(now float64) (share float64, key uint64) {
	index, start := p.phaseAt(now)
	phase := &p.Experiment.Phases[index]
	if phase.Kind != PhaseHot {
		return 0, 0
	}
	number := uint64(hotKeyNumberBase + hotKeysPerPhase*index)
	if phase.KeyChangeS > 0 {
		number += uint64((now - start) / (1000 * phase.KeyChangeS))
	}
	return phase.Share, mixHash(streamArrivals, number) | 1
}

// hotKeyPeriods returns the periods of hot keys, in order.
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
		for from := start; phase.Kind == PhaseHot && from < end && len(periods) < maxHotKeyPeriods; from += keyChangeMS {
			to := min(from+keyChangeMS, end)
			_, key := p.hotKeyAt((from + to) / 2)
			periods = append(periods, hotKeyPeriod{from, to, key})
		}
		start = end
	}
	return periods
}

// HotKeys returns all keys that are hot at some time.
func (p *Plan) HotKeys() map[uint64]bool {
	keys := map[uint64]bool{}
	for _, period := range p.hotKeyPeriods() {
		keys[period.key] = true
	}
	return keys
}

// WithoutHotKeys returns a copy of the experiment whose hot phases are steady.
func (e *Experiment) WithoutHotKeys() *Experiment {
	steady := *e
	steady.Phases = nil
	for _, phase := range e.Phases {
		if phase.Kind == PhaseHot {
			phase.Kind, phase.Share, phase.KeyChangeS = PhaseSteady, 0, 0
		}
		steady.Phases = append(steady.Phases, phase)
	}
	return &steady
}

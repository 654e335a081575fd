package lab

// phaseLoad is the load of a phase.
type phaseLoad struct {
	startRate, endRate float64 // requests a ms
	shiftZone          int     // zone to which traffic has moved by the end of the phase; -1: none
	shiftShare         float64 // share of other zones' traffic that has moved by the end of the phase
}

// phaseLoad returns the load of a phase. A phase without a rate of its own continues at the rate before it, without the
// factor of a burst.
func (p *Plan) phaseLoad(index int) phaseLoad {
	rate := 0.0
	load := phaseLoad{shiftZone: -1}
	for i := range index + 1 {
		phase := &p.Experiment.Phases[i]
		if phase.Rate > 0 {
			rate = phase.Rate / 1000
		}
		load.startRate, load.endRate = rate, rate
		switch phase.Kind {
		case PhaseRamp:
			rate = phase.EndRate / 1000
			load.endRate = rate
		case PhaseBurst:
			load.startRate, load.endRate = rate*phase.Factor, rate*phase.Factor
		case PhaseShift:
			load.shiftZone, load.shiftShare = p.Experiment.zoneIndex(phase.Zone), phase.Share
		}
	}
	return load
}

// phaseAt returns the index of the phase at a time, and when that phase started in ms.
func (p *Plan) phaseAt(now float64) (index int, start float64) {
	phases := p.Experiment.Phases
	for index < len(phases)-1 && now >= start+1000*phases[index].DurationS {
		start += 1000 * phases[index].DurationS
		index++
	}
	return index, start
}

// loadAt returns the rate at a time in requests a ms, and the share of other zones' traffic that has shifted to a zone.
func (p *Plan) loadAt(now float64) (rate float64, shiftZone int, shiftedShare float64) {
	index, start := p.phaseAt(now)
	phase := &p.Experiment.Phases[index]
	end := p.DurationMS
	if index < len(p.Experiment.Phases)-1 {
		end = start + 1000*phase.DurationS
	}
	done := min(1, (now-start)/max(end-start, 1e-9))
	load := p.phaseLoad(index)
	shiftedShare = load.shiftShare
	if phase.Kind == PhaseShift {
		shiftedShare *= done // traffic shifts linearly, and stays shifted after the phase
	}
	return load.startRate + (load.endRate-load.startRate)*done, load.shiftZone, shiftedShare
}

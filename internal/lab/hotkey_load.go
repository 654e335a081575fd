package lab

// hotKeyNumberBase is the number of the first hot key: far above those that clients draw by their skew.
const hotKeyNumberBase = 1 << 40

// hotKeyAt is the key that a part of all requests is for at a time, as a phase "hot" has it; part 0: none is hot.
func (p *Plan) hotKeyAt(now float64) (share float64, key uint64) {
	phaseIndex, start := p.phaseAt(now)
	phase := &p.Experiment.Phases[phaseIndex]
	if phase.Kind != "hot" {
		return 0, 0
	}
	number := uint64(hotKeyNumberBase + 1000*phaseIndex)
	if phase.KeyChangeS > 0 {
		number += uint64((now - start) / (1000 * phase.KeyChangeS))
	}
	return phase.Share, mixHash(streamArrivals, number) | 1
}

// phaseAt is the phase of a time, and when that began in ms.
func (p *Plan) phaseAt(now float64) (index int, start float64) {
	for index < len(p.Experiment.Phases)-1 && now >= start+1000*p.Experiment.Phases[index].DurationS {
		start += 1000 * p.Experiment.Phases[index].DurationS
		index++
	}
	return index, start
}

// ClientKey is the n-th of the keys that clients draw.
func (p *Plan) ClientKey(n int) uint64 { return mixHash(streamArrivals, uint64(n)) | 1 }

package lab

// hotBase is the number of the first hot key: far above those that clients draw by their skew.
const hotBase = 1 << 40

// hot is the key that a part of all requests is for at a time, as a phase "hot" has it; part 0: none is hot.
func (p *Plan) hot(now float64) (part float64, key uint64) {
	n, start := p.phaseAt(now)
	ph := &p.File.Phases[n]
	if ph.Kind != "hot" {
		return 0, 0
	}
	number := uint64(hotBase + 1000*n)
	if ph.EveryS > 0 {
		number += uint64((now - start) / (1000 * ph.EveryS))
	}
	return ph.Part, hash(streamArrivals, number) | 1
}

// phaseAt is the phase of a time, and when that began in ms.
func (p *Plan) phaseAt(now float64) (n int, start float64) {
	for n < len(p.File.Phases)-1 && now >= start+1000*p.File.Phases[n].ForS {
		start += 1000 * p.File.Phases[n].ForS
		n++
	}
	return n, start
}

// Key is the n-th of the keys that clients draw.
func (p *Plan) Key(n int) uint64 { return hash(streamArrivals, uint64(n)) | 1 }

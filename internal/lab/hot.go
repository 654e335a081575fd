package lab

// hotTime is a time in which a few keys have a part of all requests.
type hotTime struct {
	from, to float64 // ms
	part     float64
	keys     []uint64
}

const (
	maxHot   = 100  // keys that are hot together: more are no few
	maxMoves = 1000 // of the heat in one phase
)

// checkHot checks a phase in which keys are hot.
func (f *File) checkHot(p *PhaseFile, at string, bad badFunc, inside func(string, float64, float64, float64)) {
	if !(p.Part > 0 && p.Part <= 1) {
		bad(at+"part", "a hot phase needs the part of the requests, within 0 to 1")
	}
	inside(at+"hot", float64(p.Hot), 0, maxHot)
	inside(at+"move_s", p.MoveS, 0, maxDurationS)
	long := p.ForS
	if long == 0 {
		long = f.DurationS
	}
	if p.MoveS > 0 && long/p.MoveS > maxMoves {
		bad(at+"move_s", "the heat moves over %d times", maxMoves)
	}
	if f.Clients.Keys < 2*max(p.Hot, 1) {
		bad("clients.keys", "a hot phase needs twice as many keys as are hot")
	}
}

// keyOf is the n-th key of an experiment, by how often it is asked for.
func keyOf(n int) uint64 { return hash(streamArrivals, uint64(n)) | 1 }

// drawHot draws which keys are hot and when. They are of the rarer half.
func (p *Plan) drawHot() {
	start := 0.0
	for i := range p.File.Phases {
		ph := &p.File.Phases[i]
		end := start + 1000*ph.ForS
		if i == len(p.File.Phases)-1 {
			end = p.Duration
		}
		if ph.Kind == "hot" {
			move := 1000 * ph.MoveS
			if move == 0 {
				move = end - start
			}
			for from := start; from < end; from += move {
				h := hotTime{from: from, to: min(from+move, end), part: ph.Part}
				rare := p.File.Clients.Keys / 2
				for k := range max(ph.Hot, 1) {
					n := hash(p.Seed, streamHot, uint64(i), uint64(len(p.hots)), uint64(k)) % uint64(p.File.Clients.Keys-rare)
					h.keys = append(h.keys, keyOf(rare+int(n)))
				}
				p.hots = append(p.hots, h)
			}
		}
		start = end
	}
}

// hot is what is hot at a time, nil: nothing.
func (p *Plan) hot(now float64) *hotTime {
	for i := range p.hots {
		if h := &p.hots[i]; now >= h.from && now < h.to {
			return h
		}
	}
	return nil
}

// HotKeys are all keys that are hot at some time.
func (p *Plan) HotKeys() map[uint64]bool {
	out := map[uint64]bool{}
	for i := range p.hots {
		for _, k := range p.hots[i].keys {
			out[k] = true
		}
	}
	return out
}

// Calm is the experiment without its hot phases: the load is as steady as before them.
func (f *File) Calm() *File {
	calm := *f
	calm.Phases = nil
	for _, ph := range f.Phases {
		if ph.Kind == "hot" {
			ph.Kind, ph.Part, ph.Hot, ph.MoveS = "steady", 0, 0, 0
		}
		calm.Phases = append(calm.Phases, ph)
	}
	return &calm
}

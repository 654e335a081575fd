package lab

// hotTime is a time in which one key has a part of all requests.
type hotTime struct {
	from, to float64 // ms
	key      uint64
}

// maxHotTimes bounds them in one experiment.
const maxHotTimes = 10_000

// hotTimes are all of the plan, in order.
func (p *Plan) hotTimes() []hotTime {
	var out []hotTime
	start := 0.0
	for i := range p.File.Phases {
		ph := &p.File.Phases[i]
		end := min(start+1000*ph.ForS, p.Duration)
		if i == len(p.File.Phases)-1 {
			end = p.Duration
		}
		move := 1000 * ph.EveryS
		if move == 0 {
			move = max(end-start, 1)
		}
		for from := start; ph.Kind == "hot" && from < end && len(out) < maxHotTimes; from += move {
			to := min(from+move, end)
			_, key := p.hot((from + to) / 2)
			out = append(out, hotTime{from, to, key})
		}
		start = end
	}
	return out
}

// HotKeys are all keys that are hot at some time.
func (p *Plan) HotKeys() map[uint64]bool {
	out := map[uint64]bool{}
	for _, h := range p.hotTimes() {
		out[h.key] = true
	}
	return out
}

// Calm is the experiment without its hot phases: the load is as steady as before them.
func (f *File) Calm() *File {
	calm := *f
	calm.Phases = nil
	for _, ph := range f.Phases {
		if ph.Kind == "hot" {
			ph.Kind, ph.Part, ph.EveryS = "steady", 0, 0
		}
		calm.Phases = append(calm.Phases, ph)
	}
	return &calm
}

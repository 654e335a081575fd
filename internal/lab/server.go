package lab

import (
	"math"
	"sync"

	"milldeck/balance"
)

// Job is one attempt as a server sees it.
type Job struct {
	Attempt  int64  // what the caller calls it; 0: work that nobody waits for, as of a handshake or probe
	Request  uint64 // its X-Request-ID
	Class    int
	Key      uint64  // 0: none
	Effect   uint64  // names the effect that it has, which a repeat has again; 0: none
	Work     float64 // ms on a standard core
	Expires  float64 // waiting work is dropped then; 0: never
	Informed bool    // its sender had been told of this server's start
	Tenant   string  // whose it is; "": nobody's
	Fails    bool    // at once, as a harmful version has it
}

// Ending is how a job ended at its server.
type Ending uint8

// The endings.
const (
	Served Ending = iota
	Errored
	Expired // dropped while it waited: it never ran
)

// Ended is the end of a job.
type Ended struct {
	Job
	How    Ending
	Effect bool // it had its effect, and was no repeat
	At     float64
	Took   float64 // ms on a standard core
	Met    bool    // its key was warm here, or it has none
}

const (
	errorWork  = 1.0 // ms that a quick failure or the answer to a repeat takes
	fallSlack  = 1.1 // multiple of the cold budget that counts as overdone: arrivals vary by chance
	chokeBelow = 0.5 // part of its cores that a choked server may use to be idle
	fallParts  = 20  // parts of the window in which the cold budget is counted
)

// Server is the model of one server, the same in both modes. Cores take requests in the order of arrival; a
// request keeps a core for its work over the speed of that moment. It is pure: it knows time only as it is told,
// and the caller asks for Next to know when to call Advance.
type Server struct {
	Plan *ServerPlan

	seed    uint64
	rules   *RulesFile
	stores  Effects
	classes []ClassPlan

	started float64 // of its warm-up
	cold    bool
	fallen  bool

	busy    []ending // a heap by time
	waiting []Job
	warm    map[uint64]float64 // when a key was met last
	order   []warmKey          // the same by age, for forgetting

	crowded float64 // since when too many wait; Inf: not
	choked  float64 // since when it is choked; Inf: not
	idle    float64 // since when it is idle though choked; Inf: not

	pressure [fallParts]pressed

	// What faults make of it, which lasts through its lives: Slow is the factor by which it is slower, at least 1;
	// Errors, Resets and Spoils are the parts of requests that it fails at once, or answers with a broken connection
	// or noise; Silent has it take requests and say nothing. The last three are for whoever sends its answers.
	Slow, Errors, Resets, Spoils float64
	Silent                       bool

	Knows map[uint64]bool // keys that are always warm here; nil: none
}

type ending struct {
	at     float64
	job    Job
	how    Ending
	effect bool
	took   float64
	met    bool
}

type warmKey struct {
	key uint64
	at  float64
}

// pressed is the work that came within one part of the window.
type pressed struct {
	slot           int
	work, informed float64
}

// NewServer makes the model of a server that is up and warm.
func NewServer(p *Plan, n int, stores Effects) *Server {
	s := &Server{
		Plan: &p.Servers[n], seed: hash(p.Seed, streamServers, uint64(n)), rules: &p.File.Rules, stores: stores,
		classes: p.Classes,
	}
	s.Start(0, false)
	return s
}

// Start begins a new life at a time, with nothing of the one before. Faults that it suffers last.
func (s *Server) Start(now float64, cold bool) {
	s.started, s.cold, s.fallen = now, cold, false
	s.busy, s.waiting = s.busy[:0], s.waiting[:0]
	s.warm, s.order = map[uint64]float64{}, nil
	s.crowded, s.choked, s.idle = math.Inf(1), math.Inf(1), math.Inf(1)
	s.pressure = [fallParts]pressed{}
	s.Slow = max(s.Slow, 1)
}

// Suffer begins or ends a fault that makes the server answer badly; other faults are nothing to it.
func (s *Server) Suffer(f *Fault, on bool) {
	part, by := 0.0, 1.0
	if on {
		part, by = f.Part, f.By
	}
	switch f.Kind {
	case Slow:
		s.Slow = by
	case FastErrors:
		s.Errors = part
	case Silent:
		s.Silent = on
	case ResetUnder:
		s.Resets = part
	case Spoilt:
		s.Spoils = part
	}
}

// Fallen tells whether it was pushed over while it was cold; it stays down then.
func (s *Server) Fallen() bool { return s.fallen }

// warmth is the part of its capacity that a server has.
func (s *Server) warmth(now float64) float64 {
	if !s.cold || now >= s.started+s.Plan.ColdMS {
		return 1
	}
	from := s.Plan.Kind.ColdFrom
	return from + (1-from)*(now-s.started)/s.Plan.ColdMS
}

// IsCold tells whether it is still warming up.
func (s *Server) IsCold(now float64) bool { return s.cold && now < s.started+s.Plan.ColdMS }

// speed is that of a core now.
func (s *Server) speed(now float64) float64 {
	v := s.Plan.Speed * s.warmth(now) / s.Slow
	if now >= s.choked {
		v /= s.Plan.Kind.ChokeSlower
	}
	return v
}

// Fall is how a cold server was pushed over.
type Fall struct {
	Work, Budget float64 // ms of standard work within the window, and what it could bear
	Informed     float64 // part of the work whose senders had been told of its start
}

// Offer brings a request. It reports whether the server takes it: a full queue turns it away. A request that
// pushes a cold server over is lost with all that it held, and the fall is returned.
func (s *Server) Offer(now float64, j Job) (taken bool, fall *Fall) {
	if fall := s.press(now, j); fall != nil {
		s.fallen = true
		s.busy, s.waiting = s.busy[:0], s.waiting[:0]
		return false, fall
	}
	if len(s.busy) < s.Plan.Kind.Cores {
		s.run(now, j)
		s.mood(now)
		return true, nil
	}
	if j.Attempt != 0 && len(s.waiting) >= s.Plan.Kind.Queue {
		return false, nil
	}
	s.waiting = append(s.waiting, j)
	s.mood(now)
	return true, nil
}

// press counts the work that a cold server is sent, whether it takes it or not.
func (s *Server) press(now float64, j Job) *Fall {
	if !s.IsCold(now) || s.rules.FallMS <= 0 {
		return nil
	}
	part := s.rules.FallMS / fallParts
	slot := int(now / part)
	at := &s.pressure[slot%fallParts]
	if at.slot != slot {
		*at = pressed{slot: slot}
	}
	at.work += j.Work
	if j.Informed {
		at.informed += j.Work
	}
	work, informed := 0.0, 0.0
	for _, p := range s.pressure {
		if p.slot > slot-fallParts {
			work += p.work
			informed += p.informed
		}
	}
	capacity := s.Plan.Speed * s.warmth(now) * float64(s.Plan.Kind.Cores)
	budget := s.rules.FallMultiple * capacity * s.rules.FallMS * fallSlack
	if work <= budget {
		return nil
	}
	return &Fall{work, budget, informed / work}
}

// run gives a job a core.
func (s *Server) run(now float64, j Job) {
	e := ending{job: j, met: true}
	work := j.Work
	fails := chance(s.seed, j.Request, uint64(j.Attempt))
	switch {
	case j.Attempt == 0:
	case j.Fails || fails < s.Errors:
		e.how, work = Errored, errorWork
	case s.classes[j.Class].Effect == balance.IdempotentWithKey && s.stores.Seen(now, s.Plan, &s.classes[j.Class], j.Class, j.Effect):
		work = errorWork // the answer to a repeat is at hand
	default:
		if fails < s.Errors+s.Plan.Kind.ErrorRate {
			e.how = Errored // it runs whole and fails at the end
		}
		e.effect = true
		if j.Key != 0 && s.Plan.Kind.WarmGain > 0 {
			if e.met = s.meet(now, j.Key); e.met {
				work *= 1 - s.Plan.Kind.WarmGain
			}
		}
	}
	e.took = work
	e.at = now + work/s.speed(now)
	s.push(e)
}

// meet remembers a key and tells whether it was met lately.
func (s *Server) meet(now float64, key uint64) bool {
	k := s.Plan.Kind
	for len(s.order) > 0 && (now > s.order[0].at+k.WarmMS || len(s.order) > 2*max(k.WarmKeys, 1)) {
		s.drop()
	}
	if s.Knows[key] {
		return true
	}
	at, known := s.warm[key]
	s.warm[key] = now
	s.order = append(s.order, warmKey{key, now})
	for len(s.warm) > max(k.WarmKeys, 1) {
		s.drop()
	}
	return known && now <= at+k.WarmMS
}

// drop forgets the oldest entry; a key met again since has a younger one.
func (s *Server) drop() {
	old := s.order[0]
	s.order = s.order[1:]
	if s.warm[old.key] == old.at {
		delete(s.warm, old.key)
	}
}

// Next is when something happens by itself; Inf: nothing does.
func (s *Server) Next() float64 {
	if len(s.busy) == 0 {
		return math.Inf(1)
	}
	return s.busy[0].at
}

// Advance lets time pass and hands on what ended up to now, in order.
func (s *Server) Advance(now float64, ended func(Ended)) {
	for len(s.busy) > 0 && s.busy[0].at <= now {
		e := s.pop()
		at := e.at
		for len(s.waiting) > 0 && len(s.busy) < s.Plan.Kind.Cores {
			j := s.waiting[0]
			s.waiting = s.waiting[1:]
			if j.Expires > 0 && at >= j.Expires {
				ended(Ended{Job: j, How: Expired, At: at})
				continue
			}
			s.run(at, j)
		}
		s.mood(at)
		if e.job.Attempt != 0 {
			ended(Ended{Job: e.job, How: e.how, Effect: e.effect, At: at, Took: e.took, Met: e.met})
		}
	}
	s.mood(now)
}

// Drop gives waiting work up, as a caller that went away; what runs runs on.
func (s *Server) Drop(now float64, attempt int64) (dropped bool) {
	for i := range s.waiting {
		if s.waiting[i].Attempt == attempt {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			dropped = true
			break
		}
	}
	s.mood(now)
	return dropped
}

// Load is how many requests it holds.
func (s *Server) Load() int { return len(s.busy) + len(s.waiting) }

// Choked tells whether too much waiting work has slowed it down.
func (s *Server) Choked(now float64) bool { return now >= s.choked }

// mood follows whether it is crowded, choked or idle again.
func (s *Server) mood(now float64) {
	k := s.Plan.Kind
	if k.ChokeAt == 0 {
		return
	}
	if now >= s.choked {
		if float64(len(s.busy)) > chokeBelow*float64(k.Cores) || len(s.waiting) > 0 {
			s.idle = math.Inf(1)
		} else if math.IsInf(s.idle, 1) {
			s.idle = now
		}
		if now >= s.idle+k.ChokeIdleMS || now >= s.choked+k.ChokeMostMS && k.ChokeMostMS > 0 {
			s.choked, s.crowded = math.Inf(1), math.Inf(1)
		}
		return
	}
	if float64(len(s.waiting)) <= k.ChokeAt*float64(k.Cores) {
		s.crowded = math.Inf(1)
	} else if math.IsInf(s.crowded, 1) {
		s.crowded = now
	}
	if now >= s.crowded+k.ChokeForMS {
		s.choked, s.idle = now, math.Inf(1)
	}
}

func (s *Server) push(e ending) {
	s.busy = append(s.busy, e)
	for i := len(s.busy) - 1; i > 0; {
		up := (i - 1) / 2
		if s.busy[up].at <= s.busy[i].at {
			break
		}
		s.busy[up], s.busy[i] = s.busy[i], s.busy[up]
		i = up
	}
}

func (s *Server) pop() ending {
	top := s.busy[0]
	last := len(s.busy) - 1
	s.busy[0] = s.busy[last]
	s.busy = s.busy[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			break
		}
		if c+1 < last && s.busy[c+1].at < s.busy[c].at {
			c++
		}
		if s.busy[i].at <= s.busy[c].at {
			break
		}
		s.busy[i], s.busy[c] = s.busy[c], s.busy[i]
		i = c
	}
	return top
}

// Effects is what a server asks for the effects that its group has had; Stores is it where all servers are in one
// process.
type Effects interface {
	Seen(now float64, s *ServerPlan, class *ClassPlan, number int, effect uint64) bool
}

// Stores is what groups of servers remember of the effects that they had, each for the window of its class.
// Servers use them concurrently.
type Stores struct {
	mu sync.Mutex
	of map[storeKey]*store
}

type storeKey struct {
	class, group int
}

type store struct {
	at    map[uint64]float64
	order []warmKey
}

// NewStores makes empty ones.
func NewStores() *Stores { return &Stores{of: map[storeKey]*store{}} }

// Seen tells whether the group of a server has had an effect within the window, and remembers it. The number is the
// class's.
func (m *Stores) Seen(now float64, s *ServerPlan, class *ClassPlan, number int, effect uint64) bool {
	key := storeKey{class: number}
	switch class.ClassFile.Group {
	case "zone":
		key.group = s.Zone
	case "pod":
		key.group = s.Pod
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.of[key]
	if st == nil {
		st = &store{at: map[uint64]float64{}}
		m.of[key] = st
	}
	for len(st.order) > 0 && now > st.order[0].at+class.WindowMS {
		delete(st.at, st.order[0].key)
		st.order = st.order[1:]
	}
	if _, known := st.at[effect]; known {
		return true
	}
	st.at[effect] = now
	st.order = append(st.order, warmKey{effect, now})
	return false
}

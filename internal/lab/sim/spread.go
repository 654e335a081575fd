package sim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"milldeck/balance"
	"milldeck/internal/hotkey"
	"milldeck/internal/hotkey/topk"
	"milldeck/internal/lab"
	"milldeck/internal/placement"
)

const (
	unixZero = 1e9  // s of Unix time at which the virtual clock starts, for what counts by it
	heatKeys = 64   // that a sidecar counts at a time, as the real one does
	lookMS   = 1000 // between two looks of who decides at the list
	chokeMS  = 100  // between two counts of choked servers
	lies     = 8    // keys that a lying sidecar reports, each with as much as it met of all
)

// spreader is what stands between sidecars and the decider of spread keys: reports, the placement and its ways.
type spreader struct {
	e     *engine
	file  *lab.SpreaderFile
	cfg   hotkey.Config
	judge *lab.SpreadJudge
	rng   *rand.Rand // of reports and placement: it moves no other chance
	hot   map[uint64]bool

	decider *hotkey.Planner // nil: nobody decides
	writing bool
	rev     uint64
	entries map[string]placement.Directive
	told    balance.Placement // all entries, as sidecars get them
	cars    []car             // by sidecar

	lost  []float64 // parts of the reports that are lost now
	lying map[int]bool
}

// car is what the sidecar's program keeps beside the module.
type car struct {
	heat *topk.Sketch
	rev  uint64
	due  bool // the placement is on its way
}

func newSpreader(e *engine) (*spreader, error) {
	p := e.plan
	s := &spreader{
		e: e, file: p.File.Spread, judge: lab.NewSpreadJudge(p, e.judge), rng: rand.New(rand.NewPCG(p.Seed, 98)),
		hot: p.HotKeys(), entries: map[string]placement.Directive{}, cars: make([]car, len(p.Sidecars)), lying: map[int]bool{},
	}
	bear, work := s.file.Bear, s.file.WorkMS
	if bear == 0 {
		bear = p.MeanBear()
	}
	if work == 0 {
		work = p.MeanWork()
	}
	s.cfg = hotkey.DefaultConfig(bear, work)
	if s.file.Budget > 0 {
		s.cfg.WarmupBudget = s.file.Budget
	}
	if s.file.Copies > 0 {
		s.cfg.ReplicasPerServer = s.file.Copies
	}
	if s.file.Keys > 0 {
		s.cfg.MaxKeys = s.file.Keys
	}
	if s.file.Oracle {
		for _, h := range e.hosts {
			h.model.Knows = s.hot
		}
	}
	return s, s.cfg.Validate()
}

// begin starts what goes on by itself.
func (s *spreader) begin() {
	s.each(chokeMS, chokeMS, func(float64) { s.countChoked() })
	s.each(0, lookMS, func(now float64) { s.look(now) })
	if !s.file.On {
		return
	}
	s.takeOver(0)
	for n := range s.cars {
		s.each(s.rng.Float64()*s.file.ReportMS, s.file.ReportMS, func(now float64) { s.report(now, n) })
	}
	s.each(s.file.StepMS, s.file.StepMS, s.decide)
}

// each does something again and again, first at a time.
func (s *spreader) each(first, every float64, do func(now float64)) {
	s.e.at(first, func(now float64) {
		do(now)
		s.each(first+every, every, do)
	})
}

func (s *spreader) draw(r lab.Range) float64 { return r.Least + (r.Most-r.Least)*s.rng.Float64() }

// unix is a time of the run in seconds of Unix time.
func unix(now float64) float64 { return unixZero + now/1000 }

func (s *spreader) countChoked() {
	n := 0
	for _, h := range s.e.hosts {
		if h.up && h.model.Choked(s.e.now) {
			n++
		}
	}
	s.judge.Choked(n, chokeMS)
}

// takeOver begins a decider, which goes on from the placement.
func (s *spreader) takeOver(now float64) {
	d, err := hotkey.NewPlanner(s.cfg)
	if err != nil {
		panic(err) // its settings were checked
	}
	s.decider = d
	s.look(now)
	d.SetExpectedSidecars(len(s.cars))
	var entries []placement.Directive
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		entries = append(entries, s.entries[id])
	}
	d.Restore(unix(now), entries)
}

// look tells the decider of the list, and drops entries that are over.
func (s *spreader) look(now float64) {
	coldFor, ready := 0.0, 0
	for i := range s.e.plan.File.Servers {
		coldFor = max(coldFor, 1000*s.e.plan.File.Servers[i].ColdS.Most)
	}
	var list []hotkey.Server
	for _, h := range s.e.hosts {
		if h.plan.Born > now {
			continue
		}
		if h.listed {
			ready++
		}
		list = append(list, hotkey.Server{
			UID: h.plan.UID, Zone: strconv.Itoa(h.plan.Zone), Pod: h.plan.Pod, Capacity: 1, BootMS: unixZero*1000 + h.boot,
			Ready: h.listed, WarmingUp: h.boot > 0 && now < h.boot+coldFor,
		})
	}
	s.judge.Ready(ready)
	if s.decider != nil {
		s.decider.SetServers(list)
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[id]; float64(e.ExpiresAtMS) <= 1000*unix(now) {
			delete(s.entries, id)
			s.judge.Placed(now, keyOf(&e), nil)
		}
	}
}

func keyOf(e *placement.Directive) uint64 {
	key, _ := strconv.ParseUint(e.KeyHash, 16, 64) // the decider wrote it
	return key
}

// started: a sidecar begins a life; its agent has the placement at hand.
func (s *spreader) started(n *node) {
	s.cars[n.n] = car{heat: topk.New(heatKeys, s.cfg.HalfLife)}
	if s.rev > 0 {
		s.send(n)
	}
}

// asked: a sidecar gets a request. With the oracle a hot key keeps to no servers.
func (s *spreader) asked(now float64, n *node, r *balance.Request) {
	if s.file.Oracle && s.hot[r.Key] {
		r.Key = 0
	}
	if r.Key != 0 && s.file.On {
		s.cars[n.n].heat.Add(now/1000, r.Key, r.ExpectedWork)
	}
}

// report has a sidecar report. One that stands still says nothing.
func (s *spreader) report(now float64, at int) {
	n, c := s.e.nodes[at], &s.cars[at]
	if !n.up || n.frozen {
		return
	}
	top := c.heat.Top(now/1000, placement.MaxHotKeys)
	r := &placement.LoadReport{Sidecar: n.plan.Name, PlacementRevision: c.rev, IntervalMS: s.file.ReportMS, TotalKeyLoad: top.Total}
	for _, f := range top.Keys {
		r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: hotkey.FormatKey(f.Key), Load: f.Load, ErrorBound: f.Error})
	}
	if s.lying[at] {
		r.HotKeys = nil
		for k := range lies {
			r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: hotkey.FormatKey(uint64(k + 1)), Load: top.Total})
		}
		r.TotalKeyLoad = lies * top.Total
	}
	for _, part := range s.lost {
		if s.rng.Float64() < part {
			return
		}
	}
	s.e.at(now+s.draw(s.file.TellMS), func(now float64) {
		if s.decider != nil {
			s.decider.AddReport(unix(now), r)
		}
	})
}

// decide has the decider decide and its changes written; meanwhile it waits.
func (s *spreader) decide(now float64) {
	if s.decider == nil || s.writing {
		return
	}
	effects := s.decider.Plan(unix(now))
	if len(effects) == 0 {
		return
	}
	s.writing = true
	by := s.decider
	s.e.at(now+s.draw(s.file.WriteMS), func(now float64) {
		s.writing = false
		s.write(now, by, effects)
	})
}

func (s *spreader) write(now float64, by *hotkey.Planner, effects []hotkey.Change) {
	s.rev++
	for _, f := range effects {
		id := f.RemoveID
		if f.Set != nil {
			id = f.Set.ID
			e := *f.Set
			e.Revision = s.rev
			s.entries[id] = e
			shares := map[int]float64{}
			for _, c := range e.Copies {
				if h := s.e.byID[serverID(c.ServerUID)]; h != nil {
					shares[h.n] = c.LoadFraction
				}
			}
			s.judge.Placed(now, keyOf(&e), shares)
		} else if e, is := s.entries[id]; is {
			delete(s.entries, id)
			s.judge.Placed(now, keyOf(&e), nil)
		}
		by.Confirm(id, s.rev)
	}
	s.judge.Written(now)
	s.told = balance.Placement{}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[id]
		one := balance.HotKey{Key: keyOf(&e), ExpiresAt: float64(e.ExpiresAtMS) - 1000*unixZero}
		for _, c := range e.Copies {
			one.Replicas = append(one.Replicas, balance.Replica{Server: serverID(c.ServerUID), LoadFraction: c.LoadFraction})
		}
		s.told.HotKeys = append(s.told.HotKeys, one)
	}
	for _, n := range s.e.nodes {
		s.send(n)
	}
}

// send has a sidecar get the placement as it is when it comes there.
func (s *spreader) send(n *node) {
	c, life := &s.cars[n.n], n.life
	if !n.up || c.due {
		return
	}
	c.due = true
	s.e.at(s.e.now+s.draw(s.file.PlaceMS), func(float64) {
		if n.life == life {
			c.due, c.rev = false, s.rev
			n.deliver(s.told)
		}
	})
}

// fault begins or ends one of the spreader's.
func (s *spreader) fault(now float64, f *lab.Fault, on bool) {
	switch f.Kind {
	case lab.DeciderDown:
		if s.decider = nil; !on {
			s.takeOver(now)
		}
	case lab.ReportsLost:
		if on {
			s.lost = append(s.lost, f.Part)
		} else if i := slices.Index(s.lost, f.Part); i >= 0 {
			s.lost = slices.Delete(s.lost, i, i+1)
		}
	case lab.ReportsLie:
		for _, n := range f.Sidecars {
			s.lying[n] = on
		}
	}
}

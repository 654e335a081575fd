package spread

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"milldeck/internal/placement"
	"milldeck/internal/spread/summary"
)

const (
	tick     = 0.05 // s
	testBear = 1000 // ms/s
	testWork = 50   // ms
	sidecars = 300
	servers  = 300
	start    = 1e9 // s, Unix time of the virtual clock
)

// world is a fleet of sidecars that meet thinned Poisson traffic, a placement and a decider, on a virtual clock.
type world struct {
	t    *testing.T
	rnd  *rand.Rand
	cfg  Config
	d    *Decider
	now  float64 // s since the start
	cars []*car
	list []Server

	load  float64                    // requests a second, of the fleet
	draw  func() uint64              // the key of a request that is not for a hot one
	hot   map[uint64]float64         // parts of all requests
	lost  float64                    // part of the reports that are lost
	twist func(r *placement.Report)  // what nonsense the first sidecar reports; nil: none
	plant func(r *placement.Report)  // a planted bug: what the decider makes of each report
	dead  bool                       // there is no decider
	every float64                    // s between decisions
	rev   uint64                     // of the placement
	table map[string]placement.Entry // in force

	answered map[[2]string]float64 // requests of a key (entry id, server) in the mean since its copy was told
	firsts   int                   // copies that were told
	early    int                   // copies that were told a share before they had answered half of what they should have
	extra    float64               // ms of extra cold work that copies really had
	started  float64               // ms of it that was decided
	overrun  bool                  // more of either than the budget allowed since the start
	widened  map[uint64]int        // times that a key was told first
}

type car struct {
	name  string
	sum   *summary.Summary
	next  float64 // s: its next report
	sees  uint64  // revision in force
	table map[string]placement.Entry
	due   float64 // s: when it has the placement as it is now
}

func newWorld(t *testing.T, seed uint64, cfg Config) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, load: 3000, hot: map[uint64]float64{}, every: 0.25,
		table: map[string]placement.Entry{}, answered: map[[2]string]float64{}, widened: map[uint64]int{}}
	w.draw = func() uint64 { return 1<<32 + w.rnd.Uint64N(10_000) }
	for i := range sidecars {
		w.cars = append(w.cars, &car{name: fmt.Sprint("sidecar-", i), sum: summary.New(64, cfg.Half), next: w.rnd.Float64()})
	}
	for i := range servers {
		w.list = append(w.list, Server{UID: fmt.Sprint("server-", i), Zone: fmt.Sprint("z", i%3), Pod: i / 4, Capacity: 1, Ready: true})
	}
	w.decider()
	return w
}

func testConfig() Config { return Default(testBear, testWork, servers) }

// decider begins a new decider, which takes the table over.
func (w *world) decider() {
	w.d = &Decider{cfg: w.cfg, fleet: newFleet(w.cfg.Bear), heat: newHeat(w.cfg.Half, w.cfg.Work),
		keys: map[uint64]*spreadKey{}, gone: map[string]bool{}} // as New, but planted settings pass
	w.d.Sidecars(sidecars)
	w.d.Servers(w.list)
	var es []placement.Entry
	for _, id := range w.ids() {
		es = append(es, w.table[id])
	}
	w.d.Resume(start+w.now, es)
	w.dead = false
}

func (w *world) ids() []string {
	var ids []string
	for id := range w.table {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// run plays until done says so or for some seconds, and returns how long it took.
func (w *world) run(seconds float64, done func() bool) float64 {
	from := w.now
	for w.now < from+seconds-tick/2 {
		w.step()
		if done != nil && done() {
			break
		}
	}
	return w.now - from
}

func (w *world) step() {
	before := w.now
	w.now += tick
	for _, c := range w.cars {
		if w.now >= c.due {
			c.due, c.sees, c.table = math.Inf(1), w.rev, w.table
		}
		for range w.poisson(w.load / sidecars * tick) {
			w.request(c)
		}
		if w.now >= c.next {
			c.next++
			w.report(c)
		}
	}
	for id, e := range w.table {
		if float64(e.UntilMS) < (start+w.now)*1000 {
			w.change(func(t map[string]placement.Entry) { delete(t, id) })
		}
	}
	if !w.dead && math.Floor(w.now/w.every) > math.Floor(before/w.every) {
		w.decide()
	}
	if most := w.cfg.Budget * (w.now + 1); w.extra > most || w.started > most {
		w.overrun = true
	}
}

func (w *world) poisson(mean float64) int {
	n, p := 0, w.rnd.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= w.rnd.Float64()
	}
	return n
}

func (w *world) request(c *car) {
	key, u := w.draw(), w.rnd.Float64()
	for _, k := range sortedKeys(w.hot) {
		if u -= w.hot[k]; u < 0 {
			key = k
			break
		}
	}
	c.sum.Add(w.now, key, testWork*(0.5+w.rnd.Float64()))
	e, ok := c.table[ID(key)]
	if !ok {
		return
	}
	little := trickle(&w.cfg, e.Copies)
	for _, copied := range e.Copies { // in the mean, so that what is asserted is no matter of chance
		at := [2]string{e.ID, copied.UID}
		n, told := w.answered[at]
		if !told {
			continue
		}
		p := copied.Share
		if p == 0 {
			p = little
		}
		w.answered[at] += p
		w.extra += math.Max(math.Min(n+p, 3)-n, 0) * testWork // the first three answers are cold
	}
}

func (w *world) report(c *car) {
	p := c.sum.Top(w.now, placement.MaxHeat)
	r := placement.Report{Name: c.name, Rev: c.sees, SpanMS: 1000, HeatAll: p.All}
	for _, f := range p.Figures {
		r.Heat = append(r.Heat, placement.Heat{Key: Name(f.Key), Load: f.Load, Error: f.Error})
	}
	if c == w.cars[0] && w.twist != nil {
		w.twist(&r)
	}
	if w.plant != nil {
		w.plant(&r)
	}
	if w.rnd.Float64() >= w.lost && !w.dead {
		w.d.Report(start+w.now, &r)
	}
}

func (w *world) change(do func(map[string]placement.Entry)) {
	next := map[string]placement.Entry{}
	for id, e := range w.table {
		next[id] = e
	}
	do(next)
	w.table = next
	w.rev++
	for _, c := range w.cars {
		if math.IsInf(c.due, 1) || c.due == 0 {
			c.due = w.now + 0.02 + 0.1*w.rnd.Float64() // log, watch, agent
		}
	}
}

func (w *world) decide() {
	for _, f := range w.d.Decide(start + w.now) {
		if f.Put == nil {
			w.change(func(t map[string]placement.Entry) { delete(t, f.Drop) })
			w.d.Wrote(f.Drop, w.rev)
			continue
		}
		old, was := w.table[f.Put.ID]
		if !was {
			k := f.Put.Key
			var key uint64
			fmt.Sscanf(k, "%x", &key)
			w.widened[key]++
		}
		for _, c := range f.Put.Copies {
			at := [2]string{f.Put.ID, c.UID}
			if !slices.ContainsFunc(old.Copies, func(o placement.Copy) bool { return o.UID == c.UID }) {
				w.answered[at] = 0
				w.firsts++
				w.started += w.cfg.ColdWork
				if c.Share > 0 {
					w.early++
				}
			} else if c.Share > 0 && w.answered[at] < testConfig().Warm/2 {
				w.early++
				w.answered[at] = math.Inf(1)
			}
		}
		w.change(func(t map[string]placement.Entry) {
			e := *f.Put
			e.Rev = w.rev + 1
			t[e.ID] = e
		})
		w.d.Wrote(f.Put.ID, w.rev)
	}
}

// carried is the part of a key's load that copies carry by the placement in force.
func (w *world) carried(key uint64) (part float64, copies int) {
	for _, c := range w.table[ID(key)].Copies {
		part += c.Share
		if c.Share > 0 {
			copies++
		}
	}
	return part, copies
}

func (w *world) has(uid string) bool {
	for _, e := range w.table {
		for _, c := range e.Copies {
			if c.UID == uid {
				return true
			}
		}
	}
	return false
}

func sortedKeys(m map[uint64]float64) []uint64 {
	var out []uint64
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

package spread

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"milldeck/internal/placement"
)

const (
	// slack is what a key that is widened gets beyond what its heat needs, as loads vary.
	slack = 1.15
	// narrowStep is the part of a key's copies that one step gives up.
	narrowStep = 0.25
	// coolPart is the part of what widens a key under which its copies are given up early, where another needs them.
	coolPart = 0.25
	// leastCopies may be there in the smallest fleet.
	leastCopies = 4.0
	// widest is how many copies of a key are begun for its heat. What stands in for servers that leave needs the rest
	// up to placement.MaxCopies.
	widest = 56
	// doubtFor is the s for which a key is kept wide only because it might be just under what reports list.
	doubtFor = 10.0
	// wait is the s after the first report in which nothing is widened: each sidecar is to be heard first.
	wait = 1.2
)

// Effect is a change of the placement: an entry to be put, or the id of one to be dropped.
type Effect struct {
	Put  *placement.Directive
	Drop string
}

// Decider decides what is spread. It is not safe for use by several goroutines.
type Decider struct {
	cfg   Config
	fleet fleet
	heat  heat
	keys  map[uint64]*spreadKey
	gone  map[string]bool          // ids whose entries are to be dropped and are not known to be
	now   float64                  // of the last decision
	first float64                  // of the first report; 0: there was none
	cold  float64                  // ms of extra cold work that may be caused now
	start float64                  // copies that may be started now
	bound func(key uint64) float64 // the heat by which keys are widened: the safe one, which tests replace by others
}

// New returns a Decider with an empty table. It may cause no cold work yet: a row of deciders that fail one after the
// other keeps the budget too.
func New(cfg Config) (*Decider, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return newDecider(cfg), nil
}

func newDecider(cfg Config) *Decider {
	d := &Decider{cfg: cfg, fleet: newFleet(cfg.Bear), heat: newHeat(cfg.Half, cfg.Work),
		keys: map[uint64]*spreadKey{}, gone: map[string]bool{}}
	d.bound = d.heat.low
	return d
}

// Servers takes the whole list of servers. Copies on those that are gone, not ready, kept off or have restarted end.
func (d *Decider) Servers(list []Server) {
	boots := map[string]float64{}
	for i := range d.fleet.servers {
		boots[d.fleet.servers[i].UID] = d.fleet.servers[i].Boot
	}
	d.fleet.set(list)
	for _, k := range d.keys {
		k.copies = slices.DeleteFunc(k.copies, func(c *copyOf) bool {
			i, ok := d.fleet.at[c.uid]
			return !ok || !d.fleet.usable(i) || d.fleet.servers[i].Boot != boots[c.uid]
		})
	}
}

// Sidecars says how many sidecars there are, as far as that is known; reports tell of more.
func (d *Decider) Sidecars(n int) { d.heat.expected = n }

// Report takes a sidecar's report; false: it is nonsense or one too many, and counts as lost. It shows what copies have
// answered: a sidecar that follows an entry sends them their parts of what it reports of the key.
func (d *Decider) Report(now float64, r *placement.LoadReport) bool {
	before := d.heat.reporters[r.Sidecar]
	if !d.heat.take(now, r) {
		return false
	}
	if d.first == 0 {
		d.first = now
	}
	if before == nil {
		return true // how long it has counted is not known
	}
	this := d.heat.reporters[r.Sidecar]
	for _, l := range this.heat {
		k := d.keys[l.key]
		if k == nil || slices.Contains(r.SuspendedDirectives, ID(l.key)) {
			continue
		}
		k.note(shown{r.Sidecar, this.work(before, l, d.heat.half) / d.cfg.Work, before.rev, this.rev})
	}
	return true
}

// Resume takes over the table that a predecessor left in the placement, after Servers. Copies carry what they carried
// and not more before they have shown again that they can; those that were warming begin anew.
func (d *Decider) Resume(now float64, entries []placement.Directive) {
	for i := range entries {
		e := &entries[i]
		key, err := strconv.ParseUint(e.KeyHash, 16, 64)
		if e.Kind != placement.KindSpreadKey || err != nil || e.ID != ID(key) || float64(e.ExpiresAtMS) <= now*1000 || len(d.keys) >= d.cfg.MaxKeys {
			continue
		}
		k := &spreadKey{key: key, narrowAt: now + d.cfg.Hold, told: *e, until: float64(e.ExpiresAtMS) / 1000}
		given, carry, little := 0.0, 0, trickle(&d.cfg, e.Copies)
		for _, c := range e.Copies {
			i, ok := d.fleet.at[c.ServerUID]
			if !(c.LoadFraction >= 0 && c.LoadFraction <= 1) || k.find(c.ServerUID) != nil || !ok || !d.fleet.usable(i) {
				continue
			}
			if given += c.LoadFraction; c.LoadFraction > 0 {
				carry++
			}
			k.copies = append(k.copies, &copyOf{uid: c.ServerUID, rev: e.Revision, part: max(c.LoadFraction, little), since: now, base: c.LoadFraction})
		}
		own, rest := k.ownBears(&d.fleet), 1-math.Min(d.cfg.Trickles, d.cfg.Trickle*float64(k.count(Warming)-carry))
		for _, c := range k.copies {
			if c.base == 0 {
				continue
			}
			share := c.base
			c.stage, c.base = Carrying, 1
			if given < rest && own > 0 { // as entry makes shares of what copies carry
				c.base = math.Min(share*own/(rest-given)/d.fleet.bears(d.fleet.at[c.uid]), 1)
			}
		}
		d.keys[key] = k
	}
}

// Wrote says that the effect about an id, of the last decision, is in force from a revision on. An effect of which that
// is not said is decided again.
func (d *Decider) Wrote(id string, rev uint64) {
	delete(d.gone, id)
	for _, k := range d.keys {
		if k.told.ID != id {
			continue
		}
		k.unsure = false
		little := trickle(&d.cfg, k.told.Copies)
		for _, told := range k.told.Copies {
			if c := k.find(told.ServerUID); c != nil {
				if c.part = told.LoadFraction; c.part == 0 {
					c.part = little
				}
				if c.rev == 0 {
					c.rev = rev
				}
			}
		}
	}
}

// sorted returns the keys of the table in a fixed order.
func (d *Decider) sorted() []*spreadKey {
	out := make([]*spreadKey, 0, len(d.keys))
	for _, key := range slices.Sorted(maps.Keys(d.keys)) {
		out = append(out, d.keys[key])
	}
	return out
}

// Decide returns what is to change. It is called a few times a second, with a time that does not run back.
func (d *Decider) Decide(now float64) []Effect {
	dt := math.Min(math.Max(now-d.now, 0), 1)
	if d.now == 0 {
		dt = 0
	}
	d.now = now
	budget := math.Max(d.cfg.Budget*d.fleet.all, d.cfg.Least)
	d.cold = math.Min(d.cold+dt*budget, math.Max(budget, d.cfg.ColdWork))
	d.start = math.Min(d.start+dt*d.mostCopies(), math.Max(d.mostCopies(), 1))
	d.heat.merge(now)
	for _, k := range d.sorted() {
		k.credit(&d.fleet, d.heat.witnesses())
		k.tend(&d.cfg, now)
	}
	if d.first > 0 && now >= d.first+wait {
		d.find(now)
	}
	for _, k := range d.sorted() {
		d.measure(k)
		d.leave(k, now)
		d.narrow(k, now)
	}
	d.widen(now)
	return d.tell(now)
}

// room is the part of what a server bears that a key may fill beside all the rest: most by what is surely there, least
// by what may be. A key is too hot for its servers by the one; there is room elsewhere by the other.
func (d *Decider) room(low float64) (most, least float64) {
	if d.fleet.all == 0 {
		return 0, 0
	}
	return d.cfg.Full - math.Max(d.heat.seen-low, 0)/d.fleet.all, d.cfg.Full - math.Max(d.heat.all-low, 0)/d.fleet.all
}

// find takes keys into the table whose least heat is more than their own servers have room for.
func (d *Decider) find(now float64) {
	for _, key := range d.heat.keys { // the hottest first
		low := d.bound(key)
		room, least := d.room(low)
		if d.keys[key] != nil {
			continue
		}
		if len(d.keys) >= d.cfg.MaxKeys {
			return
		}
		if d.heat.sum(key).low <= d.cfg.MinRoom*d.fleet.bear { // one server bears it, and all after it
			return
		}
		k := &spreadKey{key: key}
		if least >= d.cfg.MinRoom && low > k.ownBears(&d.fleet)*room {
			k.narrowAt = now + d.cfg.Hold
			d.keys[key] = k
		}
	}
}

// measure brings up to date what a key needs. As the least heat goes up fast and its servers are shared, it only grows
// beyond what there is where that is too little by the least figure.
func (d *Decider) measure(k *spreadKey) {
	k.low = d.bound(k.key)
	k.room, k.least = d.room(k.low)
	_, all := k.bears(&d.fleet, &d.cfg)
	have := k.ownBears(&d.fleet) + all
	k.need = k.keep
	if k.least >= d.cfg.MinRoom && k.low > have*k.room {
		k.need = math.Max(k.need, math.Min(slack*k.low/k.room, d.fleet.all))
	}
}

// narrow gives copies up where the most that the heat can be is far less than what they have room for.
func (d *Decider) narrow(k *spreadKey, now float64) {
	room := math.Max(k.least, d.cfg.MinRoom)
	carrying, _ := k.bears(&d.fleet, &d.cfg)
	own := k.ownBears(&d.fleet)
	var live []*copyOf
	for _, c := range k.copies {
		if c.stage != Cooling && !d.fleet.leaving[c.uid] {
			live = append(live, c)
		}
	}
	step := int(math.Ceil(narrowStep * float64(len(live))))
	if step == 0 || k.keep > 0 {
		return
	}
	left := own + carrying
	for _, c := range live[len(live)-step:] {
		if c.stage == Carrying {
			left -= d.fleet.bears(d.fleet.at[c.uid]) * c.ramp(&d.cfg, now)
		}
	}
	fits := func(high float64) bool { return high <= d.cfg.NarrowAt*room*left }
	if !fits(d.heat.high(k.key, false)) {
		k.doubtAt = 0
		return
	}
	if !fits(d.heat.high(k.key, true)) {
		if k.doubtAt == 0 {
			k.doubtAt = now
		}
		if now-k.doubtAt < doubtFor {
			return
		}
	} else {
		k.doubtAt = 0
	}
	short := float64(d.copies()) >= d.mostCopies() && k.low < coolPart*room*own
	if now < k.narrowAt && !short {
		return
	}
	for _, c := range live[len(live)-step:] {
		if c.stage == Warming {
			k.drop(c.uid)
		} else {
			c.stage, c.giveUp = Cooling, now
		}
	}
	k.narrowAt = math.Max(k.narrowAt, now+d.cfg.NarrowEvery)
}

// mostCopies is how many copies there may be, and how many may be begun a second.
func (d *Decider) mostCopies() float64 {
	return math.Max(d.cfg.Copies*float64(d.fleet.ready), leastCopies)
}

// copies counts all, also those that cool: they are in the placement, and where heat moves on there are many.
func (d *Decider) copies() int {
	n := 0
	for _, k := range d.keys {
		n += len(k.copies)
	}
	return n
}

// tell returns the entries that changed, are not known to be in force, or whose end is near, and those to be dropped.
func (d *Decider) tell(now float64) []Effect {
	var out []Effect
	for _, k := range d.sorted() {
		if len(k.copies) == 0 {
			if k.told.ID != "" {
				d.gone[k.told.ID] = true
			}
			delete(d.keys, k.key)
			continue
		}
		e := k.entry(&d.fleet, &d.cfg, now)
		if k.told.ID == e.ID && !k.unsure && !differs(e.Copies, k.told.Copies) && k.until-now > d.cfg.Until/2 {
			continue
		}
		delete(d.gone, e.ID)
		k.told, k.until, k.unsure = e, now+d.cfg.Until, true
		out = append(out, Effect{Put: &e})
	}
	for _, id := range slices.Sorted(maps.Keys(d.gone)) {
		out = append(out, Effect{Drop: id})
	}
	return out
}

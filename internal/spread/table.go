package spread

import (
	"fmt"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// Stage is where a copy stands.
type Stage int

// The stages.
const (
	Warming  Stage = iota // it gets a trickle and answers too little to carry
	Carrying              // it has a share, by what it has answered
	Cooling               // it is given up and loses its share
)

// spreadKey is a key that is spread.
type spreadKey struct {
	key      uint64
	copies   []*copyOf
	low      float64 // ms/s, of the last decision
	need     float64 // ms/s that own servers and copies together have to have room for
	keep     float64 // ms/s that carried it when a server of it was to leave; 0: none is
	room     float64 // part of what a server bears that this key may fill, at most ...
	least    float64 // ... and at least
	narrowAt float64 // s: not narrowed before
	doubtAt  float64 // s: since when only the floors of reports speak for the key
	told     placement.Directive
	until    float64 // s: end of the entry as it was told
	shown    []shown // of sidecars since copies were credited last, one of each
	unsure   bool    // the entry told last is not known to be in force
}

// shown is what a sidecar's report shows of a key: requests asked since its last report, and the revisions that it
// followed at the begin and at the end of that time.
type shown struct {
	name     string
	requests float64
	from, to uint64
}

type copyOf struct {
	uid      string
	stage    Stage
	answered float64 // requests of the key, as reports show
	rev      uint64  // of the entry that first named it, 0: not known to be in force
	part     float64 // of the key's load that it gets by the entry told last that is known to be in force
	since    float64 // s: when it was begun
	giveUp   float64 // s: when it began to cool
	base     float64 // share at which a successor took it over: it carries so much before it has answered anything
}

// ID is the id of a key's entry.
func ID(key uint64) string { return "spread/" + Name(key) }

// Name is a key as placements and reports write it.
func Name(key uint64) string { return fmt.Sprintf("%016x", key) }

// ramp is the part of its share that a copy can carry, 0 to 1.
func (c *copyOf) ramp(cfg *Config, now float64) float64 {
	r := c.base
	if c.answered >= cfg.Warm {
		r = math.Max(r, math.Min(c.answered/cfg.Ramp, 1))
	}
	if c.stage == Cooling {
		if cfg.Cool == 0 {
			return 0
		}
		r *= math.Max(1-(now-c.giveUp)/cfg.Cool, 0)
	}
	return r
}

func (k *spreadKey) find(uid string) *copyOf {
	for _, c := range k.copies {
		if c.uid == uid {
			return c
		}
	}
	return nil
}

// trickle is the part of a key's load that each copy without a share gets, by an entry.
func trickle(cfg *Config, copies []placement.KeyCopy) float64 {
	n := 0
	for _, c := range copies {
		if !(c.LoadFraction > 0) {
			n++
		}
	}
	return math.Min(cfg.Trickle, cfg.Trickles/math.Max(float64(n), 1))
}

// count counts the copies at a stage.
func (k *spreadKey) count(at Stage) int {
	n := 0
	for _, c := range k.copies {
		if c.stage == at {
			n++
		}
	}
	return n
}

// drop takes a copy out at once.
func (k *spreadKey) drop(uid string) {
	k.copies = slices.DeleteFunc(k.copies, func(c *copyOf) bool { return c.uid == uid })
}

// note keeps what a report shows.
func (k *spreadKey) note(s shown) {
	if i := slices.IndexFunc(k.shown, func(o shown) bool { return o.name == s.name }); i >= 0 {
		s.requests += k.shown[i].requests
		s.from = min(s.from, k.shown[i].from)
		k.shown[i] = s
		return
	}
	k.shown = append(k.shown, s)
}

// credit has copies answered their parts of what enough sidecars have shown. One alone makes up at most its part among
// the witnesses, so that none makes a copy warm by itself.
func (k *spreadKey) credit(f *fleet, witnesses int) {
	if len(k.shown) < witnesses {
		return
	}
	for _, c := range k.copies {
		if f.servers[f.at[c.uid]].Choked || c.rev == 0 {
			continue
		}
		all, most := 0.0, 0.0
		for _, s := range k.shown {
			n := s.requests * c.part
			switch {
			case s.to < c.rev:
				continue
			case s.from < c.rev: // it has followed for a part of the time: half of it, where nothing tells more
				n /= 2
			}
			all += n
			most = math.Max(most, n)
		}
		if rest := all - most; witnesses > 1 {
			all = rest + math.Min(most, rest/float64(witnesses-1))
		}
		c.answered += all
	}
	k.shown = k.shown[:0]
}

// tend moves copies on: those that answered enough carry, those that have cooled or do not warm are dropped.
func (k *spreadKey) tend(cfg *Config, now float64) {
	k.copies = slices.DeleteFunc(k.copies, func(c *copyOf) bool {
		if c.stage == Warming && (c.answered >= cfg.Warm || c.base > 0) {
			c.stage = Carrying
		}
		return c.stage == Cooling && now-c.giveUp >= cfg.Cool || c.stage == Warming && now-c.since >= cfg.GiveUp
	})
}

// ownBears is what the key's own servers bear, those that will leave left out.
func (k *spreadKey) ownBears(f *fleet) float64 {
	sum := 0.0
	f.eachOwn(k.key, func(i int) {
		if !f.leaving[f.servers[i].UID] && k.find(f.servers[i].UID) == nil {
			sum += f.bears(i)
		}
	})
	return sum
}

// bears is what copies bear by what they can carry already, and what all do that carry or warm; those that will leave
// are left out.
func (k *spreadKey) bears(f *fleet, cfg *Config) (carrying, all float64) {
	for _, c := range k.copies {
		i := f.at[c.uid]
		if f.leaving[c.uid] || c.stage == Cooling {
			continue
		}
		all += f.bears(i)
		if c.stage == Carrying {
			carrying += f.bears(i) * c.ramp(cfg, 0)
		}
	}
	return carrying, all
}

// eachOwn calls do for each server that the key has by itself.
func (f *fleet) eachOwn(key uint64, do func(i int)) {
	left := f.own()
	for _, i := range f.order(key) {
		if left == 0 {
			return
		}
		if f.servers[i].Ready {
			left--
			do(int(i))
		}
	}
}

// entry is the key as it is to be told. A share is the server's part of what all that carry the key bear, times what
// the copy can carry by now, of what those that get a trickle leave.
func (k *spreadKey) entry(f *fleet, cfg *Config, now float64) placement.Directive {
	e := placement.Directive{ID: ID(k.key), Kind: placement.KindSpreadKey, KeyHash: Name(k.key), ExpiresAtMS: int64((now + cfg.Until) * 1000)}
	weights, total := make([]float64, len(k.copies)), 0.0
	f.eachOwn(k.key, func(i int) {
		if k.find(f.servers[i].UID) == nil {
			total += f.bears(i)
		}
	})
	for i, c := range k.copies {
		if r := c.ramp(cfg, now); r > 0 && c.stage != Warming {
			weights[i] = f.bears(f.at[c.uid]) * r
			total += weights[i]
		}
	}
	rest := 1 - math.Min(cfg.Trickles, cfg.Trickle*float64(k.count(Warming)))
	for i, c := range k.copies {
		share := 0.0
		if total > 0 {
			share = math.Round(rest*weights[i]/total*1e5) / 1e5
		}
		e.Copies = append(e.Copies, placement.KeyCopy{ServerUID: c.uid, LoadFraction: share})
	}
	return e
}

// differs tells whether an entry says something that is worth a write: other copies, or a share by a tenth.
func differs(a, b []placement.KeyCopy) bool {
	return !slices.EqualFunc(a, b, func(x, y placement.KeyCopy) bool {
		return x.ServerUID == y.ServerUID && (x.LoadFraction > 0) == (y.LoadFraction > 0) && math.Abs(x.LoadFraction-y.LoadFraction) <= 0.1*math.Max(x.LoadFraction, y.LoadFraction)
	})
}

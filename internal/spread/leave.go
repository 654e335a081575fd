package spread

import (
	"math"

	"milldeck/internal/placement"
)

// enough of a sum is all of it but for rounding errors.
const enough = 1 - 1e-9

// Leave says that a server is to be drained, or otherwise emptied: no copy is begun on it, and what it carries of spread
// keys is made warm elsewhere first. May tells when that is done. Asking again changes nothing.
func (d *Decider) Leave(uid string) {
	if _, ok := d.fleet.at[uid]; !ok || d.fleet.leaving[uid] {
		return
	}
	for _, k := range d.keys {
		if c := k.find(uid); c != nil && c.stage == Warming {
			k.drop(uid)
		}
		if c := k.find(uid); c != nil && c.stage == Carrying || d.ownOf(k, uid) {
			carrying, _ := k.bears(&d.fleet, &d.cfg)
			k.keep = max(k.keep, k.ownBears(&d.fleet)+carrying)
		}
	}
	d.fleet.leaving[uid] = true
}

// Stay takes Leave back: the server may carry again.
func (d *Decider) Stay(uid string) { delete(d.fleet.leaving, uid) }

// May tells whether a server that is to leave carries no copy any more, and for each spread key of its own as much is
// warm elsewhere. A server that the list does not name may go.
func (d *Decider) May(uid string) bool {
	if _, ok := d.fleet.at[uid]; !ok {
		return true
	}
	if !d.fleet.leaving[uid] {
		return false
	}
	for _, k := range d.keys {
		if k.find(uid) != nil || d.ownOf(k, uid) && !d.replaced(k) {
			return false
		}
	}
	return true
}

func (d *Decider) ownOf(k *spreadKey, uid string) bool {
	own := false
	d.fleet.eachOwn(k.key, func(i int) { own = own || d.fleet.servers[i].UID == uid })
	return own
}

// replaced: what carries the key without the servers that leave is as much as it was with them.
func (d *Decider) replaced(k *spreadKey) bool {
	carrying, _ := k.bears(&d.fleet, &d.cfg)
	return k.ownBears(&d.fleet)+carrying >= k.keep*enough
}

// leave cools copies on servers that leave, one after the other, as others carry in their place.
func (d *Decider) leave(k *spreadKey, now float64) {
	if k.keep == 0 {
		return
	}
	carrying, _ := k.bears(&d.fleet, &d.cfg)
	there := k.ownBears(&d.fleet) + carrying
	var left []*copyOf // those that still carry on servers that leave
	concerned := false
	for _, c := range k.copies {
		if d.fleet.leaving[c.uid] {
			concerned = true
			if c.stage == Carrying {
				left = append(left, c)
				there += d.carries(c, now)
			}
		}
	}
	for _, c := range left {
		if there -= d.carries(c, now); there < k.keep*enough {
			break
		}
		c.stage, c.giveUp = Cooling, now
	}
	for uid := range d.fleet.leaving {
		concerned = concerned || d.ownOf(k, uid)
	}
	if !concerned {
		k.keep = 0
	}
}

// carries is what a copy bears by what it can carry already.
func (d *Decider) carries(c *copyOf, now float64) float64 {
	return d.fleet.bears(d.fleet.at[c.uid]) * c.ramp(&d.cfg, now)
}

// Row is a spread key as operators see it. Loads are in ms of work a second.
type Row struct {
	Key       string               `json:"key"`
	Low       float64              `json:"low"`  // the fleet's figure at least
	High      float64              `json:"high"` // and at most; the highest number where no report is at hand
	Warming   int                  `json:"warming"`
	Carrying  int                  `json:"carrying"`
	Cooling   int                  `json:"cooling"`
	Placement *placement.Directive `json:"placement,omitempty"` // as told last
}

// Table returns the table, ordered by key.
func (d *Decider) Table() []Row {
	var out []Row
	for _, k := range d.sorted() {
		told := k.told
		out = append(out, Row{Key: Name(k.key), Low: k.low, High: min(d.heat.high(k.key, true), math.MaxFloat64),
			Warming: k.count(Warming), Carrying: k.count(Carrying), Cooling: k.count(Cooling), Placement: &told})
	}
	return out
}

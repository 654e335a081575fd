package balance

import (
	"math"
	"slices"
)

// This file holds the placement that is in force and what a pick needs of it. What it changes is decided in
// placement.go.

// inForce is the placement in force. There is none before the first event that brings one.
type inForce struct {
	keepOffs  []KeepOff
	spreads   map[uint64]*spreadKey
	ends      float64         // the next end of an entry
	sets      map[int]*offSet // by tenant, until the list or the placement changes
	suspended map[int]bool    // entries not followed since the last ask
}

// offSet is what the requests of a tenant keep off.
type offSet struct {
	servers   []*server
	followed  []int // entries, by ID
	suspended []int // ... that would leave too little
}

// spreadKey is a key's copies, with the shares that they get.
type spreadKey struct {
	copies []Copy
	at     float64 // where in its turn the key is, 0 to 1
	until  float64
}

// onPlacement takes over a whole placement. What is over or cannot be is left out; a key that stays goes on in its turn.
func (b *Balancer) onPlacement(ev *Placement) {
	old := b.inForce
	p := &inForce{spreads: map[uint64]*spreadKey{}, sets: map[int]*offSet{}, suspended: map[int]bool{}}
	if old != nil {
		p.suspended = old.suspended
	}
	for _, k := range ev.KeepOffs {
		if k.Until > b.now && len(k.Servers) > 0 {
			k.Servers = slices.Clone(k.Servers)
			p.keepOffs = append(p.keepOffs, k)
		}
	}
	for _, s := range ev.Spreads {
		if !(s.Until > b.now) || s.Key == 0 || len(s.Copies) == 0 {
			continue
		}
		kept := &spreadKey{copies: slices.Clone(s.Copies), until: s.Until}
		parts(kept.copies)
		if old != nil && old.spreads[s.Key] != nil {
			kept.at = old.spreads[s.Key].at
		} else {
			kept.at = b.random() // sidecars that are told together start apart
		}
		p.spreads[s.Key] = kept
	}
	b.inForce = p
	p.prune(b)
}

// turn ends what is over by now.
func (p *inForce) turn(b *Balancer) {
	if b.now >= p.ends {
		p.prune(b)
	}
}

func (p *inForce) prune(b *Balancer) {
	p.keepOffs = slices.DeleteFunc(p.keepOffs, func(k KeepOff) bool { return b.now >= k.Until })
	p.ends = math.Inf(1)
	for i := range p.keepOffs {
		p.ends = math.Min(p.ends, p.keepOffs[i].Until)
	}
	for key, s := range p.spreads {
		if b.now >= s.until {
			delete(p.spreads, key)
		} else {
			p.ends = math.Min(p.ends, s.until)
		}
	}
	clear(p.sets)
}

func (p *inForce) suspend(ids []int) {
	for _, id := range ids {
		p.suspended[id] = true
	}
}

// relist has what is kept off worked out anew: the list has changed.
func (b *Balancer) relist() {
	if b.inForce != nil {
		clear(b.inForce.sets)
	}
}

// Suspended lists the keep-off entries, by ID in rising order, that a pick since the last call did not follow:
// too little would have been left.
func (b *Balancer) Suspended() []int {
	if b.inForce == nil || len(b.inForce.suspended) == 0 {
		return nil
	}
	var ids []int
	for id := range b.inForce.suspended {
		ids = append(ids, id)
	}
	clear(b.inForce.suspended)
	slices.Sort(ids)
	return ids
}

// hidden is what the current pick keeps off.
type hidden struct {
	servers  []*server
	in       int     // those in the rotation
	inFlight int     // ... what they hold
	weight   float64 // ... and their weight; without a rotation that of all that do not rest
}

// hide keeps servers out of picks until show.
func (b *Balancer) hide(servers []*server) {
	b.hidden = hidden{servers: servers}
	for _, s := range servers {
		s.off = true
	}
}

// without takes what is hidden out of the sums of the rotation, and returns that of the weights left.
func (b *Balancer) without(total float64) float64 {
	h := &b.hidden
	for _, s := range h.servers {
		if s.in {
			h.in++
			h.inFlight += s.inFlight
			h.weight += b.weightNow(s)
		} else if !b.cfg.WarmKeys && !b.resting(s) {
			h.weight += b.weight(s)
		}
	}
	return math.Max(total-h.weight, 1e-6)
}

func (b *Balancer) show() {
	for _, s := range b.hidden.servers {
		s.off = false
	}
	b.hidden = hidden{}
}

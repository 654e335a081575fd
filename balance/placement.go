package balance

import "math"

// This file decides what the fleet's placement changes: which servers a tenant's requests keep off, while
// enough is left, and how much of a spread key its copies carry. Nothing of it runs before there is one.

const (
	// A copy that is told no share gets a trickle, this part of its key's load: by it a new one gets warm,
	// and one that cools is still warm when it is wanted again.
	trickle  = 0.05
	trickles = 0.5 // ... for all of these together: what a hot key's own servers cannot do may as well warm
	// The golden section of a key's turn: steps of it meet each part of the turn as often as it is long,
	// however few they are. Weighted round robin's first picks do not go by weight, and here few come.
	spreadStep = 0.6180339887498949
)

// place is choose under a placement: a request keeps off what its tenant is told to, by smooth weighted round
// robin over the rest. Where all the rest rests or is cold and sent enough, serving goes first: the pick is
// done again over all. A repeat goes to a server kept off rather than leave its group, which is all that
// allowed lets it have: that is the rule, and no suspension.
func (b *Balancer) place(r *request, repeat bool) *server {
	p := b.inForce
	if p == nil {
		return b.choose(r, repeat)
	}
	if p.turn(b); len(p.keepOffs) == 0 {
		return b.choose(r, repeat)
	}
	set := b.keptOff(r.Tenant)
	p.suspend(set.suspended)
	if len(set.servers) == 0 {
		return b.choose(r, repeat)
	}
	b.hide(set.servers)
	s := b.choose(r, repeat)
	b.show()
	if s != nil {
		return s
	}
	bound := repeat && r.class.Effect == Keyed && r.class.Group != GroupAll
	if s = b.choose(r, repeat); s != nil && !bound {
		p.suspend(set.followed)
	}
	return s
}

// keptOff finds what a tenant keeps off now. Entries are followed in the order given, each where it leaves
// its share of the tenant's ready servers, by rating, and the shares of those followed before.
func (b *Balancer) keptOff(tenant int) *offSet {
	p := b.inForce
	if tenant < 0 || tenant >= len(b.cfg.Tenants) {
		tenant = AllTenants
	}
	if set := p.sets[tenant]; set != nil {
		return set
	}
	set, all, least := &offSet{}, 0.0, 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			all += s.Rating
		}
	}
	left := all
	for i := range p.keepOffs {
		k := &p.keepOffs[i]
		if k.Tenant != tenant && k.Tenant != AllTenants {
			continue
		}
		before, rest := len(set.servers), left
		for _, id := range k.Servers {
			if s := b.byID[id]; s != nil && s.State == Ready && !s.off {
				s.off = true
				set.servers = append(set.servers, s)
				rest -= s.Rating
			}
		}
		// 1e-9: no share is missed by a rounding error. What is no number is never enough.
		if want := math.Max(least, k.Least); rest >= (want-1e-9)*all {
			left, least = rest, want
			set.followed = append(set.followed, k.ID)
			continue
		}
		for _, s := range set.servers[before:] {
			s.off = false
		}
		set.servers = set.servers[:before]
		set.suspended = append(set.suspended, k.ID)
	}
	for _, s := range set.servers {
		s.off = false
	}
	p.sets[tenant] = set
	return set
}

// carrier returns the copy of a spread key that carries this request, nil where its own servers do. While a
// copy drains, rests, is kept off, holds more than its share of what is in flight or is cold and sent enough,
// its turns are theirs, whatever it is told to carry.
func (b *Balancer) carrier(key uint64) []*server {
	s := b.copyInTurn(key)
	if s == nil || !s.in || s.off {
		return nil
	}
	if b.look(s); !b.free(s) {
		return nil
	}
	b.entered = append(b.entered[:0], s)
	return b.entered
}

// parts turns the shares that a placement tells into those that copies get: 1 in all at the most, trickles
// included.
func parts(copies []Copy) {
	total, dry := 0.0, 0.0
	for i := range copies {
		c := &copies[i]
		if c.Share = math.Min(c.Share, 1); !(c.Share > 0) {
			c.Share = 0
			dry++
		}
		total += c.Share
	}
	little := math.Min(trickle, trickles/math.Max(dry, 1))
	scale := math.Min(1, (1-dry*little)/math.Max(total, 1e-9))
	for i := range copies {
		if copies[i].Share *= scale; copies[i].Share == 0 {
			copies[i].Share = little
		}
	}
}

// copyInTurn takes the key on to its next turn and returns the copy that has it by the shares. A sidecar that
// has the key on more servers than these by what it meets itself goes by that: copies would narrow it.
func (b *Balancer) copyInTurn(key uint64) *server {
	if b.inForce == nil || len(b.inForce.spreads) == 0 {
		return nil
	}
	k := b.inForce.spreads[key]
	if k == nil {
		return nil
	}
	count := b.choice()
	if b.width(key, count) > max(keyServers, count/keyFleet)+len(k.copies) {
		return nil
	}
	k.at = math.Mod(k.at+spreadStep, 1)
	upTo := 0.0
	for _, c := range k.copies {
		if upTo += c.Share; k.at < upTo {
			return b.byID[c.Server]
		}
	}
	return nil
}

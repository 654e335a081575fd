package hotkey

import (
	"math"

	"milldeck/internal/placement"
)

// almostOne of a sum is all of it but for rounding errors.
const almostOne = 1 - 1e-9

// StartDrain says that a server is to be drained, or otherwise emptied: no copy is begun on it, and what it carries of spread
// keys is made warm elsewhere first. May tells when that is done. Asking again changes nothing.
func (p *Planner) StartDrain(uid string) {
	if _, ok := p.fleet.index[uid]; !ok || p.fleet.draining[uid] {
		return
	}
	for _, k := range p.keys {
		if r := k.replicaOn(uid); r != nil && r.state == Warming {
			k.remove(uid)
		}
		if r := k.replicaOn(uid); r != nil && r.state == Active || p.isHomeServer(k, uid) {
			activeCapacity, _ := k.replicaCapacity(&p.fleet, &p.config)
			k.capacityAtDrain = max(k.capacityAtDrain, k.homeCapacity(&p.fleet)+activeCapacity)
		}
	}
	p.fleet.draining[uid] = true
}

// CancelDrain takes Leave back: the server may carry again.
func (p *Planner) CancelDrain(uid string) { delete(p.fleet.draining, uid) }

// Drained tells whether a server that is to leave carries no copy any more, and for each spread key of its own as much is
// warm elsewhere. A server that the list does not name may go.
func (p *Planner) Drained(uid string) bool {
	if _, ok := p.fleet.index[uid]; !ok {
		return true
	}
	if !p.fleet.draining[uid] {
		return false
	}
	for _, k := range p.keys {
		if k.replicaOn(uid) != nil || p.isHomeServer(k, uid) && !p.isReplaced(k) {
			return false
		}
	}
	return true
}

func (p *Planner) isHomeServer(k *replicatedKey, uid string) bool {
	home := false
	p.fleet.forEachHomeServer(k.key, func(i int) { home = home || p.fleet.servers[i].UID == uid })
	return home
}

// isReplaced: what carries the key without the servers that leave is as much as it was with them.
func (p *Planner) isReplaced(k *replicatedKey) bool {
	activeCapacity, _ := k.replicaCapacity(&p.fleet, &p.config)
	return k.homeCapacity(&p.fleet)+activeCapacity >= k.capacityAtDrain*almostOne
}

// drainReplicas cools copies on servers that leave, one after the other, as others carry in their place.
func (p *Planner) drainReplicas(k *replicatedKey, now float64) {
	if k.capacityAtDrain == 0 {
		return
	}
	activeCapacity, _ := k.replicaCapacity(&p.fleet, &p.config)
	available := k.homeCapacity(&p.fleet) + activeCapacity
	var draining []*replica // those that still carry on servers that leave
	affected := false
	for _, r := range k.replicas {
		if p.fleet.draining[r.serverUID] {
			affected = true
			if r.state == Active {
				draining = append(draining, r)
				available += p.currentCapacity(r, now)
			}
		}
	}
	for _, r := range draining {
		if available -= p.currentCapacity(r, now); available < k.capacityAtDrain*almostOne {
			break
		}
		r.state, r.retiredAt = Retiring, now
	}
	for uid := range p.fleet.draining {
		affected = affected || p.isHomeServer(k, uid)
	}
	if !affected {
		k.capacityAtDrain = 0
	}
}

// currentCapacity is what a copy bears by what it can carry already.
func (p *Planner) currentCapacity(r *replica, now float64) float64 {
	return p.fleet.serverCapacity(p.fleet.index[r.serverUID]) * r.rampFactor(&p.config, now)
}

// KeyStatus is a spread key as operators see it. Loads are in ms of work a second.
type KeyStatus struct {
	Key        string               `json:"key"`
	LowerBound float64              `json:"low"`  // the fleet's figure at least
	UpperBound float64              `json:"high"` // and at most; the highest number where no report is at hand
	Warming    int                  `json:"warming"`
	Active     int                  `json:"carrying"`
	Retiring   int                  `json:"cooling"`
	Placement  *placement.Directive `json:"placement,omitempty"` // as told last
}

// Status returns the table, ordered by key.
func (p *Planner) Status() []KeyStatus {
	var statuses []KeyStatus
	for _, k := range p.sortedKeys() {
		published := k.published
		statuses = append(statuses, KeyStatus{Key: FormatKey(k.key), LowerBound: k.lower, UpperBound: min(p.loads.upperBound(k.key, true), math.MaxFloat64),
			Warming: k.countIn(Warming), Active: k.countIn(Active), Retiring: k.countIn(Retiring), Placement: &published})
	}
	return statuses
}

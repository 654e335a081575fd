package balance

import (
	"cmp"
	"container/heap"
	"container/list"
	"math"
	"slices"
)

// This file keeps what a pick needs at hand, so that its cost does not grow with the fleet: the sums over the
// rotation, the servers first in each key's order, the times at which either changes by itself. It only stores:
// what a weight is, who rests and which servers a key has is told in the files that decide.

// trend is a sum of weights that change with time by themselves, as a function of the ms d since at:
// level + slope·d + (dent + dentSlope·d)·2^(-d/halfLife). The slopes come of servers that warm up, the dents of
// errors that decay.
type trend struct{ level, slope, dent, dentSlope, at float64 }

func (t *trend) moveTo(now float64) {
	d := now - t.at
	t.at = now
	t.level += t.slope * d
	if t.dent != 0 || t.dentSlope != 0 {
		fade := math.Exp2(-d / halfLife)
		t.dent, t.dentSlope = (t.dent+t.dentSlope*d)*fade, t.dentSlope*fade
	}
}

// add adds u times sign; both hold for the same time.
func (t *trend) add(u *trend, sign float64) {
	t.level += sign * u.level
	t.slope += sign * u.slope
	t.dent += sign * u.dent
	t.dentSlope += sign * u.dentSlope
}

// steady: the value does not change with time.
func (t *trend) steady() bool { return t.slope == 0 && t.dent == 0 && t.dentSlope == 0 }

// group is the servers of one kind in one zone: they share a factor, which moves with each answer.
type group struct {
	kind, zone int
	factor     float64
	sum        trend // of the members in the rotation
}

// rotation is the servers that a first pick may choose from, all those of a sidecar whose keys stay warm: how
// many they are, their weights by group, and the own attempts that they hold.
type rotation struct {
	n         int
	inFlight  int
	groups    []*group
	changed   []*server // to be looked at before the next pick
	due       dueHeap   // ... and those that change by themselves
	refreshes int       // since the sums were last made anew
	fresh     []*server // those that told lately what they hold
}

// mark has a server looked at before the next pick: something about it has changed.
func (b *Balancer) mark(s *server) {
	if b.cfg.WarmKeys && !s.marked {
		s.marked = true
		b.rot.changed = append(b.rot.changed, s)
	}
}

// markZone does so for all servers of a zone.
func (b *Balancer) markZone(z *zoneState) {
	for _, s := range b.servers {
		if s.state == z {
			b.mark(s)
		}
	}
}

// settle brings the rotation up to date: what changed by an event or by itself, then the sums. It returns the sum
// of all weights.
func (b *Balancer) settle() float64 {
	rot := &b.rot
	for len(rot.due) > 0 && rot.due[0].due <= b.now {
		b.refresh(rot.due[0])
	}
	for _, s := range rot.changed {
		s.marked = false
		b.refresh(s)
	}
	rot.changed = rot.changed[:0]
	if rot.refreshes > 1000+len(b.servers) { // rounding errors stay below any that counts
		rot.refreshes = 0
		for _, g := range rot.groups {
			g.sum = trend{}
		}
		for _, s := range b.servers {
			if s.in {
				s.part.moveTo(b.now)
				s.group.sum.moveTo(b.now)
				s.group.sum.add(&s.part, 1)
			}
		}
	}
	total := 0.0
	for _, g := range rot.groups {
		g.factor = b.factor(g.kind, g.zone)
		g.sum.moveTo(b.now)
		total += (g.sum.level + g.sum.dent) * g.factor
	}
	return math.Max(total, 1e-6)
}

// refresh takes a server out of the sums and puts it back as it is now, where it is in the rotation.
func (b *Balancer) refresh(s *server) {
	rot := &b.rot
	rot.refreshes++
	was := s.in
	if s.in {
		s.in = false
		s.part.moveTo(b.now)
		s.group.sum.moveTo(b.now)
		s.group.sum.add(&s.part, -1)
		rot.n--
		rot.inFlight -= s.inFlight
	}
	if s.group == nil || s.group.kind != s.Kind || s.group.zone != s.Zone {
		s.group = b.group(s.Kind, s.Zone)
	}
	changes := math.Inf(1)
	if s.State == Ready {
		if changes = b.restEnds(s); changes <= b.now {
			s.in = true
			if !was {
				s.turn = b.turn // it gets none for its rest
			}
			s.part, changes = b.trend(s)
			s.group.sum.moveTo(b.now)
			s.group.sum.add(&s.part, 1)
			rot.n++
			rot.inFlight += s.inFlight
		}
	}
	s.due = math.Max(changes, math.Nextafter(b.now, math.Inf(1))) // else a rounding error had it looked at for ever
	switch scheduled := s.dueAt > 0; {
	case !scheduled && !math.IsInf(changes, 1):
		heap.Push(&rot.due, s)
	case scheduled && math.IsInf(changes, 1):
		heap.Remove(&rot.due, s.dueAt-1)
	case scheduled:
		heap.Fix(&rot.due, s.dueAt-1)
	}
}

func (b *Balancer) group(kind, zone int) *group {
	for _, g := range b.rot.groups {
		if g.kind == kind && g.zone == zone {
			return g
		}
	}
	g := &group{kind: kind, zone: zone}
	b.rot.groups = append(b.rot.groups, g)
	return g
}

// carry counts an own attempt that a server got or lost.
func (b *Balancer) carry(s *server, n int) {
	s.inFlight += n
	if s.in {
		b.rot.inFlight += n
	}
}

// trend is a server's weight without that factor as it changes by itself, until the time that it returns.
func (b *Balancer) trend(s *server) (trend, float64) {
	warm, rise, until := b.warmth(s), 0.0, math.Inf(1)
	if b.now < s.coldSince {
		until = s.coldSince
	} else if b.cold(s) {
		rise, until = (1-b.cfg.ColdFrom)/b.cfg.ColdTime, s.coldSince+b.cfg.ColdTime
	}
	well, hurt := b.health(s), 0.0
	if well <= floorM {
		until = math.Min(until, s.lastErr+halfLife*math.Log2(float64(s.errs)*slope/(1-floorM)))
	} else {
		well, hurt = 1, 1-well
	}
	size := 100 * s.Rating * math.Exp(s.size)
	t := trend{level: size * warm * well, slope: size * rise * well, at: b.now}
	t.dent, t.dentSlope = -size*warm*hurt, -size*rise*hurt
	return t, until
}

// weightNow is the weight of a server of the rotation, its zone's favour included, from what settle keeps.
func (b *Balancer) weightNow(s *server) float64 {
	if s.part.steady() {
		return max(s.part.level*s.group.factor, 1e-6)
	}
	s.part.moveTo(b.now)
	return max((s.part.level+s.part.dent)*s.group.factor, 1e-6)
}

// survey does for the whole rotation what enter does for a pick that lists its servers.
func (b *Balancer) survey(total float64) {
	b.carried, b.shares = 1, 0
	for _, s := range b.reporters() {
		if s.in && !s.off {
			b.carried += b.holds(s)
			b.shares += b.weightNow(s)
		}
	}
	if b.told = b.shares > 0; !b.told {
		b.carried, b.shares = 1+float64(b.rot.inFlight-b.hidden.inFlight), total
	}
}

// creditTurns gives all servers in question their turns. A sidecar that keeps to few servers of each key does
// not compare them by running: there it has to be up to date for a repeat only.
func (b *Balancer) creditTurns(keyed, repeat bool) {
	switch {
	case b.allRest || !b.cfg.WarmKeys: // what is out of these gets no turns
		for _, s := range b.entered {
			if !repeat {
				s.turn = b.turn - 1
				b.credit(s)
			}
		}
	case !keyed:
		for _, s := range b.entered {
			b.credit(s)
		}
	case !b.narrow():
		for _, s := range b.servers {
			if s.in && !s.off {
				s.weight = b.weightNow(s)
				b.credit(s)
			}
		}
	}
}

// credit gives a server its turns since it was last credited, or came back, at the weight of now.
func (b *Balancer) credit(s *server) {
	s.running = math.Min(s.running+s.weight*(b.turn-s.turn), b.pool)
	s.turn = b.turn
}

// reporters lists the servers of the rotation whose report is fresh. Few are: a report is soon old.
func (b *Balancer) reporters() []*server {
	kept := b.rot.fresh[:0]
	for _, s := range b.rot.fresh {
		if s.reports = b.fresh(s); s.reports {
			kept = append(kept, s)
		}
	}
	b.rot.fresh = kept
	return kept
}

// dueHeap orders servers by the time at which they change by themselves.
type dueHeap []*server

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueAt, h[j].dueAt = i+1, j+1
}
func (h *dueHeap) Push(v any) {
	s := v.(*server)
	*h = append(*h, s)
	s.dueAt = len(*h)
}
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	last.dueAt = 0
	return last
}

const (
	// orderPlaces bounds the servers in all kept orders: 2 MB of pointers, the whole order of 1,300 keys at 200
	// servers, or the first 170 for 1,500 keys at 2,000.
	orderPlaces = 1 << 18
	// orderChanges is how many changes of the list an order may have missed and still be mended one by one.
	orderChanges = 256
)

// keyOrder is the head of a key's order of the servers: those whose place is at most upTo.
type keyOrder struct {
	key     uint64
	servers []*server
	upTo    float64 // infinite: all servers
	version int     // changes of the list that it has taken in
}

// keyOrders keeps the orders of the keys asked for last.
type keyOrders struct {
	byKey   map[uint64]*list.Element
	recent  *list.List // of *keyOrder, that of last use in front
	places  int        // servers in all of them
	changes []*server  // that came, went or are rated otherwise, the latest last
	version int        // changes since the start
	scratch []place
}

type place struct {
	at float64
	s  *server
}

func newKeyOrders() keyOrders {
	return keyOrders{byKey: map[uint64]*list.Element{}, recent: list.New()}
}

func keyPlace(key uint64, s *server) float64 { return KeyPlace(key, s.ID, s.Rating) }

// listChanged notes that a server came, went or is rated otherwise.
func (o *keyOrders) listChanged(s *server) {
	o.version++
	if len(o.changes) == 2*orderChanges {
		o.changes = slices.Delete(o.changes, 0, orderChanges)
	}
	o.changes = append(o.changes, s)
}

// order returns a key's order with at least the first n servers, of all where there are fewer.
func (b *Balancer) order(key uint64, n int) *keyOrder {
	o := &b.orders
	var k *keyOrder
	if e := o.byKey[key]; e != nil {
		o.recent.MoveToFront(e)
		k = e.Value.(*keyOrder)
		b.catchUp(k)
	} else {
		k = &keyOrder{key: key, version: o.version}
		o.byKey[key] = o.recent.PushFront(k)
	}
	if len(k.servers) < n && !math.IsInf(k.upTo, 1) {
		b.extend(k, n)
	}
	return k
}

// catchUp takes the changes of the list that an order has missed into it, or empties it where they are many.
func (b *Balancer) catchUp(k *keyOrder) {
	o := &b.orders
	missed := o.version - k.version
	if missed == 0 {
		return
	}
	k.version = o.version
	o.places -= len(k.servers)
	if missed > len(o.changes) || missed > orderChanges {
		k.servers, k.upTo = k.servers[:0], 0
		return
	}
	changed := o.changes[len(o.changes)-missed:]
	k.servers = slices.DeleteFunc(k.servers, func(s *server) bool { return slices.Contains(changed, s) })
	for _, s := range changed {
		at := keyPlace(k.key, s)
		if b.byID[s.ID] != s || at > k.upTo || slices.Contains(k.servers, s) {
			continue
		}
		i, _ := slices.BinarySearchFunc(k.servers, at, func(t *server, at float64) int {
			return cmp.Compare(keyPlace(k.key, t), at)
		})
		k.servers = slices.Insert(k.servers, i, s)
	}
	o.places += len(k.servers)
}

// extend makes an order at least n servers long, and somewhat more. It sorts only what is to be kept.
func (b *Balancer) extend(k *keyOrder, n int) {
	o := &b.orders
	o.places -= len(k.servers)
	n += n/4 + 8
	rated := 0.0
	for _, s := range b.servers {
		rated += s.Rating
	}
	all := float64(len(b.servers))
	o.scratch = o.scratch[:0]
	for len(o.scratch) < min(n, len(b.servers)) {
		o.scratch = o.scratch[:0]
		if float64(n) > all/2 {
			k.upTo = math.Inf(1)
		} else { // places are spread exponentially
			k.upTo = math.Max(2*k.upTo, -math.Log1p(-float64(n)/all)*all/rated)
		}
		for _, s := range b.servers {
			if at := keyPlace(k.key, s); at <= k.upTo {
				o.scratch = append(o.scratch, place{at, s})
			}
		}
	}
	slices.SortFunc(o.scratch, func(p, q place) int { return cmp.Compare(p.at, q.at) })
	k.servers = slices.Grow(k.servers[:0], len(o.scratch))
	for _, p := range o.scratch {
		k.servers = append(k.servers, p.s)
	}
	o.places += len(k.servers)
	for o.places > orderPlaces && o.recent.Len() > 1 {
		e := o.recent.Back()
		old := o.recent.Remove(e).(*keyOrder)
		delete(o.byKey, old.key)
		o.places -= len(old.servers)
	}
}

// enlist keeps the servers in this sidecar's own order, with a new or changed entry of one of them.
func (b *Balancer) enlist(s *server, entry *Server) {
	rank, rating, i := s.rank, s.Rating, b.placed(s, s.rank)
	s.Server = *entry
	if !(s.Rating > 0) {
		s.Rating = 1
	}
	s.rank, s.state = b.rank(s), b.zone(s.Zone)
	b.tell.byTag[tag(s.ID)] = s
	if i < 0 || rating != s.Rating {
		b.orders.listChanged(s)
	}
	if i >= 0 && rank != s.rank {
		b.servers = slices.Delete(b.servers, i, i+1)
	}
	if i < 0 || rank != s.rank {
		i, _ = slices.BinarySearchFunc(b.servers, s.rank, byRank)
		b.servers = slices.Insert(b.servers, i, s)
	}
}

// placed finds a server that was enlisted with a rank; -1: it was not.
func (b *Balancer) placed(s *server, rank float64) int {
	i, _ := slices.BinarySearchFunc(b.servers, rank, byRank)
	for ; i < len(b.servers) && b.servers[i].rank == rank; i++ {
		if b.servers[i] == s {
			return i
		}
	}
	return -1
}

func byRank(s *server, rank float64) int { return cmp.Compare(s.rank, rank) }

// collect goes on through a key's order, from its place next, until n servers of the rotation are listed, and
// returns the place after them.
func (b *Balancer) collect(order *keyOrder, next, n int) int {
	for ; len(b.entered) < n; next++ {
		if next == len(order.servers) {
			if math.IsInf(order.upTo, 1) {
				break
			}
			b.extend(order, 2*next)
		}
		s := order.servers[next]
		if s.off {
			continue
		} else if s.in {
			b.look(s)
		} else if !b.allRest || s.State != Ready {
			continue
		}
		b.entered = append(b.entered, s)
	}
	return next
}

// look takes a server of the rotation into the current pick by key.
func (b *Balancer) look(s *server) { s.weight, s.known = b.weightNow(s), !b.told || b.fresh(s) }

// keySpan is the requests over which a key's share is taken: seconds for a small sidecar.
const keySpan = 256

// keyMeter counts the requests for each key and forgets them by halves, so that it stays small.
type keyMeter struct {
	counts map[uint64]float64
	all    float64
}

func (m *keyMeter) add(key uint64) {
	if m.all++; m.all >= keySpan {
		m.all /= 2
		for k, n := range m.counts {
			if n /= 2; n < 1 {
				delete(m.counts, k)
			} else {
				m.counts[k] = n
			}
		}
	}
	if key != 0 {
		m.counts[key]++
	}
}

// share is the part of all requests that ask for the key; what came once tells nothing.
func (m *keyMeter) share(key uint64) float64 {
	return math.Max(m.counts[key]-1, 0) / math.Max(m.all, keySpan/4)
}

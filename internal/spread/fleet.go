package spread

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"milldeck/balance"
)

// Server is a server as the Decider has to know it.
type Server struct {
	UID      string
	Zone     string
	Pod      int
	Capacity float64 // relative; what is not above 0 counts as 1
	Bear     float64 // ms of work a second that it was found to do; 0: Config.Bear times Capacity
	Boot     float64 // Unix ms of its last start: what was warm before is not
	Ready    bool    // it is in the list and takes requests; else its copies are gone
	KeptOff  bool    // by any tenant: it carries no spread key
	Cold     bool    // it is still warming up, or what it may be sent is limited as it is cold
	Choked   bool    // it answers late or has too much: it gets no new copy
}

// fleet is the list of servers and the order that each key has of them.
type fleet struct {
	servers []Server // sorted by UID
	ids     []balance.ServerID
	rated   []float64
	at      map[string]int
	bear    float64 // of a server of capacity 1
	all     float64 // what the ready servers bear together
	zones   int     // that have ready servers
	ready   int
	leaving map[string]bool
	orders  map[uint64][]int32 // places in servers, the first in the key's order first
}

// orderServers bounds the servers in all kept orders: 4 MB.
const orderServers = 1 << 20

func newFleet(bear float64) fleet {
	return fleet{bear: bear, at: map[string]int{}, leaving: map[string]bool{}, orders: map[uint64][]int32{}}
}

// set takes a whole list. Orders stay where it names the same servers with the same capacities.
func (f *fleet) set(list []Server) {
	servers := slices.Clone(list)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.UID, b.UID) })
	servers = slices.CompactFunc(servers, func(a, b Server) bool { return a.UID == b.UID })
	for i := range servers {
		if !(servers[i].Capacity > 0) {
			servers[i].Capacity = 1
		}
	}
	same := slices.EqualFunc(servers, f.servers, func(a, b Server) bool {
		return a.UID == b.UID && a.Capacity == b.Capacity
	})
	f.servers, f.all, f.ready = servers, 0, 0
	zones := map[string]bool{}
	for i := range servers {
		if servers[i].Ready {
			f.all += f.bears(i)
			f.ready++
			zones[servers[i].Zone] = true
		}
	}
	f.zones = max(len(zones), 1)
	if same {
		return
	}
	clear(f.orders)
	clear(f.at)
	f.ids, f.rated = make([]balance.ServerID, len(servers)), make([]float64, len(servers))
	for i := range servers {
		h := fnv.New64a() // as sidecars make their ServerID of a uid
		h.Write([]byte(servers[i].UID))
		f.ids[i], f.rated[i], f.at[servers[i].UID] = balance.ServerID(h.Sum64()), servers[i].Capacity, i
	}
	for uid := range f.leaving {
		if _, ok := f.at[uid]; !ok {
			delete(f.leaving, uid)
		}
	}
}

// bears is the load that a server does.
func (f *fleet) bears(i int) float64 {
	if s := &f.servers[i]; s.Bear > 0 && !math.IsInf(s.Bear, 1) {
		return s.Bear
	}
	return f.bear * f.servers[i].Capacity
}

// order returns a key's order of all servers.
func (f *fleet) order(key uint64) []int32 {
	if o, ok := f.orders[key]; ok {
		return o
	}
	if (len(f.orders)+1)*len(f.servers) > orderServers {
		clear(f.orders)
	}
	places := make([]float64, len(f.servers))
	o := make([]int32, len(f.servers))
	for i := range o {
		o[i], places[i] = int32(i), balance.RendezvousPosition(key, f.ids[i], f.rated[i])
	}
	slices.SortFunc(o, func(a, b int32) int {
		return cmp.Or(cmp.Compare(places[a], places[b]), cmp.Compare(a, b))
	})
	f.orders[key] = o
	return o
}

// own returns how many servers a key has by itself, as balance/affinity.go counts them: two, or one of fifteen.
func (f *fleet) own() int { return min(max(2, f.ready/15), f.ready) }

// usable tells whether a server may carry a copy that it has; free, whether it may get one.
func (f *fleet) usable(i int) bool { return f.servers[i].Ready && !f.servers[i].KeptOff }
func (f *fleet) free(i int) bool {
	s := &f.servers[i]
	return f.usable(i) && !s.Cold && !s.Choked && !f.leaving[s.UID]
}

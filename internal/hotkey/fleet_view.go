package hotkey

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"milldeck/balance"
)

// Server is a server as the Decider has to know it.
type Server struct {
	UID              string
	Zone             string
	Pod              int
	Capacity         float64 // relative; what is not above 0 counts as 1
	ObservedCapacity float64 // ms of work a second that it was found to do; 0: Config.Bear times Capacity
	BootMS           float64 // Unix ms of its last start: what was warm before is not
	Ready            bool    // it is in the list and takes requests; else its copies are gone
	Excluded         bool    // by any tenant: it carries no spread key
	WarmingUp        bool    // it is still warming up, or what it may be sent is limited as it is cold
	Overloaded       bool    // it answers late or has too much: it gets no new copy
}

// fleetView is the list of servers and the order that each key has of them.
type fleetView struct {
	servers       []Server // sorted by UID
	serverIDs     []balance.ServerID
	capacities    []float64
	index         map[string]int
	unitCapacity  float64 // of a server of capacity 1
	totalCapacity float64 // what the ready servers bear together
	zoneCount     int     // that have ready servers
	readyCount    int
	draining      map[string]bool
	orderCache    map[uint64][]int32 // places in servers, the first in the key's order first
}

// maxCachedPositions bounds the servers in all kept orders: 4 MB.
const maxCachedPositions = 1 << 20

func newFleetView(unitCapacity float64) fleetView {
	return fleetView{unitCapacity: unitCapacity, index: map[string]int{}, draining: map[string]bool{}, orderCache: map[uint64][]int32{}}
}

// setServers takes a whole list. Orders stay where it names the same servers with the same capacities.
func (f *fleetView) setServers(list []Server) {
	servers := slices.Clone(list)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.UID, b.UID) })
	servers = slices.CompactFunc(servers, func(a, b Server) bool { return a.UID == b.UID })
	for i := range servers {
		if !(servers[i].Capacity > 0) {
			servers[i].Capacity = 1
		}
	}
	unchanged := slices.EqualFunc(servers, f.servers, func(a, b Server) bool {
		return a.UID == b.UID && a.Capacity == b.Capacity
	})
	f.servers, f.totalCapacity, f.readyCount = servers, 0, 0
	zones := map[string]bool{}
	for i := range servers {
		if servers[i].Ready {
			f.totalCapacity += f.serverCapacity(i)
			f.readyCount++
			zones[servers[i].Zone] = true
		}
	}
	f.zoneCount = max(len(zones), 1)
	if unchanged {
		return
	}
	clear(f.orderCache)
	clear(f.index)
	f.serverIDs, f.capacities = make([]balance.ServerID, len(servers)), make([]float64, len(servers))
	for i := range servers {
		hash := fnv.New64a() // as sidecars make their ServerID of a uid
		hash.Write([]byte(servers[i].UID))
		f.serverIDs[i], f.capacities[i], f.index[servers[i].UID] = balance.ServerID(hash.Sum64()), servers[i].Capacity, i
	}
	for uid := range f.draining {
		if _, ok := f.index[uid]; !ok {
			delete(f.draining, uid)
		}
	}
}

// serverCapacity is the load that a server does.
func (f *fleetView) serverCapacity(i int) float64 {
	if server := &f.servers[i]; server.ObservedCapacity > 0 && !math.IsInf(server.ObservedCapacity, 1) {
		return server.ObservedCapacity
	}
	return f.unitCapacity * f.servers[i].Capacity
}

// preferenceOrder returns a key's order of all servers.
func (f *fleetView) preferenceOrder(key uint64) []int32 {
	if order, ok := f.orderCache[key]; ok {
		return order
	}
	if (len(f.orderCache)+1)*len(f.servers) > maxCachedPositions {
		clear(f.orderCache)
	}
	scores := make([]float64, len(f.servers))
	order := make([]int32, len(f.servers))
	for i := range order {
		order[i], scores[i] = int32(i), balance.RendezvousPosition(key, f.serverIDs[i], f.capacities[i])
	}
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a, b))
	})
	f.orderCache[key] = order
	return order
}

// homeServerCount returns how many servers a key has by itself, as balance/affinity.go counts them: two, or one of fifteen.
func (f *fleetView) homeServerCount() int { return min(max(2, f.readyCount/15), f.readyCount) }

// canHostReplica tells whether a server may carry a copy that it has; free, whether it may get one.
func (f *fleetView) canHostReplica(i int) bool { return f.servers[i].Ready && !f.servers[i].Excluded }
func (f *fleetView) canAddReplica(i int) bool {
	server := &f.servers[i]
	return f.canHostReplica(i) && !server.WarmingUp && !server.Overloaded && !f.draining[server.UID]
}

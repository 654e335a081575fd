package hotkey

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"milldeck/balance"
)

// Server is a server of the fleet, with the properties that the Planner uses.
type Server struct {
	UID      string
	Zone     string
	PodGroup int // servers of one pod group are likely to fail together

	Capacity         float64 // relative; 1 is used if it is not above 0
	ObservedCapacity float64 // ms of work per second; 0: Config.ServerCapacity times Capacity
	BootMS           float64 // Unix time in ms of its last start, when its cache was empty

	Ready      bool // listed and accepts requests; if false, its replicas are removed
	Excluded   bool // from the traffic of some tenant; hosts no replica
	WarmingUp  bool // in slow start; gets no new replica
	Overloaded bool // responds late or has too much load; gets no new replica
}

// fleetView holds the list of servers and caches the order in which each key prefers them.
type fleetView struct {
	servers       []Server // sorted by UID
	serverIDs     []balance.ServerID
	capacities    []float64 // relative
	index         map[string]int
	unitCapacity  float64 // ms of work per second of a server whose relative capacity is 1
	totalCapacity float64 // of the ready servers, ms of work per second
	zoneCount     int     // zones with ready servers, at least 1
	readyCount    int
	draining      map[string]bool
	orderCache    map[uint64][]int32 // by key: indices of servers in the order of preference
}

const (
	// maxCachedOrderEntries limits the entries of all cached orders together, to 4 MB.
	maxCachedOrderEntries = 1 << 20
	// A key has one home server per serversPerHomeServer ready servers, but at least minHomeServers.
	minHomeServers       = 2
	serversPerHomeServer = 15
)

func newFleetView(unitCapacity float64) fleetView {
	return fleetView{
		unitCapacity: unitCapacity,
		index:        map[string]int{},
		draining:     map[string]bool{},
		orderCache:   map[uint64][]int32{},
	}
}

// setServers replaces the list of servers. Cached orders are kept if the servers and their relative capacities are the same
// as before.
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
	f.servers = servers
	f.countReady()
	if !unchanged {
		f.rebuildIndex()
	}
}

// countReady computes the fields that depend on which servers are ready.
func (f *fleetView) countReady() {
	f.totalCapacity, f.readyCount = 0, 0
	zones := map[string]bool{}
	for i := range f.servers {
		if f.servers[i].Ready {
			f.totalCapacity += f.serverCapacity(i)
			f.readyCount++
			zones[f.servers[i].Zone] = true
		}
	}
	f.zoneCount = max(len(zones), 1)
}

// rebuildIndex computes the fields that depend on which servers are listed, and cancels drains of servers
// that are not listed.
func (f *fleetView) rebuildIndex() {
	clear(f.orderCache)
	clear(f.index)
	f.serverIDs, f.capacities = make([]balance.ServerID, len(f.servers)), make([]float64, len(f.servers))
	for i := range f.servers {
		hash := fnv.New64a()                        // sidecars derive a ServerID from a UID in the same way
		_, _ = hash.Write([]byte(f.servers[i].UID)) // never fails
		f.serverIDs[i] = balance.ServerID(hash.Sum64())
		f.capacities[i] = f.servers[i].Capacity
		f.index[f.servers[i].UID] = i
	}
	for uid := range f.draining {
		if _, ok := f.index[uid]; !ok {
			delete(f.draining, uid)
		}
	}
}

// serverCapacity returns a server's capacity in ms of work per second.
func (f *fleetView) serverCapacity(i int) float64 {
	server := &f.servers[i]
	if server.ObservedCapacity > 0 && !math.IsInf(server.ObservedCapacity, 1) {
		return server.ObservedCapacity
	}
	return f.unitCapacity * server.Capacity
}

// preferenceOrder returns the indices of all servers in a key's order of preference, by rendezvous hashing.
func (f *fleetView) preferenceOrder(key uint64) []int32 {
	if order, ok := f.orderCache[key]; ok {
		return order
	}
	if (len(f.orderCache)+1)*len(f.servers) > maxCachedOrderEntries {
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

// homeServerCount returns the number of home servers of a key. Package balance computes the same number.
func (f *fleetView) homeServerCount() int {
	return min(max(minHomeServers, f.readyCount/serversPerHomeServer), f.readyCount)
}

// forEachHomeServer calls visit with the index of each home server of the key: the first ready servers in its order.
func (f *fleetView) forEachHomeServer(key uint64, visit func(i int)) {
	remaining := f.homeServerCount()
	for _, i := range f.preferenceOrder(key) {
		if remaining == 0 {
			return
		}
		if f.servers[i].Ready {
			remaining--
			visit(int(i))
		}
	}
}

// canHostReplica reports whether a server may keep the replicas that it has.
func (f *fleetView) canHostReplica(i int) bool { return f.servers[i].Ready && !f.servers[i].Excluded }

// canAddReplica reports whether a server may get a new replica.
func (f *fleetView) canAddReplica(i int) bool {
	server := &f.servers[i]
	return f.canHostReplica(i) && !server.WarmingUp && !server.Overloaded && !f.draining[server.UID]
}

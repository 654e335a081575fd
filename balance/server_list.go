package balance

import (
	"cmp"
	"slices"
)

// insertServer applies a new or changed entry of the endpoint list, and inserts the server at its position in this
// sidecar's own order.
func (b *Balancer) insertServer(s *server, entry *Server) {
	oldRank, oldCapacity, i := s.rank, s.RelativeCapacity, b.indexByRank(s, s.rank)
	s.Server = *entry
	if !(s.RelativeCapacity > 0) {
		s.RelativeCapacity = 1
	}
	s.rank, s.zoneHealth = b.ownOrderRank(s), b.healthOfZone(s.Zone)
	b.gossip.serversByTag[serverTag(s.ID)] = s
	if i < 0 || oldCapacity != s.RelativeCapacity {
		b.keyOrders.recordChange(s)
	}
	if i >= 0 && oldRank != s.rank {
		b.servers = slices.Delete(b.servers, i, i+1)
	}
	if i < 0 || oldRank != s.rank {
		i, _ = slices.BinarySearchFunc(b.servers, s.rank, compareRank)
		b.servers = slices.Insert(b.servers, i, s)
	}
}

// indexByRank returns the index of a server that was inserted with a rank, -1 if it was not inserted.
func (b *Balancer) indexByRank(s *server, rank float64) int {
	i, _ := slices.BinarySearchFunc(b.servers, rank, compareRank)
	for ; i < len(b.servers) && b.servers[i].rank == rank; i++ {
		if b.servers[i] == s {
			return i
		}
	}
	return -1
}

func compareRank(s *server, rank float64) int { return cmp.Compare(s.rank, rank) }

// removeUnlisted marks the servers that a complete list does not contain as removed.
func (b *Balancer) removeUnlisted(entries []Server) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range b.servers {
		if !listed[s.ID] {
			s.State = Removed
			b.scheduleRefresh(s)
		}
	}
}

// dropRemoved drops the removed servers and keeps the order of the others.
func (b *Balancer) dropRemoved() {
	remaining := b.servers[:0]
	for _, s := range b.servers {
		if s.State != Removed {
			remaining = append(remaining, s)
			continue
		}
		delete(b.serversByID, s.ID)
		delete(b.gossip.serversByTag, serverTag(s.ID))
		b.keyOrders.recordChange(s)
	}
	clear(b.servers[len(remaining):])
	b.servers = remaining
}

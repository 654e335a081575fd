package balance

import "math"

// RendezvousPosition returns a server's position in a key's order, by weighted rendezvous hashing. The lowest
// position comes first. The position is the same at all sidecars, and at any other component that must know the first
// servers of a key. relativeCapacity is the capacity of the server and must be above 0.
func RendezvousPosition(key uint64, id ServerID, relativeCapacity float64) float64 {
	return -math.Log(float64(splitmix64(splitmix64(key)^uint64(id))>>11+1)/(1<<53)) / relativeCapacity
}

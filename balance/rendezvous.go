package balance

import "math"

// RendezvousPosition is a server's position in a key's order, by weighted rendezvous hashing. The lowest position comes
// first. It is the same at all sidecars and at whoever else has to know which servers come first for a key.
// relativeCapacity is the server's and must be above 0.
func RendezvousPosition(key uint64, id ServerID, relativeCapacity float64) float64 {
	return -math.Log(float64(splitmix64(splitmix64(key)^uint64(id))>>11+1)/(1<<53)) / relativeCapacity
}

package balance

import "math"

// RendezvousPosition is a server's place in a key's order, by weighted rendezvous hashing: the same at all sidecars and at whoever
// else has to know which servers come first for a key. The lowest place is first. The rating is the server's, above 0.
func RendezvousPosition(key uint64, id ServerID, relativeCapacity float64) float64 {
	return -math.Log(float64(splitmix64(splitmix64(key)^uint64(id))>>11+1)/(1<<53)) / relativeCapacity
}

package balance

import "math"

// KeyPlace is a server's place in a key's order, by weighted rendezvous hashing: the same at all sidecars and at whoever
// else has to know which servers come first for a key. The lowest place is first. The rating is the server's, above 0.
func KeyPlace(key uint64, id ServerID, rating float64) float64 {
	return -math.Log(float64(mix(mix(key)^uint64(id))>>11+1)/(1<<53)) / rating
}

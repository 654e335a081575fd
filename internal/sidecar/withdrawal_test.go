package sidecar

import (
	"testing"

	"milldeck/balance"
)

// A withdrawal identifies a server by its UID, so an entry that withdraws a server needs no valid address.
func TestWithdrawalNeedsNoAddress(t *testing.T) {
	for _, state := range []string{"Terminating", "Gone", "Unheard-of"} {
		for _, address := range []string{"", "host:1", "127.0.0.1"} {
			t.Run(state+"/"+address, func(t *testing.T) {
				serverA, serverB := readyEndpoint("a", "127.0.0.1:7"), readyEndpoint("b", "127.0.0.1:8")
				loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", serverA, serverB))
				withdrawn := serverA
				withdrawn.State, withdrawn.Address = state, address
				list := endpointList{Revision: 2, Endpoints: []endpoint{withdrawn}}
				if err := list.sanitize(); err != nil {
					t.Fatalf("the list is rejected: %v", err)
				}
				loop.handleEvent(loop.nowMS(), deltaUpdate(list.Revision, list.Endpoints...))
				if loop.readyUpstreams[loop.config.serverID("a")] != nil {
					t.Error("the server is still used")
				}
			})
		}
	}
}

// Two zones that the settings do not name are distinct: a server in one zone does not know an idempotency key that was sent
// to a server in the other zone, so a request with the key is not retried there.
func TestUnknownZonesAreDistinct(t *testing.T) {
	document := newConfigDocument("127.0.0.1:1").replaceSetting(`"group": "cell"`, `"group": "zone"`)
	for _, zones := range [][2]string{{"x", "y"}, {"", "x"}, {"z", "x"}} {
		serverA, serverB := newBackend(t, "a", respondAndReset("")), newBackend(t, "b", respondAndReset(""))
		first, second := serverA.endpoint, serverB.endpoint
		first.Zone, second.Zone = zones[0], zones[1]
		loop := newSteppedLoop(t, document)
		loop.handleEvent(loop.nowMS(), fullUpdate(2, first, second))
		call := loop.submit("reserve")
		loop.handleEvent(loop.nowMS(), loop.nextCompleted())
		if len(call.attempts) != 1 || call.attempts[0].result != balance.Reset {
			t.Errorf("zones %q: %d attempts were decided, the first ended with %v", zones, len(call.attempts), call.attempts[0].result)
		}
		for call.inFlight > 0 {
			loop.handleEvent(loop.nowMS(), loop.nextCompleted())
		}
		loop.disconnect(call)
	}
}

package balance_test

import (
	"fmt"

	"milldeck/balance"
)

// A sidecar feeds its balancer events and carries out the actions that come back.
func Example() {
	b, err := balance.New(balance.Config{
		Seed: 1, MaxAttempts: 2,
		Classes: []balance.Class{{Idempotency: balance.Idempotent, LatencyObjective: 100, Deadline: 400, PriorityWeight: 1}},
	})
	if err != nil {
		fmt.Println("settings:", err)
		return
	}
	b.Start(0)
	handle := func(now float64, ev balance.Event) {
		actions, err := b.Handle(now, ev)
		if err != nil {
			fmt.Println("invalid event:", err)
		}
		for _, a := range actions {
			switch a.Kind {
			case balance.Send:
				fmt.Printf("%v ms: send request %d to server %d\n", now, a.Request, a.Server)
			case balance.SetTimer:
				fmt.Printf("%v ms: timer %d in %v ms\n", now, a.Token, a.Delay)
			case balance.Reject:
				fmt.Printf("%v ms: reject request %d\n", now, a.Request)
			}
		}
	}
	handle(0, balance.EndpointUpdate{Kind: balance.UpdateFull, Servers: []balance.Server{{ID: 10, RelativeCapacity: 1}, {ID: 20, RelativeCapacity: 1}}})
	handle(5, balance.Request{ID: 1, Timeout: 400})
	handle(6, balance.Outcome{Request: 1, Server: 20, Result: balance.Overloaded, Elapsed: 1})
	handle(9, balance.Outcome{Request: 1, Attempt: 1, Server: 10, Result: balance.OK, Elapsed: 3, RequestDone: true})
	// Output:
	// 5 ms: send request 1 to server 20
	// 5 ms: timer 1 in 50 ms
	// 6 ms: send request 1 to server 10
}

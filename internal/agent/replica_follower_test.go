package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
)

// 2,000 agents lose their replica at the same time. Agents that know the size of the fleet spread their reconnects. The
// test compares their peak rate with the peak rate of agents that do not know the fleet's size.
func TestNoThunderingHerdAfterReplicaLoss(t *testing.T) {
	const agents = 2000
	const maxPeak = 1400 // 1,000 per second by reconnectSpreadPerAgent, plus the random excess of the worst second
	peakReconnects := func(fleetSize int) int {
		block := proctest.ReserveAddressBlock(t)
		replica := startReplica(t, block)
		client := newClient(t, replica.Addr())
		if _, err := client.Register(t.Context(), registry.WriteOptions{}, readyInstances(3)...); err != nil {
			t.Fatal(err)
		}
		first := newCountingProxy(t, block.Addr(202, 0, 8500), replica.Addr())
		second := newCountingProxy(t, block.Addr(202, 1, 8500), replica.Addr())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var started sync.WaitGroup
		var running sync.WaitGroup
		defer running.Wait()
		defer stop()
		for n := range agents {
			started.Add(1)
			running.Go(func() {
				// The agent only watches the list, because thousands of agents run in this process.
				agent, err := newAgent(Options{
					Listen: "127.0.0.1:0", Replicas: []string{first.listener.Addr().String(), second.listener.Addr().String()}, FleetSize: fleetSize,
				})
				if err != nil {
					t.Error(err)
					started.Done()
					return
				}
				defer agent.client.Close()
				go func() {
					for !agent.listKnown.Load() && ctx.Err() == nil {
						time.Sleep(10 * time.Millisecond)
					}
					started.Done()
				}()
				agent.followListFrom(ctx, 0)
			})
			if n%100 == 99 {
				started.Wait() // agents start in groups, because only the reconnects are measured
			}
		}
		started.Wait()
		first.close()
		waitFor(t, "all agents have reconnected to the second replica", func() bool { return second.total() >= agents })
		return second.peak()
	}
	unspreadPeak, spreadPeak := peakReconnects(1), peakReconnects(agents)
	t.Logf("peak reconnects per second: %d spread by fleet size, %d without", spreadPeak, unspreadPeak)
	if spreadPeak > maxPeak || spreadPeak > unspreadPeak*3/4 {
		t.Errorf("%d reconnects within a second, %d without the spread", spreadPeak, unspreadPeak)
	}
}

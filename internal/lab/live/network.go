package live

import (
	"context"
	"sync"
	"time"

	"milldeck/internal/lab"
)

// network holds the faults in force on the links between clients, sidecars, servers and discovery. It is safe for
// concurrent use.
type network struct {
	mu                 sync.Mutex
	faults             []*lab.Fault
	unreachableServers map[int]bool  // servers whose machine is unreachable, or whose process is stopped
	changed            chan struct{} // closed and replaced at each change
}

// linkState is the state of a link in one direction.
type linkState struct {
	partitioned bool
	extraDelay  time.Duration
	loss        float64         // probability that a message is lost
	changed     <-chan struct{} // closed when the state may have changed
}

func newNetwork() *network {
	return &network{unreachableServers: map[int]bool{}, changed: make(chan struct{})}
}

// update applies a change and wakes all messages that wait for a partition to end.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// setUnreachable makes servers unreachable or reachable, all at the same time.
func (n *network) setUnreachable(servers []int, unreachable bool) {
	n.update(func() {
		for _, server := range servers {
			if unreachable {
				n.unreachableServers[server] = true
			} else {
				delete(n.unreachableServers, server)
			}
		}
	})
}

// state returns the current state of a link in one direction.
func (n *network) state(from, to lab.LinkEnd) linkState {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := linkState{changed: n.changed}
	for _, end := range []lab.LinkEnd{from, to} {
		if end.Kind == lab.ServerEnd && n.unreachableServers[end.Index] {
			state.partitioned = true
		}
	}
	for _, fault := range n.faults {
		if !fault.Affects(from, to) {
			continue
		}
		switch fault.Kind {
		case lab.FaultPartition:
			state.partitioned = true
		case lab.FaultPacketLoss:
			state.loss = max(state.loss, fault.Probability)
		case lab.FaultDelay:
			state.extraDelay += milliseconds(fault.DelayMS)
		}
	}
	return state
}

// transmit waits until the link is not partitioned, and then for the message's delay plus the link's extra delay. It
// returns false if the message is lost or ctx ends. draw, a random number from 0 to 1, decides whether it is lost.
func (n *network) transmit(ctx context.Context, from, to lab.LinkEnd, delay time.Duration, draw float64) bool {
	state := n.state(from, to)
	if draw < state.loss {
		return false
	}
	for state.partitioned {
		select {
		case <-ctx.Done():
			return false
		case <-state.changed:
		}
		state = n.state(from, to)
	}
	return sleep(ctx, delay+state.extraDelay)
}

// sleep waits for a duration. It returns false if ctx has ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// milliseconds converts a number of ms to a time.Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package sidecar

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/balance"
)

// crowdedDiscovery is a discovery service that answers calls in turn, one each serviceTime. If skipsCancelled is set, a call
// that was given up takes no service time.
type crowdedDiscovery struct {
	serviceTime    time.Duration
	skipsCancelled bool
	queue          chan queuedCall
	calls          int
	mu             sync.Mutex
	workers        sync.WaitGroup
}

// queuedCall is a call that waits in turn.
type queuedCall struct {
	conn      net.Conn
	cancelled chan struct{} // closed when the sidecar has closed the connection
}

const crowdQueueSize = 100000

func (d *crowdedDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	d.workers.Go(func() {
		defer remote.Close()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err != nil {
			return
		}
		d.mu.Lock()
		d.calls++
		d.mu.Unlock()
		call := queuedCall{remote, make(chan struct{})}
		d.queue <- call
		discard(remote)
		close(call.cancelled)
	})
	return local, nil
}

// serve answers the calls until ctx ends.
func (d *crowdedDiscovery) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-d.queue:
			select {
			case <-call.cancelled:
				if d.skipsCancelled {
					continue
				}
			default:
			}
			time.Sleep(d.serviceTime)
			tryWrite(call.conn, streamHeader+firstList)
		}
	}
}

// startCrowd starts sidecars within a time and returns when the last of them has its list.
func startCrowd(t *testing.T, sidecars int, within time.Duration, discovery *crowdedDiscovery) (last time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		discovery.queue = make(chan queuedCall, crowdQueueSize)
		discovery.workers.Go(func() { discovery.serve(ctx) })
		startedAt := time.Now()
		var work sync.WaitGroup
		var missing atomic.Int64
		missing.Store(int64(sidecars))
		done := make(chan struct{})
		for i := range sidecars {
			clientCtx, stop := context.WithCancel(ctx)
			received := sync.OnceFunc(func() {
				if stop(); missing.Add(-1) == 0 {
					close(done)
				}
			})
			client := newDiscoveryClient("127.0.0.1:1", &balance.Config{SidecarCount: sidecars}, func(event loopEvent) {
				if event.(endpointUpdate).kind != balance.UpdateFailed {
					received()
				}
			}, func(task func()) { work.Go(task) })
			client.client.Transport.(*http.Transport).DialContext = discovery.dial
			work.Go(func() {
				time.Sleep(within * time.Duration(i) / time.Duration(sidecars))
				client.watch(clientCtx)
			})
		}
		select {
		case <-done:
		case <-time.After(5 * time.Minute):
			t.Errorf("%d of %d sidecars have no list after five minutes", missing.Load(), sidecars)
		}
		last = time.Since(startedAt)
		cancel()
		work.Wait()
		discovery.workers.Wait()
	})
	return last
}

// Sidecars that are restarted at once crowd discovery. Calls that were given up lost their turns: the last lists came up to
// half as late again, or never if discovery answers calls that were given up. Calls beside each other must not make it worse:
// all sidecars have their lists as soon as discovery can answer one call of each, with no more calls than before.
func TestCrowdOfCallsLosesItsTurns(t *testing.T) {
	const longestStart = 3 * time.Second // the sidecars' first calls are spread over this time at most
	for _, test := range []struct {
		sidecars    int
		serviceTime time.Duration
		before      int // calls when each was given up after 2.5 s, or 5 s from the third on; discovery skipped those
	}{
		{30, 200 * time.Millisecond, 46},
		{30, 300 * time.Millisecond, 67},
		{60, 50 * time.Millisecond, 60},
		{60, 100 * time.Millisecond, 71},
		{60, 200 * time.Millisecond, 173},
		{300, 20 * time.Millisecond, 351},
		{300, 50 * time.Millisecond, 1021},
	} {
		for _, skipsCancelled := range []bool{true, false} {
			discovery := &crowdedDiscovery{serviceTime: test.serviceTime, skipsCancelled: skipsCancelled}
			within := min(time.Duration(test.sidecars)*50*time.Millisecond, longestStart)
			last := startCrowd(t, test.sidecars, within, discovery)
			shortest := time.Duration(test.sidecars) * test.serviceTime
			if last > shortest+processingReserve || discovery.calls > test.before {
				t.Errorf("%d sidecars, %v a call, skips %v: the last list after %v (%v at best), %d calls (%d before)",
					test.sidecars, test.serviceTime, skipsCancelled, last, shortest, discovery.calls, test.before)
			}
		}
	}
}

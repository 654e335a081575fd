package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/balance"
)

const (
	// waitStep is the step between two waits of a call, and between two ends of a partition, that the tests play.
	waitStep = 100 * time.Millisecond
	// processingReserve is what the tests leave of the 6 s for a sidecar that is busy.
	processingReserve = 100 * time.Millisecond
	// longestWait is the longest wait of a call in discovery's queue after which the list has to arrive at all.
	longestWait = 50 * time.Second
)

// lateDiscovery is a discovery service that answers each call after a time, and no call that was opened during a partition.
// The discovery client is connected through pipes in place of sockets.
type lateDiscovery struct {
	wait         time.Duration
	firstSilent  bool // the first call is answered at once and its watch sends nothing more
	cutUntil     time.Time
	calls        int
	open, mostOf int
	mu           sync.Mutex
	workers      sync.WaitGroup
}

func (d *lateDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	d.workers.Go(func() {
		defer remote.Close()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err != nil {
			return
		}
		number := d.countCall()
		defer d.countEnd()
		answer := streamHeader + strings.Replace(firstList, "1", "9", 1)
		switch {
		case number == 1 && d.firstSilent:
			tryWrite(remote, streamHeader+firstList)
		case !time.Now().Before(d.cutUntil):
			cancelled := make(chan struct{})
			d.workers.Go(func() { discard(remote); close(cancelled) })
			select {
			case <-cancelled:
				return
			case <-time.After(d.wait):
				tryWrite(remote, answer)
			}
			<-cancelled
			return
		}
		discard(remote)
	})
	return local, nil
}

func (d *lateDiscovery) countCall() (number int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.open++
	d.mostOf = max(d.mostOf, d.open)
	return d.calls
}

func (d *lateDiscovery) countEnd() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// timeToList starts a watch of a sidecar of a fleet and returns the time until revision 9 arrives. The partition lasts for
// cut from the start of the first call.
func timeToList(t *testing.T, sidecars int, cut time.Duration, discovery *lateDiscovery) (elapsed time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		received := make(chan struct{})
		var once sync.Once
		var work sync.WaitGroup
		client := newDiscoveryClient("127.0.0.1:1", &balance.Config{SidecarCount: sidecars}, func(event loopEvent) {
			if update := event.(endpointUpdate); update.endpoints.Revision == 9 {
				once.Do(func() { close(received) })
			}
		}, func(task func()) { work.Go(task) })
		client.client.Transport.(*http.Transport).DialContext = discovery.dial
		startedAt := time.Now()
		discovery.cutUntil = startedAt.Add(cut)
		client.watch(ctx)
		select {
		case <-received:
		case <-time.After(time.Minute):
			t.Errorf("calls wait for %v, partition for %v: no list within a minute", discovery.wait, cut)
		}
		elapsed = time.Since(startedAt)
		cancel()
		work.Wait()
		discovery.workers.Wait()
	})
	if discovery.mostOf > maxOpenCalls+1 { // the end of a call that is given up may come late
		t.Errorf("calls wait for %v, partition for %v: %d calls were open at a time", discovery.wait, cut, discovery.mostOf)
	}
	return elapsed
}

// A call that waited in discovery's queue was given up after 2.5 s and lost its turn, so the list came after 6 s, or never.
func TestQueuedCallLosesItsTurn(t *testing.T) {
	for _, sidecars := range []int{1, 3, 30, 31, 300} {
		for wait := time.Duration(0); wait <= notificationDeadline-processingReserve; wait += waitStep {
			if elapsed := timeToList(t, sidecars, 0, &lateDiscovery{wait: wait}); elapsed > wait+processingReserve {
				t.Errorf("%d sidecars, each call waits for %v: list after %v", sidecars, wait, elapsed)
			}
		}
	}
}

// A watch was answered and fell silent, and the call after it was given up while it waited in discovery's queue.
func TestCallAfterSilentWatchLosesItsTurn(t *testing.T) {
	waitLimit := notificationDeadline - watchHeartbeatTimeout - initialBackoff - processingReserve
	for _, sidecars := range []int{3, 300} {
		for wait := time.Duration(0); wait <= waitLimit; wait += waitStep {
			if elapsed := timeToList(t, sidecars, 0, &lateDiscovery{wait: wait, firstSilent: true}); elapsed >= notificationDeadline {
				t.Errorf("%d sidecars, each call waits for %v: list %v after the silence began", sidecars, wait, elapsed)
			}
		}
	}
}

// Calls that were opened during a partition stay silent after its end, and calls after its end wait in discovery's queue:
// they were given up too. The list must arrive within 6 s of the end of the partition. In large fleets discovery gets fewer
// calls from the third on, which leaves less time for the wait.
func TestCallAfterPartitionLosesItsTurn(t *testing.T) {
	for _, test := range []struct {
		sidecars          int
		cutFrom, cutUntil time.Duration
		waitLimit         time.Duration
	}{
		{3, 0, 20 * time.Second, 3300 * time.Millisecond},
		{30, 0, 20 * time.Second, 3300 * time.Millisecond},
		{300, 0, 5200 * time.Millisecond, 3300 * time.Millisecond},
		{300, 5200 * time.Millisecond, 20 * time.Second, 800 * time.Millisecond},
	} {
		worst := time.Duration(0)
		for cut := test.cutFrom; cut <= test.cutUntil; cut += waitStep {
			for _, wait := range []time.Duration{0, test.waitLimit / 2, test.waitLimit} {
				elapsed := timeToList(t, test.sidecars, cut, &lateDiscovery{wait: wait}) - cut
				if worst = max(worst, elapsed); elapsed >= notificationDeadline {
					t.Errorf("%d sidecars, partition for %v, then each call waits for %v: list %v after its end", test.sidecars, cut, wait, elapsed)
				}
			}
		}
		t.Logf("%d sidecars, partitions of %v to %v: %v at the worst", test.sidecars, test.cutFrom, test.cutUntil, worst)
	}
}

// Where each call waited for longer than the longest timeout, no list ever arrived.
func TestListFromVerySlowDiscoveryNeverArrives(t *testing.T) {
	for _, sidecars := range []int{3, 300} {
		for wait := notificationDeadline; wait <= longestWait; wait += 5 * waitStep {
			if elapsed := timeToList(t, sidecars, 0, &lateDiscovery{wait: wait}); elapsed > wait+notificationDeadline {
				t.Errorf("%d sidecars, each call waits for %v: list after %v", sidecars, wait, elapsed)
			}
		}
	}
}

// Calls are open beside each other, and two of them are answered at the same time: only one may post lists, as an older list
// must not take a newer one's place. The other one is cancelled.
func TestOlderListFromSecondCall(t *testing.T) {
	for round := range 20 {
		synctest.Test(t, func(t *testing.T) {
			scripted := &scriptedDiscovery{}
			answerAt := time.Now().Add(5 * time.Second)
			answer := func(revision int) func(net.Conn) {
				return func(remote net.Conn) {
					time.Sleep(time.Until(answerAt))
					for i := range 3 {
						tryWrite(remote, map[bool]string{true: streamHeader}[i == 0]+fmt.Sprintf(`{"rev":%d,"all":true,"targets":[]}`+"\n", revision+i))
					}
				}
			}
			scripted.addCalls(answer(10), answer(20))
			var mu sync.Mutex
			var posted []int64
			var work sync.WaitGroup
			client := newDiscoveryClient("127.0.0.1:1", &balance.Config{SidecarCount: 3}, func(event loopEvent) {
				mu.Lock()
				defer mu.Unlock()
				posted = append(posted, event.(endpointUpdate).endpoints.Revision)
			}, func(task func()) { work.Go(task) })
			client.client.Transport.(*http.Transport).DialContext = scripted.dial
			client.watch(t.Context())
			time.Sleep(6 * time.Second)
			client.cancel()
			work.Wait()
			scripted.workers.Wait()
			if !slices.Equal(posted, []int64{10, 11, 12}) && !slices.Equal(posted, []int64{20, 21, 22}) || len(scripted.calls) != 2 {
				t.Errorf("round %d: revisions %v after %d calls", round, posted, len(scripted.calls))
			}
		})
	}
}

// A call that is given up and answered at the same moment must not cancel the calls that still wait in the queue.
func TestGivenUpCallCancelsOthers(t *testing.T) {
	client := newDiscoveryClient("127.0.0.1:1", &balance.Config{SidecarCount: 3}, nil, nil)
	calls := newParallelCalls(client.newCall(t.Context()))
	oldestCtx, cancelOldest := context.WithCancelCause(t.Context())
	defer cancelOldest(nil)
	givenUpCtx, giveUp := context.WithCancelCause(t.Context())
	oldest, givenUp := &discoveryCall{ctx: oldestCtx}, &discoveryCall{ctx: givenUpCtx}
	calls.open = []openCall{{oldest, cancelOldest}, {givenUp, giveUp}}
	giveUp(errDiscoveryTimeout)
	if calls.claim(givenUp) || oldestCtx.Err() != nil {
		t.Error("the call that was given up became the watch")
	}
	if !calls.claim(oldest) {
		t.Error("the oldest call cannot become the watch")
	}
}

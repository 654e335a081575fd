package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const rejectedCallResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// answerLate answers all later calls with the same text, each after a wait.
func (registry *fakeRegistry) answerLate(t *testing.T, wait time.Duration, text string) {
	done := make(chan struct{})
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			select {
			case conn := <-registry.calls:
				goroutines.Go(func() {
					select {
					case <-time.After(wait):
						tryWrite(conn, text)
					case <-done:
					}
				})
			case <-done:
				return
			}
		}
	})
	t.Cleanup(func() { close(done); goroutines.Wait() })
}

// startPolledRig starts a sidecar that polls its list, with a new connection for each request.
func startPolledRig(t *testing.T, sidecars int) *sidecarRig {
	t.Helper()
	rig := startRigWith(t, rigOptions{discoveryMode: "subscribe", sidecars: sidecars})
	rig.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return rig
}

// checkDrained checks that the draining server gets no requests after a deadline.
func (rig *sidecarRig) checkDrained(description string, deadline time.Time) {
	rig.t.Helper()
	time.Sleep(time.Until(deadline))
	for i := range 100 {
		if answer := rig.request(); answer != fmt.Sprint(1-rig.drainingIndex) {
			rig.t.Fatalf("%s: request %d after the deadline was answered by %q", description, i, answer)
		}
	}
}

// Each call waits in discovery's queue. The sidecar gave up the calls, and the list came after 6 s or never.
func TestQueuedCallsDelayList(t *testing.T) {
	for _, wait := range []time.Duration{2600 * time.Millisecond, 4 * time.Second, 5500 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			rig := startPolledRig(t, 3)
			defer rig.terminate()
			list := listResponseHeader + rig.listJSON(1, true, "Terminating", "")
			first := rig.registry.nextCall(t)
			calledAt := time.Now()
			time.AfterFunc(wait, func() { tryWrite(first, list) })
			rig.registry.answerLate(t, wait, list)
			rig.checkDrained("the list", calledAt.Add(notificationDeadline))
		})
	}
}

// A watch is answered and falls silent, and calls after it wait in discovery's queue: they were given up.
func TestQueuedCallsAfterSilenceDelayDrain(t *testing.T) {
	for _, wait := range []time.Duration{2400 * time.Millisecond, 3200 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			rig := startPolledRig(t, 3)
			defer rig.terminate()
			watch := rig.registry.nextCall(t)
			tryWrite(watch, listResponseHeader+rig.listJSON(1, true, "Ready", ""))
			silentFrom := time.Now()
			rig.awaitAnswers("the list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
			rig.registry.answerLate(t, wait, listResponseHeader+rig.listJSON(2, false, "Terminating", ""))
			rig.checkDrained("the drain", silentFrom.Add(notificationDeadline))
		})
	}
}

// Two SIGHUPs name other discovery services while calls wait, and calls to the last one wait in its queue: they were given up.
func TestQueuedCallsAfterAddressChangesDelayDrain(t *testing.T) {
	for _, wait := range []time.Duration{2600 * time.Millisecond, 3600 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			rig := startPolledRig(t, 3)
			defer rig.terminate()
			tryWrite(rig.registry.nextCall(t), listResponseHeader+rig.listJSON(1, true, "Ready", ""))
			rig.awaitAnswers("the list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
			silent, last := newFakeRegistry(t), newFakeRegistry(t)
			rig.reloadDiscovery(silent.Addr().String())
			waiting := silent.nextCall(t)
			rig.reloadDiscovery(last.Addr().String())
			changedAt := time.Now()
			last.answerLate(t, wait, listResponseHeader+rig.listJSON(2, true, "Terminating", ""))
			rig.checkDrained("the drain", changedAt.Add(addressChangeDeadline))
			tryWrite(waiting, listResponseHeader+rig.listJSON(9, true, "Ready", "")) // a list of the former service is ignored
			rig.checkDrained("a list of the former service", time.Now())
		})
	}
}

// Discovery rejects two calls that have waited, and the backoff after them was longer than what was left of the 6 s.
func TestRejectedCallsDelayList(t *testing.T) {
	for _, wait := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond, 2400 * time.Millisecond} {
		for _, sidecars := range []int{3, 30} {
			t.Run(fmt.Sprintf("%v, %d sidecars", wait, sidecars), func(t *testing.T) {
				t.Parallel()
				rig := startPolledRig(t, sidecars)
				defer rig.terminate()
				first := rig.registry.nextCall(t)
				calledAt := time.Now()
				time.Sleep(wait)
				tryWrite(first, rejectedCallResponse)
				first.Close()
				second := rig.registry.nextCall(t)
				time.Sleep(wait)
				tryWrite(second, rejectedCallResponse)
				second.Close()
				rig.registry.answerAll(t, listResponseHeader+rig.listJSON(1, true, "Terminating", ""))
				rig.checkDrained("the list", calledAt.Add(notificationDeadline))
			})
		}
	}
}

package sidecar

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// lateErrorAfterFifth executes a request in up to 20 ms and responds with its ID. It lets an error follow every fifth success, 4 to
// 14 ms later.
func lateErrorAfterFifth(judge *copyJudge, text string) func(net.Conn, *http.Request) serverResponse {
	const maxExecution = 20 * time.Millisecond
	const minDelay, delayRange = 4 * time.Millisecond, 10 * time.Millisecond
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(3, 4))
	return func(_ net.Conn, r *http.Request) serverResponse {
		mu.Lock()
		execution := time.Duration(random.Float64() * float64(maxExecution))
		errorFollows := random.IntN(5) == 0
		delay := minDelay + time.Duration(random.Float64()*float64(delayRange))
		mu.Unlock()
		time.Sleep(execution)
		id := r.Header.Get(requestIDHeader)
		response := serverResponse{text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)}
		if errorFollows {
			judge.late.Add(1)
			response.afterward = func(conn net.Conn, sentAt time.Time) {
				go judge.sendLate(conn, text, sentAt, delay)
			}
		}
		return response
	}
}

// sendLate writes text after a delay. A connection on which a busy machine has made it too late is left out of the count.
func (judge *copyJudge) sendLate(conn net.Conn, text string, sentAt time.Time, delay time.Duration) {
	defer judge.late.Add(-1)
	time.Sleep(delay)
	tryWrite(conn, text)
	if time.Since(sentAt) >= reuseDelayAfterError {
		judge.ignore(conn)
	}
}

// countWrong returns how many requests were not served, and how many got the response to another request.
func (judge *copyJudge) countWrong(results map[string]clientResult) (notServed, foreign int) {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	for id, got := range results {
		conns := judge.arrived[id]
		switch {
		case judge.countInTime(conns) < len(conns):
		case got.status != http.StatusOK:
			notServed++
		case got.body != id:
			foreign++
		}
	}
	return notServed, foreign
}

// sendAndCollect sends requests of a class from some clients and returns the results by request ID.
func (sidecar *testSidecar) sendAndCollect(class string) map[string]clientResult {
	const clients = 5
	results := map[string]clientResult{}
	var mu sync.Mutex
	var work sync.WaitGroup
	for range clients {
		work.Go(func() {
			for range copyRequests / clients {
				request := sidecar.newRequest(class, time.Second)
				got := sidecar.do(request)
				mu.Lock()
				results[request.Header.Get(requestIDHeader)] = got
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return results
}

// An error that follows a success is not given to the next request on the connection: that request would be executed twice, or
// served and reported as failed, and the one after it would get its response.
func TestLateErrorIsNotGivenToNextRequest(t *testing.T) {
	for name, text := range map[string]string{"error": errorText, "not processed": notProcessedText} {
		for _, class := range []string{"lookup", "charge"} {
			t.Run(name+"/"+class, func(t *testing.T) {
				judge := newCopyJudge()
				serve := judge.watch(lateErrorAfterFifth(judge, text))
				serverA, serverB, serverC := newBackend(t, "a", serve), newBackend(t, "b", serve), newBackend(t, "c", serve)
				sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), serverA.endpoint, serverB.endpoint, serverC.endpoint),
					func(sidecar *Sidecar) { sidecar.loop.pool.reuseDelay = reuseDelay })
				sidecar.tolerateSuspension()
				results := sidecar.sendAndCollect(class)
				t.Logf("%d connections", serverA.conns.Load()+serverB.conns.Load()+serverC.conns.Load())
				judge.assertNoCopy(t)
				if twice := judge.forwardedTwice(); twice != 0 {
					t.Errorf("%d requests executed twice", twice)
				}
				if notServed, foreign := judge.countWrong(results); notServed+foreign != 0 {
					t.Errorf("%d requests not served, %d responses to other requests", notServed, foreign)
				}
			})
		}
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// settingsFormat are the settings of a small deployment: the names, limits and rules of ferry-tickets, where lists are pushed and a
// class is unsafe to repeat.
const settingsFormat = `{"classes":[
 {"name":"charge-card","effect":"non_idempotent","group":"all","on_time_ms":%d,"hard_limit_ms":3500,"worth":8,"late_worth":0,"window_ms":5000},
 {"name":"timetable","effect":"read_like","group":"all","on_time_ms":450,"hard_limit_ms":1400,"worth":2,"late_worth":0,"window_ms":5000}],
 "clients":{"marks_retry":false},"discovery":"automatic","family_info":{"warm_keys":false},"kinds":["m"],
 "limits":{"cancel":true,"conn_idle_ms":15000,"connect_timeout_ms":250,"max_attempts":4,"max_retry_after_ms":1500,"may_tell":false,
  "open_cap":24166,"parallel_tries":false,"probes":false,"retry_after":true},
 "my_number":0,"peers_total":1,"quantum_ms":2,"report":{"fields":[],"via":"silent"},
 "rules":{"answer_slack_ms":20,"ask_within_ms":10000,"cold_from":0.5,"cold_ms":1000,"drain_grace_ms":600,"fall_ms":1800,"fall_multiple":3.5},
 "weights":"nominal","zone":0,"zones":["north-quay","south-quay","island"]}`

const (
	clientTimeoutMS = 3500 // the hard limit of charge-card
	defaultAimMS    = 800
	startSpread     = time.Second
	drainGrace      = 600 * time.Millisecond
	socketSlack     = 50 * time.Millisecond // each time limit grows by 50 ms on sockets
	// toldLimit is the time by which a change of the list counts as told, whether it arrived or not.
	toldLimit = 6 * time.Second
)

// answer is what a client got for one request.
type answer struct {
	id         string
	status     int // 0: no answer
	text       string
	sentAt, at time.Time
}

// clients are the application's clients at one sidecar: each sends one request after the other on its own connection.
type clients struct {
	address string
	class   string
	nextID  *atomic.Uint64

	mu      sync.Mutex
	answers []answer
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// startClients starts clients that send requests of the class charge-card.
func startClients(address string, count int, pause time.Duration) *clients {
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{address: address, class: "charge-card", nextID: &atomic.Uint64{}, cancel: cancel}
	c.nextID.Store(rand.Uint64() >> 1)
	for range count {
		c.workers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: clientTimeoutMS*time.Millisecond + time.Second}
			time.Sleep(rand.N(startSpread)) // so that the clients do not run in step
			for ctx.Err() == nil {
				c.send(client)
				time.Sleep(rand.N(2 * pause))
			}
		})
	}
	return c
}

func (c *clients) send(client *http.Client) {
	id := fmt.Sprintf("%016x", c.nextID.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/api", strings.NewReader("{}"))
	if err != nil {
		return
	}
	request.Header.Set("X-Request-ID", id)
	request.Header.Set("X-Priority-Class", c.class)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(clientTimeoutMS))
	got := answer{id: id, sentAt: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		got.status, got.text, err = response.StatusCode, string(body), readErr
	}
	if err != nil {
		got.status, got.text = 0, err.Error()
	}
	got.at = time.Now()
	c.mu.Lock()
	c.answers = append(c.answers, got)
	c.mu.Unlock()
}

// stop ends the clients after their open requests, and returns all answers.
func (c *clients) stop() []answer {
	c.cancel()
	c.workers.Wait()
	return c.answers
}

// recordTraffic writes to the record what clients sent and got, and what the given servers saw.
func (r *run) recordTraffic(answers []answer, servers ...string) {
	for _, a := range answers {
		r.write("request %s sent at %.3f s, answered %d at %.3f s: %s", a.id, a.sentAt.Sub(r.started).Seconds(), a.status,
			a.at.Sub(r.started).Seconds(), strings.TrimSpace(a.text))
	}
	for _, server := range servers {
		for _, event := range serverEvents(r.serverRecord(server)) {
			r.write("server %s at %.3f s: %s %s, %d open", server, time.UnixMilli(event.AtMS).Sub(r.started).Seconds(), event.What,
				event.ID, event.Open)
		}
	}
}

// answersByID returns the answers by the ID of their request.
func answersByID(answers []answer) map[string]answer {
	byID := map[string]answer{}
	for _, a := range answers {
		byID[a.id] = a
	}
	return byID
}

// countStatuses returns how many answers had each status.
func countStatuses(answers []answer) map[int]int {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	return counts
}

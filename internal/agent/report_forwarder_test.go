package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/placement"
)

// Each address that accepts reports gets the newest of each sidecar; malformed reports are rejected.
func TestReportsAreForwarded(t *testing.T) {
	block := proctest.Block(t)
	type collector struct {
		addr   string
		reject atomic.Bool
		mu     sync.Mutex
		got    []placement.LoadReport
	}
	collectors := []*collector{{addr: block.Addr(203, 0, 8500)}, {addr: block.Addr(203, 1, 8500)}}
	collectors[1].reject.Store(true)
	lastRev := func(k int) (rev uint64) {
		collectors[k].mu.Lock()
		defer collectors[k].mu.Unlock()
		for _, r := range collectors[k].got {
			rev = r.PlacementRevision
		}
		return rev
	}
	addresses := []string{block.Addr(203, 2, 8500)} // nothing listens there
	for _, target := range collectors {
		addresses = append(addresses, target.addr)
		serveHTTP(t, target.addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var in struct{ Reports []placement.LoadReport }
			if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.URL.Path != "/reports" {
				t.Errorf("%s: %v", r.URL, err)
			}
			if target.reject.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			target.got = append(target.got, in.Reports...)
		}))
	}
	agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{block.Addr(200, 0, 8500)}, ReportAddresses: addresses})
	post := func(body string) int {
		response, err := http.Post("http://"+agent.Addr()+"/registry/report", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	for name, malformed := range map[string]string{
		"no JSON": "what", "no name": `{"rev":9}`, "two": `{"name":"a","rev":9}{"name":"b","rev":9}`, "too long": `{"name":"` + strings.Repeat("a", placement.MaxReportBytes) + `"}`,
		"a load below 0": `{"name":"a","rev":9,"heat_all":-1}`, "a key that is none": `{"name":"a","rev":9,"heat":[{"key":"x","load":1}]}`,
		"too many keys":     `{"name":"a","rev":9,"heat":[` + strings.Repeat(`{"key":"0123456789abcdef","load":1},`, placement.MaxHotKeys) + `{"key":"0123456789abcdef","load":1}]}`,
		"a count below 0":   `{"name":"a","rev":9,"counts":[{"class":"c","served":-1}]}`,
		"an array of names": `{"name":["a"],"rev":9}`,
	} {
		if status := post(malformed); status != http.StatusBadRequest {
			t.Errorf("%s: %d", name, status)
		}
	}
	if status := post(`{"name":"a","rev":1,"later":true}`); status != http.StatusNoContent {
		t.Errorf("a valid report: status %d", status)
	}
	waitFor(t, "the first is accepted", func() bool { return lastRev(0) == 1 })
	for rev := 2; rev < 6; rev++ {
		post(fmt.Sprintf(`{"name":"a","rev":%d}`, rev))
	}
	waitFor(t, "the newest is accepted", func() bool { return lastRev(0) == 5 })
	collectors[0].mu.Lock()
	if n := len(collectors[0].got); n > 3 { // the first, what came while it was sent, and the newest
		t.Errorf("%d of 5 reports within a moment were forwarded: %+v", n, collectors[0].got)
	}
	collectors[0].mu.Unlock()
	if n := lastRev(1); n != 0 {
		t.Errorf("the collector that accepts none has revision %d", n)
	}
	collectors[1].reject.Store(false)
	waitFor(t, "the other accepts them, too", func() bool { post(`{"name":"a","rev":7}`); return lastRev(0) == 7 && lastRev(1) == 7 })
	for k := range maxReportingSidecars - 1 {
		post(fmt.Sprintf(`{"name":"more%d","rev":1}`, k))
	}
	if status := post(`{"name":"one too many","rev":1}`); status != http.StatusServiceUnavailable {
		t.Errorf("one sidecar too many: status %d", status)
	}
}

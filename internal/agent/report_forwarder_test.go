package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/placement"
)

// collectorStub receives forwarded batches of reports and accepts or rejects them.
type collectorStub struct {
	t       *testing.T
	addr    string
	reject  atomic.Bool
	mu      sync.Mutex
	reports []placement.LoadReport
}

func (c *collectorStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var batch struct{ Reports []placement.LoadReport }
	if err := json.NewDecoder(r.Body).Decode(&batch); err != nil || r.URL.Path != "/reports" {
		c.t.Errorf("%s: %v", r.URL, err)
	}
	if c.reject.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, batch.Reports...)
}

// received returns all accepted reports, in order.
func (c *collectorStub) received() []placement.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.reports)
}

// lastRevision returns the placement revision of the last accepted report; 0 if there is none.
func (c *collectorStub) lastRevision() uint64 {
	reports := c.received()
	if len(reports) == 0 {
		return 0
	}
	return reports[len(reports)-1].PlacementRevision
}

// requireMalformedRejected posts malformed reports and checks that each is rejected.
func requireMalformedRejected(t *testing.T, post func(body string) int) {
	t.Helper()
	hotKeys := strings.Repeat(`{"key":"0123456789abcdef","load":1},`, placement.MaxHotKeys) + `{"key":"0123456789abcdef","load":1}`
	for _, test := range []struct{ name, body string }{
		{"no JSON", "what"},
		{"no name", `{"rev":9}`},
		{"two reports", `{"name":"a","rev":9}{"name":"b","rev":9}`},
		{"too long", `{"name":"` + strings.Repeat("a", placement.MaxReportBytes) + `"}`},
		{"a load below 0", `{"name":"a","rev":9,"heat_all":-1}`},
		{"an invalid key hash", `{"name":"a","rev":9,"heat":[{"key":"x","load":1}]}`},
		{"too many keys", `{"name":"a","rev":9,"heat":[` + hotKeys + `]}`},
		{"a count below 0", `{"name":"a","rev":9,"counts":[{"class":"c","served":-1}]}`},
		{"an array of names", `{"name":["a"],"rev":9}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if status := post(test.body); status != http.StatusBadRequest {
				t.Errorf("status %d", status)
			}
		})
	}
}

// Each address that accepts reports gets the newest report of each sidecar. Malformed reports are rejected.
func TestReportsAreForwarded(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	first := &collectorStub{t: t, addr: block.Addr(203, 0, 8500)}
	second := &collectorStub{t: t, addr: block.Addr(203, 1, 8500)}
	second.reject.Store(true)
	addresses := []string{block.Addr(203, 2, 8500)} // nothing listens there
	for _, collector := range []*collectorStub{first, second} {
		addresses = append(addresses, collector.addr)
		serveHTTP(t, collector.addr, collector)
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
	requireMalformedRejected(t, post)

	if status := post(`{"name":"a","rev":1,"later":true}`); status != http.StatusNoContent {
		t.Errorf("a valid report: status %d", status)
	}
	waitFor(t, "the first report is accepted", func() bool { return first.lastRevision() == 1 })
	for revision := 2; revision < 6; revision++ {
		post(fmt.Sprintf(`{"name":"a","rev":%d}`, revision))
	}
	waitFor(t, "the newest report is accepted", func() bool { return first.lastRevision() == 5 })
	if reports := first.received(); len(reports) > 3 { // the first, one posted while the first was sent, and the newest
		t.Errorf("%d of 5 reports in quick succession were forwarded: %+v", len(reports), reports)
	}
	if revision := second.lastRevision(); revision != 0 {
		t.Errorf("the collector that rejects all reports has revision %d", revision)
	}
	second.reject.Store(false)
	waitFor(t, "both collectors have accepted a report", func() bool {
		post(`{"name":"a","rev":7}`)
		return first.lastRevision() == 7 && second.lastRevision() == 7
	})

	for i := range maxReportingSidecars - 1 {
		post(fmt.Sprintf(`{"name":"more%d","rev":1}`, i))
	}
	if status := post(`{"name":"one too many","rev":1}`); status != http.StatusServiceUnavailable {
		t.Errorf("one sidecar too many: status %d", status)
	}
}

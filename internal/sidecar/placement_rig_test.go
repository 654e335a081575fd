package sidecar

import (
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"milldeck/internal/placement"
)

// fakeAgent is an agent that serves the placement that the test sends, and collects load reports.
type fakeAgent struct {
	*fakeRegistry
	reports chan placement.LoadReport
}

func newFakeAgent(t *testing.T) *fakeAgent {
	agent := &fakeAgent{newFakeRegistry(t), make(chan placement.LoadReport, 1000)}
	watch := agent.Config.Handler
	agent.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/registry/report" {
			watch.ServeHTTP(w, req)
			return
		}
		var report placement.LoadReport
		if err := json.NewDecoder(req.Body).Decode(&report); err != nil || report.Validate() != nil || req.Method != http.MethodPost {
			t.Errorf("%s: %v, %v of %+v", req.Method, err, report.Validate(), report)
		}
		agent.reports <- report
		w.WriteHeader(http.StatusNoContent)
	})
	return agent
}

// nextReport returns a report that was started after the call of nextReport. It appends this report and all earlier reports
// to reports.
func (agent *fakeAgent) nextReport(t *testing.T, reports *[]placement.LoadReport) placement.LoadReport {
	t.Helper()
	for len(agent.reports) > 0 {
		*reports = append(*reports, <-agent.reports)
	}
	*reports = append(*reports, receiveWithin(t, "a report", agent.reports)) // may have been started before the call
	last := receiveWithin(t, "another report", agent.reports)
	*reports = append(*reports, last)
	return last
}

func (call registryCall) sendPlacement(t *testing.T, revision uint64, entries ...placement.Directive) {
	t.Helper()
	for i := range entries {
		entries[i].Revision = revision
	}
	data, err := json.Marshal(placement.Update{Revision: revision, Complete: true, Epoch: 5, Directives: append([]placement.Directive{}, entries...)})
	if err != nil {
		t.Fatal(err)
	}
	call.sendLine(t, string(data))
}

// excludeDirective returns a directive that excludes servers from the requests of the tenant kita. It expires after the
// remaining time, by the wall clock and by the monotonic clock.
func excludeDirective(remaining time.Duration, uids ...string) placement.Directive {
	return placement.Directive{
		ID: "window/w/kita", Kind: placement.KindExclude, Tenant: "kita", Servers: uids,
		ExpiresAtMS: time.Now().Add(remaining).UnixMilli(), RemainingMS: remaining.Milliseconds(),
	}
}

// placementRig is a sidecar with two servers and an agent that serves its placement. A request with the query "hold" fails
// at server B; server A holds it until the test sends on release.
type placementRig struct {
	*testSidecar
	agent            *fakeAgent
	serverA, serverB *backend
	holding          chan bool // receives when server A holds a request
	release          chan bool // lets server A respond
}

// startPlacementRig runs a sidecar with two servers that watches an agent's placement.
func startPlacementRig(t *testing.T, change func(configDocument), tweaks ...func(*Sidecar)) *placementRig {
	t.Helper()
	rig := &placementRig{agent: newFakeAgent(t), holding: make(chan bool, 1), release: make(chan bool)}
	serveHeld := func(conn net.Conn, req *http.Request, body string) bool {
		if req.URL.RawQuery == "hold" {
			rig.holding <- true
			<-rig.release
		}
		return serveOK(conn, req, body)
	}
	rig.serverA = newBackend(t, "a", serveHeld)
	rig.serverB = newBackend(t, "b", func(conn net.Conn, req *http.Request, body string) bool {
		if req.URL.RawQuery == "hold" {
			return respondWith("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true)(conn, req, body)
		}
		return serveOK(conn, req, body)
	})
	document := newConfigDocument("127.0.0.1:1", rig.serverA.endpoint, rig.serverB.endpoint)
	document["placement"], document["version"] = rig.agent.address(), "v7"
	if change != nil {
		change(document)
	}
	rig.testSidecar = startSidecar(t, document, append(tweaks, func(instance *Sidecar) { instance.loop.placement.timing.reportInterval = 10 * time.Millisecond })...)
	return rig
}

// lookupsReachingA sends a number of requests and returns how many of them reached server A.
func (rig *placementRig) lookupsReachingA(count int) int {
	rig.t.Helper()
	before := rig.serverA.requests.Load()
	for range count {
		if response := rig.do(rig.newRequest("lookup", time.Second)); response.status != 200 {
			rig.t.Fatalf("answered %d", response.status)
		}
	}
	return int(rig.serverA.requests.Load() - before)
}

// awaitRevision waits for a load report that names a placement revision as in force.
func (rig *placementRig) awaitRevision(revision uint64) placement.LoadReport {
	rig.t.Helper()
	for {
		if report := receiveWithin(rig.t, "a report", rig.agent.reports); report.PlacementRevision == revision {
			return report
		}
	}
}

// countPlacementGoroutines counts the running goroutines of placement clients.
func countPlacementGoroutines() int {
	buffer := make([]byte, 1<<20)
	return strings.Count(string(buffer[:runtime.Stack(buffer, true)]), "sidecar.(*"+reflect.TypeFor[placementClient]().Name()+")")
}

package agent

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// What is told of a sidecar, and when: at once what changes, else before the lease ends.
func TestHomeCore(t *testing.T) {
	c := homeCore{home: Home{Name: "n0", Zone: "a", Tenant: "branch", Version: "1", Lease: 9 * time.Second}}
	now := time.Unix(1000, 0)
	step := func(what string, after time.Duration, ready bool, r *heard, due bool, want registry.Sidecar) {
		t.Helper()
		now = now.Add(after)
		c.look(now.UnixMilli(), ready, r)
		want.Name, want.Zone, want.Tenant = "n0", "a", "branch"
		if c.now != want {
			t.Errorf("%s: %+v, want %+v", what, c.now, want)
		}
		if got := c.due(now); got != due {
			t.Errorf("%s: due is %v", what, got)
		}
		if due {
			c.took(c.now, now)
		}
	}
	boot := func(s int64) float64 { return float64(s * 1000) }
	step("not up yet", 0, false, nil, true, registry.Sidecar{Version: "1"})
	step("still not", time.Second, false, nil, false, registry.Sidecar{Version: "1"})
	step("up", time.Second, true, nil, true, registry.Sidecar{Version: "1", Ready: true, BootMS: boot(1002)})
	step("it reports", time.Second, true, &heard{version: "2", list: 7, rev: 8}, true, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRev: 7, PlacementRev: 8})
	step("revisions alone can wait", time.Second, true, &heard{"2", 9, 8}, false, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRev: 9, PlacementRev: 8})
	step("no report any more", time.Second, true, nil, false, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRev: 9, PlacementRev: 8})
	step("renewed", time.Second, true, nil, true, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRev: 9, PlacementRev: 8})
	step("away", time.Second, false, nil, true, registry.Sidecar{Version: "2", BootMS: boot(1002), ListRev: 9, PlacementRev: 8})
	step("another life", time.Second, true, nil, true, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1008), ListRev: 9, PlacementRev: 8})
}

// A sidecar is a unit of the ledger while its agent finds it ready; away it counts as out, and back it is up again in
// another life. The agent's own end takes nothing out.
func TestAgentRegistersItsSidecar(t *testing.T) {
	b := block(t)
	r := replica(t, b, 0)
	client, err := registry.NewClient([]string{r.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	at := b.Addr(203, 0, 8600)
	serve := func() *http.Server {
		ln, err := net.Listen("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go func() { _ = srv.Serve(ln) }() // ends with Close
		t.Cleanup(func() { srv.Close() })
		return srv
	}
	srv := serve()
	a, err := Start(Options{Listen: b.Addr(203, 0, 8601), Replicas: []string{r.Addr()}, Home: &Home{Name: "n0", Address: at, Zone: "a", Version: "1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	unit := func() disruption.Unit {
		v, err := client.LedgerView(t.Context(), true, true)
		if err != nil {
			return disruption.Unit{}
		}
		for _, u := range v.Units {
			if u.ID == disruption.UnitID(disruption.KindSidecar, "n0") {
				return u
			}
		}
		return disruption.Unit{}
	}
	is := func(c disruption.Condition) func() bool {
		return func() bool { return unit().Condition == c }
	}
	until(t, "the sidecar to be up", is(disruption.ConditionUp))
	first := unit()
	if first.Zone != "a" || first.Version != "1" {
		t.Errorf("%+v", first)
	}
	report, err := json.Marshal(placement.LoadReport{Sidecar: "n0", Version: "2", PlacementRevision: 1, EndpointRevision: 1, IntervalMS: 1000})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+a.Addr()+"/registry/report", "application/json", bytes.NewReader(report))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("%v, %+v", err, resp)
	}
	resp.Body.Close()
	until(t, "the reported version", func() bool { return unit().Version == "2" })
	srv.Close()
	until(t, "the sidecar to be out", is(disruption.ConditionUnready))
	serve()
	until(t, "the sidecar to be back", is(disruption.ConditionUp))
	if again := unit(); again.BootMS <= first.BootMS {
		t.Errorf("%+v is no later life than %+v", again, first)
	}
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	if u := unit(); u.Condition != disruption.ConditionUp {
		t.Errorf("after the agent's end: %+v", u)
	}
}

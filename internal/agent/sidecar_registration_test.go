package agent

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// A change of a sidecar is registered at once. Without a change, the registration is renewed before the lease expires.
func TestSidecarRegistration(t *testing.T) {
	registration := sidecarRegistration{opts: SidecarOptions{Name: "n0", Zone: "a", Tenant: "branch", Version: "1", LeaseTTL: 9 * time.Second}}
	now := time.Unix(1000, 0)
	step := func(name string, after time.Duration, ready bool, report *reportedState, due bool, want registry.Sidecar) {
		t.Helper()
		now = now.Add(after)
		registration.observe(now.UnixMilli(), ready, report)
		want.Name, want.Zone, want.Tenant = "n0", "a", "branch"
		if registration.observed != want {
			t.Errorf("%s: %+v, want %+v", name, registration.observed, want)
		}
		if got := registration.registrationDue(now); got != due {
			t.Errorf("%s: registration due is %v", name, got)
		}
		if due {
			registration.markRegistered(registration.observed, now)
		}
	}
	boot := func(seconds int64) float64 { return float64(seconds * 1000) }
	step("not ready yet", 0, false, nil, true, registry.Sidecar{Version: "1"})
	step("still not ready", time.Second, false, nil, false, registry.Sidecar{Version: "1"})
	step("ready", time.Second, true, nil, true, registry.Sidecar{Version: "1", Ready: true, BootMS: boot(1002)})
	step("first report", time.Second, true, &reportedState{version: "2", listRevision: 7, placementRevision: 8}, true, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRevision: 7, PlacementRevision: 8})
	step("revisions alone can wait", time.Second, true, &reportedState{"2", 9, 8}, false, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRevision: 9, PlacementRevision: 8})
	step("no recent report", time.Second, true, nil, false, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRevision: 9, PlacementRevision: 8})
	step("renewed", time.Second, true, nil, true, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1002), ListRevision: 9, PlacementRevision: 8})
	step("not ready", time.Second, false, nil, true, registry.Sidecar{Version: "2", BootMS: boot(1002), ListRevision: 9, PlacementRevision: 8})
	step("restarted", time.Second, true, nil, true, registry.Sidecar{Version: "2", Ready: true, BootMS: boot(1008), ListRevision: 9, PlacementRevision: 8})
}

// A registered sidecar is a unit of the disruption ledger: up while its health check succeeds, otherwise unready, and up
// again with a new start time. Closing the agent does not change the unit.
func TestAgentRegistersItsSidecar(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	replica := startReplica(t, block)
	client := newClient(t, replica.Addr())
	address := block.Addr(203, 0, 8600)
	serve := func() *http.Server {
		return serveHTTP(t, address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}
	server := serve()
	agent := startAgent(t, Options{Listen: block.Addr(203, 0, 8601), Replicas: []string{replica.Addr()}, Sidecar: &SidecarOptions{Name: "n0", Address: address, Zone: "a", Version: "1"}})
	unit := func() disruption.Unit {
		view, err := client.LedgerView(t.Context(), true, true)
		if err != nil {
			return disruption.Unit{}
		}
		for _, u := range view.Units {
			if u.ID == disruption.UnitID(disruption.KindSidecar, "n0") {
				return u
			}
		}
		return disruption.Unit{}
	}
	conditionIs := func(condition disruption.Condition) func() bool {
		return func() bool { return unit().Condition == condition }
	}
	waitFor(t, "the sidecar to be up", conditionIs(disruption.ConditionUp))
	first := unit()
	if first.Zone != "a" || first.Version != "1" {
		t.Errorf("%+v", first)
	}
	report, err := json.Marshal(placement.LoadReport{Sidecar: "n0", Version: "2", PlacementRevision: 1, EndpointRevision: 1, IntervalMS: 1000})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+agent.Addr()+"/registry/report", "application/json", bytes.NewReader(report))
	if err != nil || response.StatusCode != http.StatusNoContent {
		t.Fatalf("%v, %+v", err, response)
	}
	response.Body.Close()
	waitFor(t, "the reported version", func() bool { return unit().Version == "2" })
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the sidecar to be unready", conditionIs(disruption.ConditionUnready))
	serve()
	waitFor(t, "the sidecar to be up again", conditionIs(disruption.ConditionUp))
	if restarted := unit(); restarted.BootMS <= first.BootMS {
		t.Errorf("the start time of %+v is not after that of %+v", restarted, first)
	}
	if err := agent.Close(); err != nil {
		t.Error(err)
	}
	if u := unit(); u.Condition != disruption.ConditionUp {
		t.Errorf("after the agent was closed: %+v", u)
	}
}

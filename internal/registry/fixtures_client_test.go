package registry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/goldentest"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
)

// stubReplica is a stand-in for a replica. It records requests, and responds to each path with a fixed body.
type stubReplica struct {
	mu        sync.Mutex
	requests  bytes.Buffer
	responses map[string]string
}

// randomID matches an idempotency key that the client generates.
var randomID = regexp.MustCompile(`"id":"[A-Z2-7]{26}"`)

func (e *stubReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body = randomID.ReplaceAll(body, []byte(`"id":"RANDOM"`))
	e.mu.Lock()
	fmt.Fprintf(&e.requests, "%s %s\n%s\n", request.Method, request.URL.RequestURI(), body)
	response, ok := e.responses[request.Method+" "+request.URL.Path]
	e.mu.Unlock()
	if !ok {
		response = "{}"
	}
	w.Header().Set(registry.AgeHeader, "120")
	fmt.Fprintln(w, response)
}

// startStubReplica starts a stub replica, and returns it with a client of it and its address.
func startStubReplica(t *testing.T, responses map[string]string) (*stubReplica, *registry.Client, string) {
	t.Helper()
	e := &stubReplica{responses: responses}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	client, err := registry.NewClient([]string{address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return e, client, address
}

// stubResponses are the response bodies of a replica, by method and path. The client decodes each body; the decoded value has
// the same fields when it is encoded again.
var stubResponses = map[string]string{
	"POST /registry/instances":         `{"outcome":"done","rev":12}`,
	"POST /registry/state":             `{"outcome":"done","rev":13}`,
	"DELETE /registry/instances/s/1":   `{"outcome":"done","rev":14}`,
	"POST /registry/renew":             `{"renewed":1,"unknown":["s2"]}`,
	"POST /registry/suspects":          `{"outcome":"done","rev":0,"why":"nothing is held back"}`,
	"GET /registry/instances":          `{"rev":12,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:9001","az":"z1","model":"m1","pod_group":1,"state":"Ready","capacity_hint":1.5,"boot_ms":7}],"epoch":5}`,
	"GET /registry/instances/s/1":      `{"uid":"s1","endpoint":"127.0.0.1:9001","az":"z1","model":"m1","pod_group":1,"state":"Terminating","capacity_hint":1.5,"boot_ms":7,"version":"v1","ttl_ms":15000,"rev":12,"suspect":true}`,
	"GET /registry/members":            `[{"http":"127.0.0.1:8500","raft":"127.0.0.1:8501"}]`,
	"GET /registry/status":             `{"http":"127.0.0.1:8500","role":"Leader","leader":"127.0.0.1:8500","rev":12,"epoch":5,"instances":3,"suspects":1,"watchers":2,"age_ms":40,"applied":14,"fresh":true}`,
	"GET /registry/sidecars":           `[{"name":"c1","version":"v1","zone":"z1","tenant":"portal","ready":true,"ending":true,"boot_ms":7,"ttl_ms":10000,"rev":12,"suspect":true,"list_rev":11,"placement_rev":10}]`,
	"POST /registry/sidecars":          `{"outcome":"done","rev":15}`,
	"POST /duties/renew":               `{"lost":["spread"]}`,
	"POST /duties/release/r/seek":      `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"queue":["two"],"changes":1,"rev":16}`,
	"GET /duties/release/r":            `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"changes":1,"rev":16}`,
	"POST /ledger/ask":                 `{"outcome":"done","rev":17,"permit":{"id":"p1","owner":"operator/eva","purpose":"restart","units":["server/s2"],"rank":3,"end":"back","stage":"granted","asked_at":17,"got_at":17}}`,
	"GET /ledger/permits/p/1":          `{"id":"p/1","owner":"operator/eva","purpose":"restart","units":["server/s2"],"rank":3,"end":"back","stage":"granted","asked_at":17,"got_at":17}`,
	"GET /ledger":                      `{"rev":17,"counts":{"up":4},"rooms":[],"budgets":[],"permits":[],"halts":[],"units":[]}`,
	"POST /registry/placement":         `{"outcome":"done","rev":18}`,
	"GET /registry/placement":          `{"rev":18,"all":true,"epoch":5,"entries":[{"id":"cohort/r","kind":"cohort","servers":["s1"],"name":"r","until_ms":60000,"left_ms":500,"rev":18}]}`,
	"POST /releases/r":                 `{"outcome":"done","rev":19}`,
	"GET /releases":                    `[{"name":"r","run":19,"hash":"h","start_ms":1000,"head":{"phase":"forward","wave":1,"token":16,"commands":0},"units":null,"seq":1,"told":[{"what":"halt","by":"operator/eva"}]}]`,
	"GET /releases/r":                  `{"name":"r","run":19,"hash":"h","start_ms":1000,"head":{"phase":"forward","wave":1,"token":16,"commands":0},"units":null,"seq":1}`,
	"POST /windows":                    `{"outcome":"done","rev":20}`,
	"GET /windows":                     `{"rev":20,"table":{"rev":20},"permits":{"window/w/1":"out"},"out":{"s1":{"up":true,"rev":20,"endpoint":"127.0.0.1:9001"}},"fleet":{"portal":["s1"]},"sidecars":["c1"]}`,
	"DELETE /registry/members":         `[{"http":"127.0.0.1:8500","raft":"127.0.0.1:8501"}]`,
	"POST /registry/members":           `[{"http":"127.0.0.1:8500","raft":"127.0.0.1:8501"}]`,
	"POST /duties/release/r/handover":  `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"queue":["two"],"next":"two","asked":true,"changes":1,"rev":21}`,
	"POST /duties/release/r/takeaway":  `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"asked":true,"revoked":true,"changes":1,"rev":22}`,
	"POST /duties/backup/checkpoint":   `{"name":"backup","holder":"one","token":16,"ttl_ms":15000,"changes":1,"rev":23,"checkpoint":"d2F2ZSAy","checkpoint_token":16,"falls":[{"who":"two","n":2,"token":9}]}`,
	"POST /releases/with%2Fslash":      `{"outcome":"done","rev":24}`,
	"POST /registry/snapshot":          `{"outcome":"done","rev":25}`,
	"DELETE /registry/instances/plain": `{"outcome":"conflict","rev":3,"why":"plain has revision 3"}`,
}

// TestClientRequests compares the requests of every call of the client, and the decoded responses with all of their fields,
// with a golden file.
func TestClientRequests(t *testing.T) {
	e, client, address := startStubReplica(t, stubResponses)
	ctx := t.Context()
	revision := uint64(11)
	guard := &registry.Guard{Lease: "release/r", Token: 16}
	write := registry.WriteOptions{ID: "w1", IfRevision: &revision, Guard: guard}
	var calls bytes.Buffer
	recordCall := func(name string, value any, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		fmt.Fprintf(&calls, "# %s\n%s%s\n", name, e.requests.Bytes(), data)
		e.requests.Reset()
	}
	result, err := client.Register(ctx, write, fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002))
	recordCall("register", result, err)
	renewal, err := client.RenewInstances(ctx, []string{"s1", "s2"})
	recordCall("renew", renewal, err)
	result, err = client.SetState(ctx, write, "s1", registry.InstanceTerminating)
	recordCall("set state", result, err)
	result, err = client.Deregister(ctx, write, "s/1")
	recordCall("deregister", result, err)
	instance, err := client.Get(ctx, "s/1", true)
	recordCall("get", instance, err)
	list, err := client.List(ctx, true)
	recordCall("list", list, err)
	list, err = client.List(ctx, false)
	recordCall("list of any replica", list, err)
	result, err = client.ResolveSuspects(ctx, true)
	recordCall("suspects", result, err)
	members, err := client.Members(ctx)
	recordCall("members", members, err)
	members, err = client.AddMember(ctx, registry.Member{HTTPAddr: "127.0.0.1:8600", RaftAddr: "127.0.0.1:8601"})
	recordCall("add member", members, err)
	members, err = client.RemoveMember(ctx, "127.0.0.1:8600")
	recordCall("remove member", members, err)
	status, err := client.ReplicaStatus(ctx, address)
	recordCall("status", status, err)

	lease, err := client.UpdateLease(ctx, leasetable.Campaign, "release/r", registry.LeaseRequest{ID: "w2", Candidate: "one", TTLMS: 15_000})
	recordCall("seek", lease, err)
	lease, err = client.UpdateLease(ctx, leasetable.Handover, "release/r", registry.LeaseRequest{ID: "w3", Successor: "two"})
	recordCall("handover", lease, err)
	lease, err = client.UpdateLease(ctx, leasetable.Revoke, "release/r", registry.LeaseRequest{ID: "w4"})
	recordCall("takeaway", lease, err)
	lease, err = client.UpdateLease(ctx, leasetable.Checkpoint, "backup", registry.LeaseRequest{ID: "w5", Candidate: "one", Token: 16, Data: []byte("wave 2")})
	recordCall("checkpoint", lease, err)
	lease, err = client.Lease(ctx, "release/r")
	recordCall("lease", lease, err)
	lost, err := client.RenewLeases(ctx, "one", []registry.LeaseRenewal{{Name: "spread", Token: 16}, {Name: "window"}})
	recordCall("renew leases", lost, err)

	ledgerResult, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{ID: "w6", Guard: guard}, disruption.Op{Kind: disruption.OpRequest, Owner: "operator/eva",
		Permit: &disruption.Permit{ID: "p1", Owner: "operator/eva", Purpose: "restart", Units: []string{"server/s2"}, Priority: disruption.PriorityRollout, Disposition: disruption.DispositionReturn}})
	recordCall("ledger", ledgerResult, err)
	view, err := client.LedgerView(ctx, true, true)
	recordCall("ledger view", view, err)
	permit, err := client.Permit(ctx, "p/1")
	recordCall("permit", permit, err)
	result, err = client.RegisterSidecars(ctx, registry.SidecarRequest{ID: "w7", TTLMS: 10_000, Deregistered: []string{"c2"}, Sidecars: []registry.Sidecar{
		{Name: "c1", Version: "v1", Zone: "z1", Tenant: "portal", Ready: true, Draining: true, BootMS: 7, TTLMS: 10_000, ListRevision: 11, PlacementRevision: 10}}})
	recordCall("register sidecars", result, err)
	sidecars, err := client.Sidecars(ctx)
	recordCall("sidecars", sidecars, err)

	result, err = client.SetPlacement(ctx, registry.WriteOptions{ID: "w8", Guard: guard}, monday,
		[]placement.Directive{{ID: "cohort/r", Kind: placement.KindCohort, Cohort: "r", Servers: []string{"s1"}, ExpiresAtMS: monday + 1000}}, "cohort/q")
	recordCall("set placement", result, err)
	result, err = client.RemovePlacement(ctx, registry.WriteOptions{ID: "w9", Guard: guard}, "cohort/r")
	recordCall("drop placement", result, err)
	entries, err := client.PlacementView(ctx, true)
	recordCall("placement", entries, err)

	result, err = client.WriteRelease(ctx, registry.WriteOptions{ID: "w10", Guard: guard}, "r", release.Operation{Delta: &release.Delta{Sequence: 1, Status: &release.Status{Phase: release.PhaseRollout, Wave: 2}}})
	recordCall("write release", result, err)
	releaseView, err := client.Release(ctx, "r", true, true)
	recordCall("release", releaseView, err)
	releases, err := client.Releases(ctx)
	recordCall("releases", releases, err)
	result, err = client.WriteWindow(ctx, registry.WriteOptions{ID: "w11", Guard: guard}, maintenance.Timestamp{ControllerMS: monday, UncertaintyMS: 100}, maintenance.Operation{Kind: maintenance.OpAwaitPermit, Window: "w"})
	recordCall("write window", result, err)
	windows, err := client.Windows(ctx, true)
	recordCall("windows", windows, err)

	errStopWatch := errors.New("stop after the first event")
	err = client.WatchEndpoints(ctx, address, 11, 5, func(list *registry.EndpointList, age time.Duration) error {
		recordCall(fmt.Sprintf("watch, %v old", age), list, nil)
		return errStopWatch
	})
	if !errors.Is(err, errStopWatch) {
		t.Errorf("watch: %v", err)
	}
	err = client.WatchPlacement(ctx, address, 18, 5, func(list *placement.Update, age time.Duration) error {
		recordCall(fmt.Sprintf("watch of the placement, %v old", age), list, nil)
		return errStopWatch
	})
	if !errors.Is(err, errStopWatch) {
		t.Errorf("watch of the placement: %v", err)
	}
	goldentest.Compare(t, "client.txt", calls.Bytes())
}

// TestKeepAliveRequests compares the requests that register instances and renew their leases with a golden file. An instance
// that the registry does not know any more is registered again.
func TestKeepAliveRequests(t *testing.T) {
	e, client, _ := startStubReplica(t, stubResponses)
	keepAlive := registry.NewLeaseKeepAlive(client, fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002))
	for range 2 {
		if err := keepAlive.RenewOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	keepAlive.Remove("s2")
	if err := keepAlive.RenewOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "keepalive.txt", e.requests.Bytes())
}

package registry_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// After a restart a replica has no valid state until it has applied its log. It used to serve an empty list with status
// 200 and epoch 0 until then. When all replicas restarted together, a second replica confirmed that list to an agent,
// and the agent's sidecar had no servers for a moment. The agent logged: `registry epoch changed, as after a restore
// epoch=0 revision=0`. A replica applies its log only once it knows a leader, which otherwise takes half a second. In
// this test there is no leader until the second replica starts.
func TestRestartedReplicaServesNoUnknownState(t *testing.T) {
	env := startEnv(t, 3, false, "")
	for n, uid := range []string{"a", "b", "c", "d"} {
		env.register(newInstance(uid, n+1))
	}
	for _, replica := range env.cluster.Replicas {
		replica.Process.Kill()
	}
	first, second := env.cluster.Replicas[0], env.cluster.Replicas[1]
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{
		"/registry/instances", "/registry/instances?watch=1", "/registry/instances/a", "/registry/placement", "/registry/placement?watch=1",
		"/releases", "/releases/r", "/windows", "/duties", "/duties/d", "/ledger", "/ledger/permits/1", "/registry/snapshot", "/health/ready",
	} {
		var status int
		env.eventually("the replica listens", func() bool { status, _ = env.read(first, path); return status != 0 })
		if status != http.StatusServiceUnavailable {
			t.Errorf("%s before the log is applied: status %d, want 503", path, status)
		}
	}
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	for _, replica := range []*cluster.Replica{first, second} {
		var list registry.EndpointList
		env.eventually("the replica serves a list", func() bool {
			var status int
			status, list = env.read(replica, "/registry/instances")
			return status == http.StatusOK
		})
		if len(list.Targets) != 4 || list.Epoch == 0 {
			t.Errorf("the first list after the restart: %d instances, epoch %d", len(list.Targets), list.Epoch)
		}
	}
}

// read requests a path from one replica. The status is 0 if the replica does not respond. Only the body of the endpoint
// list is decoded.
func (e *testEnv) read(replica *cluster.Replica, path string) (int, registry.EndpointList) {
	e.Helper()
	var list registry.EndpointList
	request, err := http.NewRequestWithContext(e.ctx, http.MethodGet, "http://"+replica.HTTPAddr+path, nil)
	if err != nil {
		e.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, list
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && path == "/registry/instances" {
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
			e.Fatal(err)
		}
	}
	return response.StatusCode, list
}

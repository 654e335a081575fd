package registry_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"milldeck/internal/registry"
)

// Writes contend for a uid: two addresses, a restart with a new boot_ms, a renewal after the deregistration. The
// response to invalid input is one line that names the field; the input changes nothing.
func TestContendingWrites(t *testing.T) {
	env := startEnv(t, 1, false, "")
	first := newInstance("u", 1)
	first.BootMS, first.TTLMS = 100, 60_000
	env.register(first)
	other := first
	other.Endpoint = "127.0.0.1:2"
	if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, other); !hasStatus(err, http.StatusConflict) {
		t.Errorf("a second process with the uid, which started no later: %v", err)
	}
	other.BootMS = 200
	env.register(other)
	if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, first); !hasStatus(err, http.StatusConflict) {
		t.Errorf("the earlier process registers again: %v", err)
	}
	id := registry.NewID()
	result, err := env.client.Deregister(env.ctx, registry.WriteOptions{ID: id}, "u")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := env.client.Deregister(env.ctx, registry.WriteOptions{ID: id}, "u"); err != nil || again != result {
		t.Errorf("the retried write: %+v, want %+v: %v", again, result, err)
	}
	if renewed, err := env.client.RenewInstances(env.ctx, []string{"u"}); err != nil || !slices.Equal(renewed.Unknown, []string{"u"}) {
		t.Errorf("a renewal after the deregistration: %+v %v", renewed, err)
	}
	if list, err := env.client.List(env.ctx, true); err != nil || len(list.Targets) != 0 {
		t.Errorf("a renewal has registered the instance again: %+v %v", list, err)
	}

	before := env.status(env.cluster.Replicas[0]).AppliedIndex
	for _, tc := range []struct{ path, body, want string }{
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"nowhere"}]}`, "targets[0].endpoint"},
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"127.0.0.1:1","ttl_ms":-5}]}`, "ttl_ms"},
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"127.0.0.1:1","state":"Happy"}]}`, "state"},
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"127.0.0.1:1","capacity_hint":-1}]}`, "capacity_hint"},
		{"/registry/instances", `{"targets":[]}`, "targets"},
		{"/registry/instances", `{"targets":7}`, "targets"},
		{"/registry/instances", `no json`, "invalid"},
		{"/registry/state", `{"uid":"x","state":"Gone"}`, "state"},
		{"/registry/renew", `{"uids":[]}`, "uids"},
		{"/registry/instances", `{"id":"` + strings.Repeat("x", 5<<20) + `"}`, "body"},
	} {
		response, err := http.Post("http://"+env.cluster.Replicas[0].HTTPAddr+tc.path, "application/json", strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		text := string(body)
		if response.StatusCode < 400 || response.StatusCode > 499 || strings.Count(text, "\n") != 1 || !strings.Contains(text, tc.want) {
			t.Errorf("%.60s: %d, %q, want 4xx and one line with %q", tc.body, response.StatusCode, text, tc.want)
		}
	}
	if after := env.status(env.cluster.Replicas[0]).AppliedIndex; after != before {
		t.Errorf("invalid input has reached the log: %d entries", after-before)
	}
}

// Members are added and removed while the cluster runs. A new replica must receive the list, and follow the next leader after
// the leader was removed.
func TestMembershipChange(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.register(newInstance("a", 1))
	added, err := env.cluster.Add()
	if err != nil {
		t.Fatal(err)
	}
	env.eventually("the new replica listens", func() bool { return env.status(added).HTTPAddr != "" })
	if _, err := env.client.AddMember(env.ctx, added.Member()); err != nil {
		t.Fatal(err)
	}
	env.eventually("the new replica has the list", func() bool { return env.status(added).Instances == 1 })
	removed := env.awaitLeader()
	members, err := env.client.RemoveMember(env.ctx, removed.HTTPAddr)
	if err != nil || len(members) != 3 {
		t.Fatalf("%v: %v", members, err)
	}
	removed.Process.Kill()
	env.register(newInstance("b", 2))
	env.eventually("the new replica follows the new leader", func() bool { return env.status(added).Instances == 2 })
}

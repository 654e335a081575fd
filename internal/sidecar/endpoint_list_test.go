package sidecar

import (
	"strings"
	"testing"
	"time"
)

// Unusable entries are dropped, invalid numbers get their defaults, and a list that would remove all servers by mistake is
// an error.
func TestInvalidListsAreSanitized(t *testing.T) {
	valid := readyEndpoint("a", "127.0.0.1:7")
	with := func(change func(*endpoint)) endpoint {
		changed := valid
		change(&changed)
		return changed
	}
	list := endpointList{Complete: true, Endpoints: []endpoint{
		with(func(t *endpoint) { t.Address = "127.0.0.1:8" }), // duplicate UID: the later entry counts
		with(func(t *endpoint) { t.UID = "" }),
		with(func(t *endpoint) { t.UID, t.Address = "b", "127.0.0.1:0" }),
		with(func(t *endpoint) { t.UID, t.Address = "c", "host.local:80" }),
		with(func(t *endpoint) { t.UID, t.Address = "d", "127.0.0.1:99999" }),
		with(func(t *endpoint) { t.UID, t.Address, t.State = "e", "", "Gone" }),
		with(func(t *endpoint) { t.UID, t.CapacityHint, t.BootMS = "f", 1e12, -5 }),
		with(func(t *endpoint) { t.UID, t.CapacityHint = "g", -1 }),
		valid,
	}}
	if err := list.sanitize(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, entry := range list.Endpoints {
		got = append(got, entry.UID+" "+entry.Address)
		if entry.CapacityHint != 1 || entry.BootMS != 0 {
			t.Errorf("%+v", entry)
		}
	}
	if want := "e ,f 127.0.0.1:7,g 127.0.0.1:7,a 127.0.0.1:7"; strings.Join(got, ",") != want {
		t.Errorf("%q, want %q", got, want)
	}
	for name, list := range map[string]endpointList{
		"no targets":     {Complete: true},
		"nothing usable": {Complete: true, Endpoints: []endpoint{{UID: "a"}, {Address: "127.0.0.1:1"}}},
	} {
		if list.sanitize() == nil {
			t.Errorf("%s: the list was accepted", name)
		}
	}
}

// A line that is not a list, or is too long, ends the watch. The known servers stay in use.
func TestUnreadableListEndsWatch(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address(), server.endpoint))
	for _, line := range []string{`{"rev":9,"all":true}`, `{"rev":9,`, "[]", strings.Repeat("x", 2*maxListBytes)} {
		call := receiveWithin(t, "the watch", registry.calls)
		call.sendLine(t, line)
		receiveWithin(t, "the watch to end", call.disconnected)
		if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
			t.Errorf("after %.20q: %+v", line, got)
		}
		close(call.lines)
	}
}

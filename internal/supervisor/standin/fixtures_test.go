package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"milldeck/internal/goldentest"
	"milldeck/internal/supervisor"
)

// Fails if the keys of a versions file change: existing files would become invalid.
func TestFixtureVersions(t *testing.T) {
	v, err := LoadVersions(goldentest.Path("versions.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Versions{MaxUnits: 9, Versions: []Version{
		{Name: "1.4", Kind: supervisor.Sidecar, Argv: []string{"bin/sidecar", "--zone={zone}"},
			Env:       map[string]string{"NODE_CONFIG": "{config}", "NODE_LISTEN": "{listen}", "NODE_NAME": "{name} {version}"},
			ReadyPath: "/health/ready", GraceMS: 2500, MaxRestarts: 3},
		{Name: "2", Kind: supervisor.Server, Argv: []string{"bin/server"}},
	}}
	if !reflect.DeepEqual(v, want) {
		t.Errorf("%+v, want %+v", v, want)
	}
	unit := supervisor.Unit{Name: "u1", Kind: supervisor.Sidecar, Version: "1.4", Zone: "north", Listen: "127.0.0.1:9000"}
	argv, env, configured := v.find(unit.Kind, unit.Version).command(&unit, "u1.json")
	if !reflect.DeepEqual(argv, []string{"bin/sidecar", "--zone=north"}) || !configured ||
		!reflect.DeepEqual(env, []string{"NODE_CONFIG=u1.json", "NODE_LISTEN=127.0.0.1:9000", "NODE_NAME=u1 1.4"}) {
		t.Errorf("%q %q %v", argv, env, configured)
	}
}

// Fails if the HTTP responses change, except for the values that depend on the clock: the epoch and times.
func TestFixtureHTTPAnswers(t *testing.T) {
	versions, err := LoadVersions(goldentest.Path("versions.toml"))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, versions, t.TempDir()) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	var epoch string
	clock := regexp.MustCompile(`"(at_ms|since_ms)":\d+`)
	var out bytes.Buffer
	request := func(method, path, body string) {
		t.Helper()
		body = strings.ReplaceAll(body, "MEMORY", epoch)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+listener.Addr().String()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		response, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if epoch == "" {
			var list supervisor.List
			if err := json.Unmarshal(response, &list); err != nil {
				t.Fatal(err)
			}
			epoch = fmt.Sprint(list.Epoch)
		}
		response = bytes.ReplaceAll(clock.ReplaceAll(response, []byte(`"$1":0`)), []byte(epoch), []byte("MEMORY"))
		fmt.Fprintf(&out, "%s %s: %d %s: %s", method, path, resp.StatusCode, resp.Header.Get("Content-Type"), response)
	}
	const units, faults = "/supervisor/units", "/faults"
	request("GET", units, "")
	// The version's program does not exist, so the unit has exited before the platform responds.
	request("POST", units, `{"requests":[{"id":"a","op":"start","memory":MEMORY,"unit":"u1","incarnation":0,"kind":"server","version":"2","listen":"127.0.0.1:9"}]}`)
	request("GET", units, "")
	request("POST", units, `{"requests":[{"id":"b","op":"stop","memory":MEMORY,"unit":"u1","incarnation":9},
		{"id":"c","op":"stop","memory":1,"unit":"u1","incarnation":1}]}`)
	request("POST", units, `{"requests":[{"id":"a","op":"stop","memory":MEMORY,"unit":"u1","incarnation":1},
		{"id":"d","op":"start","memory":MEMORY,"unit":"u2","incarnation":0,"kind":"server","version":"3","listen":"127.0.0.1:9"}]}`)
	request("POST", units, `{"requests":[]}`)
	request("POST", units, `{"requests":[{"id":"e","op":"stop","memory":MEMORY,"unit":"u1"}]}`)
	request("POST", units, `{"request":[]}`)
	request("POST", units, `{"requests":[]} {}`)
	request("POST", units, `[`)
	request("DELETE", units, "")
	request("POST", faults, `{"kind":"fail","on":"list","count":1}`)
	request("GET", units, "")
	request("POST", faults, `{"kind":"late"}`)
	request("POST", faults, `{"kind":"fail","for":1}`)
	request("POST", faults, `{"kind":"`+strings.Repeat("x", 5000)+`"}`)
	request("DELETE", faults, "")
	request("GET", "/health/ready", "")
	http.DefaultClient.CloseIdleConnections()
	goldentest.Compare(t, "answers.txt", out.Bytes())
}

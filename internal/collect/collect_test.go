package collect

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/placement"
)

// usual is a report as a sidecar under load makes it: 32 keys, three classes in three zones.
func usual(name string, rnd *rand.Rand) placement.LoadReport {
	r := placement.LoadReport{Sidecar: name, Version: "v7", Zone: "zone-1", PlacementRevision: 1234567, PlacementEpoch: 1 << 52, EndpointRevision: 7654321, IntervalMS: 1000.25,
		ExcludedInFlight: map[string]int{"window/w/tenant": 3}, TotalKeyLoad: 123456.789}
	for range placement.MaxHotKeys {
		r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: fmt.Sprintf("%016x", rnd.Uint64()), Load: rnd.Float64() * 1e4, ErrorBound: rnd.Float64() * 10})
	}
	for _, class := range []string{"interactive", "batch", "effect"} {
		for _, zone := range []string{"zone-1", "zone-2", "zone-3"} {
			c := placement.ClassCount{Class: class, Zone: zone, Succeeded: rnd.IntN(1000), Late: rnd.IntN(10), Failed: rnd.IntN(10)}
			for range len(placement.LatencyBucketBounds) + 1 {
				c.LatencyHistogram = append(c.LatencyHistogram, rnd.Uint32N(100))
			}
			r.ClassCounts = append(r.ClassCounts, c)
		}
	}
	return r
}

func body(t interface{ Fatal(...any) }, reports ...placement.LoadReport) []byte {
	data, err := json.Marshal(map[string]any{"reports": reports})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// deadliner takes deadlines, as a connection does.
type deadliner struct{ *httptest.ResponseRecorder }

func (deadliner) SetReadDeadline(time.Time) error { return nil }

func post(t testing.TB, c *Collector, data []byte) int {
	req, err := http.NewRequest(http.MethodPost, "/reports", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	w := deadliner{httptest.NewRecorder()}
	c.ServeHTTP(w, req)
	return w.Code
}

// What is read directly is what encoding/json reads, of whatever is written a little differently too.
func TestPlainReadingIsEncodingJSONs(t *testing.T) {
	plain := 0
	check := func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r := usual(rapid.SampledFrom([]string{"a", "", "ä", `"`, "\n", "<"}).Draw(t, "name"), rnd)
		r.TotalKeyLoad = rapid.Float64().Draw(t, "heat all")
		r.PlacementRevision = rapid.Uint64().Draw(t, "rev")
		r.ClassCounts[0].Late = rapid.Int().Draw(t, "late")
		r.HotKeys = r.HotKeys[:rapid.IntRange(0, 3).Draw(t, "heat")]
		r.ClassCounts = r.ClassCounts[:2]
		for k := range r.ClassCounts {
			r.ClassCounts[k].LatencyHistogram = r.ClassCounts[k].LatencyHistogram[:k]
		}
		r.SuspendedDirectives = rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 2).Draw(t, "suspended")
		data := body(t, r, placement.LoadReport{Sidecar: "b"})
		if rapid.Bool().Draw(t, "indented") {
			var out bytes.Buffer
			if err := json.Indent(&out, data, " ", "\t"); err != nil {
				t.Fatal(err)
			}
			data = out.Bytes()
		}
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			k := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			put := rapid.SampledFrom([]string{"", "0", "-", ".", "e", "1", `"`, ",", "}", "]", " ", "null", "\\", `"name":1,`, "x"}).Draw(t, "put")
			data = append(append(bytes.Clone(data[:k]), put...), data[k+rapid.IntRange(0, 1).Draw(t, "over"):]...)
		}
		got, is := decodePlain(data)
		if !is {
			return
		}
		plain++
		var want struct{ Reports []placement.LoadReport }
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("%v: %s", err, data)
		}
		if !reflect.DeepEqual(got, want.Reports) {
			t.Fatalf("%s\n%+v, want\n%+v", data, got, want.Reports)
		}
	}
	for turn := 0; turn < 20 && plain == 0; turn++ { // few of the changed ones are still plain
		rapid.Check(t, check)
	}
	if plain == 0 {
		t.Error("nothing is read directly")
	}
	if _, is := decodePlain(body(t, usual("a", rand.New(rand.NewPCG(1, 1))))); !is {
		t.Error("a usual report is not read directly")
	}
}

func TestCollectorKeepsTheNewestOfThoseThatSpeak(t *testing.T) {
	now := time.Duration(0)
	c := New(Options{Most: 3, Keep: 5 * time.Second, Now: func() time.Duration { return now }})
	report := func(name string, rev uint64) placement.LoadReport {
		return placement.LoadReport{Sidecar: name, PlacementRevision: rev}
	}
	if code := post(t, c, body(t, report("a", 1))); code != http.StatusServiceUnavailable {
		t.Errorf("closed, it answers %d", code)
	}
	c.SetOpen(true)
	names := func() string {
		seen, at := c.Snapshot()
		out := ""
		for _, s := range seen {
			out += fmt.Sprintf("%s%d ", s.Sidecar, s.PlacementRevision)
			if at-s.At > 5*time.Second {
				t.Errorf("%s is %v old", s.Sidecar, at-s.At)
			}
		}
		return strings.TrimSpace(out)
	}
	bad := report("d", 1)
	bad.HotKeys = []placement.KeyLoad{{KeyHash: "no key"}}
	for _, step := range []struct {
		at   time.Duration
		data []byte
		code int
		want string
	}{
		{0, body(t, report("b", 1), report("a", 1)), http.StatusNoContent, "a1 b1"},
		{2 * time.Second, body(t, report("a", 2), bad, report("c", 1)), http.StatusBadRequest, "a2 b1 c1"},
		{3 * time.Second, body(t, report("d", 1)), http.StatusServiceUnavailable, "a2 b1 c1"},
		{5 * time.Second, body(t, report("a", 3)), http.StatusNoContent, "a3 b1 c1"},
		{6 * time.Second, body(t, report("d", 2)), http.StatusNoContent, "a3 c1 d2"}, // b is silent
		{6 * time.Second, []byte("what"), http.StatusBadRequest, "a3 c1 d2"},
		{6 * time.Second, bytes.Repeat([]byte(" "), MaxBody+1), http.StatusBadRequest, "a3 c1 d2"},
		{20 * time.Second, body(t), http.StatusNoContent, ""},
	} {
		now = step.at
		if code := post(t, c, step.data); code != step.code {
			t.Errorf("at %v: %d, want %d", step.at, code, step.code)
		}
		if got := names(); got != step.want {
			t.Errorf("at %v there are %q, want %q", step.at, got, step.want)
		}
	}
	if got, want := c.Counts(), (Counts{Taken: 6, Refused: 3, Full: 1, Silent: 4}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
	post(t, c, body(t, report("a", 9)))
	c.SetOpen(false)
	if got := names(); got != "" {
		t.Errorf("closed, it has %q", got)
	}
}

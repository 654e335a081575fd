package balance

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// update makes the fixture tests write their golden files instead of comparing with them.
var update = flag.Bool("update", false, "write the golden files under testdata")

// checkGolden compares text with a golden file of testdata.
func checkGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if text == string(want) {
		return
	}
	got, old := strings.Split(text, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(got), len(old)) {
		g, w := "", ""
		if i < len(got) {
			g = got[i]
		}
		if i < len(old) {
			w = old[i]
		}
		if g != w {
			t.Errorf("%s, line %d:\n got %s\nwant %s", path, i+1, g, w)
		}
	}
}

// gossipFixture is one message between sidecars: its findings and the clock of its sender.
type gossipFixture struct {
	name     string
	now      float64
	findings []finding
}

func gossipFixtures() []gossipFixture {
	const now = 5000160.0
	full := gossipFixture{name: "as many entries as a message holds", now: now}
	for i := range maxFindings {
		full.findings = append(full.findings, finding{findingFault, serverTag(ServerID(1000 + i)), now - 20*float64(i)})
	}
	return []gossipFixture{
		{"question of a sidecar that starts", 1000, []finding{{findingQuery, 0, 1000}}},
		{"a bad server", now, []finding{{findingFault, serverTag(0x0a124a07232b), now - 40}}},
		{"a server that is back", now, []finding{{findingRecovery, serverTag(7), now}}},
		{"one of each kind", now, []finding{{findingQuery, 0, now}, {findingFault, 0xffffffff, now - 5100},
			{findingRecovery, 1, now - 20}}},
		{"a clock beyond 32 bits", 1<<33 + 12345, []finding{{findingFault, 99, 1<<33 + 12345 - 100}}},
		full,
	}
}

// Sidecars of an earlier version must understand this version's messages and vice versa: the encoding must not
// change.
func TestGossipFixtures(t *testing.T) {
	var text strings.Builder
	for _, f := range gossipFixtures() {
		fmt.Fprintf(&text, "%s: %x\n", f.name, encodeGossip(f.now, f.findings))
	}
	checkGolden(t, "gossip.golden", text.String())
	stored, err := os.ReadFile(filepath.Join("testdata", "gossip.golden"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(stored)), "\n")
	if len(lines) != len(gossipFixtures()) {
		t.Fatalf("%d messages are stored, want %d", len(lines), len(gossipFixtures()))
	}
	for i, f := range gossipFixtures() {
		_, digits, _ := strings.Cut(lines[i], ": ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		timestamp, findings, err := decodeGossip(data, f.now, nil)
		if err != nil || timestamp != gossipTimestamp(f.now) || !slices.Equal(findings, f.findings) {
			t.Errorf("%s: decoded as %+v, timestamp %d, error %v", f.name, findings, timestamp, err)
		}
		if encoded := encodeGossip(f.now, findings); !slices.Equal(encoded, data) {
			t.Errorf("%s: encoded again as %x", f.name, encoded)
		}
	}
}

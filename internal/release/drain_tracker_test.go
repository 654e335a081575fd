package release

import "testing"

// Guards against a server that counts as drained too early: all live sidecars must have had a list with the server as
// Terminating for one second without interruption.
func TestDrainProofNeedsEveryLiveSidecar(t *testing.T) {
	tracker := NewDrainTracker(1000)
	update := func(nowMS int64, sidecarRevisions map[string]uint64, liveSidecars ...string) bool {
		tracker.Update(nowMS, []string{"s"}, 50, liveSidecars, sidecarRevisions)
		return tracker.Drained(nowMS, "s")
	}
	both, all := []string{"a", "b"}, []string{"a", "b", "c"}
	for _, c := range []struct { // applied in order to the same tracker
		name             string
		nowMS            int64
		sidecarRevisions map[string]uint64
		liveSidecars     []string
		want             bool
	}{
		{"b reports nothing", 1000, map[string]uint64{"a": 60}, both, false},
		{"b has an older list", 5000, map[string]uint64{"a": 60, "b": 49}, both, false},
		{"requests sent earlier may be open", 6000, map[string]uint64{"a": 60, "b": 50}, both, false},
		{"c joins with an older list", 6900, map[string]uint64{"a": 60, "b": 50, "c": 9}, all, false},
		{"c receives the list", 7000, map[string]uint64{"a": 60, "b": 50, "c": 51}, all, false},
		{"just before the second is over", 7999, map[string]uint64{"a": 60, "b": 50, "c": 51}, all, false},
		{"when the second is over", 8000, map[string]uint64{"a": 60, "b": 50, "c": 51}, all, true},
		{"c no longer reports", 8100, map[string]uint64{"a": 60, "b": 50}, all, false},
	} {
		if got := update(c.nowMS, c.sidecarRevisions, c.liveSidecars...); got != c.want {
			t.Errorf("%s, at %d ms: drained %v, want %v", c.name, c.nowMS, got, c.want)
		}
	}
	tracker.Update(9000, nil, 60, nil, nil)
	if update(9001, nil); len(tracker.proofs) != 1 || tracker.Drained(9500, "s") {
		t.Error("the proof of an earlier drain counts for a later drain of the same server")
	}
}

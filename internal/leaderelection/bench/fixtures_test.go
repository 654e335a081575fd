package bench

import (
	"encoding/json"
	"testing"

	"milldeck/internal/goldentest"
)

// Guards the format of the result that `milldeck duty bench --json` prints.
func TestResultFormat(t *testing.T) {
	encode := func(r *Result) []byte {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		return append(data, '\n')
	}
	goldentest.Compare(t, "result.json", encode(&Result{
		Faults: 1, Kills: 2, Freezes: 3, Stops: 4, LeaderKills: 5, Tenures: 6, Overlaps: 7, LateReleaseConfirmations: 8, ExpiredUnclaimed: 9, GuardedWrites: 10, RejectedWrites: 11,
		DuplicateWrites: 12, Violations: []string{"duty-0: twice"}, ReleaseGapP50MS: 13.5, ReleaseGapP99MS: 14.5,
		KillGapP50MS: 15.5, KillGapP99MS: 16.5, TTLMS: 17, HandoverCosts: []HandoverCost{{18, 19.5}}, RenewalsPerSecond: 20.5, Seconds: 21.5,
	}))
	var read Result
	if err := json.Unmarshal(goldentest.Read(t, "result.json"), &read); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "result.json", encode(&read))
	goldentest.Compare(t, "result-empty.json", encode(&Result{}))
}

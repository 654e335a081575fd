package bench

import (
	"encoding/json"
	"testing"

	"milldeck/internal/goldentest"
)

// The result as --json writes it.
func TestResultFormat(t *testing.T) {
	encode := func(r *Result) []byte {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		return append(data, '\n')
	}
	goldentest.Compare(t, "result.json", encode(&Result{
		Faults: 1, Kills: 2, Freezes: 3, Stops: 4, LeaderKills: 5, Tenures: 6, Overlaps: 7, ToldLate: 8, NotTaken: 9, Saves: 10, Refused: 11,
		Twice: 12, Broken: []string{"duty-0: twice"}, ReleaseGap: []gap{{1, true}}, KillGap: []gap{{2, false}}, ReleaseP50: 13.5, ReleaseP99: 14.5,
		KillP50: 15.5, KillP99: 16.5, TTLMS: 17, WritesOf: []Writes{{18, 19.5}}, RenewalsSec: 20.5, Seconds: 21.5,
	}))
	var read Result
	if err := json.Unmarshal(goldentest.Read(t, "result.json"), &read); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "result.json", encode(&read))
	goldentest.Compare(t, "result-empty.json", encode(&Result{}))
}

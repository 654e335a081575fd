package night

import (
	"flag"
	"fmt"
	"testing"
)

var one = flag.Int("one", -1, "")

func TestOne(t *testing.T) {
	if *one < 0 {
		t.Skip()
	}
	r := Run(uint64(*one), small)
	for _, f := range r.Faults {
		t.Log(f)
	}
	for i, b := range r.First {
		if i < 4 {
			t.Log(fmt.Sprintf("%.1f %s %s", b.AtS, b.Rule, b.What))
		}
	}
	t.Log(r.Counts, r.Releases, r.Windows, r.Seconds)
}

package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// eventLine returns an event as a holder prints it.
func eventLine(eventType, candidate string, token uint64, atNS, validUntilNS int64) string {
	return fmt.Sprintf(`{"what":%q,"duty":"duty-0","who":%q,"token":%d,"at_ns":%d,"until_ns":%d}`+"\n", eventType, candidate, token, atNS, validUntilNS)
}

// savedLine returns a successful trial write as a holder prints it.
func savedLine(candidate string, token uint64, count int) string {
	return fmt.Sprintf(`{"what":"saved","duty":"duty-0","who":%q,"token":%d,"count":%d}`+"\n", candidate, token, count)
}

// The analysis uses the times at which processes considered themselves the holder, not the times at which their lines were
// printed, and skips lines of any other form.
func TestAnalyzeLogs(t *testing.T) {
	a := eventLine("acquired", "a", 5, 100, 600) + eventLine("renewed", "a", 5, 200, 700) + savedLine("a", 5, 1)
	for name, c := range map[string]struct {
		a, b       string // the output of two processes
		killedNS   int64  // when a was killed; 0: never
		want       Result
		violations int
	}{
		"consecutive": {a: a, b: eventLine("acquired", "b", 9, 750, 1250) + savedLine("b", 9, 2)},
		"overlapping": {a: a, b: eventLine("acquired", "b", 9, 650, 1150), want: Result{Overlaps: 1}, violations: 1},
		"killed":      {a: a, b: eventLine("acquired", "b", 9, 650, 1150), killedNS: 640},
		"lost":        {a: a + eventLine("lost", "a", 5, 640, 0), b: eventLine("acquired", "b", 9, 650, 1150)},
		"release confirmed late": {
			a: a + eventLine("stopped", "a", 5, 300, 0) + eventLine("released", "a", 5, 360, 0), b: eventLine("acquired", "b", 9, 350, 850),
			want: Result{LateReleaseConfirmations: 1},
		},
		"stopped too late": {
			a: a + eventLine("stopped", "a", 5, 351, 0), b: eventLine("acquired", "b", 9, 350, 850), want: Result{Overlaps: 1}, violations: 1,
		},
		"expired unclaimed": {a: a, b: eventLine("released", "b", 9, 800, 0), want: Result{ExpiredUnclaimed: 1}},
		"never acquired":    {a: a, b: savedLine("b", 9, 2), violations: 1},
		"written twice":     {a: a, b: eventLine("acquired", "b", 9, 750, 1250) + savedLine("b", 9, 1), want: Result{DuplicateWrites: 1}, violations: 1},
		"truncated":         {a: a + `{"what":"renewed","duty":"du`, b: "panic: of the log\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := &benchRun{opts: Options{Dir: t.TempDir()}, result: &Result{}, killedAt: map[string]int64{}, stopRequestedAt: map[string]int64{}}
			if c.killedNS != 0 {
				b.killedAt["a"] = c.killedNS
			}
			for candidate, text := range map[string]string{"a": c.a, "b": c.b} {
				if err := os.WriteFile(filepath.Join(b.opts.Dir, "duty-0-"+candidate+".log"), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if err := b.analyzeLogs(); err != nil {
				t.Fatal(err)
			}
			got := Result{Overlaps: b.result.Overlaps, LateReleaseConfirmations: b.result.LateReleaseConfirmations, ExpiredUnclaimed: b.result.ExpiredUnclaimed, DuplicateWrites: b.result.DuplicateWrites}
			if fmt.Sprint(got) != fmt.Sprint(c.want) || len(b.result.Violations) != c.violations {
				t.Errorf("result %+v, want %+v; %d violations, want %d: %s", got, c.want, len(b.result.Violations), c.violations, strings.Join(b.result.Violations, "; "))
			}
		})
	}
}

package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// line is a step as a holder prints it.
func line(what, who string, token uint64, at, until int64) string {
	return fmt.Sprintf(`{"what":%q,"duty":"duty-0","who":%q,"token":%d,"at_ns":%d,"until_ns":%d}`+"\n", what, who, token, at, until)
}

func saved(who string, token uint64, count int) string {
	return fmt.Sprintf(`{"what":"saved","duty":"duty-0","who":%q,"token":%d,"count":%d}`+"\n", who, token, count)
}

// The judge goes by when holders believed, not by when their lines were printed, and takes any line.
func TestJudge(t *testing.T) {
	a := line("acquired", "a", 5, 100, 600) + line("renewed", "a", 5, 200, 700) + saved("a", 5, 1)
	for name, c := range map[string]struct {
		a, b  string // what two processes print
		ended int64  // when a was killed; 0: it was not
		want  Result // overlaps, told late, not taken, twice
		lines int    // of what was wrong
	}{
		"one after the other": {a: a, b: line("acquired", "b", 9, 750, 1250) + saved("b", 9, 2)},
		"at a time":           {a: a, b: line("acquired", "b", 9, 650, 1150), want: Result{Overlaps: 1}, lines: 1},
		"killed":              {a: a, b: line("acquired", "b", 9, 650, 1150), ended: 640},
		"lost":                {a: a + line("lost", "a", 5, 640, 0), b: line("acquired", "b", 9, 650, 1150)},
		"told late": {
			a: a + line("stopped", "a", 5, 300, 0) + line("released", "a", 5, 360, 0), b: line("acquired", "b", 9, 350, 850),
			want: Result{ToldLate: 1},
		},
		"stopped too late": {
			a: a + line("stopped", "a", 5, 351, 0), b: line("acquired", "b", 9, 350, 850), want: Result{Overlaps: 1}, lines: 1,
		},
		"given and not taken": {a: a, b: line("released", "b", 9, 800, 0), want: Result{NotTaken: 1}},
		"never acquired":      {a: a, b: saved("b", 9, 2), lines: 1},
		"counted twice":       {a: a, b: line("acquired", "b", 9, 750, 1250) + saved("b", 9, 1), want: Result{Twice: 1}, lines: 1},
		"cut off":             {a: a + `{"what":"renewed","duty":"du`, b: "panic: of the log\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &play{opts: Options{Dir: t.TempDir()}, r: &Result{}, ended: map[string]int64{}, asked: map[string]int64{}}
			if c.ended != 0 {
				p.ended["a"] = c.ended
			}
			for who, text := range map[string]string{"a": c.a, "b": c.b} {
				if err := os.WriteFile(filepath.Join(p.opts.Dir, "duty-0-"+who+".log"), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if err := p.judge(); err != nil {
				t.Fatal(err)
			}
			got := Result{Overlaps: p.r.Overlaps, ToldLate: p.r.ToldLate, NotTaken: p.r.NotTaken, Twice: p.r.Twice}
			if fmt.Sprint(got) != fmt.Sprint(c.want) || len(p.r.Broken) != c.lines {
				t.Errorf("%+v, want %+v; %d lines, want %d: %s", got, c.want, len(p.r.Broken), c.lines, strings.Join(p.r.Broken, "; "))
			}
		})
	}
}

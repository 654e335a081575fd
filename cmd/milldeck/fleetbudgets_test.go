package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
)

// Budgets become those of the file: new ones are set, others dropped, and a file that cannot be sets none.
func TestFleetBudgets(t *testing.T) {
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	m := registry.Member{HTTPAddr: block.Addr(200, 1, 8500), RaftAddr: block.Addr(200, 1, 8501)}
	r, err := registry.Open(registry.Options{HTTPAddr: m.HTTPAddr, RaftAddr: m.RaftAddr, Members: []registry.Member{m}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	path := filepath.Join(t.TempDir(), "budgets.toml")
	const calm = "[[budget]]\nname = \"calm\"\nselect = { kind = \"server\", zone = \"a\" }\nmax_out = { share = 0.1 }\n"
	const few = "[[budget]]\nname = \"few\"\nmax_out = { count = 3, share = 0.5 }\nmax_cold = { count = 2 }\n"
	const isCalm, isFew = "calm 10% out any cold of servers, zone a", "few 3 and 50% out 2 cold of all units"
	for _, c := range []struct {
		text string
		code int
		want string // but for columns
	}{
		{calm, 0, isCalm},
		{few + calm, 0, isCalm + " " + isFew},
		{few + strings.Replace(calm, "0.1", "1.1", 1), exitUsage, "budgets.toml:5: budget[1]: budget.max_out.share: 1.1 is not within 0 to 1"},
		{few + few, exitUsage, `budgets.toml:5: budget[1]: name: there are two budgets "few"`},
		{"[[budget]]\nnmae = \"x\"\n", exitUsage, "budgets.toml:2: budget.nmae: unknown key"},
		{few, 0, isFew},
		{"", 0, ""},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, log bytes.Buffer // the replica logs as well
		code := execute(t.Context(), []string{"fleet", "budgets", path, "--replicas", m.HTTPAddr}, &out, &log)
		if code != 0 {
			out = log
		}
		got := strings.Join(strings.Fields(out.String()), " ")
		if code != c.code || code == 0 && got != c.want || !strings.Contains(got, c.want) {
			t.Errorf("%q: exit code %d, %q; want %d and %q", c.text, code, got, c.code, c.want)
		}
	}
}

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

// `milldeck fleet budgets FILE` replaces the stored budgets by the budgets of the file: it sets the new budgets and deletes
// budgets that the file lacks. An invalid file changes no budget.
func TestFleetBudgets(t *testing.T) {
	block, err := proc.ReserveAddressBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	member := registry.Member{HTTPAddr: block.Addr(200, 1, 8500), RaftAddr: block.Addr(200, 1, 8501)}
	replica, err := registry.Open(registry.Options{HTTPAddr: member.HTTPAddr, RaftAddr: member.RaftAddr, Members: []registry.Member{member}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := replica.Close(); err != nil {
			t.Error(err)
		}
	})
	path := filepath.Join(t.TempDir(), "budgets.toml")
	const zoneBudget = "[[budget]]\nname = \"calm\"\nselect = { kind = \"server\", zone = \"a\" }\nmax_out = { share = 0.1 }\n"
	const countBudget = "[[budget]]\nname = \"few\"\nmax_out = { count = 3, share = 0.5 }\nmax_cold = { count = 2 }\n"
	const printedZoneBudget, printedCountBudget = "calm 10% out any cold of servers, zone a", "few 3 and 50% out 2 cold of all units"
	for _, test := range []struct {
		name string
		file string
		code int
		want string // the output, with one space between words, or a part of the error
	}{
		{"one", zoneBudget, 0, printedZoneBudget},
		{"another as well", countBudget + zoneBudget, 0, printedZoneBudget + " " + printedCountBudget},
		{"an invalid fraction", countBudget + strings.Replace(zoneBudget, "0.1", "1.1", 1), exitUsage, "budgets.toml:5: budget[1]: budget.max_out.share: 1.1 is not within 0 to 1"},
		{"a name twice", countBudget + countBudget, exitUsage, `budgets.toml:5: budget[1]: name: there are two budgets "few"`},
		{"an unknown key", "[[budget]]\nlimit = 3\n", exitUsage, "budgets.toml:2: budget.limit: unknown key"},
		{"one less", countBudget, 0, printedCountBudget},
		{"none", "", 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(test.file), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, log bytes.Buffer // the replica logs as well
			code := execute(t.Context(), []string{"fleet", "budgets", path, "--replicas", member.HTTPAddr}, &out, &log)
			if code != 0 {
				out = log
			}
			got := strings.Join(strings.Fields(out.String()), " ")
			if code != test.code || code == 0 && got != test.want || !strings.Contains(got, test.want) {
				t.Errorf("exit code %d, %q; want %d and %q", code, got, test.code, test.want)
			}
		})
	}
}

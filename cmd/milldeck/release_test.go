package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const checkedPlan = `name = "r"
on_halt = "back"
deadline_s = 600
[what]
server = "2"
[[wave]]
count = 1
bake_s = 30
[[wave]]
bake_s = 30
`

func TestReleaseCheck(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	validPlan := writeFile("good.toml", checkedPlan)
	misspelledPlan := writeFile("bad.toml", strings.Replace(checkedPlan, "count = 1", "cuont = 1", 1))
	const units = `"units":[
		{"id":"server/a1","kind":"server","zone":"a","capacity":1,"condition":"up"},
		{"id":"server/a2","kind":"server","zone":"a","capacity":1,"condition":"up"}]`
	viewWithoutBudgets := writeFile("open.json", `{`+units+`}`)
	viewWithZeroBudget := writeFile("shut.json", `{"budgets":[{"name":"shut","select":{},"max_out":{"count":0},"max_cold":{}}],`+units+`}`)
	for _, test := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"valid plan", []string{validPlan}, 0, "release r, plan "},
		{"unknown key", []string{misspelledPlan}, exitUsage, "bad.toml:7: wave.cuont: unknown key"},
		{"feasible", []string{validPlan, "--view", viewWithoutBudgets}, 0, "the fleet keeps 1 of a capacity of 2"},
		{"infeasible", []string{validPlan, "--view", viewWithZeroBudget}, exitFailed, `refused: budget "shut": max_out allows 0 of its 2 units out`},
		{"view that is no JSON", []string{validPlan, "--view", misspelledPlan}, exitUsage, "--view: "},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			code := execute(context.Background(), append([]string{"release", "check"}, test.args...), &out, &out)
			if code != test.code || !strings.Contains(out.String(), test.want) {
				t.Errorf("%v: exit code %d, %q; want %d and %q", test.args, code, out.String(), test.code, test.want)
			}
		})
	}
}

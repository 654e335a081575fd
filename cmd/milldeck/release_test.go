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
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.toml", checkedPlan)
	bad := file("bad.toml", strings.Replace(checkedPlan, "count = 1", "cuont = 1", 1))
	const units = `"units":[
		{"id":"server/a1","kind":"server","zone":"a","capacity":1,"condition":"up"},
		{"id":"server/a2","kind":"server","zone":"a","capacity":1,"condition":"up"}]`
	open := file("open.json", `{`+units+`}`)
	shut := file("shut.json", `{"budgets":[{"name":"shut","select":{},"max_out":{"count":0},"max_cold":{}}],`+units+`}`)
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"valid plan", []string{good}, 0, "release r, plan "},
		{"unknown key", []string{bad}, exitUsage, "bad.toml:7: wave.cuont: unknown key"},
		{"feasible", []string{good, "--view", open}, 0, "the fleet keeps 1 of a capacity of 2"},
		{"infeasible", []string{good, "--view", shut}, exitFailed, `refused: budget "shut": max_out allows 0 of its 2 units out`},
		{"view that is no JSON", []string{good, "--view", bad}, exitUsage, "--view: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := execute(context.Background(), append([]string{"release", "check"}, c.args...), &out, &out)
			if code != c.code || !strings.Contains(out.String(), c.want) {
				t.Errorf("%v: exit code %d, %q; want %d and %q", c.args, code, out.String(), c.code, c.want)
			}
		})
	}
}

package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const portalContract = `tenant = "portal"
zone = "Europe/Madrid"
notice = "1h"
minutes_a_month = 600
least_share = 0.5
windows_at_once = 1
on_overrun = "halt"

[[hours]]
rule = "FREQ=DAILY"
start = "22:00"
length = "6h"
from = "2026-01-05"
`

func TestWindowPlanAndContractCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	portalFile := write("portal.toml", portalContract)
	tellerFile := write("teller.toml", strings.NewReplacer(`"portal"`, `"teller"`, "22:00", "02:00").Replace(portalContract))
	windowFile := write("w.toml", "name = \"w\"\nservers = [\"a\"]\nwork = \"30m\"\n[fleet]\na = [\"portal\", \"teller\"]\nb = []\n")
	longWindowFile := write("long.toml", "name = \"w\"\nservers = [\"a\"]\nwork = \"3h\"\n[fleet]\na = [\"portal\", \"teller\"]\nb = []\n")
	for _, test := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"clock change within the approved hours", []string{"contract", "check", portalFile, "--at", "2026-10-24T00:00:00Z", "--days", "2"}, 0,
			[]string{"Sat 2026-10-24 22:00 CEST to Sun 03:00 CET", "(10-24 20:00 to 02:00 UTC)"}},
		{"start in the hours that both contracts approve", []string{"window", "plan", windowFile, "--contract", portalFile, "--contract", tellerFile, "--at", "2026-06-10T12:00:00Z"}, 0,
			[]string{"w may begin at Thu 2026-06-11 00:00 UTC", "portal approves from Wed 2026-06-10 22:00 CEST", "teller approves from"}},
		{"work too long for the common hours", []string{"window", "plan", longWindowFile, "--contract", portalFile, "--contract", tellerFile, "--at", "2026-06-10T12:00:00Z"}, exitFailed,
			[]string{"contract of teller forbids it; without it from 2026-06-10T20:00:00Z on; work of"}},
		{"contract of a tenant is missing", []string{"window", "plan", windowFile, "--contract", portalFile}, exitFailed, []string{"there is no contract of teller"}},
		{"a contract in place of a window", []string{"window", "plan", portalFile}, exitUsage, []string{"portal.toml:1: tenant: unknown key"}},
		{"invalid time", []string{"window", "plan", windowFile, "--at", "noon"}, exitUsage, []string{"--at"}},
		{"address not on loopback", []string{"window", "serve", "--reports-listen", "10.0.0.1:80"}, exitUsage, []string{"reports-listen"}},
		{"address not on loopback, by the aliases", []string{"window", "run", "--listen", "10.0.0.1:80"}, exitUsage, []string{"reports-listen"}},
		{"uncertainty too large", []string{"window", "serve", "--clock-off", "6s"}, exitUsage, []string{"--clock-off: 6s is not within"}},
		{"window and tenant at once", []string{"window", "halt", "a", "--tenant", "portal"}, exitUsage, []string{"one name at most, or --tenant"}},
		{"proposal of a contract", []string{"window", "propose", portalFile}, exitUsage, []string{"portal.toml:1: tenant: unknown key"}},
		{"contract set from a window", []string{"contract", "set", windowFile}, exitUsage, []string{"w.toml:1: name: unknown key"}},
		{"registry cannot be reached", []string{"window", "show", "w", "--replicas", "127.0.0.1:1", "--wait", "100ms"}, exitFailed, []string{"connection refused"}},
		{"check of a window", []string{"contract", "check", windowFile}, exitUsage, []string{"w.toml:1: name: unknown key"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := runCommand(t, test.args...)
			for _, want := range test.want {
				if code != test.code || !strings.Contains(out+errOut, want) {
					t.Errorf("%v: exit code %d, output %q; want %d and %q", test.args, code, out+errOut, test.code, want)
				}
			}
		})
	}
}

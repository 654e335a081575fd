package contract

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validContract = `tenant = "member-portal"
zone = "America/Montevideo"
notice = "24h"
minutes_a_month = 600
least_share = 0.6
windows_at_once = 1
on_overrun = "halt"

[[hours]]
rule = "FREQ=WEEKLY;BYDAY=MO,TU"
start = "22:00"
length = "6h"
from = "2026-01-05"

[[closed]]
day = "2026-12-24"
why = "rates announced"
`

func TestContractRoundTripsThroughJSON(t *testing.T) {
	c, err := Parse("c.toml", []byte(validContract))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Contract
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(*c, decoded); diff != "" || decoded.NoticeMS() != 24*3600*1000 {
		t.Errorf("%s\n%s", diff, data)
	}
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{"minutes_a_month", "minutes", "c.toml:4: minutes: unknown key"},
		{"0.6", "1.0", "c.toml:5: least_share: "},
		{`"halt"`, `"ignore"`, "c.toml:7: on_overrun: "},
		{"America/Montevideo", "America/Montvideo", "c.toml:2: zone: "},
		{"FREQ=WEEKLY;BYDAY=MO,TU", "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", "c.toml:10: hours[0].rule: "},
		{"2026-12-24", "24.12.2026", "c.toml:16: closed[0].day: "},
		{"= 600", `= "many"`, "c.toml:4: "},
		{`notice = "24h"`, "", "c.toml: notice: "},
	} {
		t.Run(test.old+" replaced by "+test.new, func(t *testing.T) {
			_, err := Parse("c.toml", []byte(strings.Replace(validContract, test.old, test.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}

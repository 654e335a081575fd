package hours

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func compile(t interface{ Fatal(...any) }, s Spec) *Hours {
	h, err := Compile(s)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// show writes intervals as UTC, which names every instant once.
func show(list []Interval) []string {
	var out []string
	for _, i := range list {
		const f = "01-02 15:04"
		out = append(out, time.UnixMilli(i.From).UTC().Format(f)+" to "+time.UnixMilli(i.Until).UTC().Format(f))
	}
	return out
}

func TestNastyDays(t *testing.T) {
	daily := func(start, length string) []Rule { return []Rule{{"FREQ=DAILY", start, length, "2020-01-01"}} }
	for _, c := range []struct {
		name, zone string
		open       []Rule
		closed     []Closed
		from       string // UTC
		days       int
		want       []string // UTC
	}{
		{"over midnight, no shift", "America/Montevideo", daily("22:00", "6h"), nil, "2026-06-10", 1,
			[]string{"06-10 01:00 to 06-10 07:00"}},
		{"put forward within the hours: the end stays by the wall", "Europe/Madrid", daily("01:00", "3h"), nil, "2026-03-29", 1,
			[]string{"03-29 00:00 to 03-29 02:00", "03-29 23:00 to 03-30 00:00"}},
		{"put back within the hours: no longer than agreed", "Europe/Madrid", daily("01:00", "3h"), nil, "2026-10-24", 2,
			[]string{"10-24 00:00 to 10-24 02:00", "10-24 23:00 to 10-25 02:00"}},
		{"hours within the hour that exists twice: the first", "Europe/Madrid", daily("02:00", "1h"), nil, "2026-10-25", 1,
			[]string{"10-25 00:00 to 10-25 01:00"}},
		{"a start within the hour that exists twice", "Europe/Madrid", daily("02:30", "2h"), nil, "2026-10-25", 1,
			[]string{"10-25 00:30 to 10-25 01:00", "10-25 01:30 to 10-25 02:30"}},
		{"hours wholly within the hour that does not exist", "Europe/Madrid", daily("02:15", "30m"), nil, "2026-03-29", 1, nil},
		{"a start that does not exist", "America/New_York", daily("02:30", "1h"), nil, "2026-03-08", 1,
			[]string{"03-08 07:00 to 03-08 07:30"}},
		{"half an hour put back: the wall shows 01:30 again, within the hours", "Australia/Lord_Howe", daily("01:15", "1h"), nil, "2026-04-04", 1,
			[]string{"04-04 14:15 to 04-04 15:15"}},
		{"half an hour put forward", "Australia/Lord_Howe", daily("01:00", "2h"), nil, "2026-10-03", 1,
			[]string{"10-03 14:30 to 10-03 16:00"}},
		{"a closed day cuts the night before at midnight", "America/Montevideo", daily("22:00", "6h"),
			[]Closed{{Day: "2026-12-25"}}, "2026-12-25", 2, []string{"12-25 01:00 to 12-25 03:00", "12-26 03:00 to 12-26 07:00"}},
		{"a closed day of 25 hours", "Europe/Madrid", []Rule{{"FREQ=DAILY", "00:00", "24h", "2020-01-01"}},
			[]Closed{{Rule: "FREQ=MONTHLY;BYDAY=-1SU", From: "2020-01-01"}}, "2026-10-24", 3,
			[]string{"10-24 00:00 to 10-24 22:00", "10-25 23:00 to 10-27 00:00"}},
		{"the last day of a month", "America/Montevideo", []Rule{{"FREQ=MONTHLY;BYMONTHDAY=-1", "23:00", "2h", "2020-01-01"}}, nil,
			"2026-02-25", 10, []string{"03-01 02:00 to 03-01 04:00"}},
		{"hours that meet are one", "America/Montevideo", append(daily("22:00", "2h"), daily("00:00", "1h")...), nil, "2026-06-10", 1,
			[]string{"06-10 01:00 to 06-10 04:00"}},
	} {
		from, err := time.Parse(time.DateOnly, c.from)
		if err != nil {
			t.Fatal(err)
		}
		h := compile(t, Spec{c.zone, c.open, c.closed})
		got := show(h.Between(from.UnixMilli(), from.AddDate(0, 0, c.days).UnixMilli()))
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s:\n%s", c.name, diff)
		}
	}
}

func TestAMonthEndsInTheTenantsZone(t *testing.T) {
	h := compile(t, Spec{"America/Montevideo", []Rule{{"FREQ=DAILY", "22:00", "6h", "2026-01-01"}}, nil})
	at := time.Date(2026, 3, 1, 1, 0, 0, 0, time.UTC) // still February there
	var got []string
	for _, m := range h.Months(at.UnixMilli(), at.Add(3*time.Hour).UnixMilli()) {
		got = append(got, m.Name+" "+show([]Interval{m.Interval})[0])
	}
	if diff := cmp.Diff([]string{"2026-02 02-01 03:00 to 03-01 03:00", "2026-03 03-01 03:00 to 04-01 03:00"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestWhatCannotBeIsNamed(t *testing.T) {
	good := Rule{"FREQ=WEEKLY;BYDAY=MO", "22:00", "6h", "2026-01-05"}
	with := func(change func(*Rule)) Spec {
		r := good
		change(&r)
		return Spec{"Europe/Madrid", []Rule{good, r}, nil}
	}
	for field, s := range map[string]Spec{
		"zone":            {"Europe/Nowhere", []Rule{good}, nil},
		"hours":           {"Europe/Madrid", nil, nil},
		"hours[1].start":  with(func(r *Rule) { r.Start = "25:00" }),
		"hours[1].length": with(func(r *Rule) { r.Length = "90s" }),
		"hours[1].from":   with(func(r *Rule) { r.From = "2026-02-30" }),
		"closed[0]":       {"Europe/Madrid", []Rule{good}, []Closed{{Day: "2026-01-01", Rule: "FREQ=DAILY"}}},
		"closed[0].day":   {"Europe/Madrid", []Rule{good}, []Closed{{Day: "tomorrow"}}},
	} {
		if _, err := Compile(s); err == nil || !strings.HasPrefix(err.Error(), field+": ") {
			t.Errorf("%v does not name %s", err, field)
		}
	}
	for _, rule := range []string{"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", "FREQ=YEARLY;INTERVAL=4;BYMONTH=2;BYMONTHDAY=29", // from 2026: never a leap year
		"FREQ=DAILY;UNTIL=20250101T000000Z", "FREQ=HOURLY", "FREQ=DAILY;BYHOUR=3", "FREQ=DAILY;DTSTART=20260101T000000Z", "BYDAY=MO", ""} {
		if _, err := Compile(with(func(r *Rule) { r.Rule = rule })); err == nil || !strings.HasPrefix(err.Error(), "hours[1].rule: ") {
			t.Errorf("%q: %v", rule, err)
		}
	}
}

// byWall asks minute by minute what the package's page says, from the clock on the wall alone.
type byWall struct {
	loc    *time.Location
	start  time.Duration // from midnight
	length time.Duration
	on     func(time.Time) bool // whether the rule names a day
	closed func(time.Time) bool
}

func wall(t time.Time) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d, t.Hour(), t.Minute(), 0, 0, time.UTC)
}

func (b *byWall) approved(t time.Time) bool {
	w := wall(t.In(b.loc))
	if b.closed(w) {
		return false
	}
	for d := -2; d <= 1; d++ {
		midnight := w.Truncate(24*time.Hour).AddDate(0, 0, d)
		from := midnight.Add(b.start)
		if !b.on(midnight) || w.Before(from) || !w.Before(from.Add(b.length)) {
			continue
		}
		first := t.Add(-b.length - 3*time.Hour) // before the wall showed the start
		for wall(first.In(b.loc)).Before(from) {
			first = first.Add(time.Minute)
		}
		if t.Before(first.Add(b.length)) {
			return true
		}
	}
	return false
}

func TestHoursAsAskedMinuteByMinute(t *testing.T) {
	// About when clocks are put forward or back, in each zone.
	shifts := map[string][]string{"America/Montevideo": {"2026-03-29"}, "Europe/Madrid": {"2026-03-29", "2026-10-25"},
		"Australia/Lord_Howe": {"2026-04-04", "2026-10-03"}, "America/New_York": {"2026-03-08", "2026-11-01"},
		"America/Santiago": {"2026-04-05", "2026-09-06"}} // at midnight
	zones := []string{"America/Montevideo", "Europe/Madrid", "Australia/Lord_Howe", "America/New_York", "America/Santiago"}
	rules := map[string]func(time.Time) bool{
		"FREQ=DAILY":                   func(time.Time) bool { return true },
		"FREQ=WEEKLY;BYDAY=SA,SU":      func(d time.Time) bool { return d.Weekday() == time.Saturday || d.Weekday() == time.Sunday },
		"FREQ=MONTHLY;BYMONTHDAY=-1,1": func(d time.Time) bool { return d.Day() == 1 || d.AddDate(0, 0, 1).Day() == 1 },
	}
	names := []string{"FREQ=DAILY", "FREQ=WEEKLY;BYDAY=SA,SU", "FREQ=MONTHLY;BYMONTHDAY=-1,1"}
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom(zones).Draw(t, "zone")
		rule := rapid.SampledFrom(names).Draw(t, "rule")
		start := rapid.OneOf(rapid.IntRange(0, 24*60-1), rapid.IntRange(0, 240)).Draw(t, "start")
		length := rapid.OneOf(rapid.IntRange(1, 24*60), rapid.IntRange(1, 200)).Draw(t, "length")
		about, _ := time.Parse(time.DateOnly, rapid.SampledFrom(shifts[zone]).Draw(t, "about"))
		shut := about.AddDate(0, 0, rapid.IntRange(-3, 3).Draw(t, "closed"))
		h := compile(t, Spec{zone, []Rule{{rule, fmt.Sprintf("%02d:%02d", start/60, start%60), fmt.Sprintf("%dm", length), "2020-01-01"}},
			[]Closed{{Day: shut.Format(time.DateOnly)}}})
		model := &byWall{h.loc, time.Duration(start) * time.Minute, time.Duration(length) * time.Minute, rules[rule],
			func(w time.Time) bool { return w.Truncate(24 * time.Hour).Equal(shut) }}
		from, until := about.Add(-20*time.Hour), about.Add(44*time.Hour)
		list := h.Between(from.UnixMilli(), until.UnixMilli())
		for at := from; at.Before(until); at = at.Add(7 * time.Minute) { // 7 and 60 share no factor: all minutes are met
			in := false
			for _, i := range list {
				in = in || i.From <= at.UnixMilli() && at.UnixMilli() < i.Until
			}
			if want := model.approved(at); in != want {
				t.Fatalf("%s: approved %v, the wall says %v; %v", at, in, want, show(list))
			}
		}
	})
}

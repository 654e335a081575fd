package calendar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func mustCompile(t interface{ Fatal(...any) }, spec Spec) *Calendar {
	calendar, err := Compile(spec)
	if err != nil {
		t.Fatal(err)
	}
	return calendar
}

// formatUTC formats intervals in UTC, in which no local time occurs twice.
func formatUTC(intervals []Interval) []string {
	var lines []string
	for _, interval := range intervals {
		const layout = "01-02 15:04"
		lines = append(lines, time.UnixMilli(interval.StartMS).UTC().Format(layout)+" to "+time.UnixMilli(interval.EndMS).UTC().Format(layout))
	}
	return lines
}

func TestClockChangesAndClosedDays(t *testing.T) {
	daily := func(start, length string) []Rule { return []Rule{{"FREQ=DAILY", start, length, "2020-01-01"}} }
	for _, test := range []struct {
		name, zone string
		open       []Rule
		closed     []ClosedDay
		from       string // UTC
		days       int
		want       []string // UTC
	}{
		{"over midnight, no clock change", "America/Montevideo", daily("22:00", "6h"), nil, "2026-06-10", 1,
			[]string{"06-10 01:00 to 06-10 07:00"}},
		{"clock put forward within the hours: the local end stays", "Europe/Madrid", daily("01:00", "3h"), nil, "2026-03-29", 1,
			[]string{"03-29 00:00 to 03-29 02:00", "03-29 23:00 to 03-30 00:00"}},
		{"clock put back within the hours: no longer than agreed", "Europe/Madrid", daily("01:00", "3h"), nil, "2026-10-24", 2,
			[]string{"10-24 00:00 to 10-24 02:00", "10-24 23:00 to 10-25 02:00"}},
		{"hours within the hour that occurs twice: the first", "Europe/Madrid", daily("02:00", "1h"), nil, "2026-10-25", 1,
			[]string{"10-25 00:00 to 10-25 01:00"}},
		{"a start within the hour that occurs twice", "Europe/Madrid", daily("02:30", "2h"), nil, "2026-10-25", 1,
			[]string{"10-25 00:30 to 10-25 01:00", "10-25 01:30 to 10-25 02:30"}},
		{"hours within the hour that is skipped", "Europe/Madrid", daily("02:15", "30m"), nil, "2026-03-29", 1, nil},
		{"a start that is skipped", "America/New_York", daily("02:30", "1h"), nil, "2026-03-08", 1,
			[]string{"03-08 07:00 to 03-08 07:30"}},
		{"clock put back by half an hour: 01:30 occurs twice within the hours", "Australia/Lord_Howe", daily("01:15", "1h"), nil, "2026-04-04", 1,
			[]string{"04-04 14:15 to 04-04 15:15"}},
		{"clock put forward by half an hour", "Australia/Lord_Howe", daily("01:00", "2h"), nil, "2026-10-03", 1,
			[]string{"10-03 14:30 to 10-03 16:00"}},
		{"a closed day cuts the hours of the evening before at midnight", "America/Montevideo", daily("22:00", "6h"),
			[]ClosedDay{{Day: "2026-12-25"}}, "2026-12-25", 2, []string{"12-25 01:00 to 12-25 03:00", "12-26 03:00 to 12-26 07:00"}},
		{"a closed day of 25 hours", "Europe/Madrid", []Rule{{"FREQ=DAILY", "00:00", "24h", "2020-01-01"}},
			[]ClosedDay{{Recurrence: "FREQ=MONTHLY;BYDAY=-1SU", FirstDay: "2020-01-01"}}, "2026-10-24", 3,
			[]string{"10-24 00:00 to 10-24 22:00", "10-25 23:00 to 10-27 00:00"}},
		{"the last day of a month", "America/Montevideo", []Rule{{"FREQ=MONTHLY;BYMONTHDAY=-1", "23:00", "2h", "2020-01-01"}}, nil,
			"2026-02-25", 10, []string{"03-01 02:00 to 03-01 04:00"}},
		{"adjacent hours are merged", "America/Montevideo", append(daily("22:00", "2h"), daily("00:00", "1h")...), nil, "2026-06-10", 1,
			[]string{"06-10 01:00 to 06-10 04:00"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			from, err := time.Parse(time.DateOnly, test.from)
			if err != nil {
				t.Fatal(err)
			}
			calendar := mustCompile(t, Spec{test.zone, test.open, test.closed})
			got := formatUTC(calendar.Between(from.UnixMilli(), from.AddDate(0, 0, test.days).UnixMilli()))
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMonthEndsInTenantZone(t *testing.T) {
	calendar := mustCompile(t, Spec{"America/Montevideo", []Rule{{"FREQ=DAILY", "22:00", "6h", "2026-01-01"}}, nil})
	at := time.Date(2026, 3, 1, 1, 0, 0, 0, time.UTC) // still February in Montevideo
	var got []string
	for _, month := range calendar.Months(at.UnixMilli(), at.Add(3*time.Hour).UnixMilli()) {
		got = append(got, month.Name+" "+formatUTC([]Interval{month.Interval})[0])
	}
	if diff := cmp.Diff([]string{"2026-02 02-01 03:00 to 03-01 03:00", "2026-03 03-01 03:00 to 04-01 03:00"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestCompileNamesInvalidField(t *testing.T) {
	valid := Rule{"FREQ=WEEKLY;BYDAY=MO", "22:00", "6h", "2026-01-05"}
	specWithRule := func(change func(*Rule)) Spec {
		rule := valid
		change(&rule)
		return Spec{"Europe/Madrid", []Rule{valid, rule}, nil}
	}
	for field, spec := range map[string]Spec{
		"zone":            {"Europe/Nowhere", []Rule{valid}, nil},
		"hours":           {"Europe/Madrid", nil, nil},
		"hours[1].start":  specWithRule(func(rule *Rule) { rule.Start = "25:00" }),
		"hours[1].length": specWithRule(func(rule *Rule) { rule.Length = "90s" }),
		"hours[1].from":   specWithRule(func(rule *Rule) { rule.FirstDay = "2026-02-30" }),
		"closed[0]":       {"Europe/Madrid", []Rule{valid}, []ClosedDay{{Day: "2026-01-01", Recurrence: "FREQ=DAILY"}}},
		"closed[0].day":   {"Europe/Madrid", []Rule{valid}, []ClosedDay{{Day: "tomorrow"}}},
	} {
		t.Run(field, func(t *testing.T) {
			if _, err := Compile(spec); err == nil || !strings.HasPrefix(err.Error(), field+": ") {
				t.Errorf("%v does not name %s", err, field)
			}
		})
	}
	for _, recurrence := range []string{
		"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30",
		"FREQ=YEARLY;INTERVAL=4;BYMONTH=2;BYMONTHDAY=29", // from 2026: never a leap year
		"FREQ=DAILY;UNTIL=20250101T000000Z",
		"FREQ=HOURLY",
		"FREQ=DAILY;BYHOUR=3",
		"FREQ=DAILY;DTSTART=20260101T000000Z",
		"BYDAY=MO",
		"",
	} {
		t.Run("recurrence "+recurrence, func(t *testing.T) {
			_, err := Compile(specWithRule(func(rule *Rule) { rule.Recurrence = recurrence }))
			if err == nil || !strings.HasPrefix(err.Error(), "hours[1].rule: ") {
				t.Errorf("%q: %v", recurrence, err)
			}
		})
	}
}

// wallClockModel computes whether an instant is approved by the rule of the package comment, from the local clock alone.
type wallClockModel struct {
	location    *time.Location
	start       time.Duration // from midnight
	length      time.Duration
	matchesRule func(time.Time) bool // whether the recurrence contains the day
	closed      func(time.Time) bool
}

func wallClock(t time.Time) time.Time {
	year, month, dayOfMonth := t.Date()
	return time.Date(year, month, dayOfMonth, t.Hour(), t.Minute(), 0, 0, time.UTC)
}

func (m *wallClockModel) approved(t time.Time) bool {
	wallTime := wallClock(t.In(m.location))
	if m.closed(wallTime) {
		return false
	}
	for dayOffset := -2; dayOffset <= 1; dayOffset++ {
		midnight := wallTime.Truncate(24*time.Hour).AddDate(0, 0, dayOffset)
		start := midnight.Add(m.start)
		if !m.matchesRule(midnight) || wallTime.Before(start) || !wallTime.Before(start.Add(m.length)) {
			continue
		}
		first := t.Add(-m.length - 3*time.Hour) // an instant before the local clock showed the start
		for wallClock(first.In(m.location)).Before(start) {
			first = first.Add(time.Minute)
		}
		if t.Before(first.Add(m.length)) {
			return true
		}
	}
	return false
}

func TestCalendarMatchesWallClockModel(t *testing.T) {
	// Days around which the local clock of each zone changes.
	clockChanges := map[string][]string{
		"America/Montevideo":  {"2026-03-29"}, // no clock change
		"Europe/Madrid":       {"2026-03-29", "2026-10-25"},
		"Australia/Lord_Howe": {"2026-04-04", "2026-10-03"},
		"America/New_York":    {"2026-03-08", "2026-11-01"},
		"America/Santiago":    {"2026-04-05", "2026-09-06"}, // at midnight
	}
	zones := []string{"America/Montevideo", "Europe/Madrid", "Australia/Lord_Howe", "America/New_York", "America/Santiago"}
	rules := map[string]func(time.Time) bool{
		"FREQ=DAILY":                   func(time.Time) bool { return true },
		"FREQ=WEEKLY;BYDAY=SA,SU":      func(date time.Time) bool { return date.Weekday() == time.Saturday || date.Weekday() == time.Sunday },
		"FREQ=MONTHLY;BYMONTHDAY=-1,1": func(date time.Time) bool { return date.Day() == 1 || date.AddDate(0, 0, 1).Day() == 1 },
	}
	ruleNames := []string{"FREQ=DAILY", "FREQ=WEEKLY;BYDAY=SA,SU", "FREQ=MONTHLY;BYMONTHDAY=-1,1"}
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom(zones).Draw(t, "zone")
		rule := rapid.SampledFrom(ruleNames).Draw(t, "rule")
		start := rapid.OneOf(rapid.IntRange(0, 24*60-1), rapid.IntRange(0, 240)).Draw(t, "start")
		length := rapid.OneOf(rapid.IntRange(1, 24*60), rapid.IntRange(1, 200)).Draw(t, "length")
		changeDay, err := time.Parse(time.DateOnly, rapid.SampledFrom(clockChanges[zone]).Draw(t, "about"))
		if err != nil {
			t.Fatal(err)
		}
		closedDay := changeDay.AddDate(0, 0, rapid.IntRange(-3, 3).Draw(t, "closed"))
		calendar := mustCompile(t, Spec{
			Zone: zone,
			ApprovedHours: []Rule{{
				Recurrence: rule,
				Start:      fmt.Sprintf("%02d:%02d", start/60, start%60),
				Length:     fmt.Sprintf("%dm", length),
				FirstDay:   "2020-01-01",
			}},
			ClosedDays: []ClosedDay{{Day: closedDay.Format(time.DateOnly)}},
		})
		model := &wallClockModel{
			location:    calendar.location,
			start:       time.Duration(start) * time.Minute,
			length:      time.Duration(length) * time.Minute,
			matchesRule: rules[rule],
			closed:      func(wallTime time.Time) bool { return wallTime.Truncate(24 * time.Hour).Equal(closedDay) },
		}
		from, until := changeDay.Add(-20*time.Hour), changeDay.Add(44*time.Hour)
		approved := calendar.Between(from.UnixMilli(), until.UnixMilli())
		for instant := from; instant.Before(until); instant = instant.Add(7 * time.Minute) { // coprime to 60: covers every minute
			got := false
			for _, interval := range approved {
				got = got || interval.StartMS <= instant.UnixMilli() && instant.UnixMilli() < interval.EndMS
			}
			if want := model.approved(instant); got != want {
				t.Fatalf("%s: approved %v, want %v; %v", instant, got, want, formatUTC(approved))
			}
		}
	})
}

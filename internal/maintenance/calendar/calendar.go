// Package hours says when a contract approves maintenance: it turns recurrence rules, closed days and a time zone into
// intervals of time. It is pure; the zones are embedded, so that no machine's own files matter.
//
// Hours are meant as people read them, so on a day on which the clock is put forward or back an instant is approved
// only if both readings of the rule approve it: the clock on the wall shows a time within the hours, and no more than
// their length has passed since they began (at the first instant at which the wall shows their start or later). So
// hours are never longer than agreed, never end later than the wall says, and a start that does not exist begins after
// the gap without moving the end.
package calendar

import (
	"fmt"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // the zones are the same wherever the program runs

	"github.com/teambition/rrule-go"
)

// Bounds of a specification. What people agree on is far within them.
const (
	MaxRules      = 32
	MaxClosedDays = 400                // a year of single days
	MaxLength     = 7 * 24 * time.Hour // longer hours are no hours
	maxRuleLength = 512                // bytes of a rule

	// Nothing is approved from maxYear on: it bounds what a rule is expanded to.
	minYear, maxYear = 2020, 2120
	// A rule whose first occurrence is further off than this is taken for one that has none. A Monday the 29th of
	// February comes back after 28 years, or after 40 where a century's year is no leap year.
	maxYearsToFirstOccurrence = 41 // years
	// No zone is further than 14 hours from UTC; a clock put forward or back adds less than a day.
	maxZoneOffset = 26 * 3600 // s
)

const (
	secondsPerDay = 24 * 3600 // s
	dateLayout    = "2006-01-02"
	timeLayout    = "15:04"
)

// Rule approves Length from Start on the days that Rule names, an RFC 5545 recurrence of whole days counted from From.
type Rule struct {
	Recurrence string `toml:"rule" json:"rule"`     // FREQ=DAILY, WEEKLY, MONTHLY or YEARLY; no BYHOUR and the like
	Start      string `toml:"start" json:"start"`   // "22:00", by the clock on the wall
	Length     string `toml:"length" json:"length"` // "6h", whole minutes, to MaxLength; may go over midnight
	FirstDay   string `toml:"from" json:"from"`     // "2026-01-05": the first day that can count
}

// ClosedDay is a day on which nothing is approved, from one midnight to the next by the clock on the wall: one Day, or the
// days of a Rule from From on.
type ClosedDay struct {
	Day        string `toml:"day" json:"day,omitempty"`
	Recurrence string `toml:"rule" json:"rule,omitempty"`
	FirstDay   string `toml:"from" json:"from,omitempty"`
	Reason     string `toml:"why" json:"why,omitempty"`
}

// Spec is when maintenance is approved.
type Spec struct {
	Zone          string      `toml:"zone" json:"zone"` // by name, as "America/Montevideo"
	ApprovedHours []Rule      `toml:"hours" json:"hours"`
	ClosedDays    []ClosedDay `toml:"closed" json:"closed,omitempty"`
}

// FieldError is what is wrong with a specification: the key as it is written in a file, and why.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Interval is a time in Unix ms, From included, Until not.
type Interval struct {
	StartMS int64 `json:"from_ms"`
	EndMS   int64 `json:"until_ms"`
}

// Calendar is a specification made ready. It expands its rules as it is asked, so it is not safe for concurrent use.
type Calendar struct {
	location *time.Location
	approved []*daySeries
	closed   []*daySeries
}

// Compile checks a specification. Its error is a *FieldError.
func Compile(spec Spec) (*Calendar, error) {
	location, err := time.LoadLocation(spec.Zone)
	if err != nil || spec.Zone == "" || spec.Zone == "Local" {
		return nil, invalid("zone", "%q is no time zone's name", spec.Zone)
	}
	calendar := &Calendar{location: location}
	switch {
	case len(spec.ApprovedHours) == 0:
		return nil, invalid("hours", "no approved hours")
	case len(spec.ApprovedHours) > MaxRules:
		return nil, invalid("hours", "%d rules, at most %d", len(spec.ApprovedHours), MaxRules)
	case len(spec.ClosedDays) > MaxClosedDays:
		return nil, invalid("closed", "%d entries, at most %d", len(spec.ClosedDays), MaxClosedDays)
	}
	for i, rule := range spec.ApprovedHours {
		field := fmt.Sprintf("hours[%d]", i)
		start, err := time.Parse(timeLayout, rule.Start)
		if err != nil {
			return nil, invalid(field+".start", "%q is no time of day like 22:00", rule.Start)
		}
		length, err := time.ParseDuration(rule.Length)
		if err != nil || length < time.Minute || length > MaxLength || length%time.Minute != 0 {
			return nil, invalid(field+".length", "%q is no length like 6h, of whole minutes, to %s", rule.Length, MaxLength)
		}
		days, err := newDaySeries(field, rule.Recurrence, rule.FirstDay)
		if err != nil {
			return nil, err
		}
		days.startOffset = int64(start.Hour()*3600 + start.Minute()*60)
		days.duration = int64(length / time.Second)
		calendar.approved = append(calendar.approved, days)
	}
	for i, closed := range spec.ClosedDays {
		field := fmt.Sprintf("closed[%d]", i)
		recurrence, from := closed.Recurrence, closed.FirstDay
		if closed.Day != "" {
			if closed.Recurrence != "" || closed.FirstDay != "" {
				return nil, invalid(field, "a day or a rule, not both")
			}
			if _, err := parseDate(field+".day", closed.Day); err != nil {
				return nil, err
			}
			recurrence, from = "FREQ=DAILY;COUNT=1", closed.Day
		}
		days, err := newDaySeries(field, recurrence, from)
		if err != nil {
			return nil, err
		}
		days.duration = secondsPerDay
		calendar.closed = append(calendar.closed, days)
	}
	return calendar, nil
}

func parseDate(field, text string) (time.Time, error) {
	date, err := time.Parse(dateLayout, text)
	if err != nil || date.Year() < minYear || date.Year() >= maxYear {
		return date, invalid(field, "%q is no day like 2026-01-05, of the years %d to %d", text, minYear, maxYear-1)
	}
	return date, nil
}

// daySeries is the days of one rule, by the clock on the wall read as if it were UTC.
type daySeries struct {
	nextDate    rrule.Next
	daysUnix    []int64 // Unix s, as far as they were asked for
	exhausted   bool
	startOffset int64 // s from midnight to the start
	duration    int64 // s
}

func newDaySeries(field, recurrence, from string) (*daySeries, error) {
	if len(recurrence) > maxRuleLength || strings.ContainsAny(recurrence, "\n\r") {
		return nil, invalid(field+".rule", "longer than %d bytes, or more than a line", maxRuleLength)
	}
	first, err := parseDate(field+".from", from)
	if err != nil {
		return nil, err
	}
	options, err := rrule.StrToROptionInLocation(recurrence, time.UTC)
	if err != nil {
		return nil, invalid(field+".rule", "%v", err)
	}
	switch {
	case options.Freq > rrule.DAILY:
		return nil, invalid(field+".rule", "a rule of days: FREQ is DAILY, WEEKLY, MONTHLY or YEARLY")
	case len(options.Byhour)+len(options.Byminute)+len(options.Bysecond) > 0:
		return nil, invalid(field+".rule", "a rule of days: the time of day stands in start and length")
	case !options.Dtstart.IsZero():
		return nil, invalid(field+".rule", "DTSTART stands in from")
	case options.Interval < 0 || options.Interval > 1000 || options.Count < 0:
		return nil, invalid(field+".rule", "INTERVAL is 1 to 1000 and COUNT is not negative")
	}
	options.Dtstart = first
	parsed, err := rrule.NewRRule(*options)
	if err != nil {
		return nil, invalid(field+".rule", "%v", err)
	}
	series := &daySeries{nextDate: parsed.Iterator()}
	series.expandNext()
	if len(series.daysUnix) == 0 || series.daysUnix[0] > first.AddDate(maxYearsToFirstOccurrence, 0, 0).Unix() {
		return nil, invalid(field+".rule", "%s has no occurrence from %s on", recurrence, from)
	}
	return series, nil
}

// expandNext expands the rule by one day.
func (s *daySeries) expandNext() {
	date, ok := s.nextDate()
	if !ok || date.Year() >= maxYear {
		s.exhausted = true
		return
	}
	s.daysUnix = append(s.daysUnix, date.Unix())
}

// forEachStart calls do with each start, by the wall, from a on and before b.
func (s *daySeries) forEachStart(from, until int64, visit func(wall int64)) {
	for !s.exhausted && (len(s.daysUnix) == 0 || s.daysUnix[len(s.daysUnix)-1]+s.startOffset < until) {
		s.expandNext()
	}
	i, _ := slices.BinarySearch(s.daysUnix, from-s.startOffset)
	for ; i < len(s.daysUnix) && s.daysUnix[i]+s.startOffset < until; i++ {
		visit(s.daysUnix[i] + s.startOffset)
	}
}

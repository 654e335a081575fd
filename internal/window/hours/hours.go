// Package hours says when a contract approves maintenance: it turns recurrence rules, closed days and a time zone into
// intervals of time. It is pure; the zones are embedded, so that no machine's own files matter.
//
// Hours are meant as people read them, so on a day on which the clock is put forward or back an instant is approved
// only if both readings of the rule approve it: the clock on the wall shows a time within the hours, and no more than
// their length has passed since they began (at the first instant at which the wall shows their start or later). So
// hours are never longer than agreed, never end later than the wall says, and a start that does not exist begins after
// the gap without moving the end.
package hours

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
	MaxRules  = 32
	MaxClosed = 400                // a year of single days
	MaxLength = 7 * 24 * time.Hour // longer hours are no hours
	maxRule   = 512                // bytes of a rule

	// Nothing is approved from lastYear on: it bounds what a rule is expanded to.
	firstYear, lastYear = 2020, 2120
	// A rule whose first occurrence is further off than this is taken for one that has none. A Monday the 29th of
	// February comes back after 28 years, or after 40 where a century's year is no leap year.
	emptyAfter = 41 // years
	// No zone is further than 14 hours from UTC; a clock put forward or back adds less than a day.
	farthest = 26 * 3600 // s
)

const (
	day        = 24 * 3600 // s
	dateLayout = "2006-01-02"
	timeLayout = "15:04"
)

// Rule approves Length from Start on the days that Rule names, an RFC 5545 recurrence of whole days counted from From.
type Rule struct {
	Rule   string `toml:"rule" json:"rule"`     // FREQ=DAILY, WEEKLY, MONTHLY or YEARLY; no BYHOUR and the like
	Start  string `toml:"start" json:"start"`   // "22:00", by the clock on the wall
	Length string `toml:"length" json:"length"` // "6h", whole minutes, to MaxLength; may go over midnight
	From   string `toml:"from" json:"from"`     // "2026-01-05": the first day that can count
}

// Closed is a day on which nothing is approved, from one midnight to the next by the clock on the wall: one Day, or the
// days of a Rule from From on.
type Closed struct {
	Day  string `toml:"day" json:"day,omitempty"`
	Rule string `toml:"rule" json:"rule,omitempty"`
	From string `toml:"from" json:"from,omitempty"`
	Why  string `toml:"why" json:"why,omitempty"`
}

// Spec is when maintenance is approved.
type Spec struct {
	Zone   string   `toml:"zone" json:"zone"` // by name, as "America/Montevideo"
	Open   []Rule   `toml:"hours" json:"hours"`
	Closed []Closed `toml:"closed" json:"closed,omitempty"`
}

// FieldError is what is wrong with a specification: the key as it is written in a file, and why.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func fault(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Interval is a time in Unix ms, From included, Until not.
type Interval struct {
	From  int64 `json:"from_ms"`
	Until int64 `json:"until_ms"`
}

// Hours is a specification made ready. It expands its rules as it is asked, so it is not safe for concurrent use.
type Hours struct {
	loc    *time.Location
	open   []*series
	closed []*series
}

// Compile checks a specification. Its error is a *FieldError.
func Compile(s Spec) (*Hours, error) {
	loc, err := time.LoadLocation(s.Zone)
	if err != nil || s.Zone == "" || s.Zone == "Local" {
		return nil, fault("zone", "%q is no time zone's name", s.Zone)
	}
	h := &Hours{loc: loc}
	switch {
	case len(s.Open) == 0:
		return nil, fault("hours", "no approved hours")
	case len(s.Open) > MaxRules:
		return nil, fault("hours", "%d rules, at most %d", len(s.Open), MaxRules)
	case len(s.Closed) > MaxClosed:
		return nil, fault("closed", "%d entries, at most %d", len(s.Closed), MaxClosed)
	}
	for i, r := range s.Open {
		at := fmt.Sprintf("hours[%d]", i)
		start, err := time.Parse(timeLayout, r.Start)
		if err != nil {
			return nil, fault(at+".start", "%q is no time of day like 22:00", r.Start)
		}
		length, err := time.ParseDuration(r.Length)
		if err != nil || length < time.Minute || length > MaxLength || length%time.Minute != 0 {
			return nil, fault(at+".length", "%q is no length like 6h, of whole minutes, to %s", r.Length, MaxLength)
		}
		one, err := newSeries(at, r.Rule, r.From)
		if err != nil {
			return nil, err
		}
		one.shift = int64(start.Hour()*3600 + start.Minute()*60)
		one.length = int64(length / time.Second)
		h.open = append(h.open, one)
	}
	for i, c := range s.Closed {
		at := fmt.Sprintf("closed[%d]", i)
		rule, from := c.Rule, c.From
		if c.Day != "" {
			if c.Rule != "" || c.From != "" {
				return nil, fault(at, "a day or a rule, not both")
			}
			if _, err := date(at+".day", c.Day); err != nil {
				return nil, err
			}
			rule, from = "FREQ=DAILY;COUNT=1", c.Day
		}
		one, err := newSeries(at, rule, from)
		if err != nil {
			return nil, err
		}
		one.length = day
		h.closed = append(h.closed, one)
	}
	return h, nil
}

func date(field, s string) (time.Time, error) {
	d, err := time.Parse(dateLayout, s)
	if err != nil || d.Year() < firstYear || d.Year() >= lastYear {
		return d, fault(field, "%q is no day like 2026-01-05, of the years %d to %d", s, firstYear, lastYear-1)
	}
	return d, nil
}

// series is the days of one rule, by the clock on the wall read as if it were UTC.
type series struct {
	next   rrule.Next
	days   []int64 // Unix s, as far as they were asked for
	done   bool
	shift  int64 // s from midnight to the start
	length int64 // s
}

func newSeries(at, rule, from string) (*series, error) {
	if len(rule) > maxRule || strings.ContainsAny(rule, "\n\r") {
		return nil, fault(at+".rule", "longer than %d bytes, or more than a line", maxRule)
	}
	first, err := date(at+".from", from)
	if err != nil {
		return nil, err
	}
	opt, err := rrule.StrToROptionInLocation(rule, time.UTC)
	if err != nil {
		return nil, fault(at+".rule", "%v", err)
	}
	switch {
	case opt.Freq > rrule.DAILY:
		return nil, fault(at+".rule", "a rule of days: FREQ is DAILY, WEEKLY, MONTHLY or YEARLY")
	case len(opt.Byhour)+len(opt.Byminute)+len(opt.Bysecond) > 0:
		return nil, fault(at+".rule", "a rule of days: the time of day stands in start and length")
	case !opt.Dtstart.IsZero():
		return nil, fault(at+".rule", "DTSTART stands in from")
	case opt.Interval < 0 || opt.Interval > 1000 || opt.Count < 0:
		return nil, fault(at+".rule", "INTERVAL is 1 to 1000 and COUNT is not negative")
	}
	opt.Dtstart = first
	r, err := rrule.NewRRule(*opt)
	if err != nil {
		return nil, fault(at+".rule", "%v", err)
	}
	s := &series{next: r.Iterator()}
	s.fetch()
	if len(s.days) == 0 || s.days[0] > first.AddDate(emptyAfter, 0, 0).Unix() {
		return nil, fault(at+".rule", "%s has no occurrence from %s on", rule, from)
	}
	return s, nil
}

// fetch expands the rule by one day.
func (s *series) fetch() {
	d, is := s.next()
	if !is || d.Year() >= lastYear {
		s.done = true
		return
	}
	s.days = append(s.days, d.Unix())
}

// between calls do with each start, by the wall, from a on and before b.
func (s *series) between(a, b int64, do func(wall int64)) {
	for !s.done && (len(s.days) == 0 || s.days[len(s.days)-1]+s.shift < b) {
		s.fetch()
	}
	i, _ := slices.BinarySearch(s.days, a-s.shift)
	for ; i < len(s.days) && s.days[i]+s.shift < b; i++ {
		do(s.days[i] + s.shift)
	}
}

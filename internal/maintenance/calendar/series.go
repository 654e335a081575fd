package calendar

import (
	"slices"
	"strings"
	"time"

	"github.com/teambition/rrule-go"

	"milldeck/internal/validation"
)

const (
	// Nothing is approved from maxYear on. This bounds the expansion of a recurrence.
	minYear, maxYear = 2020, 2120
	// A recurrence whose first occurrence is more than this many years after its first day is rejected as one
	// that never occurs. Monday, 29 February, recurs after 28 years, or after 40 years across a century year that
	// is not a leap year.
	maxYearsToFirstOccurrence = 41
	maxRecurrenceInterval     = 1000

	secondsPerDay = 24 * 3600
)

// daySeries holds the days of one recurrence, expanded as far as they were needed. A local time is stored as the
// Unix seconds that it would have if the zone were UTC.
type daySeries struct {
	nextDate    rrule.Next
	daysUnix    []int64 // local midnights
	exhausted   bool
	startOffset int64 // from midnight to the start, s
	duration    int64 // s
}

// newDaySeries parses a recurrence. Errors name field as its key.
func newDaySeries(field, recurrence, firstDay string) (*daySeries, error) {
	ruleField := field + ".rule"
	if len(recurrence) > maxRuleLength || strings.ContainsAny(recurrence, "\n\r") {
		return nil, validation.Errorf(ruleField, "longer than %d bytes, or more than one line", maxRuleLength)
	}
	first, err := parseDate(field+".from", firstDay)
	if err != nil {
		return nil, err
	}
	options, err := rrule.StrToROptionInLocation(recurrence, time.UTC)
	if err != nil {
		return nil, validation.Errorf(ruleField, "%v", err)
	}
	if err := checkDayRecurrence(ruleField, options); err != nil {
		return nil, err
	}
	options.Dtstart = first
	rule, err := rrule.NewRRule(*options)
	if err != nil {
		return nil, validation.Errorf(ruleField, "%v", err)
	}
	series := &daySeries{nextDate: rule.Iterator()}
	series.expandNext()
	if len(series.daysUnix) == 0 || series.daysUnix[0] > first.AddDate(maxYearsToFirstOccurrence, 0, 0).Unix() {
		return nil, validation.Errorf(ruleField, "%s has no occurrence from %s on", recurrence, firstDay)
	}
	return series, nil
}

// checkDayRecurrence checks that a recurrence selects days, and sets neither a time of day nor its own start.
func checkDayRecurrence(field string, options *rrule.ROption) error {
	switch {
	case options.Freq > rrule.DAILY:
		return validation.Errorf(field, "a recurrence of days: FREQ is DAILY, WEEKLY, MONTHLY or YEARLY")
	case len(options.Byhour)+len(options.Byminute)+len(options.Bysecond) > 0:
		return validation.Errorf(field, "a recurrence of days: the time of day belongs in start and length")
	case !options.Dtstart.IsZero():
		return validation.Errorf(field, "DTSTART belongs in from")
	case options.Interval < 0 || options.Interval > maxRecurrenceInterval || options.Count < 0:
		return validation.Errorf(field, "INTERVAL is 1 to %d and COUNT is not negative", maxRecurrenceInterval)
	}
	return nil
}

// expandNext appends the next day of the recurrence.
func (s *daySeries) expandNext() {
	date, ok := s.nextDate()
	if !ok || date.Year() >= maxYear {
		s.exhausted = true
		return
	}
	s.daysUnix = append(s.daysUnix, date.Unix())
}

// startsBetween returns the local start times within [from, until).
func (s *daySeries) startsBetween(from, until int64) []int64 {
	for !s.exhausted && (len(s.daysUnix) == 0 || s.daysUnix[len(s.daysUnix)-1]+s.startOffset < until) {
		s.expandNext()
	}
	first, _ := slices.BinarySearch(s.daysUnix, from-s.startOffset)
	var starts []int64
	for _, day := range s.daysUnix[first:] {
		start := day + s.startOffset
		if start >= until {
			break
		}
		starts = append(starts, start)
	}
	return starts
}

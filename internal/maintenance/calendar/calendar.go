// Package calendar computes when a contract approves maintenance: it expands recurrence rules, closed days and a
// time zone into intervals of Unix time. Its only state is the compiled rules, and it reads no clock. It embeds
// the time zone data, so that results do not depend on the zone files of a machine. Contracts and windows belong
// to the packages that import it.
//
// A change of the local clock shortens approved hours and never extends them. An instant is approved only if two
// readings of a rule agree: the local time lies within the hours, and the time since the hours started does not
// exceed their length. The hours start at the first instant at which the local clock shows their start time or a
// later time. So approved hours are never longer than agreed, and never end later by the local clock. If the
// local clock skips the start time, the hours start after the gap and their end stays.
package calendar

import (
	"time"
	_ "time/tzdata" // the same zones on every machine
)

// maxZoneOffset bounds the difference between local time and UTC, in s. A zone differs from UTC by at most 14
// hours, and a change of the local clock is less than 12 hours.
const maxZoneOffset = 26 * 3600

// Calendar is a compiled Spec. It expands the rules on demand and is not safe for concurrent use.
type Calendar struct {
	location *time.Location
	approved []*daySeries
	closed   []*daySeries
}

// Month is a calendar month of a Calendar's time zone, from the first instant of its first day to the first
// instant of the next month.
type Month struct {
	Name string `json:"name"` // "2026-03"
	Interval
}

// Between returns the approved intervals within [startMS, endMS), Unix ms, sorted and merged.
func (c *Calendar) Between(startMS, endMS int64) []Interval {
	endMS = min(endMS, time.Date(maxYear, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	if startMS >= endMS {
		return nil
	}
	var approvedIntervals []Interval
	for _, series := range c.approved {
		approvedIntervals = append(approvedIntervals, c.expand(series, startMS, endMS, true)...)
	}
	var closedIntervals []Interval
	for _, series := range c.closed {
		closedIntervals = append(closedIntervals, c.expand(series, startMS, endMS, false)...)
	}
	return Intersect(Subtract(merge(approvedIntervals), merge(closedIntervals)), []Interval{{startMS, endMS}})
}

// Approves reports whether an instant, Unix ms, is approved.
func (c *Calendar) Approves(instantMS int64) bool { return len(c.Between(instantMS, instantMS+1)) > 0 }

// Months returns the calendar months that overlap [startMS, endMS), Unix ms.
func (c *Calendar) Months(startMS, endMS int64) []Month {
	year, month, _ := time.UnixMilli(startMS).In(c.location).Date()
	first := time.Date(year, month, 1, 0, 0, 0, 0, time.UTC)
	var months []Month
	for {
		next := first.AddDate(0, 1, 0)
		interval := Interval{c.firstInstantMS(first.Unix()), c.firstInstantMS(next.Unix())}
		if interval.StartMS >= endMS {
			return months
		}
		if interval.EndMS > startMS {
			months = append(months, Month{first.Format("2006-01"), interval})
		}
		first = next
	}
}

// expand returns the occurrences of a series that overlap [startMS, endMS), Unix ms, and possibly some before or
// after it. For bounded, see occurrence.
func (c *Calendar) expand(series *daySeries, startMS, endMS int64, bounded bool) []Interval {
	var intervals []Interval
	for _, start := range series.startsBetween(startMS/1000-series.duration-maxZoneOffset, endMS/1000+maxZoneOffset) {
		intervals = append(intervals, c.occurrence(start, series.duration, bounded)...)
	}
	return intervals
}

// occurrence returns the intervals in which the local clock shows a time within [localStart,
// localStart+duration), in s. If bounded is true, they end at most duration after the first instant at which the
// local clock shows localStart or a later time.
func (c *Calendar) occurrence(localStart, duration int64, bounded bool) []Interval {
	var intervals []Interval
	started := false
	var latestEnd int64
	c.forEachOffset(localStart-maxZoneOffset, localStart+duration+maxZoneOffset, func(from, until, offset int64) {
		start := max(from, localStart-offset)
		end := min(until, localStart+duration-offset)
		if !started && start < until {
			started = true
			latestEnd = start + duration
		}
		if bounded {
			end = min(end, latestEnd)
		}
		if start < end {
			intervals = append(intervals, Interval{start * 1000, end * 1000})
		}
	})
	return intervals
}

// forEachOffset splits [start, end), Unix s, at the changes of the local clock, and calls visit for each part
// with its offset from UTC, in s.
func (c *Calendar) forEachOffset(start, end int64, visit func(from, until, offset int64)) {
	for start < end {
		local := time.Unix(start, 0).In(c.location)
		until := end
		if _, transition := local.ZoneBounds(); !transition.IsZero() {
			until = min(end, transition.Unix())
		}
		_, offset := local.Zone()
		visit(start, until, int64(offset))
		start = until
	}
}

// firstInstantMS returns the first instant, Unix ms, at which the local clock shows localTime, in s, or a later
// time.
func (c *Calendar) firstInstantMS(localTime int64) int64 {
	instantMS, found := int64(0), false
	c.forEachOffset(localTime-maxZoneOffset, localTime+maxZoneOffset, func(from, until, offset int64) {
		if first := max(from, localTime-offset); !found && first < until {
			instantMS, found = first*1000, true
		}
	})
	return instantMS
}

// Package calendar computes when a contract approves maintenance: it expands recurrence rules, closed days and a time
// zone into intervals of Unix time. It has no state but the compiled rules, reads no clock, and embeds the time zone
// data, so that the files of a machine do not matter. Windows and contracts belong to the packages above it.
//
// A change of the local clock shortens approved hours rather than extending them. An instant is approved only where both
// readings of a rule agree: the local time lies within the hours, and no more than their length has passed since they
// started, at the first instant at which the local clock shows their start or a later time. So hours are never longer
// than agreed, never end later by the local clock, and a start that the clock skips is moved past the gap while the end
// stays.
package calendar

import (
	"time"
	_ "time/tzdata" // the same zones wherever the program runs
)

// maxZoneOffset bounds the difference of local time and UTC, in s: 14 hours, and less than 12 for a change of the clock.
const maxZoneOffset = 26 * 3600

// Calendar is a compiled Spec. It expands its rules on demand and is not safe for concurrent use.
type Calendar struct {
	location *time.Location
	approved []*daySeries
	closed   []*daySeries
}

// Month is a calendar month of the Calendar's time zone, from the first instant of its first day to that of the next
// month.
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
	var open []Interval
	for _, series := range c.approved {
		open = append(open, c.expand(series, startMS, endMS, true)...)
	}
	var closed []Interval
	for _, series := range c.closed {
		closed = append(closed, c.expand(series, startMS, endMS, false)...)
	}
	return Intersect(Subtract(merge(open), merge(closed)), []Interval{{startMS, endMS}})
}

// Approves reports whether an instant, Unix ms, is approved.
func (c *Calendar) Approves(instantMS int64) bool { return len(c.Between(instantMS, instantMS+1)) > 0 }

// Months returns the months that [startMS, endMS), Unix ms, touches.
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

// expand returns the occurrences of a series that touch [startMS, endMS), and possibly some beside it.
func (c *Calendar) expand(series *daySeries, startMS, endMS int64, bounded bool) []Interval {
	var intervals []Interval
	for _, start := range series.startsBetween(startMS/1000-series.duration-maxZoneOffset, endMS/1000+maxZoneOffset) {
		intervals = append(intervals, c.occurrence(start, series.duration, bounded)...)
	}
	return intervals
}

// occurrence returns when the local clock shows a time within [localStart, localStart+duration), in s. Where it is
// bounded, it ends no later than duration after the first instant at which the clock shows localStart or later.
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

// forEachOffset visits the parts of [start, end), Unix s, in which the local clock has one offset from UTC, in s.
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

// firstInstantMS returns the first instant, Unix ms, at which the local clock shows a time, in s, or a later one.
func (c *Calendar) firstInstantMS(localTime int64) int64 {
	instantMS, found := int64(0), false
	c.forEachOffset(localTime-maxZoneOffset, localTime+maxZoneOffset, func(from, until, offset int64) {
		if first := max(from, localTime-offset); !found && first < until {
			instantMS, found = first*1000, true
		}
	})
	return instantMS
}

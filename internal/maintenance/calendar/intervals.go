package calendar

import (
	"cmp"
	"slices"
	"time"
)

// Between gives what is approved from a on and before b (Unix ms), in order, merged.
func (c *Calendar) Between(startMS, endMS int64) []Interval {
	endMS = min(endMS, time.Date(maxYear, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	if startMS >= endMS {
		return nil
	}
	open := merge(c.expandSeries(c.approved, startMS, endMS, true))
	closed := merge(c.expandSeries(c.closed, startMS, endMS, false))
	approved := open[:0]
	for _, interval := range Subtract(open, closed) {
		if interval.StartMS, interval.EndMS = max(interval.StartMS, startMS), min(interval.EndMS, endMS); interval.StartMS < interval.EndMS {
			approved = append(approved, interval)
		}
	}
	return approved
}

// Approves tells whether the instant t (Unix ms) is approved.
func (c *Calendar) Approves(instantMS int64) bool { return len(c.Between(instantMS, instantMS+1)) > 0 }

func (c *Calendar) expandSeries(rules []*daySeries, startMS, endMS int64, bounded bool) []Interval {
	var intervals []Interval
	for _, series := range rules {
		series.forEachStart(startMS/1000-series.duration-maxZoneOffset, endMS/1000+maxZoneOffset, func(wall int64) {
			intervals = append(intervals, c.occurrence(wall, series.duration, bounded)...)
		})
	}
	return intervals
}

// occurrence are the instants at which the wall shows a time from wall on, for length (both s); where it is bounded, no
// later than length after the first instant at which the wall shows wall or more.
func (c *Calendar) occurrence(wall, length int64, bounded bool) []Interval {
	var intervals []Interval
	started := false
	var latestEnd int64
	c.forEachOffset(wall-maxZoneOffset, wall+length+maxZoneOffset, func(from, until, offset int64) {
		start, end := max(from, wall-offset), min(until, wall+length-offset)
		if !started && start < until {
			started, latestEnd = true, start+length
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

// forEachOffset calls do with each stretch of [a, b) (Unix s) in which the wall is offset s ahead of UTC.
func (c *Calendar) forEachOffset(start, end int64, visit func(from, segmentEnd, offset int64)) {
	for start < end {
		local := time.Unix(start, 0).In(c.location)
		segmentEnd := end
		if _, transition := local.ZoneBounds(); !transition.IsZero() {
			segmentEnd = min(end, transition.Unix())
		}
		_, offset := local.Zone()
		visit(start, segmentEnd, int64(offset))
		start = segmentEnd
	}
}

// firstInstantMS is the first instant (Unix ms) at which the wall shows a time (s) or a later one.
func (c *Calendar) firstInstantMS(wall int64) int64 {
	instantMS, found := int64(0), false
	c.forEachOffset(wall-maxZoneOffset, wall+maxZoneOffset, func(from, until, offset int64) {
		if first := max(from, wall-offset); !found && first < until {
			instantMS, found = first*1000, true
		}
	})
	return instantMS
}

// Month is a calendar month in the zone, from the first instant of its first day to that of the next month's.
type Month struct {
	Name string `json:"name"` // "2026-03"
	Interval
}

// Months gives the months that [a, b) touches (Unix ms).
func (c *Calendar) Months(startMS, endMS int64) []Month {
	var months []Month
	year, monthNumber, _ := time.UnixMilli(startMS).In(c.location).Date()
	for month := time.Date(year, monthNumber, 1, 0, 0, 0, 0, time.UTC); ; month = month.AddDate(0, 1, 0) {
		interval := Interval{c.firstInstantMS(month.Unix()), c.firstInstantMS(month.AddDate(0, 1, 0).Unix())}
		if interval.StartMS >= endMS {
			return months
		}
		if interval.EndMS > startMS {
			months = append(months, Month{month.Format("2006-01"), interval})
		}
	}
}

// merge sorts intervals and joins those that touch. It works in place.
func merge(intervals []Interval) []Interval {
	slices.SortFunc(intervals, func(x, y Interval) int { return cmp.Compare(x.StartMS, y.StartMS) })
	merged := intervals[:0]
	for _, interval := range intervals {
		if last := len(merged); last > 0 && interval.StartMS <= merged[last-1].EndMS {
			merged[last-1].EndMS = max(merged[last-1].EndMS, interval.EndMS)
		} else {
			merged = append(merged, interval)
		}
	}
	return merged
}

// Intersect gives what both lists hold; each is in order and merged.
func Intersect(x, y []Interval) []Interval {
	var common []Interval
	for len(x) > 0 && len(y) > 0 {
		if overlap := (Interval{max(x[0].StartMS, y[0].StartMS), min(x[0].EndMS, y[0].EndMS)}); overlap.StartMS < overlap.EndMS {
			common = append(common, overlap)
		}
		if x[0].EndMS < y[0].EndMS {
			x = x[1:]
		} else {
			y = y[1:]
		}
	}
	return common
}

// Subtract gives what of x is not in y; each is in order and merged.
func Subtract(x, y []Interval) []Interval {
	var remaining []Interval
	for _, interval := range x {
		for _, removed := range y {
			if removed.EndMS <= interval.StartMS || removed.StartMS >= interval.EndMS {
				continue
			}
			if interval.StartMS < removed.StartMS {
				remaining = append(remaining, Interval{interval.StartMS, removed.StartMS})
			}
			interval.StartMS = removed.EndMS
		}
		if interval.StartMS < interval.EndMS {
			remaining = append(remaining, interval)
		}
	}
	return remaining
}

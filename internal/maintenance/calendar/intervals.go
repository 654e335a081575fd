package calendar

import (
	"cmp"
	"slices"
)

// Interval is a half-open span of time in Unix ms: StartMS is included, EndMS is not.
type Interval struct {
	StartMS int64 `json:"from_ms"`
	EndMS   int64 `json:"until_ms"`
}

// merge sorts intervals and joins those that overlap or touch. It reuses the slice.
func merge(intervals []Interval) []Interval {
	slices.SortFunc(intervals, func(x, y Interval) int { return cmp.Compare(x.StartMS, y.StartMS) })
	merged := intervals[:0]
	for _, interval := range intervals {
		last := len(merged) - 1
		if last >= 0 && interval.StartMS <= merged[last].EndMS {
			merged[last].EndMS = max(merged[last].EndMS, interval.EndMS)
			continue
		}
		merged = append(merged, interval)
	}
	return merged
}

// Intersect returns the time that is in both x and y. Both lists must be sorted and merged, and so is the result.
func Intersect(x, y []Interval) []Interval {
	var common []Interval
	for len(x) > 0 && len(y) > 0 {
		overlap := Interval{max(x[0].StartMS, y[0].StartMS), min(x[0].EndMS, y[0].EndMS)}
		if overlap.StartMS < overlap.EndMS {
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

// Subtract returns the time that is in x but not in y. Both lists must be sorted, and x merged. The result is
// sorted and merged.
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

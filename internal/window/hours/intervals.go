package hours

import (
	"cmp"
	"slices"
	"time"
)

// Between gives what is approved from a on and before b (Unix ms), in order, merged.
func (h *Hours) Between(a, b int64) []Interval {
	b = min(b, time.Date(lastYear, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	if a >= b {
		return nil
	}
	open := merge(h.expand(h.open, a, b, true))
	closed := merge(h.expand(h.closed, a, b, false))
	out := open[:0]
	for _, i := range Subtract(open, closed) {
		if i.From, i.Until = max(i.From, a), min(i.Until, b); i.From < i.Until {
			out = append(out, i)
		}
	}
	return out
}

// At tells whether the instant t (Unix ms) is approved.
func (h *Hours) At(t int64) bool { return len(h.Between(t, t+1)) > 0 }

func (h *Hours) expand(list []*series, a, b int64, bounded bool) []Interval {
	var out []Interval
	for _, s := range list {
		s.between(a/1000-s.length-farthest, b/1000+farthest, func(wall int64) {
			out = append(out, h.pieces(wall, s.length, bounded)...)
		})
	}
	return out
}

// pieces are the instants at which the wall shows a time from wall on, for length (both s); where it is bounded, no
// later than length after the first instant at which the wall shows wall or more.
func (h *Hours) pieces(wall, length int64, bounded bool) []Interval {
	var out []Interval
	begun := false
	var end int64
	h.segments(wall-farthest, wall+length+farthest, func(from, until, offset int64) {
		lo, hi := max(from, wall-offset), min(until, wall+length-offset)
		if !begun && lo < until {
			begun, end = true, lo+length
		}
		if bounded {
			hi = min(hi, end)
		}
		if lo < hi {
			out = append(out, Interval{lo * 1000, hi * 1000})
		}
	})
	return out
}

// segments calls do with each stretch of [a, b) (Unix s) in which the wall is offset s ahead of UTC.
func (h *Hours) segments(a, b int64, do func(from, until, offset int64)) {
	for a < b {
		t := time.Unix(a, 0).In(h.loc)
		until := b
		if _, end := t.ZoneBounds(); !end.IsZero() {
			until = min(b, end.Unix())
		}
		_, offset := t.Zone()
		do(a, until, int64(offset))
		a = until
	}
}

// first is the first instant (Unix ms) at which the wall shows a time (s) or a later one.
func (h *Hours) first(wall int64) int64 {
	at, found := int64(0), false
	h.segments(wall-farthest, wall+farthest, func(from, until, offset int64) {
		if lo := max(from, wall-offset); !found && lo < until {
			at, found = lo*1000, true
		}
	})
	return at
}

// Month is a calendar month in the zone, from the first instant of its first day to that of the next month's.
type Month struct {
	Name string `json:"name"` // "2026-03"
	Interval
}

// Months gives the months that [a, b) touches (Unix ms).
func (h *Hours) Months(a, b int64) []Month {
	var out []Month
	y, m, _ := time.UnixMilli(a).In(h.loc).Date()
	for month := time.Date(y, m, 1, 0, 0, 0, 0, time.UTC); ; month = month.AddDate(0, 1, 0) {
		i := Interval{h.first(month.Unix()), h.first(month.AddDate(0, 1, 0).Unix())}
		if i.From >= b {
			return out
		}
		if i.Until > a {
			out = append(out, Month{month.Format("2006-01"), i})
		}
	}
}

// merge sorts intervals and joins those that touch. It works in place.
func merge(list []Interval) []Interval {
	slices.SortFunc(list, func(x, y Interval) int { return cmp.Compare(x.From, y.From) })
	out := list[:0]
	for _, i := range list {
		if n := len(out); n > 0 && i.From <= out[n-1].Until {
			out[n-1].Until = max(out[n-1].Until, i.Until)
		} else {
			out = append(out, i)
		}
	}
	return out
}

// Intersect gives what both lists hold; each is in order and merged.
func Intersect(x, y []Interval) []Interval {
	var out []Interval
	for len(x) > 0 && len(y) > 0 {
		if i := (Interval{max(x[0].From, y[0].From), min(x[0].Until, y[0].Until)}); i.From < i.Until {
			out = append(out, i)
		}
		if x[0].Until < y[0].Until {
			x = x[1:]
		} else {
			y = y[1:]
		}
	}
	return out
}

// Subtract gives what of x is not in y; each is in order and merged.
func Subtract(x, y []Interval) []Interval {
	var out []Interval
	for _, i := range x {
		for _, gap := range y {
			if gap.Until <= i.From || gap.From >= i.Until {
				continue
			}
			if i.From < gap.From {
				out = append(out, Interval{i.From, gap.From})
			}
			i.From = gap.Until
		}
		if i.From < i.Until {
			out = append(out, i)
		}
	}
	return out
}

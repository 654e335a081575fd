package window

import "slices"

// How long a drain and a return take is learned from earlier ones.
const (
	keptTimes = 64
	// With fewer than enoughTimes nothing is known of the tail, and the first times stand for the least.
	enoughTimes   = 8
	firstDrainMS  = 5 * 60_000
	firstReturnMS = 10 * 60_000
	// The 95th of a hundred, and half as long again: a window that is late once in a thousand is a rare overrun, while
	// a longer estimate shuts short hours out for good.
	quantile = 0.95
	margin   = 1.5
	leastMS  = 10_000 // nothing is over sooner: reports come once a second, steps take their time
	// One time counts for at most so many times what was estimated: a server that was gone for a night would else shut
	// all hours out until it is forgotten. Where times really are longer, a few of them tell.
	outlier = 4
)

// DrainMS is the time that a drain is taken to need.
func (t *Table) DrainMS() int64 { return estimate(t.drains, firstDrainMS) }

// ReturnMS is the time that a return is taken to need.
func (t *Table) ReturnMS() int64 { return estimate(t.returns, firstReturnMS) }

// NeedMS is the time that a window with so much work is taken to need in all.
func (t *Table) NeedMS(workMS int64) int64 { return t.DrainMS() + workMS + t.ReturnMS() }

func estimate(times []int64, first int64) int64 {
	least := int64(leastMS)
	if len(times) < enoughTimes {
		least = first
	}
	if len(times) == 0 {
		return least
	}
	sorted := slices.Sorted(slices.Values(times))
	at := int(quantile * float64(len(sorted)-1)) // never the greatest of several: one server that was gone tells nothing
	return max(least, int64(margin*float64(sorted[at])))
}

// learn keeps one more time, which was estimated.
func learn(times []int64, ms, estimated int64) []int64 {
	if len(times) >= keptTimes {
		times = slices.Delete(slices.Clone(times), 0, len(times)-keptTimes+1)
	}
	return append(times, min(max(ms, 0), outlier*estimated))
}

package core

import "container/heap"

// timer calls a function at dueMS.
type timer struct {
	dueMS    int64
	sequence uint64 // timers with equal dueMS run in the order in which they were scheduled
	run      func(now int64)
}

// schedule sets a timer that calls a function.
func (c *Core) schedule(dueMS int64, run func(now int64)) {
	c.lastTimer++
	heap.Push(&c.timers, timer{dueMS, c.lastTimer, run})
}

// NextTimer returns the time at which the caller has to call Tick; false if no timer is set.
func (c *Core) NextTimer() (dueMS int64, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].dueMS, true
}

// Tick runs the timers that are due.
func (c *Core) Tick(now int64) {
	for len(c.timers) > 0 && c.timers[0].dueMS <= now {
		heap.Pop(&c.timers).(timer).run(now)
	}
}

// timerHeap implements heap.Interface, with the earliest timer first.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	return t[i].dueMS < t[j].dueMS || t[i].dueMS == t[j].dueMS && t[i].sequence < t[j].sequence
}

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a timer; only package heap calls it.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop removes the last timer; only package heap calls it.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // allows garbage collection of the function
	*t = old[:len(old)-1]
	return last
}

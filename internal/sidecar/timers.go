package sidecar

import "container/heap"

// timer is a timer that the balancer has set.
type timer struct {
	dueMS float64
	token uint64
}

// timerHeap implements heap.Interface. The timer that is due first is at index 0.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].dueMS < t[j].dueMS }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(value any)    { *t = append(*t, value.(timer)) }
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// timerQueue holds the timers of the balancer.
type timerQueue struct {
	heap         timerHeap
	due          []timer // the result of the latest popDue; its memory is reused
	lastWakeupMS float64 // the last time at which a timer woke the event loop
}

func (q *timerQueue) set(dueMS float64, token uint64) {
	heap.Push(&q.heap, timer{dueMS: dueMS, token: token})
}

// popDue removes the timers that are due and returns them in the order of their due times. The slice is valid until the
// next call.
func (q *timerQueue) popDue(nowMS float64) []timer {
	q.due = q.due[:0]
	for len(q.heap) > 0 && q.heap[0].dueMS <= nowMS {
		q.due = append(q.due, heap.Pop(&q.heap).(timer))
	}
	return q.due
}

// nextWakeupMS returns the time at which the event loop must wake up for the earliest timer, at least intervalMS after the
// previous wakeup for timers. ok is false if no timer is set.
func (q *timerQueue) nextWakeupMS(intervalMS float64) (wakeupMS float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return max(q.heap[0].dueMS, q.lastWakeupMS+intervalMS), true
}

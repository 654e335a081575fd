package sim

// eventQueue is a heap of what is to happen, by time and, at the same time, by the order of pushing.
type eventQueue struct {
	heap []event
	seq  uint64
}

type event struct {
	due float64
	seq uint64
	run func(now float64)
}

func (e *event) before(f *event) bool { return e.due < f.due || e.due == f.due && e.seq < f.seq }

func (q *eventQueue) peek() (float64, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

func (q *eventQueue) push(at float64, do func(now float64)) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *eventQueue) pop() func(now float64) {
	do := q.heap[0].run
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.heap[child+1].before(&q.heap[child]) {
			child++
		}
		if !q.heap[child].before(&q.heap[i]) {
			break
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
	return do
}

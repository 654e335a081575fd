package sim

// eventQueue is a heap of what is to happen, by time and, at the same time, by the order of pushing.
type eventQueue struct {
	heap []event
	seq  uint64
}

type event struct {
	at  float64
	seq uint64
	do  func(now float64)
}

func (e *event) before(f *event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

func (q *eventQueue) peek() (float64, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

func (q *eventQueue) push(at float64, do func(now float64)) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.heap[i].before(&q.heap[up]) {
			break
		}
		q.heap[i], q.heap[up] = q.heap[up], q.heap[i]
		i = up
	}
}

func (q *eventQueue) pop() func(now float64) {
	do := q.heap[0].do
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			break
		}
		if c+1 < last && q.heap[c+1].before(&q.heap[c]) {
			c++
		}
		if !q.heap[c].before(&q.heap[i]) {
			break
		}
		q.heap[i], q.heap[c] = q.heap[c], q.heap[i]
		i = c
	}
	return do
}

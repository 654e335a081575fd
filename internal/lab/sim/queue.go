package sim

// eventQueue is a heap of events, ordered by due time. Events that are due at the same time keep the order of their pushes.
type eventQueue struct {
	heap     []event
	sequence uint64 // sequence number of the event pushed last
}

// event is a function that runs at a time.
type event struct {
	due      float64
	sequence uint64
	run      func(now float64)
}

func (e *event) before(other *event) bool {
	return e.due < other.due || e.due == other.due && e.sequence < other.sequence
}

// peek returns when the next event is due; false: there is none.
func (q *eventQueue) peek() (due float64, pending bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

// push adds an event.
func (q *eventQueue) push(due float64, run func(now float64)) {
	q.sequence++
	q.heap = append(q.heap, event{due, q.sequence, run})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// pop removes the next event and returns its function.
func (q *eventQueue) pop() func(now float64) {
	run := q.heap[0].run
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
	return run
}

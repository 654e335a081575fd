package fake

// event is a scheduled event of a process, such as its exit.
type event struct {
	atMS     int64
	sequence uint64 // events with equal atMS run in the order in which they were scheduled
	run      func()
}

// eventHeap implements heap.Interface, with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].atMS < h[j].atMS || h[i].atMS == h[j].atMS && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event; only package heap calls it.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; only package heap calls it.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{} // allows garbage collection of the function
	*h = old[:len(old)-1]
	return last
}

package fake

// event is something that happens to a process.
type event struct {
	atMS     int64
	sequence uint64 // events of one time run in the order in which they were set
	run      func()
}

// eventHeap is a heap.Interface of events, the next one first.
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
	old[len(old)-1] = event{} // its function can be collected
	*h = old[:len(old)-1]
	return last
}

package topk

// counterHeap implements heap.Interface, with the counter of the lowest load first. Each counter stores its heap index,
// so that heap.Fix can move it when its load changes.
type counterHeap []*counter

func (h counterHeap) Len() int { return len(h) }

func (h counterHeap) Less(i, j int) bool {
	return h[i].weightedWork < h[j].weightedWork || h[i].weightedWork == h[j].weightedWork && h[i].key < h[j].key
}

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a counter; only package heap calls it.
func (h *counterHeap) Push(x any) {
	c := x.(*counter)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop removes the last counter; only package heap calls it.
func (h *counterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

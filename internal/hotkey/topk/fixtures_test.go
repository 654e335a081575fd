package topk

import (
	"bytes"
	"fmt"
	"testing"

	"milldeck/internal/goldentest"
)

// describe writes a snapshot with all digits of its numbers.
func describe(out *bytes.Buffer, name string, snapshot Snapshot) {
	fmt.Fprintf(out, "%s all %x floor %x\n", name, snapshot.Total, snapshot.UnlistedBound)
	for _, load := range snapshot.Keys {
		fmt.Fprintf(out, "  %016x load %x error %x\n", load.Key, load.Load, load.Error)
	}
}

// For the same requests, the loads of a sketch and of merged snapshots are equal to the golden file in every bit, because
// sidecars report them.
func TestFixtureFigures(t *testing.T) {
	var out bytes.Buffer
	var snapshots []Snapshot
	random := uint64(1)
	for sidecar := range 3 {
		sketch := New(16, 0.7)
		now := 0.0
		for range 2000 {
			random = random*6364136223846793005 + 1442695040888963407
			now += float64(random>>54) / 1e5
			if random>>40&0xff == 0 {
				now += 60 // the weights are scaled down
			}
			key := random >> 59
			if random>>30&1 == 0 {
				key = random >> 50
			}
			sketch.Add(now, key, 1+float64(random>>20&0xff)/8)
		}
		top := sketch.Top(now+0.25, 8)
		describe(&out, fmt.Sprint("sidecar ", sidecar), top)
		snapshots = append(snapshots, top, sketch.Top(now+0.5, 32))
	}
	describe(&out, "merged", Merge(12, snapshots...))
	describe(&out, "merged in turn", Merge(12, Merge(12, snapshots[0], snapshots[2]), snapshots[4]))
	goldentest.Compare(t, "figures.txt", out.Bytes())
}

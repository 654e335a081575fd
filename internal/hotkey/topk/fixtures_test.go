package topk

import (
	"bytes"
	"fmt"
	"testing"

	"milldeck/internal/goldentest"
)

// describe writes a snapshot with all digits of its numbers.
func describe(out *bytes.Buffer, name string, p Snapshot) {
	fmt.Fprintf(out, "%s all %x floor %x\n", name, p.Total, p.UnlistedBound)
	for _, f := range p.Keys {
		fmt.Fprintf(out, "  %016x load %x error %x\n", f.Key, f.Load, f.Error)
	}
}

// What a sketch counts of the same requests, and the merge of its snapshots, keeps every bit: sidecars report it.
func TestFixtureFigures(t *testing.T) {
	var out bytes.Buffer
	var parts []Snapshot
	z := uint64(1)
	for sidecar := range 3 {
		s := New(16, 0.7)
		now := 0.0
		for range 2000 {
			z = z*6364136223846793005 + 1442695040888963407
			now += float64(z>>54) / 1e5
			if z>>40&0xff == 0 {
				now += 60 // the weights are scaled down
			}
			key := z >> 59
			if z>>30&1 == 0 {
				key = z >> 50
			}
			s.Add(now, key, 1+float64(z>>20&0xff)/8)
		}
		p := s.Top(now+0.25, 8)
		describe(&out, fmt.Sprint("sidecar ", sidecar), p)
		parts = append(parts, p, s.Top(now+0.5, 32))
	}
	describe(&out, "merged", Merge(12, parts...))
	describe(&out, "merged in turn", Merge(12, Merge(12, parts[0], parts[2]), parts[4]))
	goldentest.Compare(t, "figures.txt", out.Bytes())
}

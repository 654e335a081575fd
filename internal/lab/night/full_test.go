package night

import (
	"flag"
	"sync"
	"testing"
)

var fullSeeds = flag.Uint64("full", 0, "")
var from = flag.Uint64("from", 0, "")

func TestFull(t *testing.T) {
	var wg sync.WaitGroup
	ch := make(chan uint64)
	var mu sync.Mutex
	fit, held, bad := 0, 0, 0
	for range 6 {
		wg.Go(func() {
			for s := range ch {
				r := Run(s, Options{Sidecars: 1000, Servers: 2000})
				mu.Lock()
				fit += r.Fit
				held += r.Held
				if r.Broken > 0 {
					bad++
					t.Log("== seed", s, r.Seconds, r.Counts, r.Releases, r.Windows)
					for i, b := range r.First {
						if i < 3 {
							t.Log(b)
						}
					}
					for _, f := range r.Faults {
						t.Log(f)
					}
				} else if r.Fit > r.Held {
					t.Log("== not held", s, r.Windows, r.Seconds, r.Releases)
				}
				mu.Unlock()
			}
		})
	}
	for s := range *fullSeeds {
		ch <- *from + s
	}
	close(ch)
	wg.Wait()
	t.Log("fit", fit, "held", held, "bad nights", bad)
}

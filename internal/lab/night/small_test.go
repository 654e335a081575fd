package night

import (
	"flag"
	"sync"
	"testing"
)

var smallSeeds = flag.Uint64("small", 0, "")

func TestSmall(t *testing.T) {
	var wg sync.WaitGroup
	ch := make(chan uint64)
	var mu sync.Mutex
	fit, held, bad := 0, 0, 0
	for range 4 {
		wg.Go(func() {
			for s := range ch {
				r := Run(s, small)
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
				} else if r.Fit > r.Held {
					t.Log("== not held", s, r.Windows, r.Seconds, r.Releases)
				}
				mu.Unlock()
			}
		})
	}
	for s := range *smallSeeds {
		ch <- *from + s
	}
	close(ch)
	wg.Wait()
	t.Log("fit", fit, "held", held, "bad nights", bad)
}

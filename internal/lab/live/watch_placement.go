package live

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/placement"
)

// watchPlacement follows what an agent tells its sidecar beyond the list.
func (c *control) watchPlacement(a *agent) {
	began := time.Now()
	reader := placement.NewCache()
	for c.ctx.Err() == nil {
		err := c.f.registry.client.WatchPlacement(c.ctx, a.addr(), reader.Revision(), reader.Epoch(), func(list *placement.Update, _ time.Duration) error {
			if list == nil || c.over.Load() {
				return nil
			}
			now := time.Now()
			if _, err := reader.Apply(list, now.UnixMilli(), now.Sub(began).Milliseconds()); err != nil {
				return err
			}
			c.placed(a.n, reader, now, now.Sub(began).Milliseconds())
			return nil
		})
		if err != nil {
			sleep(c.ctx, healthPoll)
		}
	}
}

// placed tells the judge which servers a sidecar is told to keep off, and where keys have copies.
func (c *control) placed(sidecar int, r *placement.Cache, wall time.Time, mono int64) {
	var kept []lab.Exclusion
	var copies []lab.KeyCopy
	for _, e := range r.Active(wall.UnixMilli(), mono).Directives {
		switch e.Kind {
		case placement.KindExclude:
			for _, s := range e.Servers {
				kept = append(kept, lab.Exclusion{Tenant: e.Tenant, Server: s, Until: c.now() + float64(e.RemainingMS)})
			}
		case placement.KindSpreadKey:
			key, err := strconv.ParseUint(e.KeyHash, 16, 64)
			if err != nil {
				continue // the reader takes none such
			}
			for _, s := range e.Copies {
				copies = append(copies, lab.KeyCopy{Key: key, Server: s.ServerUID})
			}
		}
	}
	c.judge.ExclusionsPublished(c.now(), sidecar, kept)
	c.judge.CopiesPublished(sidecar, copies)
}

// keyHash is a key of the lab's as sidecars hash it and the placement names it.
func keyHash(key uint64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%016x", key)
	return h.Sum64()
}

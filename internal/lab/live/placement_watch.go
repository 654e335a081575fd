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
func (c *controlPlane) watchPlacement(agent *agent) {
	startedAt := time.Now()
	cache := placement.NewCache()
	for c.ctx.Err() == nil {
		err := c.fleet.registryService.client.WatchPlacement(c.ctx, agent.address(), cache.Revision(), cache.Epoch(), func(update *placement.Update, _ time.Duration) error {
			if update == nil || c.finished.Load() {
				return nil
			}
			now := time.Now()
			if _, err := cache.Apply(update, now.UnixMilli(), now.Sub(startedAt).Milliseconds()); err != nil {
				return err
			}
			c.applyPlacement(agent.sidecar, cache, now, now.Sub(startedAt).Milliseconds())
			return nil
		})
		if err != nil {
			sleep(c.ctx, readinessPollInterval)
		}
	}
}

// applyPlacement tells the judge which servers a sidecar is told to keep off, and where keys have copies.
func (c *controlPlane) applyPlacement(sidecar int, cache *placement.Cache, wallTime time.Time, monotonicMS int64) {
	var exclusions []lab.Exclusion
	var copies []lab.KeyCopy
	for _, directive := range cache.Active(wallTime.UnixMilli(), monotonicMS).Directives {
		switch directive.Kind {
		case placement.KindExclude:
			for _, server := range directive.Servers {
				exclusions = append(exclusions, lab.Exclusion{Tenant: directive.Tenant, Server: server, Until: c.now() + float64(directive.RemainingMS)})
			}
		case placement.KindSpreadKey:
			key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
			if err != nil {
				continue // the reader takes none such
			}
			for _, server := range directive.Copies {
				copies = append(copies, lab.KeyCopy{Key: key, Server: server.ServerUID})
			}
		}
	}
	c.checker.ExclusionsPublished(c.now(), sidecar, exclusions)
	c.checker.CopiesPublished(sidecar, copies)
}

// hashKey is a key of the lab's as sidecars hash it and the placement names it.
func hashKey(key uint64) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%016x", key)
	return hash.Sum64()
}

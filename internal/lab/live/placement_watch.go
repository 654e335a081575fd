package live

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/placement"
)

// watchPlacement watches the placement that an agent serves to its sidecar, and reports it to the checker.
func (c *controlPlane) watchPlacement(agent *agent) {
	startedAt := time.Now()
	cache := placement.NewCache()
	for c.ctx.Err() == nil {
		apply := func(update *placement.Update, _ time.Duration) error {
			if update == nil || c.finished.Load() {
				return nil
			}
			now := time.Now()
			if _, err := cache.Apply(update, now.UnixMilli(), now.Sub(startedAt).Milliseconds()); err != nil {
				return err
			}
			c.reportPlacement(agent.sidecar, cache, now, now.Sub(startedAt).Milliseconds())
			return nil
		}
		client := c.fleet.registryService.client
		err := client.WatchPlacement(c.ctx, agent.address(), cache.Revision(), cache.Epoch(), apply)
		if err != nil {
			sleep(c.ctx, readinessPollInterval)
		}
	}
}

// reportPlacement reports to the checker which servers a sidecar has to exclude, and where keys have copies.
func (c *controlPlane) reportPlacement(sidecar int, cache *placement.Cache, wallTime time.Time, monotonicMS int64) {
	var exclusions []lab.Exclusion
	var copies []lab.KeyCopy
	for _, directive := range cache.Active(wallTime.UnixMilli(), monotonicMS).Directives {
		switch directive.Kind {
		case placement.KindExclude:
			for _, server := range directive.Servers {
				until := c.now() + float64(directive.RemainingMS)
				exclusions = append(exclusions, lab.Exclusion{Tenant: directive.Tenant, Server: server, Until: until})
			}
		case placement.KindSpreadKey:
			key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
			if err != nil {
				continue // Cache.Apply rejects a directive with an invalid key hash
			}
			for _, server := range directive.Copies {
				copies = append(copies, lab.KeyCopy{Key: key, Server: server.ServerUID})
			}
		}
	}
	c.checker.ExclusionsPublished(c.now(), sidecar, exclusions)
	c.checker.CopiesPublished(sidecar, copies)
}

// hashKey returns the hash by which sidecars and the placement identify a key of the lab.
func hashKey(key uint64) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%016x", key)
	return hash.Sum64()
}

package sim

import (
	"maps"
	"slices"
	"strconv"

	"milldeck/balance"
	"milldeck/internal/hotkey"
	"milldeck/internal/hotkey/topk"
	"milldeck/internal/placement"
)

// directiveKey returns the key of a directive.
func directiveKey(e *placement.Directive) uint64 {
	key, _ := strconv.ParseUint(e.KeyHash, 16, 64) // the controller writes valid key hashes
	return key
}

// sidecarStarted resets the key counts for a new incarnation of a sidecar. The sidecar gets the placement from its agent.
func (c *hotKeySimulation) sidecarStarted(sidecar *simSidecar) {
	c.keyLoads[sidecar.index] = sidecarKeyLoad{sketch: topk.New(sketchKeys, c.config.HalfLife)}
	if c.revision > 0 {
		c.sendPlacement(sidecar)
	}
}

// applyChanges writes the changes of a plan to the placement, and sends the placement to all sidecars.
func (c *hotKeySimulation) applyChanges(now float64, planner *hotkey.Planner, changes []hotkey.Change) {
	c.revision++
	for _, change := range changes {
		id := change.RemoveID
		if change.Set != nil {
			id = change.Set.ID
			c.setDirective(now, *change.Set)
		} else if directive, ok := c.directives[id]; ok {
			delete(c.directives, id)
			c.checker.PlacementChanged(now, directiveKey(&directive), nil)
		}
		planner.Confirm(id, c.revision)
	}
	c.checker.PlacementWritten(now)
	c.placement = c.currentPlacement()
	for _, sidecar := range c.engine.sidecars {
		c.sendPlacement(sidecar)
	}
}

// setDirective adds a directive to the placement or replaces it.
func (c *hotKeySimulation) setDirective(now float64, directive placement.Directive) {
	directive.Revision = c.revision
	c.directives[directive.ID] = directive
	shares := map[int]float64{}
	for _, replica := range directive.Copies {
		if server := c.engine.byID[serverID(replica.ServerUID)]; server != nil {
			shares[server.index] = replica.LoadFraction
		}
	}
	c.checker.PlacementChanged(now, directiveKey(&directive), shares)
}

// currentPlacement returns all directives in the form that sidecars get.
func (c *hotKeySimulation) currentPlacement() balance.Placement {
	current := balance.Placement{}
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		directive := c.directives[id]
		hotKey := balance.HotKey{Key: directiveKey(&directive), ExpiresAt: float64(directive.ExpiresAtMS) - 1000*epochSeconds}
		for _, replica := range directive.Copies {
			hotKey.Replicas = append(hotKey.Replicas, balance.Replica{
				Server: serverID(replica.ServerUID), LoadFraction: replica.LoadFraction,
			})
		}
		current.HotKeys = append(current.HotKeys, hotKey)
	}
	return current
}

// sendPlacement sends the placement to a sidecar. The sidecar gets the placement that is current at the time of delivery.
func (c *hotKeySimulation) sendPlacement(sidecar *simSidecar) {
	keyLoad, incarnation := &c.keyLoads[sidecar.index], sidecar.incarnation
	if !sidecar.up || keyLoad.updatePending {
		return
	}
	keyLoad.updatePending = true
	c.engine.schedule(c.engine.now+c.drawDelay(c.spec.PlacementDelayMS), func(float64) {
		if sidecar.incarnation == incarnation {
			keyLoad.updatePending, keyLoad.revision = false, c.revision
			sidecar.deliver(c.placement)
		}
	})
}

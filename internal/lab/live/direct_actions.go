package live

import (
	"context"
	"fmt"
	"slices"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/leaderelection"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/supervisor"
)

const (
	maxKeysWithCopies = 100              // keys for which placeCopies places copies
	copyTTL           = 30 * time.Second // time after which the placed copies expire
	// hotKeyLease is the name of the hot-key controller's lease.
	hotKeyLease = "spread"
)

// performAction performs a step that bypasses the controllers. The checker has to detect the violation that results.
func (c *controlPlane) performAction(ctx context.Context, stepNumber int, step *lab.StepSpec) error {
	serverNumbers, sidecarNumbers := c.fleet.plan.MatchUnits(step.Target)
	var servers, units []string
	for _, i := range serverNumbers {
		servers = append(servers, c.fleet.plan.Servers[i].UID)
	}
	units = slices.Clone(servers)
	for _, i := range sidecarNumbers {
		units = append(units, c.fleet.plan.Sidecars[i].Name)
	}
	registryClient := c.fleet.registryService.client
	switch step.Action {
	case "drain":
		for _, uid := range servers {
			if _, err := registryClient.SetState(ctx, registry.WriteOptions{}, uid, registry.InstanceTerminating); err != nil {
				return err
			}
		}
		return nil
	case "copies":
		return c.placeCopies(ctx, servers)
	}
	return c.changeUnits(ctx, stepNumber, supervisor.Op(step.Action), units)
}

// changeUnits makes the supervisor perform an operation on units.
func (c *controlPlane) changeUnits(ctx context.Context, stepNumber int, op supervisor.Op, units []string) error {
	inventory, err := c.supervisorClient.List(ctx)
	if err != nil {
		return err
	}
	var requests []supervisor.Request
	for _, name := range units {
		unit := inventory.Find(name)
		if unit == nil {
			return fmt.Errorf("the supervisor has no unit %s", name)
		}
		request := supervisor.Request{
			ID: fmt.Sprintf("lab/step%d/%s", stepNumber, name), Op: op, Epoch: inventory.Epoch,
			Unit: name, Incarnation: unit.Incarnation,
		}
		if op != supervisor.Stop {
			request.Kind, request.Version, request.ConfigName = unit.Kind, unit.Version, unit.ConfigName
			request.Listen, request.Zone = unit.Listen, unit.Zone
		}
		requests = append(requests, request)
	}
	results, err := c.supervisorClient.Do(ctx, requests...)
	for i := range results {
		if err == nil {
			err = results[i].Err()
		}
	}
	return err
}

// placeCopies acquires the hot-key controller's lease and places copies of keys on servers regardless of their load.
func (c *controlPlane) placeCopies(ctx context.Context, servers []string) error {
	client := c.fleet.registryService.client
	place := func(ctx context.Context, lease *leaderelection.Lease) error {
		now := time.Now()
		loadFraction := 1 / float64(len(servers)+1) // the key's own server keeps an equal share
		var directives []placement.Directive
		for i := range min(maxKeysWithCopies, c.fleet.plan.Experiment.Clients.Keys) {
			key := fmt.Sprintf("%016x", hashKey(c.fleet.plan.ClientKey(i)))
			directive := placement.Directive{
				ID: "spread/" + key, Kind: placement.KindSpreadKey, KeyHash: key, ExpiresAtMS: now.Add(copyTTL).UnixMilli(),
			}
			for _, server := range servers {
				directive.Copies = append(directive.Copies, placement.KeyCopy{ServerUID: server, LoadFraction: loadFraction})
			}
			directives = append(directives, directive)
		}
		_, err := client.SetPlacement(ctx, registry.WriteOptions{Guard: lease.Guard()}, now.UnixMilli(), directives)
		return err
	}
	return leaderelection.Run(ctx, client, hotKeyLease, leaderelection.Options{}, place)
}

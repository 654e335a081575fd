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
	rogueKeys = 100              // whose copies are placed
	rogueFor  = 30 * time.Second // how long they last
)

// act does something to units behind the controllers' back.
func (c *control) act(ctx context.Context, n int, s *lab.StepSpec) error {
	of, beside := c.f.plan.MatchUnits(s.Target)
	var servers, units []string
	for _, i := range of {
		servers = append(servers, c.f.plan.Servers[i].UID)
	}
	units = slices.Clone(servers)
	for _, i := range beside {
		units = append(units, c.f.plan.Sidecars[i].Name)
	}
	switch s.Action {
	case "drain":
		for _, uid := range servers {
			if _, err := c.f.registry.client.SetState(ctx, registry.WriteOptions{}, uid, registry.InstanceTerminating); err != nil {
				return err
			}
		}
		return nil
	case "copies":
		return c.copies(ctx, servers)
	}
	return c.ask(ctx, n, supervisor.Op(s.Action), units)
}

// ask asks the platform.
func (c *control) ask(ctx context.Context, n int, op supervisor.Op, units []string) error {
	known, err := c.client.List(ctx)
	if err != nil {
		return err
	}
	var all []supervisor.Request
	for _, name := range units {
		u := known.Find(name)
		if u == nil {
			return fmt.Errorf("the platform knows no unit %s", name)
		}
		r := supervisor.Request{ID: fmt.Sprintf("lab/step%d/%s", n, name), Op: op, Epoch: known.Epoch, Unit: name, Incarnation: u.Incarnation}
		if op != supervisor.Stop {
			r.Kind, r.Version, r.Listen, r.Zone, r.ConfigName = u.Kind, u.Version, u.Listen, u.Zone, u.ConfigName
		}
		all = append(all, r)
	}
	out, err := c.client.Do(ctx, all...)
	for i := range out {
		if err == nil {
			err = out[i].Err()
		}
	}
	return err
}

// copies takes the spreader's duty and places copies of keys on servers, whatever that costs.
func (c *control) copies(ctx context.Context, servers []string) error {
	client := c.f.registry.client
	return leaderelection.Run(ctx, client, "spread", leaderelection.Options{}, func(ctx context.Context, l *leaderelection.Lease) error {
		now := time.Now()
		var set []placement.Directive
		for i := range min(rogueKeys, c.f.plan.Experiment.Clients.Keys) {
			key := fmt.Sprintf("%016x", keyHash(c.f.plan.ClientKey(i)))
			e := placement.Directive{ID: "spread/" + key, Kind: placement.KindSpreadKey, KeyHash: key, ExpiresAtMS: now.Add(rogueFor).UnixMilli()}
			for _, uid := range servers {
				e.Copies = append(e.Copies, placement.KeyCopy{ServerUID: uid, LoadFraction: 1 / float64(len(servers)+1)})
			}
			set = append(set, e)
		}
		_, err := client.SetPlacement(ctx, registry.WriteOptions{Guard: l.Guard()}, now.UnixMilli(), set)
		return err
	})
}

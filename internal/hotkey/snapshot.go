package hotkey

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

const (
	refreshInterval = time.Second      // between two snapshots, on average
	snapshotTimeout = 2 * writeTimeout // of the two reads of a snapshot
)

// errNoEndpoints reports that the registry lists no servers at all. The list is then not used, because it says nothing about
// the state of the servers.
var errNoEndpoints = errors.New("the endpoint list is empty")

// snapshot is the endpoints and the placement at one read of the registry.
type snapshot struct {
	servers   []Server
	placement placement.Update
}

// pollSnapshots reads the endpoints and the placement from the registry every refreshInterval, on average, until ctx ends,
// and sends each snapshot. After a failed read it sends nothing, and the planner continues with the previous snapshot.
func (c *Controller) pollSnapshots(ctx context.Context, logger *slog.Logger, snapshots chan<- *snapshot) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(refreshInterval/2 + rand.N(refreshInterval)):
		}
		current, err := c.fetchSnapshot(ctx, false)
		if err != nil {
			logger.Debug("registry read failed", "error", err)
			continue
		}
		select {
		case snapshots <- current:
		case <-ctx.Done():
			return
		}
	}
}

// fetchSnapshot reads endpoints and placement. With fresh, it reads them from the registry's leader.
func (c *Controller) fetchSnapshot(ctx context.Context, fresh bool) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	list, err := c.Store.List(ctx, fresh)
	if err != nil {
		return nil, fmt.Errorf("hotkey: read endpoints: %w", err)
	}
	if len(list.Targets) == 0 {
		return nil, fmt.Errorf("hotkey: %w", errNoEndpoints)
	}
	update, err := c.Store.PlacementView(ctx, fresh)
	if err != nil {
		return nil, fmt.Errorf("hotkey: read placement: %w", err)
	}
	return &snapshot{servers: c.serversFrom(&list, &update), placement: update}, nil
}

// serversFrom converts the listed endpoints to servers and marks those that the placement excludes.
func (c *Controller) serversFrom(list *registry.EndpointList, update *placement.Update) []Server {
	excluded := map[string]bool{}
	for i := range update.Directives {
		directive := &update.Directives[i]
		if directive.Kind != placement.KindExclude {
			continue
		}
		for _, uid := range directive.Servers {
			excluded[uid] = true
		}
	}
	warmBeforeMS := float64(time.Now().Add(-c.ServerWarmup).UnixMilli())
	servers := make([]Server, 0, len(list.Targets))
	for i := range list.Targets {
		target := &list.Targets[i]
		servers = append(servers, Server{
			UID:       target.UID,
			Zone:      target.Zone,
			PodGroup:  target.PodGroup,
			Capacity:  target.Capacity,
			BootMS:    target.BootMS,
			Ready:     target.State == registry.InstanceReady,
			Excluded:  excluded[target.UID],
			WarmingUp: target.BootMS > warmBeforeMS,
		})
	}
	return servers
}

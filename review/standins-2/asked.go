package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["slow-discovery"] = playSlowDiscovery
	cases["crowded-discovery"] = playCrowdedDiscovery
}

const (
	askedDrainGrace = 900 * time.Millisecond // drain_grace_ms of askedSettings
	slowWait        = 3 * time.Second        // how long each call waits in turn
	crowdedWait     = 1500 * time.Millisecond
	crowdedRefusals = 2 // calls of each sidecar that wait too long

	smallFleet = 3  // sidecars
	fleet      = 80 // sidecars, of which the case starts crowdedStarted
)

const crowdedStarted = 6

// askedRig is a deployment where lists are asked for. When the sidecars start, s4 has begun to drain, which their configuration
// does not know yet.
type askedRig struct {
	*run
	servers      []*server
	discovery    *discovery
	names        []string
	addresses    map[string]string
	applications map[string]*clients
}

func newAskedRig(r *run, sidecars int, turn func(string) (time.Duration, bool)) (*askedRig, error) {
	servers, err := startServers(r.record, 4, "riverside", "broad")
	if err != nil {
		return nil, err
	}
	rig := &askedRig{run: r, servers: servers, applications: map[string]*clients{}}
	for i := range sidecars {
		rig.names = append(rig.names, fmt.Sprintf("n%d", i+1))
	}
	listed := endpoints(servers)
	listed[3].State = "Terminating"
	rig.discovery = &discovery{log: r.record, list: endpointList{Revision: 42, Complete: true, Targets: listed}, turn: turn}
	rig.addresses, err = startDiscovery(rig.discovery, rig.names)
	return rig, err
}

// start starts the sidecars and their clients.
func (a *askedRig) start(ctx context.Context, total int) error {
	known := endpointList{Revision: 41, Complete: true, Targets: endpoints(a.servers)}
	for i, name := range a.names {
		listen, err := freeAddress()
		if err != nil {
			return err
		}
		if err := a.startSidecar(ctx, sidecarConfig{
			Name: name, Listen: listen, Discovery: a.addresses[name], Seed: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i)),
			Known: known, Settings: askedSettingsOf(i, total),
		}); err != nil {
			return err
		}
		application := &clients{log: a.record, name: name, sidecar: listen, class: "look-up", timeout: 1800 * time.Millisecond}
		a.applications[name] = application
		startClients(ctx, application, 4, 24)
	}
	return nil
}

// judge judges the rule on drains for each sidecar. reached returns the time from which discovery could be reached by a sidecar.
func (a *askedRig) judge(ctx context.Context, reached func(name string) time.Time) error {
	if err := sleep(ctx, judgedFor); err != nil {
		return err
	}
	broken := false
	for _, name := range a.names {
		application := a.applications[name]
		application.stopClients()
		from := reached(name)
		a.printf("%s: discovery can be reached from %.3f s on, has sent the list at %.3f s", name, a.at(from),
			a.at(a.discovery.timeOf(a.discovery.told, name)))
		switch err := a.judgeDrain(name, a.servers[3], application, from.Add(toldAfter+askedDrainGrace+socketsSlack)); {
		case errors.Is(err, errBroken):
			broken = true
		case err != nil:
			return err
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

// playSlowDiscovery starts a sidecar while each call to discovery waits in turn for slowWait.
func playSlowDiscovery(ctx context.Context, r *run) error {
	rig, err := newAskedRig(r, 1, func(string) (time.Duration, bool) {
		if r.trouble {
			return slowWait, false
		}
		return 0, false
	})
	if err != nil {
		return err
	}
	if err := rig.start(ctx, smallFleet); err != nil {
		return err
	}
	firstCall := func(name string) time.Time { return rig.discovery.timeOf(rig.discovery.calls, name) }
	if err := await(ctx, "the first call", 10*time.Second, func() bool { return !firstCall("n1").IsZero() }); err != nil {
		return err
	}
	return rig.judge(ctx, firstCall)
}

// playCrowdedDiscovery starts sidecars of a larger fleet while discovery is crowded: the first calls of each wait too long and are
// refused, every later call is answered at once.
func playCrowdedDiscovery(ctx context.Context, r *run) error {
	var mu sync.Mutex
	calls := map[string]int{}
	rig, err := newAskedRig(r, crowdedStarted, func(caller string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		calls[caller]++
		if r.trouble && calls[caller] <= crowdedRefusals {
			return crowdedWait, true
		}
		return 0, false
	})
	if err != nil {
		return err
	}
	if err := rig.start(ctx, fleet); err != nil {
		return err
	}
	if err := await(ctx, "all sidecars to have the list", 60*time.Second, func() bool {
		return !slices.ContainsFunc(rig.names, func(name string) bool { return rig.discovery.timeOf(rig.discovery.told, name).IsZero() })
	}); err != nil {
		return err
	}
	return rig.judge(ctx, func(name string) time.Time {
		if refused := rig.discovery.timeOf(rig.discovery.refusals, name); !refused.IsZero() {
			return refused
		}
		return rig.discovery.timeOf(rig.discovery.calls, name)
	})
}

package main

import (
	"context"
	"time"
)

func init() { cases["slow-discovery"] = playSlowDiscovery }

const (
	askedDrainGrace = 900 * time.Millisecond // drain_grace_ms of askedSettings
	slowWait        = 3 * time.Second        // how long each call waits in turn
)

// playSlowDiscovery starts a sidecar of a deployment where lists are asked for, while each call to discovery waits in turn for
// slowWait. s4 has begun to drain, which the sidecar's configuration does not know yet.
func playSlowDiscovery(ctx context.Context, r *run) error {
	servers, err := startServers(r.record, "riverside", "broad")
	if err != nil {
		return err
	}
	known := endpointList{Revision: 41, Complete: true, Targets: endpoints(servers)}
	listed := endpoints(servers)
	listed[3].State = "Terminating"
	asked := &discovery{log: r.record, list: endpointList{Revision: 42, Complete: true, Targets: listed}}
	if r.trouble {
		asked.wait = slowWait
	}
	address, err := startDiscovery(asked)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	if err := r.startSidecar(ctx, sidecarConfig{
		Name: "n1", Listen: listen, Discovery: address, Seed: "8c1f30d27a5be964", Known: known, Settings: []byte(askedSettings),
	}); err != nil {
		return err
	}
	application := &clients{log: r.record, name: "n1", sidecar: listen, class: "look-up", timeout: 1800 * time.Millisecond}
	startClients(ctx, application, 4, 24)
	defer application.stop()
	if err := await(ctx, "the first call", 10*time.Second, func() bool { return !asked.firstCall().IsZero() }); err != nil {
		return err
	}
	if err := sleep(ctx, judgedFor); err != nil {
		return err
	}
	application.stopClients()
	r.printf("n1: the first call to discovery came at %.3f s, and the list went out at %.3f s", r.at(asked.firstCall()), r.at(asked.firstList()))
	return r.judgeDrain("n1", servers[3], application, asked.firstCall().Add(toldAfter+askedDrainGrace+socketsSlack))
}

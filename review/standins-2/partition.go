package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["replica-cut-off"] = playReplicaCutOff }

const pushedDrainGrace = 750 * time.Millisecond // drain_grace_ms of pushedSettings

// startAgent starts the agent beside the sidecar.
func (r *run) startAgent(ctx context.Context, number int, listen string, replicaAddresses []string) (*process, error) {
	name := fmt.Sprintf("agent-%d", number)
	path := filepath.Join(r.scratch, name+".toml")
	quoted, err := json.Marshal(replicaAddresses) // a list of strings is the same in TOML
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("listen = %q\nreplicas = %s\nsaved = %q\nfleet = 3\n", listen, quoted, filepath.Join(r.scratch, name))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	started, err := r.start(name, nil, nil, milldeck, "agent", "--config", path)
	if err != nil {
		return nil, err
	}
	return started, awaitReady(ctx, name, "http://"+listen+"/health/ready")
}

// replicaStatus is the part of a replica's status that the case uses.
type replicaStatus struct {
	Role     string `json:"role"`
	Watchers int    `json:"watchers"`
}

// watched returns the number of the replica that an agent watches, and whether that leads; -1: none is watched.
func (c *registryCluster) watched(ctx context.Context) (number int, leads bool, err error) {
	for i, address := range c.addresses {
		var status replicaStatus
		if err := getJSON(ctx, "http://"+address+"/registry/status", &status); err != nil {
			return -1, false, err
		}
		if status.Watchers > 0 {
			return i, status.Role == "Leader", nil
		}
	}
	return -1, false, nil
}

// startAgentAtFollower starts the agent again and again until it watches a replica that does not lead.
func (r *run) startAgentAtFollower(ctx context.Context, registry *registryCluster, listen string) (follower int, err error) {
	for n := 1; n <= 20; n++ {
		agent, err := r.startAgent(ctx, n, listen, registry.addresses)
		if err != nil {
			return 0, err
		}
		number, leads, err := registry.watched(ctx)
		if err != nil {
			return 0, err
		}
		if number >= 0 && !leads {
			return number, nil
		}
		if err := r.end(agent, syscall.SIGTERM, 10*time.Second); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("the agent always watches the leader")
}

// cutAfter is the time from a change of the list to the cut. The replica sends an empty line 2 s and 4 s after the change.
const cutAfter = 1100 * time.Millisecond

// playReplicaCutOff cuts the replica that the agent watches off from the two others, and lets a server drain.
func playReplicaCutOff(ctx context.Context, r *run) error {
	servers, err := startServers(r.record, "montevideo-centro", "rapido")
	if err != nil {
		return err
	}
	registry, err := r.startCluster(ctx)
	if err != nil {
		return err
	}
	body := map[string]any{"id": "register-all", "targets": endpoints(servers)}
	if err := postJSON(ctx, "http://"+registry.addresses[0]+"/registry/instances", body); err != nil {
		return err
	}
	agentAddress, err := freeAddress()
	if err != nil {
		return err
	}
	follower, err := r.startAgentAtFollower(ctx, registry, agentAddress)
	if err != nil {
		return err
	}
	var known endpointList
	if err := getJSON(ctx, "http://"+agentAddress+"/registry/instances", &known); err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	if err := r.startSidecar(ctx, sidecarConfig{
		Name: "n1", Listen: listen, Discovery: agentAddress, Seed: "8c1f30d27a5be964", Known: known, Settings: json.RawMessage(pushedSettings),
	}); err != nil {
		return err
	}
	application := &clients{log: r.record, name: "n1", sidecar: listen, class: "cotizar", timeout: 1500 * time.Millisecond}
	startClients(ctx, application, 6, 60)
	defer application.stop()
	if err := sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	limit, err := r.drainBehindCut(ctx, registry, follower, servers)
	if err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(limit.Add(judgedFor))); err != nil {
		return err
	}
	application.stopClients()
	return r.judgeDrain("n1", servers[3], application, limit)
}

// drainBehindCut changes the entry of s1, cuts the follower off and lets s4 drain. It returns the time from which s4 may get nothing.
func (r *run) drainBehindCut(ctx context.Context, registry *registryCluster, follower int, servers []*server) (limit time.Time, err error) {
	other := "http://" + registry.addresses[(follower+1)%len(registry.addresses)]
	changed := servers[0].endpoint
	changed.Capacity = 1.1
	if err := postJSON(ctx, other+"/registry/instances", map[string]any{"id": "change-s1", "targets": []endpoint{changed}}); err != nil {
		return limit, err
	}
	r.printf("%.3f s: s1 has registered with another capacity; the agent watches replica-%d, which does not lead", r.at(time.Now()), follower)
	if err := sleep(ctx, cutAfter); err != nil {
		return limit, err
	}
	if r.trouble {
		registry.links[follower].cut.Store(true)
		r.printf("%.3f s: replica-%d is cut off from the others", r.at(time.Now()), follower)
	}
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return limit, err
	}
	if err := postJSON(ctx, other+"/registry/state", map[string]any{"id": "drain-s4", "uid": "s4", "state": "Terminating"}); err != nil {
		return limit, err
	}
	written := time.Now()
	r.printf("%.3f s: the registry has acknowledged that s4 drains", r.at(written))
	return written.Add(toldAfter + pushedDrainGrace + socketsSlack), nil
}

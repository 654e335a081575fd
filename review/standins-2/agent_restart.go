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

func init() { cases["agent-restart"] = playAgentRestart }

const (
	toldAfter    = 6 * time.Second        // a change counts as told at the latest
	drainGrace   = 750 * time.Millisecond // drain_grace_ms of pushedSettings
	socketsSlack = 50 * time.Millisecond  // each time limit grows by this on sockets
	judgedFor    = 10 * time.Second
)

// startAgent starts the agent. Its saved list is in a folder that is new at each start.
func (r *run) startAgent(ctx context.Context, number int, listen, registry string) (*process, error) {
	folder := filepath.Join(r.scratch, fmt.Sprintf("agent-%d", number))
	if err := os.Mkdir(folder, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "agent.toml")
	text := fmt.Sprintf("listen = %q\nreplicas = [%q]\nsaved = %q\nfleet = 3\n", listen, registry, filepath.Join(folder, "saved"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	started, err := r.start(fmt.Sprintf("agent-%d", number), []string{"TMPDIR=" + folder}, nil, milldeck, "agent", "--config", path)
	if err != nil {
		return nil, err
	}
	return started, awaitReady(ctx, started.name, "http://"+listen+"/health/ready")
}

// playAgentRestart restarts the agent beside a sidecar while a server is taken off the list. The rule on drains: nothing is
// sent to the server once the change counts as told and the grace is over.
func playAgentRestart(ctx context.Context, r *run) error {
	servers, err := startServers(r.record, "montevideo-centro", "rapido")
	if err != nil {
		return err
	}
	registry, err := r.startRegistry(ctx)
	if err != nil {
		return err
	}
	if err := r.register(ctx, registry, servers); err != nil {
		return err
	}
	agentAddress, err := freeAddress()
	if err != nil {
		return err
	}
	agent, err := r.startAgent(ctx, 1, agentAddress, registry)
	if err != nil {
		return err
	}
	known, err := listOf(ctx, agentAddress)
	if err != nil {
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
	startClients(ctx, application, 6, 40)
	defer application.stop()
	if err := sleep(ctx, 4*time.Second); err != nil {
		return err
	}
	if err := r.removeServer(ctx, registry, agentAddress, agent); err != nil {
		return err
	}
	if err := await(ctx, "the agent to have the list without s4", 20*time.Second, func() bool {
		list, err := listOf(ctx, agentAddress)
		return err == nil && !list.names("s4")
	}); err != nil {
		return err
	}
	agentHasIt := time.Now()
	r.printf("%.3f s: the list at the agent does not name s4 any more", r.at(agentHasIt))
	limit := agentHasIt.Add(toldAfter + drainGrace + socketsSlack)
	if err := sleep(ctx, time.Until(limit.Add(judgedFor))); err != nil {
		return err
	}
	application.stopClients()
	return r.judgeDrain("n1", servers[3], application, limit)
}

// removeServer takes s4 off the list. With trouble, the agent is restarted meanwhile.
func (r *run) removeServer(ctx context.Context, registry, agentAddress string, agent *process) error {
	if r.trouble {
		r.printf("%.3f s: SIGTERM to the agent", r.at(time.Now()))
		if err := r.end(agent, syscall.SIGTERM, 10*time.Second); err != nil {
			return err
		}
	}
	if err := r.command(ctx, "registry", "deregister", "s4", "--replicas", registry); err != nil {
		return err
	}
	if !r.trouble {
		return nil
	}
	_, err := r.startAgent(ctx, 2, agentAddress, registry)
	return err
}

// judgeDrain judges the rule on drains for the requests of one sidecar.
func (r *run) judgeDrain(name string, withdrawn *server, application *clients, limit time.Time) error {
	before, late := len(withdrawn.attemptsFrom(name, time.Time{})), withdrawn.attemptsFrom(name, limit)
	r.printf("%s: %s got %d requests, %d of them after the limit at %.3f s", name, withdrawn.UID, before, len(late), r.at(limit))
	if r.trouble && before == len(late) {
		return fmt.Errorf("%s got nothing before the limit: the run shows nothing", withdrawn.UID)
	}
	if len(late) > 0 {
		r.printf("first: %s at %.3f s, last: %s at %.3f s", late[0].id, r.at(late[0].at), late[len(late)-1].id, r.at(late[len(late)-1].at))
		return errBroken
	}
	return application.mostlyServed()
}

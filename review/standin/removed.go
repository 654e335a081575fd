package main

import (
	"fmt"
	"strings"
	"time"
)

// The case "removed": the machine of a sidecar and its agent loses power for 10 s. Meanwhile an operator removes a server from
// the list. The agent starts without a file, the sidecar with the list that it last had.

const (
	serverCount   = 4
	serverWork    = 150 * time.Millisecond
	clientCount   = 12
	clientPause   = 20 * time.Millisecond
	outage        = 10 * time.Second
	warmUp        = 3 * time.Second
	afterRemoval  = 14 * time.Second // until the removed server is stopped; more than toldLimit, the grace and the longest deadline
	afterStop     = 3 * time.Second
	removedServer = "s4"
)

// machine is a sidecar and its agent.
type machine struct {
	agentAddress, sidecarAddress string
	agent, sidecar               *process
}

func (r *run) startMachine(m *machine, replicas []string, known string) (err error) {
	if m.agent, err = r.startAgent("agent1", m.agentAddress, replicas, ""); err != nil {
		return err
	}
	m.sidecar, err = r.startSidecar("sidecar1", m.sidecarAddress, m.agentAddress, known)
	return err
}

// startRemovedFleet starts replicas, servers that are registered for good, and a machine.
func (r *run) startRemovedFleet() (replicas []string, servers map[string]*process, m *machine, err error) {
	if replicas, err = r.startReplicas(); err != nil {
		return nil, nil, nil, err
	}
	addresses, err := freeAddresses(serverCount + 2)
	if err != nil {
		return nil, nil, nil, err
	}
	servers = map[string]*process{}
	for i := range serverCount {
		name := fmt.Sprintf("s%d", i+1)
		if servers[name], err = r.startServer(name, addresses[i], serverWork, ""); err != nil {
			return nil, nil, nil, err
		}
		if err := r.ready(addresses[i]); err != nil {
			return nil, nil, nil, err
		}
		if err := r.command(fmt.Sprintf("registry register %s %s --zone north-quay --model m --pod %d --replicas %s",
			name, addresses[i], i+1, strings.Join(replicas, ","))); err != nil {
			return nil, nil, nil, err
		}
	}
	m = &machine{agentAddress: addresses[serverCount], sidecarAddress: addresses[serverCount+1]}
	known, _, err := listedServers(replicas[0])
	if err == nil {
		err = r.startMachine(m, replicas, known)
	}
	return replicas, servers, m, err
}

func removedCase(r *run) error {
	replicas, servers, m, err := r.startRemovedFleet()
	if err != nil {
		return err
	}
	var answers []answer
	load := startClients(m.sidecarAddress, clientCount, clientPause)
	if err := r.sleep(warmUp); err != nil {
		return err
	}
	known, _, err := listedServers(m.agentAddress)
	if err != nil {
		return err
	}
	remove := "registry deregister " + removedServer + " --replicas " + strings.Join(replicas, ",")
	if r.trouble {
		answers = append(answers, load.stop()...) // the application ends with its machine; nothing is open
		r.note("power loss: the sidecar and its agent are killed")
		m.sidecar.kill()
		m.agent.kill()
		if err := r.command(remove); err != nil {
			return err
		}
		if err := r.sleep(outage); err != nil {
			return err
		}
		if err := r.startMachine(m, replicas, known); err != nil {
			return err
		}
		load = startClients(m.sidecarAddress, clientCount, clientPause)
	} else if err := r.command(remove); err != nil {
		return err
	}
	if err := r.wait("the agent's list lacks the removed server", toldLimit, func() bool {
		_, uids, err := listedServers(m.agentAddress)
		return err == nil && uids[removedServer] == ""
	}); err != nil {
		return err
	}
	agentHadIt := time.Now()
	text, _, _ := listedServers(m.agentAddress)
	r.note("the agent serves: %s", strings.TrimSpace(text))
	if err := r.sleep(afterRemoval); err != nil {
		return err
	}
	r.note("the removed server is stopped (SIGKILL)")
	servers[removedServer].kill()
	stoppedAt := time.Now()
	if err := r.sleep(afterStop); err != nil {
		return err
	}
	answers = append(answers, load.stop()...)
	return r.judgeRemoved(answers, agentHadIt, stoppedAt)
}

// judgeRemoved checks the rule on drains: no request begins at the removed server later than the grace after the removal
// counts as told.
func (r *run) judgeRemoved(answers []answer, agentHadIt, stoppedAt time.Time) error {
	bound := agentHadIt.Add(toldLimit + drainGrace + socketSlack)
	r.recordTraffic(answers, "s1", "s2", "s3", removedServer)
	byID := answersByID(answers)
	late, lost := 0, 0
	open := map[string]bool{}
	for _, event := range serverEvents(r.serverRecord(removedServer)) {
		at := time.UnixMilli(event.AtMS)
		switch event.What {
		case "begin":
			open[event.ID] = true
			if at.After(bound) {
				late++
				r.note("%s began %s, %.2f s after the agent had the removal", removedServer, event.ID, at.Sub(agentHadIt).Seconds())
			}
		case "end":
			delete(open, event.ID)
		}
	}
	for id := range open {
		if got := byID[id]; got.status != 200 {
			lost++
			r.note("open at %s when it was stopped: %s, answered %d at %+.3f s", removedServer, id, got.status, got.at.Sub(stoppedAt).Seconds())
		}
	}
	r.note("answers by status: %v", countStatuses(answers))
	r.note("requests sent to the removed server after the bound: %d; requests lost there when it was stopped: %d", late, lost)
	if late > 0 {
		return errRuleBroken
	}
	return nil
}

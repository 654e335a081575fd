package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The case "drain": two machines, each with a sidecar and its agent. The agent of the first is killed. After its lease is over
// an operator drains a server.

const (
	drainWork      = 1200 * time.Millisecond
	drainClients   = 16
	drainGraceMS   = 500 // from SIGTERM to SIGKILL, of the platform's version
	drainAimMS     = 2500
	sidecarLease   = 10 * time.Second // the default of lease_ms
	drainLongest   = "3500ms"
	drainedServer  = "s1"
	drainTimeLimit = 40 * time.Second
)

// platformUnit is a unit in the platform's list.
type platformUnit struct {
	Name  string `json:"name"`
	State string `json:"state"`
	Exit  string `json:"exit"`
}

type platformList struct {
	Memory   uint64         `json:"memory"`
	Complete bool           `json:"complete"`
	Units    []platformUnit `json:"units"`
}

// startPlatform starts the platform's stand-in, and the servers as its units.
func (r *run) startPlatform(platform string, servers, replicas []string) error {
	argv := []string{"review/bin/standin", "server", "--name", "{name}", "--listen", "{listen}", "--zone", "{zone}",
		"--record", r.dir + "/{name}.record", "--work", drainWork.String(), "--replicas", strings.Join(replicas, ",")}
	text := fmt.Sprintf("[[version]]\nname = \"1\"\nkind = \"server\"\nargv = [%s]\nready = \"/health/ready\"\ngrace_ms = %d\n", quoted(argv), drainGraceMS)
	versions, err := r.writeFile("versions.toml", text)
	if err != nil {
		return err
	}
	if _, err := r.start("platform", "exec bin/milldeck supervisor stand-in --listen "+platform+" --versions "+versions); err != nil {
		return err
	}
	var list platformList
	const limit = 10 * time.Second
	if err := r.wait("the platform", limit, func() bool {
		return callJSON(http.MethodGet, "http://"+platform+"/supervisor/units", nil, &list) == nil
	}); err != nil {
		return err
	}
	var requests []any
	for i, address := range servers {
		name := fmt.Sprintf("s%d", i+1)
		zone := []string{"north-quay", "south-quay"}[i%2]
		requests = append(requests, map[string]any{"id": "start/" + name, "op": "start", "memory": list.Memory, "unit": name,
			"kind": "server", "version": "1", "listen": address, "zone": zone})
	}
	if err := callJSON(http.MethodPost, "http://"+platform+"/supervisor/units", map[string]any{"requests": requests}, nil); err != nil {
		return err
	}
	return r.wait("all servers listed", limit, func() bool {
		_, uids, err := listedServers(replicas[0])
		return err == nil && len(uids) == len(servers)
	})
}

// drainFleet is what the case has started: the machines and the addresses that the drain's controller needs.
type drainFleet struct {
	replicas          []string
	platform, reports string
	agents, sidecars  []*process
	load              []*clients
}

// startDrainFleet starts replicas, the platform with the servers, and two machines, each with clients of its own.
func (r *run) startDrainFleet() (*drainFleet, error) {
	replicas, err := r.startReplicas()
	if err != nil {
		return nil, err
	}
	zones := []string{"north-quay", "south-quay"}
	addresses, err := freeAddresses(serverCount + 2*len(zones) + 2)
	if err != nil {
		return nil, err
	}
	servers, rest := addresses[:serverCount], addresses[serverCount:]
	fleet := &drainFleet{replicas: replicas, platform: rest[0], reports: rest[1]}
	if err := r.startPlatform(fleet.platform, servers, replicas); err != nil {
		return nil, err
	}
	known, _, err := listedServers(replicas[0])
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		agentAddress, sidecarAddress := rest[2+2*i], rest[3+2*i]
		extra := fmt.Sprintf("reports = [%q]\n[sidecar]\nname = \"sidecar%d\"\naddress = %q\nzone = %q\nversion = \"1\"\nlease_ms = %d\n",
			fleet.reports, i+1, sidecarAddress, zone, sidecarLease.Milliseconds())
		agent, err := r.startAgent(fmt.Sprintf("agent%d", i+1), agentAddress, replicas, extra)
		if err != nil {
			return nil, err
		}
		sidecar, err := r.startSidecar(fmt.Sprintf("sidecar%d", i+1), sidecarAddress, agentAddress, known)
		if err != nil {
			return nil, err
		}
		fleet.agents, fleet.sidecars = append(fleet.agents, agent), append(fleet.sidecars, sidecar)
		fleet.load = append(fleet.load, startClients(sidecarAddress, drainClients, clientPause))
	}
	return fleet, r.sleep(warmUp)
}

func drainCase(r *run) error {
	r.aimMS = drainAimMS
	fleet, err := r.startDrainFleet()
	if err != nil {
		return err
	}
	if r.trouble {
		r.note("the agent of sidecar1 is killed")
		fleet.agents[0].kill()
	}
	if err := r.sleep(sidecarLease + warmUp); err != nil {
		return err
	}
	drain, err := r.start("drain", fmt.Sprintf("exec bin/milldeck fleet drain rack-1 --ids server/%s --replicas %s --platform %s --listen %s --longest %s",
		drainedServer, strings.Join(fleet.replicas, ","), fleet.platform, fleet.reports, drainLongest))
	if err != nil {
		return err
	}
	select {
	case <-drain.done:
	case <-time.After(drainTimeLimit):
		return fmt.Errorf("the drain did not end: %v", drain.lines())
	}
	if err := r.sleep(warmUp); err != nil {
		return err
	}
	r.note("drain printed:\n%s", strings.Join(drain.lines(), "\n"))
	var answers []answer
	for _, load := range fleet.load {
		answers = append(answers, load.stop()...)
	}
	r.note("sidecar1 is alive: %v", fleet.sidecars[0].alive())
	return r.judgeDrain(answers)
}

// judgeDrain checks that the drained server had no open request when it was stopped, and got none after that.
func (r *run) judgeDrain(answers []answer) error {
	r.recordTraffic(answers, drainedServer)
	byID := answersByID(answers)
	open := map[string]bool{}
	openAtStop, stopped := 0, false
	for _, event := range serverEvents(r.serverRecord(drainedServer)) {
		switch event.What {
		case "begin":
			open[event.ID] = true
		case "end":
			delete(open, event.ID)
		case "sigterm":
			stopped, openAtStop = true, len(open)
			r.note("%s got SIGTERM with %d open requests", drainedServer, openAtStop)
		}
	}
	if !stopped {
		return fmt.Errorf("%s was not stopped", drainedServer)
	}
	lost := 0
	for id := range open {
		if got := byID[id]; got.status != http.StatusOK {
			lost++
			r.note("begun at %s and cut off: %s, answered %d", drainedServer, id, got.status)
		}
	}
	r.note("answers by status: %v", countStatuses(answers))
	r.note("open at the stop: %d; lost: %d", openAtStop, lost)
	if openAtStop > 0 {
		return errRuleBroken
	}
	return nil
}

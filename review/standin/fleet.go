package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// startServer starts a stand-in of a server. Extra are further flags.
func (r *run) startServer(name, address string, work time.Duration, extra string) (*process, error) {
	return r.start(name, fmt.Sprintf("exec review/bin/standin server --name %s --listen %s --record %s --work %v %s",
		name, address, r.serverRecord(name), work, extra))
}

func (r *run) serverRecord(name string) string { return filepath.Join(r.dir, name+".record") }

// startAgent starts an agent. The file of its last list is in a folder that is empty at each start, as the deployment's page
// says of all files.
func (r *run) startAgent(name, address string, replicas []string, extra string) (*process, error) {
	text := fmt.Sprintf("listen = %q\nreplicas = [%s]\nsaved = %q\n%s", address, quoted(replicas),
		filepath.Join(r.dir, fmt.Sprintf("%s-%d.saved", name, time.Now().UnixNano())), extra)
	path, err := r.writeFile(name+".toml", text)
	if err != nil {
		return nil, err
	}
	agent, err := r.start(name, "exec bin/milldeck agent --config "+path)
	if err != nil {
		return nil, err
	}
	return agent, r.ready(address)
}

func quoted(values []string) string {
	var parts []string
	for _, value := range values {
		parts = append(parts, fmt.Sprintf("%q", value))
	}
	return strings.Join(parts, ", ")
}

// startSidecar starts a sidecar with the command of the deploy file. Known is the list as the sidecar last had it.
func (r *run) startSidecar(name, address, agent, known string) (*process, error) {
	command, err := r.sidecarCommand()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"placement":%q,"seed":"%016x","version":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		name, address, agent, agent, time.Now().UnixNano(), known, fmt.Sprintf(settingsFormat, r.aimMS))
	path, err := r.writeFile(name+".json", text)
	if err != nil {
		return nil, err
	}
	sidecar, err := r.start(name, command, "NODE_CONFIG="+path)
	if err != nil {
		return nil, err
	}
	return sidecar, r.ready(address)
}

// listedServers returns the endpoint list of a replica or an agent: its text and its uids.
func listedServers(address string) (text string, uids map[string]string, err error) {
	var list json.RawMessage
	if err := callJSON("GET", "http://"+address+"/registry/instances", nil, &list); err != nil {
		return "", nil, err
	}
	var entries struct {
		Targets []struct {
			UID   string `json:"uid"`
			State string `json:"state"`
		} `json:"targets"`
	}
	if err := json.Unmarshal(list, &entries); err != nil {
		return "", nil, err
	}
	uids = map[string]string{}
	for _, target := range entries.Targets {
		uids[target.UID] = target.State
	}
	return string(list), uids, nil
}

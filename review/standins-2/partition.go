package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["replica-cut-off"] = playReplicaCutOff }

// link is a proxy before the raft address of a replica.
type link struct {
	listener net.Listener
	target   string
	cut      atomic.Bool // bytes in either direction are dropped, and connections stay open
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

func (l *link) serve(conn net.Conn) {
	defer conn.Close()
	onward, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		defer conn.Close()
		defer onward.Close()
		l.pass(conn, onward)
	}()
	l.pass(onward, conn)
}

// pass passes bytes on until a side ends.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.cut.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cluster is a registry of three replicas.
type cluster struct {
	addresses []string // HTTP
	links     []*link
}

func (r *run) startCluster(ctx context.Context) (*cluster, error) {
	started := &cluster{}
	var raftAddresses []string
	members := ""
	for range 3 {
		httpAddress, err := freeAddress()
		if err != nil {
			return nil, err
		}
		raftAddress, err := freeAddress()
		if err != nil {
			return nil, err
		}
		before, err := newLink(raftAddress)
		if err != nil {
			return nil, err
		}
		started.addresses, started.links = append(started.addresses, httpAddress), append(started.links, before)
		raftAddresses = append(raftAddresses, raftAddress)
		members += fmt.Sprintf("[[member]]\nhttp = %q\nraft = %q\n", httpAddress, before.listener.Addr())
	}
	for i, address := range started.addresses {
		path := filepath.Join(r.scratch, fmt.Sprintf("replica-%d.toml", i))
		text := fmt.Sprintf("http = %q\nraft = %q\nadvertise = %q\ndir = %q\n%s", address, raftAddresses[i],
			started.links[i].listener.Addr(), filepath.Join(r.scratch, fmt.Sprintf("replica-%d", i)), members)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if _, err := r.start(fmt.Sprintf("replica-%d", i), nil, nil, milldeck, "registry", "serve", "--config", path); err != nil {
			return nil, err
		}
	}
	for i, address := range started.addresses {
		if err := awaitReady(ctx, fmt.Sprintf("replica-%d", i), "http://"+address+"/health/ready"); err != nil {
			return nil, err
		}
	}
	return started, nil
}

// replicaStatus is the part of a replica's status that the case uses.
type replicaStatus struct {
	Role     string `json:"role"`
	Watchers int    `json:"watchers"`
}

// watched returns the number of the replica that an agent watches, and whether that leads; -1: none is watched.
func (c *cluster) watched() (number int, leads bool, err error) {
	for i, address := range c.addresses {
		response, err := http.Get("http://" + address + "/registry/status")
		if err != nil {
			return -1, false, err
		}
		var status replicaStatus
		err = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		if err != nil {
			return -1, false, err
		}
		if status.Watchers > 0 {
			return i, status.Role == "Leader", nil
		}
	}
	return -1, false, nil
}

// startAgentAtFollower starts the agent again and again until it watches a replica that does not lead.
func (r *run) startAgentAtFollower(ctx context.Context, registry *cluster, listen string) (follower int, err error) {
	for n := 1; n <= 20; n++ {
		agent, err := r.startAgent(ctx, n, listen, registry.addresses...)
		if err != nil {
			return 0, err
		}
		number, leads, err := registry.watched()
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

// post sends a write to the replica that leads, by way of any other.
func post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return nil
}

// cutAfter is the time from a change of the list to the cut. The replica sends an empty line 2 s and 4 s after the change.
const cutAfter = 1100 * time.Millisecond

// playReplicaCutOff cuts the replica that the agent watches off from the two others, and lets a server drain.
func playReplicaCutOff(ctx context.Context, r *run) error {
	servers, err := startServers(r.record, 5, "montevideo-centro", "rapido")
	if err != nil {
		return err
	}
	registry, err := r.startCluster(ctx)
	if err != nil {
		return err
	}
	if err := r.register(ctx, registry.addresses[0], servers[:4]); err != nil {
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

// drainBehindCut lets s5 join, cuts the follower off and lets s4 drain. It returns the time from which s4 may get nothing.
func (r *run) drainBehindCut(ctx context.Context, registry *cluster, follower int, servers []*server) (limit time.Time, err error) {
	other := "http://" + registry.addresses[(follower+1)%len(registry.addresses)]
	if err := post(ctx, other+"/registry/instances", map[string]any{"id": "register-s5", "targets": endpoints(servers[4:])}); err != nil {
		return limit, err
	}
	r.printf("%.3f s: s5 has joined; the agent watches replica-%d, which does not lead", r.at(time.Now()), follower)
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
	if err := post(ctx, other+"/registry/state", map[string]any{"id": "drain-s4", "uid": "s4", "state": "Terminating"}); err != nil {
		return limit, err
	}
	written := time.Now()
	r.printf("%.3f s: the registry has acknowledged that s4 drains", r.at(written))
	return written.Add(toldAfter + drainGrace + socketsSlack), nil
}

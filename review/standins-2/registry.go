package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	milldeck    = "bin/milldeck"
	replicas    = 3
	callTimeout = 3 * time.Second
)

// registryCluster is a registry of three replicas. A link stands before the raft address of each.
type registryCluster struct {
	addresses []string // HTTP
	processes []*process
	links     []*link
}

// startCluster starts a registry and waits until all replicas are ready.
func (r *run) startCluster(ctx context.Context) (*registryCluster, error) {
	started := &registryCluster{}
	var raftAddresses []string
	members := ""
	for range replicas {
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
		started.links = append(started.links, before)
		started.addresses, raftAddresses = append(started.addresses, httpAddress), append(raftAddresses, raftAddress)
		members += fmt.Sprintf("[[member]]\nhttp = %q\nraft = %q\n", httpAddress, before.listener.Addr())
	}
	for i, address := range started.addresses {
		name := fmt.Sprintf("replica-%d", i)
		path := filepath.Join(r.scratch, name+".toml")
		text := fmt.Sprintf("http = %q\nraft = %q\nadvertise = %q\ndir = %q\n%s", address, raftAddresses[i],
			started.links[i].listener.Addr(), filepath.Join(r.scratch, name), members)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		replica, err := r.start(name, nil, nil, milldeck, "registry", "serve", "--config", path)
		if err != nil {
			return nil, err
		}
		started.processes = append(started.processes, replica)
	}
	for i, address := range started.addresses {
		if err := awaitReady(ctx, fmt.Sprintf("replica-%d", i), "http://"+address+"/health/ready"); err != nil {
			return nil, err
		}
	}
	return started, nil
}

// leader returns the number of the replica that leads.
func (c *registryCluster) leader(ctx context.Context) (int, error) {
	for i, address := range c.addresses {
		var status struct {
			Role string `json:"role"`
		}
		if getJSON(ctx, "http://"+address+"/registry/status", &status) == nil && status.Role == "Leader" {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no replica leads")
}

// command runs a command of an operator to its end.
func (r *run) command(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	output, err := exec.CommandContext(ctx, milldeck, args...).CombinedOutput()
	r.printf("milldeck %s: %s", strings.Join(args, " "), strings.TrimSpace(string(output)))
	if err != nil {
		return fmt.Errorf("milldeck %s: %w", args[0], err)
	}
	return nil
}

// getJSON reads a JSON value.
func getJSON(ctx context.Context, url string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	return exchangeJSON(request, value)
}

// postJSON sends a write and discards its result.
func postJSON(ctx context.Context, url string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	var result struct{}
	return exchangeJSON(request, &result)
}

func exchangeJSON(request *http.Request, value any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", request.URL, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(value)
}

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

const milldeck = "bin/milldeck"

// startRegistry starts a registry of one replica with its log on disk, and returns its HTTP address.
func (r *run) startRegistry(ctx context.Context) (string, error) {
	httpAddress, err := freeAddress()
	if err != nil {
		return "", err
	}
	raftAddress, err := freeAddress()
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.scratch, "replica.toml")
	text := fmt.Sprintf("http = %q\nraft = %q\ndir = %q\n[[member]]\nhttp = %q\nraft = %q\n",
		httpAddress, raftAddress, filepath.Join(r.scratch, "replica"), httpAddress, raftAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	if _, err := r.start("registry", nil, nil, milldeck, "registry", "serve", "--config", path); err != nil {
		return "", err
	}
	return httpAddress, awaitReady(ctx, "registry", "http://"+httpAddress+"/health/ready")
}

// command runs a command of an operator to its end.
func (r *run) command(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	output, err := exec.CommandContext(ctx, milldeck, args...).CombinedOutput()
	r.printf("milldeck %s: %s", strings.Join(args, " "), strings.TrimSpace(string(output)))
	if err != nil {
		return fmt.Errorf("milldeck %s: %w", args[0], err)
	}
	return nil
}

// register registers servers at a registry, without a lease.
func (r *run) register(ctx context.Context, registry string, servers []*server) error {
	body, err := json.Marshal(map[string]any{"id": "register-all", "targets": endpoints(servers)})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+registry+"/registry/instances", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("registration: %s", response.Status)
	}
	return nil
}

// listOf reads the complete endpoint list at a discovery address.
func listOf(ctx context.Context, address string) (endpointList, error) {
	var list endpointList
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/registry/instances", http.NoBody)
	if err != nil {
		return list, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("list of %s: %s", address, response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&list)
	return list, err
}

// names reports whether a list names a server.
func (l *endpointList) names(uid string) bool {
	for i := range l.Targets {
		if l.Targets[i].UID == uid {
			return true
		}
	}
	return false
}

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// processes are the processes that a case has started.
type processes struct {
	log *record

	mu      sync.Mutex
	started []*process
}

// process is a program of this repository.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a program. Each line of its output goes to the record and, if it is not nil, to onLine.
func (p *processes) start(name string, env []string, onLine func(string), argv ...string) (*process, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), env...)
	reader, writer := io.Pipe()
	cmd.Stdout, cmd.Stderr = writer, writer
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(reader)
		lines.Buffer(nil, 4<<20)
		for lines.Scan() {
			p.log.detailf("%s: %s", name, lines.Text())
			if onLine != nil {
				onLine(lines.Text())
			}
		}
		_, _ = io.Copy(io.Discard, reader)
	}()
	go func() {
		err := cmd.Wait()
		_ = writer.Close() // a pipe in memory: Close returns no error
		p.log.detailf("%s ended: %v", name, err)
		close(started.ended)
	}()
	p.log.detailf("%s started, process %d: %v", name, cmd.Process.Pid, argv)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = append(p.started, started)
	return started, nil
}

// end sends a signal to a process and waits until it has ended.
func (p *processes) end(started *process, with syscall.Signal, atMost time.Duration) error {
	p.log.detailf("%v to %s", with, started.name)
	if err := started.cmd.Process.Signal(with); err != nil {
		return err
	}
	select {
	case <-started.ended:
		return nil
	case <-time.After(atMost):
		return fmt.Errorf("%s did not end within %v", started.name, atMost)
	}
}

// killAll ends all processes that still run.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.started {
		_ = started.cmd.Process.Kill() // fails only if the process has ended
		<-started.ended
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// sidecarConfig is the configuration file of a sidecar.
type sidecarConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    map[string]any  `json:"limits"`
	Known     endpointList    `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// limits returns the limits of a sidecar with one core.
func limits(memoryMB, sockets int) map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}

// startSidecar starts a sidecar as the deploy file says, and waits until it is ready.
func (r *run) startSidecar(ctx context.Context, config sidecarConfig) error {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return err
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		return fmt.Errorf("deploy/balancer.toml has no run")
	}
	if config.Limits == nil {
		config.Limits = limits(192, 1024)
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(r.scratch, config.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	env := []string{
		"NODE_CONFIG=" + path, "NODE_NAME=" + config.Name, "NODE_LISTEN=" + config.Listen, "NODE_DISCOVERY=" + config.Discovery,
	}
	if _, err := r.start(config.Name, env, nil, "/bin/sh", "-c", string(command[1])); err != nil {
		return err
	}
	return awaitReady(ctx, config.Name, "http://"+config.Listen+"/health/ready")
}

// awaitReady waits until a URL answers 200.
func awaitReady(ctx context.Context, name, url string) error {
	return await(ctx, name+" to be ready", 20*time.Second, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

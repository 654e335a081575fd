// Package cluster runs registry replicas as processes of the program, for the benchmark, the lab and tests.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
)

const (
	httpPort       = 8500
	raftPort       = 8501
	replicaNetByte = 200 // third byte of the replicas' addresses within the block
	pollInterval   = 10 * time.Millisecond
)

// Options say how a cluster runs.
type Options struct {
	Program   string // milldeck
	DataDir   string // for configurations, logs and data
	Addresses *proc.Block
	// More is put into each replica's configuration, as "snapshot_every = 100".
	ExtraConfig string
	// Advertise, where set, gives the raft address that others are told of a replica, as of a proxy before it.
	Advertise func(n int, raft string) string
	// Prefix is a command that the program is started through, as a limiter.
	CommandPrefix []string
}

// Cluster is some replicas.
type Cluster struct {
	options  Options
	Replicas []*Replica
}

// Replica is one of them.
type Replica struct {
	cluster        *Cluster
	Index          int
	HTTPAddr       string
	RaftAddr       string
	DataDir        string
	Process        *proc.Process // the newest
	advertisedAddr string        // raft address that others are told
}

// Start starts n replicas that are members of one cluster and waits for a leader.
func Start(ctx context.Context, replicas int, options Options) (*Cluster, error) {
	cluster := &Cluster{options: options}
	for range replicas {
		cluster.newReplica()
	}
	for _, replica := range cluster.Replicas {
		if err := replica.writeConfig(cluster.Replicas); err != nil {
			return cluster, err
		}
		if err := replica.Start(); err != nil {
			return cluster, err
		}
	}
	_, err := cluster.AwaitLeader(ctx)
	return cluster, err
}

func (c *Cluster) newReplica() *Replica {
	index := len(c.Replicas)
	replica := &Replica{
		cluster: c, Index: index, HTTPAddr: c.options.Addresses.Addr(replicaNetByte, index, httpPort), RaftAddr: c.options.Addresses.Addr(replicaNetByte, index, raftPort),
		DataDir: filepath.Join(c.options.DataDir, fmt.Sprintf("replica%d", index)),
	}
	replica.advertisedAddr = replica.RaftAddr
	if c.options.Advertise != nil {
		replica.advertisedAddr = c.options.Advertise(index, replica.RaftAddr)
	}
	c.Replicas = append(c.Replicas, replica)
	return replica
}

// Add starts one more replica that waits to be taken in as a member.
func (c *Cluster) Add() (*Replica, error) {
	replica := c.newReplica()
	if err := replica.writeConfig(nil); err != nil {
		return replica, err
	}
	return replica, replica.Start()
}

// ConfigPath is the path of its configuration.
func (r *Replica) ConfigPath() string { return r.DataDir + ".toml" }

// Member is what others are told of it.
func (r *Replica) Member() registry.Member {
	return registry.Member{HTTPAddr: r.HTTPAddr, RaftAddr: r.advertisedAddr}
}

func (r *Replica) writeConfig(members []*Replica) error {
	var config strings.Builder
	fmt.Fprintf(&config, "http = %q\nraft = %q\nadvertise = %q\ndir = %q\n%s\n", r.HTTPAddr, r.RaftAddr, r.advertisedAddr, r.DataDir, r.cluster.options.ExtraConfig)
	for _, member := range members {
		fmt.Fprintf(&config, "[[member]]\nhttp = %q\nraft = %q\n", member.HTTPAddr, member.advertisedAddr)
	}
	return os.WriteFile(r.ConfigPath(), []byte(config.String()), 0o600)
}

// Start starts its process, once more after it has ended.
func (r *Replica) Start() error {
	command := append(append([]string{}, r.cluster.options.CommandPrefix...), r.cluster.options.Program, "registry", "serve", "--config", r.ConfigPath())
	process, err := proc.Start(proc.Spec{
		Name: fmt.Sprintf("replica %d", r.Index), Path: command[0], Args: command[1:], Log: r.DataDir + ".log",
	})
	r.Process = process
	return err
}

// Stop ends it with SIGTERM.
func (r *Replica) Stop(ctx context.Context) error { return r.Process.Stop(ctx) }

// Pause stops it as it is; Thaw has it go on.
func (r *Replica) Pause() error { return r.Process.Signal(syscall.SIGSTOP) }

// Resume has it go on.
func (r *Replica) Resume() error { return r.Process.Signal(syscall.SIGCONT) }

// HTTPAddrs are the addresses of all replicas.
func (c *Cluster) HTTPAddrs() []string {
	var addresses []string
	for _, replica := range c.Replicas {
		addresses = append(addresses, replica.HTTPAddr)
	}
	return addresses
}

// Client makes a client of all replicas.
func (c *Cluster) Client() (*registry.Client, error) { return registry.NewClient(c.HTTPAddrs()) }

// AwaitLeader waits until a replica leads and is ready, and returns it.
func (c *Cluster) AwaitLeader(ctx context.Context) (*Replica, error) {
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	for {
		for _, replica := range c.Replicas {
			attemptCtx, cancel := context.WithTimeout(ctx, time.Second)
			status, err := client.ReplicaStatus(attemptCtx, replica.HTTPAddr)
			cancel()
			if err == nil && status.Role == "Leader" && status.Epoch != 0 && status.Fresh {
				return replica, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no leader: %w\n%s", ctx.Err(), c.Logs())
		case <-time.After(pollInterval):
		}
	}
}

// Logs are the ends of the logs of all replicas.
func (c *Cluster) Logs() string {
	var logs strings.Builder
	for _, replica := range c.Replicas {
		if replica.Process != nil {
			fmt.Fprintf(&logs, "== replica %d\n%s\n", replica.Index, replica.Process.Log())
		}
	}
	return logs.String()
}

// Close ends all that it started.
func (c *Cluster) Close() error {
	var errs error
	for _, replica := range c.Replicas {
		if replica.Process != nil {
			errs = errors.Join(errs, replica.Process.Signal(syscall.SIGCONT))
			replica.Process.Kill()
		}
	}
	return errs
}

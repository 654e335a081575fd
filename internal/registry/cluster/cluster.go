// Package cluster runs registry replicas as milldeck processes, for the benchmark, the lab and tests. It owns the
// processes, their configurations and data directories, and a network between them that can be partitioned. It does not
// restart a process that ends by itself.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
)

const (
	httpPort       = 8500
	raftPort       = 8501
	replicaNetByte = 200 // third byte of the replicas' addresses

	pollInterval  = 10 * time.Millisecond
	statusTimeout = time.Second
	configMode    = 0o600
)

// Options are the options of a cluster.
type Options struct {
	Program     string             // path of milldeck
	DataDir     string             // for configurations, logs and data
	Addresses   *proc.AddressBlock // loopback addresses of the cluster
	ExtraConfig string             // added to the configuration of each replica, such as "snapshot_every = 100"
	// Advertise returns the raft address at which the other replicas reach a replica, such as that of a proxy. nil: the
	// replica's own address.
	Advertise func(index int, raftAddr string) string
	// CommandPrefix is a command, with its arguments, that starts the program; empty: the program is started directly.
	CommandPrefix []string
}

// Cluster is a set of replicas.
type Cluster struct {
	options  Options
	Replicas []*Replica
}

// Replica is one replica of a cluster.
type Replica struct {
	cluster        *Cluster
	Index          int
	HTTPAddr       string
	RaftAddr       string
	DataDir        string
	Process        *proc.Process // the process that was started last
	advertisedAddr string
}

// Start starts replicas as the members of one cluster, and waits for a leader. The caller has to close the cluster even
// after an error.
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
		cluster: c, Index: index,
		HTTPAddr: c.options.Addresses.Addr(replicaNetByte, index, httpPort),
		RaftAddr: c.options.Addresses.Addr(replicaNetByte, index, raftPort),
		DataDir:  filepath.Join(c.options.DataDir, fmt.Sprintf("replica%d", index)),
	}
	replica.advertisedAddr = replica.RaftAddr
	if c.options.Advertise != nil {
		replica.advertisedAddr = c.options.Advertise(index, replica.RaftAddr)
	}
	c.Replicas = append(c.Replicas, replica)
	return replica
}

// Add starts one more replica. The caller has to add it to the cluster as a member.
func (c *Cluster) Add() (*Replica, error) {
	replica := c.newReplica()
	if err := replica.writeConfig(nil); err != nil {
		return replica, err
	}
	err := replica.Start()
	return replica, err
}

// ConfigPath returns the path of the replica's configuration.
func (r *Replica) ConfigPath() string { return r.DataDir + ".toml" }

// Member returns the replica as a member of the cluster.
func (r *Replica) Member() registry.Member {
	return registry.Member{HTTPAddr: r.HTTPAddr, RaftAddr: r.advertisedAddr}
}

func (r *Replica) writeConfig(members []*Replica) error {
	var config strings.Builder
	fmt.Fprintf(&config, "http = %q\nraft = %q\nadvertise = %q\ndir = %q\n", r.HTTPAddr, r.RaftAddr, r.advertisedAddr, r.DataDir)
	fmt.Fprintf(&config, "%s\n", r.cluster.options.ExtraConfig)
	for _, member := range members {
		fmt.Fprintf(&config, "[[member]]\nhttp = %q\nraft = %q\n", member.HTTPAddr, member.advertisedAddr)
	}
	return os.WriteFile(r.ConfigPath(), []byte(config.String()), configMode)
}

// Start starts the replica's process, for the first time or again after the process has ended.
func (r *Replica) Start() error {
	command := slices.Concat(r.cluster.options.CommandPrefix,
		[]string{r.cluster.options.Program, "registry", "serve", "--config", r.ConfigPath()})
	process, err := proc.Start(proc.Spec{
		Name: fmt.Sprintf("replica %d", r.Index), Path: command[0], Args: command[1:], Log: r.DataDir + ".log",
	})
	r.Process = process
	return err
}

// Stop ends the process with SIGTERM.
func (r *Replica) Stop(ctx context.Context) error { return r.Process.Stop(ctx) }

// Pause pauses the process with SIGSTOP.
func (r *Replica) Pause() error { return r.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (r *Replica) Resume() error { return r.Process.Signal(syscall.SIGCONT) }

// HTTPAddrs returns the HTTP addresses of all replicas.
func (c *Cluster) HTTPAddrs() []string {
	addresses := make([]string, 0, len(c.Replicas))
	for _, replica := range c.Replicas {
		addresses = append(addresses, replica.HTTPAddr)
	}
	return addresses
}

// Client returns a new client of all replicas.
func (c *Cluster) Client() (*registry.Client, error) { return registry.NewClient(c.HTTPAddrs()) }

// AwaitLeader waits until a replica has established its leadership, and returns it.
func (c *Cluster) AwaitLeader(ctx context.Context) (*Replica, error) {
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	for {
		for _, replica := range c.Replicas {
			if replica.isLeader(ctx, client) {
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

func (r *Replica) isLeader(ctx context.Context, client *registry.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := client.ReplicaStatus(ctx, r.HTTPAddr)
	return err == nil && status.Role == registry.RoleLeader && status.Epoch != 0 && status.Fresh
}

// Logs returns the last lines of the logs of all replicas.
func (c *Cluster) Logs() string {
	var logs strings.Builder
	for _, replica := range c.Replicas {
		if replica.Process != nil {
			fmt.Fprintf(&logs, "== replica %d\n%s\n", replica.Index, replica.Process.Log())
		}
	}
	return logs.String()
}

// Close kills the processes of all replicas.
func (c *Cluster) Close() error {
	var errs error
	for _, replica := range c.Replicas {
		if replica.Process != nil {
			errs = errors.Join(errs, replica.Resume())
			replica.Process.Kill()
		}
	}
	return errs
}

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
	httpPort = 8500
	raftPort = 8501
	netByte  = 200 // third byte of the replicas' addresses within the block
	pollWait = 10 * time.Millisecond
)

// Options say how a cluster runs.
type Options struct {
	Program string // milldeck
	Dir     string // for configurations, logs and data
	Block   *proc.Block
	// More is put into each replica's configuration, as "snapshot_every = 100".
	More string
	// Advertise, where set, gives the raft address that others are told of a replica, as of a proxy before it.
	Advertise func(n int, raft string) string
	// Prefix is a command that the program is started through, as a limiter.
	Prefix []string
}

// Cluster is some replicas.
type Cluster struct {
	opts     Options
	Replicas []*Replica
}

// Replica is one of them.
type Replica struct {
	c    *Cluster
	N    int
	HTTP string
	Raft string
	Dir  string
	Proc *proc.Process // the newest
	told string        // raft address that others are told
}

// Start starts n replicas that are members of one cluster and waits for a leader.
func Start(ctx context.Context, n int, opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts}
	for range n {
		c.add()
	}
	for _, r := range c.Replicas {
		if err := r.configure(c.Replicas); err != nil {
			return c, err
		}
		if err := r.Start(); err != nil {
			return c, err
		}
	}
	_, err := c.Leader(ctx)
	return c, err
}

func (c *Cluster) add() *Replica {
	n := len(c.Replicas)
	r := &Replica{
		c: c, N: n, HTTP: c.opts.Block.Addr(netByte, n, httpPort), Raft: c.opts.Block.Addr(netByte, n, raftPort),
		Dir: filepath.Join(c.opts.Dir, fmt.Sprintf("replica%d", n)),
	}
	r.told = r.Raft
	if c.opts.Advertise != nil {
		r.told = c.opts.Advertise(n, r.Raft)
	}
	c.Replicas = append(c.Replicas, r)
	return r
}

// Add starts one more replica that waits to be taken in as a member.
func (c *Cluster) Add() (*Replica, error) {
	r := c.add()
	if err := r.configure(nil); err != nil {
		return r, err
	}
	return r, r.Start()
}

// Config is the path of its configuration.
func (r *Replica) Config() string { return r.Dir + ".toml" }

// Member is what others are told of it.
func (r *Replica) Member() registry.Member { return registry.Member{HTTP: r.HTTP, Raft: r.told} }

func (r *Replica) configure(members []*Replica) error {
	var b strings.Builder
	fmt.Fprintf(&b, "http = %q\nraft = %q\nadvertise = %q\ndir = %q\n%s\n", r.HTTP, r.Raft, r.told, r.Dir, r.c.opts.More)
	for _, m := range members {
		fmt.Fprintf(&b, "[[member]]\nhttp = %q\nraft = %q\n", m.HTTP, m.told)
	}
	return os.WriteFile(r.Config(), []byte(b.String()), 0o600)
}

// Start starts its process, once more after it has ended.
func (r *Replica) Start() error {
	cmd := append(append([]string{}, r.c.opts.Prefix...), r.c.opts.Program, "registry", "serve", "--config", r.Config())
	p, err := proc.Start(proc.Spec{
		Name: fmt.Sprintf("replica %d", r.N), Path: cmd[0], Args: cmd[1:], Log: r.Dir + ".log",
	})
	r.Proc = p
	return err
}

// Stop ends it with SIGTERM.
func (r *Replica) Stop(ctx context.Context) error { return r.Proc.Stop(ctx) }

// Freeze stops it as it is; Thaw has it go on.
func (r *Replica) Freeze() error { return r.Proc.Signal(syscall.SIGSTOP) }

// Thaw has it go on.
func (r *Replica) Thaw() error { return r.Proc.Signal(syscall.SIGCONT) }

// HTTPs are the addresses of all replicas.
func (c *Cluster) HTTPs() []string {
	var out []string
	for _, r := range c.Replicas {
		out = append(out, r.HTTP)
	}
	return out
}

// Client makes a client of all replicas.
func (c *Cluster) Client() (*registry.Client, error) { return registry.NewClient(c.HTTPs()) }

// Leader waits until a replica leads and is ready, and returns it.
func (c *Cluster) Leader(ctx context.Context) (*Replica, error) {
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	for {
		for _, r := range c.Replicas {
			one, cancel := context.WithTimeout(ctx, time.Second)
			st, err := client.StatusOf(one, r.HTTP)
			cancel()
			if err == nil && st.Role == "Leader" && st.Epoch != 0 && st.Fresh {
				return r, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no leader: %w\n%s", ctx.Err(), c.Logs())
		case <-time.After(pollWait):
		}
	}
}

// Logs are the ends of the logs of all replicas.
func (c *Cluster) Logs() string {
	var b strings.Builder
	for _, r := range c.Replicas {
		if r.Proc != nil {
			fmt.Fprintf(&b, "== replica %d\n%s\n", r.N, r.Proc.Log())
		}
	}
	return b.String()
}

// Close ends all that it started.
func (c *Cluster) Close() error {
	var failed error
	for _, r := range c.Replicas {
		if r.Proc != nil {
			failed = errors.Join(failed, r.Proc.Signal(syscall.SIGCONT))
			r.Proc.Kill()
		}
	}
	return failed
}

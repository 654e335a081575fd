package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"milldeck/internal/agent"
	"milldeck/internal/config"
	"milldeck/internal/leaderelection"
	"milldeck/internal/registry"
)

// devHTTP and devRaft are where a replica without a configuration listens.
const (
	devHTTP = "127.0.0.1:8500"
	devRaft = "127.0.0.1:8501"
	// defaultWait bounds a command that asks the registry.
	defaultWait = 10 * time.Second
)

func newRegistry() *cobra.Command {
	c := &cobra.Command{
		Use:   "registry",
		Short: "The list service: replicated discovery with leases and watches",
		Long: "registry runs and asks the list service: one, three or five replicas that share one log and one revision.\n" +
			"docs/registry.md tells how it behaves when parts of it fail.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newServe(), newList(), newGet(), newWatch(), newRegister(), newDeregister(), newStatus(), newSuspects(), newMembers(), newSnapshot(), newRegistryBench())
	return c
}

// serveFile is the configuration of a replica.
type serveFile struct {
	HTTP      string       `toml:"http"`
	Raft      string       `toml:"raft"`
	Advertise string       `toml:"advertise"` // the raft address that others are told, where it differs
	Dir       string       `toml:"dir"`
	Snapshot  uint64       `toml:"snapshot_every"` // log entries
	WarmAfter *float64     `toml:"warm_after_s"`   // absent: a minute; 0: somebody else finds servers warm
	Members   []memberFile `toml:"member"`
	Expiry    struct {
		Share   float64 `toml:"share"`
		WithinS float64 `toml:"within_s"`
	} `toml:"expiry"`
	Backup struct {
		Dir    string  `toml:"dir"` // of all replicas; "": none are made
		EveryS float64 `toml:"every_s"`
		Keep   int     `toml:"keep"`
	} `toml:"backup"`
}

// warmAfter is how long after it is ready a server counts as warm.
func (f *serveFile) warmAfter() time.Duration {
	if f.WarmAfter == nil {
		return time.Minute
	}
	return time.Duration(*f.WarmAfter * float64(time.Second))
}

// backups are what the configuration says of them, with the defaults: hourly, a day's worth.
func (f *serveFile) backups() leaderelection.BackupOptions {
	every := time.Duration(f.Backup.EveryS * float64(time.Second))
	return leaderelection.BackupOptions{
		Dir: f.Backup.Dir, MinInterval: cmp.Or(every, time.Hour), RetainCount: cmp.Or(f.Backup.Keep, 24), Candidate: f.HTTP + "/" + registry.NewID(),
	}
}

type memberFile struct {
	HTTP string `toml:"http"`
	Raft string `toml:"raft"`
}

// load reads a replica's configuration.
func (f *serveFile) load(path string) (registry.Options, error) {
	at, err := config.Load(path, f)
	if err != nil {
		return registry.Options{}, err
	}
	o := registry.Options{HTTPAddr: f.HTTP, RaftAddr: f.Raft, AdvertiseRaftAddr: f.Advertise, DataDir: f.Dir, SnapshotThreshold: f.Snapshot,
		Expiry:         registry.ExpiryPolicy{MaxShare: f.Expiry.Share, Window: time.Duration(f.Expiry.WithinS * float64(time.Second))},
		WarmUpDuration: f.warmAfter()}
	for key, addr := range map[string]string{"http": f.HTTP, "raft": f.Raft} {
		if err := registry.CheckLoopback(key, addr); err != nil {
			return o, at.Errorf(key, "%v", err)
		}
	}
	switch {
	case f.Dir == "":
		return o, at.Errorf("dir", "a replica needs a folder")
	case f.Expiry.Share < 0 || f.Expiry.Share > 1:
		return o, at.Errorf("expiry.share", "%v is not within 0 to 1", f.Expiry.Share)
	case f.Backup.EveryS < 0:
		return o, at.Errorf("backup.every_s", "%v is negative", f.Backup.EveryS)
	case f.Backup.Keep < 0:
		return o, at.Errorf("backup.keep", "%d is negative", f.Backup.Keep)
	case f.WarmAfter != nil && *f.WarmAfter < 0:
		return o, at.Errorf("warm_after_s", "%v is negative", *f.WarmAfter)
	case f.Expiry.WithinS < 0:
		return o, at.Errorf("expiry.within_s", "%v is negative", f.Expiry.WithinS)
	case len(f.Members) > 0 && !slices.Contains([]int{1, 3, 5}, len(f.Members)):
		return o, at.Errorf("member", "%d members, wanted 1, 3 or 5", len(f.Members))
	}
	self := len(f.Members) == 0
	for i, m := range f.Members {
		for key, addr := range map[string]string{"http": m.HTTP, "raft": m.Raft} {
			if err := registry.CheckLoopback(key, addr); err != nil {
				return o, at.Errorf(fmt.Sprintf("member[%d].%s", i, key), "%v", err)
			}
		}
		self = self || m.HTTP == f.HTTP
		o.Members = append(o.Members, registry.Member{HTTPAddr: m.HTTP, RaftAddr: m.Raft})
	}
	if !self {
		return o, at.Errorf("member", "this replica, %s, is not among them", f.HTTP)
	}
	return o, nil
}

func newServe() *cobra.Command {
	var path string
	var dev bool
	c := &cobra.Command{
		Use:   "serve",
		Short: "Runs a replica until SIGTERM",
		Long: "serve runs a replica. --dev runs a single one that keeps its log in memory, at " + devHTTP + ". A replica without\n" +
			"members in its configuration waits until `registry members add` takes it in.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o := registry.Options{HTTPAddr: devHTTP, RaftAddr: devRaft, Members: []registry.Member{{HTTPAddr: devHTTP, RaftAddr: devRaft}}}
			var f serveFile
			switch {
			case dev == (path != ""):
				return usageError{errors.New("registry serve takes --config FILE or --dev")}
			case !dev:
				var err error
				if o, err = f.load(path); err != nil {
					return err
				}
			}
			r, err := registry.Open(o)
			if err != nil {
				return err
			}
			slog.Info("serves", "http", r.Addr(), "raft", o.RaftAddr)
			if f.Backup.Dir != "" {
				ended, err := backUp(c.Context(), o, f.backups())
				if err != nil {
					return errors.Join(err, r.Close())
				}
				defer func() { <-ended }()
			}
			select {
			case <-c.Context().Done():
				return r.Close()
			case err := <-r.Fatal():
				return errors.Join(err, r.Close())
			}
		},
	}
	c.Flags().StringVar(&path, "config", "", "the replica's configuration (TOML)")
	c.Flags().BoolVar(&dev, "dev", false, "run a single replica in memory")
	return c
}

// backUp takes part in the duty of backups, by way of any replica, until ctx ends.
func backUp(ctx context.Context, o registry.Options, b leaderelection.BackupOptions) (ended <-chan struct{}, err error) {
	replicas := []string{o.HTTPAddr}
	for _, m := range o.Members {
		if m.HTTPAddr != o.HTTPAddr {
			replicas = append(replicas, m.HTTPAddr)
		}
	}
	client, err := registry.NewClient(replicas)
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer client.Close()
		for ctx.Err() == nil {
			if err := leaderelection.RunBackups(ctx, client, b); err != nil && ctx.Err() == nil {
				slog.Error("no part in the duty of backups", "error", err)
				time.Sleep(time.Second) // the registry has had no leader for long
			}
		}
	}()
	return done, nil
}

// asking are the flags of commands that ask the registry.
type asking struct {
	replicas []string
	wait     time.Duration
	json     bool
}

func (a *asking) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&a.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().DurationVar(&a.wait, "wait", defaultWait, "how long to try")
	c.Flags().BoolVar(&a.json, "json", false, "print JSON")
}

// with calls do with a client and a context that ends with the wait.
func (a *asking) with(c *cobra.Command, do func(context.Context, *registry.Client) error) error {
	client, err := registry.NewClient(a.replicas)
	if err != nil {
		return usageError{fmt.Errorf("--replicas: %w", err)}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(c.Context(), a.wait)
	defer cancel()
	return do(ctx, client)
}

// asks makes a command that asks the registry.
func asks(use, short string, args int, do func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error) *cobra.Command {
	a := &asking{}
	c := &cobra.Command{
		Use: use, Short: short, Long: short + ".\n\n" + exitHelp, Args: exactly(args),
		RunE: func(c *cobra.Command, args []string) error {
			return a.with(c, func(ctx context.Context, client *registry.Client) error { return do(ctx, c, a, client, args) })
		},
	}
	a.flags(c)
	return c
}

// show prints a value as JSON, or as the text that says it.
func (a *asking) show(w io.Writer, v any, text func(io.Writer) error) error {
	if a.json {
		return json.NewEncoder(w).Encode(v)
	}
	return text(w)
}

func newList() *cobra.Command {
	var fresh bool
	c := asks("list", "Prints the instances", 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
		l, err := client.List(ctx, fresh)
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), l, func(w io.Writer) error {
			fmt.Fprintf(w, "revision %d, epoch %d, %d instances\n", l.Revision, l.Epoch, len(l.Targets))
			t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
			for _, i := range l.Targets {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%g\n", i.UID, i.Endpoint, i.Zone, i.Model, i.State, i.Capacity)
			}
			return t.Flush()
		})
	})
	c.Flags().BoolVar(&fresh, "fresh", false, "ask the leader for what is newest, or fail")
	return c
}

func newGet() *cobra.Command {
	var fresh bool
	c := asks("get UID", "Prints one instance", 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		i, err := client.Get(ctx, args[0], fresh)
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), i, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s %s %s %s, revision %d, lease %d ms\n", i.UID, i.Endpoint, i.Zone, i.State, i.Revision, i.TTLMS)
			return err
		})
	})
	c.Flags().BoolVar(&fresh, "fresh", false, "ask the leader for what is newest, or fail")
	return c
}

func newWatch() *cobra.Command {
	var after, epoch uint64
	a := &asking{}
	c := &cobra.Command{
		Use: "watch", Short: "Prints each change as it comes, until an interrupt", Args: exactly(0),
		Long: "watch prints each change as it comes, until an interrupt; it follows another replica when one fails.\n\n" + exitHelp,
		RunE: func(c *cobra.Command, _ []string) error {
			return a.with(c, func(_ context.Context, client *registry.Client) error {
				return watch(c, a, client, after, epoch)
			})
		},
	}
	a.flags(c)
	c.Flags().Uint64Var(&after, "after", 0, "begin after this revision; 0 begins with the whole list")
	c.Flags().Uint64Var(&epoch, "epoch", 0, "the epoch of that revision")
	return c
}

// watch follows replica after replica; a replica that fails leaves the cursor where it is.
func watch(c *cobra.Command, a *asking, client *registry.Client, rev, epoch uint64) error {
	ctx := c.Context()
	out := c.OutOrStdout()
	for at := 0; ctx.Err() == nil; at++ {
		err := client.WatchEndpoints(ctx, client.Replicas()[at%len(client.Replicas())], rev, epoch, func(l *registry.EndpointList, _ time.Duration) error {
			if l == nil || l.Epoch == epoch && l.Revision <= rev && !l.Full {
				return nil
			}
			rev, epoch = l.Revision, l.Epoch
			return a.show(out, l, func(w io.Writer) error {
				for _, t := range l.Targets {
					fmt.Fprintf(w, "%d %s %s %s\n", l.Revision, t.UID, t.Endpoint, t.State)
				}
				return nil
			})
		})
		slog.Debug("watch ended", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	return nil
}

func newRegister() *cobra.Command {
	var i registry.Instance
	var hold bool
	a := &asking{}
	c := &cobra.Command{
		Use: "register UID ENDPOINT", Short: "Registers an instance", Args: exactly(2),
		Long: "register registers an instance. With --hold it renews the lease until an interrupt and deregisters then.\n\n" + exitHelp,
		RunE: func(c *cobra.Command, args []string) error {
			i.UID, i.Endpoint, i.State = args[0], args[1], registry.InstanceReady
			return a.with(c, func(ctx context.Context, client *registry.Client) error {
				if hold {
					return registry.NewLeaseKeepAlive(client, i).Run(c.Context())
				}
				res, err := client.Register(ctx, registry.WriteOptions{}, i)
				if err != nil {
					return err
				}
				return a.show(c.OutOrStdout(), res, func(w io.Writer) error {
					_, err := fmt.Fprintf(w, "registered at revision %d\n", res.Revision)
					return err
				})
			})
		},
	}
	a.flags(c)
	c.Flags().StringVar(&i.Zone, "zone", "", "zone")
	c.Flags().StringVar(&i.Model, "model", "", "kind of machine")
	c.Flags().IntVar(&i.PodGroup, "pod", 0, "pod group")
	c.Flags().Float64Var(&i.Capacity, "capacity", 1, "capacity hint")
	c.Flags().Float64Var(&i.BootMS, "boot-ms", 0, "last start, Unix ms")
	c.Flags().Int64Var(&i.TTLMS, "ttl-ms", 0, "lease; 0: without end")
	c.Flags().BoolVar(&hold, "hold", false, "stay, renew, and deregister at the end")
	return c
}

func newDeregister() *cobra.Command {
	return asks("deregister UID", "Removes an instance", 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		res, err := client.Deregister(ctx, registry.WriteOptions{}, args[0])
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), res, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "gone at revision %d\n", res.Revision)
			return err
		})
	})
}

func newStatus() *cobra.Command {
	return asks("status", "Prints how each replica is", 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
		type line struct {
			registry.Status
			Error string `json:"error,omitempty"`
		}
		var all []line
		for _, replica := range client.Replicas() {
			st, err := client.ReplicaStatus(ctx, replica)
			l := line{Status: st}
			if err != nil {
				l.HTTPAddr, l.Error = replica, err.Error()
			}
			all = append(all, l)
		}
		return a.show(c.OutOrStdout(), all, func(w io.Writer) error {
			t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
			fmt.Fprintln(t, "replica\trole\trevision\tinstances\theld back\twatchers\tage ms")
			for _, l := range all {
				if l.Error != "" {
					fmt.Fprintf(t, "%s\t%s\n", l.HTTPAddr, l.Error)
					continue
				}
				fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", l.HTTPAddr, l.Role, l.Revision, l.Instances, l.Suspects, l.Watchers, l.AgeMS)
			}
			return t.Flush()
		})
	})
}

func newSuspects() *cobra.Command {
	return asks("suspects keep|expire", "Decides on instances held back from a mass expiry", 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		if args[0] != "keep" && args[0] != "expire" {
			return usageError{fmt.Errorf("registry suspects takes keep or expire, not %q", args[0])}
		}
		res, err := client.ResolveSuspects(ctx, args[0] == "expire")
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), res, func(w io.Writer) error {
			_, err := fmt.Fprintln(w, res.Outcome, res.Reason)
			return err
		})
	})
}

func newMembers() *cobra.Command {
	c := &cobra.Command{
		Use: "members", Short: "Lists replicas, takes them in and out", Long: "members lists the replicas of the cluster, takes them in and out while it runs.\n\n" + exitHelp,
		Args: exactly(0), RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	show := func(c *cobra.Command, a *asking, list []registry.Member, err error) error {
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), list, func(w io.Writer) error {
			for _, m := range list {
				fmt.Fprintf(w, "%s (raft %s)\n", m.HTTPAddr, m.RaftAddr)
			}
			return nil
		})
	}
	c.AddCommand(
		asks("list", "Prints the replicas", 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			list, err := client.Members(ctx)
			return show(c, a, list, err)
		}),
		asks("add HTTP RAFT", "Takes in a replica that runs with an empty folder", 2, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			list, err := client.AddMember(ctx, registry.Member{HTTPAddr: args[0], RaftAddr: args[1]})
			return show(c, a, list, err)
		}),
		asks("remove HTTP", "Takes a replica out", 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			list, err := client.RemoveMember(ctx, args[0])
			return show(c, a, list, err)
		}))
	return c
}

func newSnapshot() *cobra.Command {
	c := &cobra.Command{
		Use: "snapshot", Short: "Saves, restores and verifies backups", Long: "snapshot saves the list to a file, puts a saved one in its place, or looks whether a file is whole.\n\n" + exitHelp,
		Args: exactly(0), RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(
		asks("save FILE", "Saves the leader's list to a file", 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			data, err := client.SaveSnapshot(ctx)
			if err != nil {
				return err
			}
			if err := renameio.WriteFile(args[0], data, 0o600); err != nil {
				return err
			}
			return describe(c.OutOrStdout(), a, data)
		}),
		asks("restore FILE", "Puts a saved list in place of the cluster's, under a new epoch", 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			data, err := readSnapshot(args[0])
			if err != nil {
				return err
			}
			res, err := client.RestoreSnapshot(ctx, data)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), res, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "restored, the list goes on at revision %d under a new epoch\n", res.Revision)
				return err
			})
		}),
		asks("verify FILE", "Looks whether a saved list is whole", 1, func(_ context.Context, c *cobra.Command, a *asking, _ *registry.Client, args []string) error {
			data, err := readSnapshot(args[0])
			if err != nil {
				return err
			}
			return describe(c.OutOrStdout(), a, data)
		}))
	return c
}

// readSnapshot reads a file that has to hold a whole snapshot.
func readSnapshot(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	if _, err := registry.ReadSnapshot(bytes.NewReader(data)); err != nil {
		return nil, &config.Error{File: path, Err: err}
	}
	return data, nil
}

// describe tells what a snapshot holds.
func describe(w io.Writer, a *asking, data []byte) error {
	s, err := registry.ReadSnapshot(bytes.NewReader(data))
	if err != nil {
		return err
	}
	v := map[string]any{"rev": s.Revision(), "epoch": s.Epoch(), "instances": s.Len(), "bytes": len(data), "version": registry.SnapshotVersion}
	return a.show(w, v, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "revision %d, epoch %d, %d instances, %d bytes\n", s.Revision(), s.Epoch(), s.Len(), len(data))
		return err
	})
}

// agentFile is the configuration of an agent.
type agentFile struct {
	Listen   string   `toml:"listen"`
	Replicas []string `toml:"replicas"`
	Saved    string   `toml:"saved"`
	Fleet    int      `toml:"fleet"`
	Share    float64  `toml:"share"`

	SavedPlacement string   `toml:"saved_placement"`
	Reports        []string `toml:"reports"`

	Sidecar *homeFile `toml:"sidecar"` // absent: none is registered
}

// homeFile is the sidecar that an agent registers.
type homeFile struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Tenant  string `toml:"tenant"`
	Version string `toml:"version"`
	LeaseMS int64  `toml:"lease_ms"`
}

func (f *homeFile) home() *agent.SidecarOptions {
	if f == nil {
		return nil
	}
	return &agent.SidecarOptions{
		Name: f.Name, Address: f.Address, Zone: f.Zone, Tenant: f.Tenant, Version: f.Version,
		LeaseTTL: time.Duration(f.LeaseMS) * time.Millisecond,
	}
}

func newAgent() *cobra.Command {
	var path string
	var reports []string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Runs the list agent beside a sidecar until SIGTERM",
		Long: "agent follows the registry and speaks PROTOCOL's discovery to the sidecar on this machine. It outlives the\n" +
			"registry: it serves the last good list, also at its start.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return usageError{errors.New("agent takes --config FILE")}
			}
			var f agentFile
			at, err := config.Load(path, &f)
			if err != nil {
				return err
			}
			if err := registry.CheckLoopback("listen", f.Listen); err != nil {
				return at.Errorf("listen", "%v", err)
			}
			if _, err := registry.NewClient(f.Replicas); err != nil {
				return at.Errorf("replicas", "%v", err)
			}
			if f.Fleet < 0 || f.Share < 0 || f.Share > 1 {
				return at.Errorf("share", "fleet %d or share %v cannot be", f.Fleet, f.Share)
			}
			home := f.Sidecar.home()
			if home != nil {
				if err := home.Validate(); err != nil {
					return at.Errorf("sidecar", "%v", err)
				}
			}
			a, err := agent.Start(agent.Options{Listen: f.Listen, Replicas: f.Replicas, ListFile: f.Saved, FleetSize: f.Fleet, MaxLossFraction: f.Share,
				PlacementFile: f.SavedPlacement, ReportAddresses: append(f.Reports, reports...), Sidecar: home})
			if err != nil {
				return err
			}
			slog.Info("serves", "listen", a.Addr(), "replicas", strings.Join(f.Replicas, ","))
			<-c.Context().Done()
			return a.Close()
		},
	}
	c.Flags().StringVar(&path, "config", "", "the agent's configuration (TOML)")
	c.Flags().StringSliceVar(&reports, "reports", nil, "addresses that reports are passed on to, beside the configuration's")
	return c
}

package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/config"
	"milldeck/internal/leaderelection"
	"milldeck/internal/readiness"
	"milldeck/internal/registry"
)

// Defaults of a replica's configuration.
const (
	defaultWarmUp            = time.Minute
	defaultBackupInterval    = time.Hour
	defaultBackupRetainCount = 24 // a day of hourly backups

	// backupRetryDelay is the pause after a failed campaign for the lease of backups. A campaign fails after the registry
	// has had no leader for a long time.
	backupRetryDelay = time.Second
)

// replicaFile is the configuration of a replica.
type replicaFile struct {
	HTTP              string       `toml:"http"`
	Raft              string       `toml:"raft"`
	Advertise         string       `toml:"advertise"` // raft address that the other replicas use; "": the same as raft
	Dir               string       `toml:"dir"`
	SnapshotThreshold uint64       `toml:"snapshot_every"` // log entries
	WarmUpS           *float64     `toml:"warm_after_s"`   // absent: a minute; 0: an observer reports servers as warm
	Members           []memberFile `toml:"member"`
	Expiry            expiryFile   `toml:"expiry"`
	Backup            backupFile   `toml:"backup"`
}

type memberFile struct {
	HTTP string `toml:"http"`
	Raft string `toml:"raft"`
}

// expiryFile limits the share of registrations that may expire within a time window; see registry.ExpiryPolicy.
type expiryFile struct {
	MaxShare float64 `toml:"share"` // of the registrations
	WindowS  float64 `toml:"within_s"`
}

// backupFile is the configuration of the cluster's backups.
type backupFile struct {
	Dir         string  `toml:"dir"` // all replicas share it; "": no backups
	IntervalS   float64 `toml:"every_s"`
	RetainCount int     `toml:"keep"` // number of backups
}

// load reads the configuration of a replica and returns its options.
func (f *replicaFile) load(path string) (registry.Options, error) {
	file, err := config.Load(path, f)
	if err != nil {
		return registry.Options{}, err
	}
	if err := f.validate(file); err != nil {
		return registry.Options{}, err
	}
	return f.options(), nil
}

// validate returns an error that names the first invalid key and its line.
func (f *replicaFile) validate(file *config.File) error {
	if err := validateAddresses(file, "", f.HTTP, f.Raft); err != nil {
		return err
	}
	switch {
	case f.Dir == "":
		return file.Errorf("dir", "a replica needs a data directory")
	case f.Expiry.MaxShare < 0 || f.Expiry.MaxShare > 1:
		return file.Errorf("expiry.share", "%v is not within 0 to 1", f.Expiry.MaxShare)
	case f.Backup.IntervalS < 0:
		return file.Errorf("backup.every_s", "%v is negative", f.Backup.IntervalS)
	case f.Backup.RetainCount < 0:
		return file.Errorf("backup.keep", "%d is negative", f.Backup.RetainCount)
	case f.WarmUpS != nil && *f.WarmUpS < 0:
		return file.Errorf("warm_after_s", "%v is negative", *f.WarmUpS)
	case f.Expiry.WindowS < 0:
		return file.Errorf("expiry.within_s", "%v is negative", f.Expiry.WindowS)
	}
	return f.validateMembers(file)
}

func (f *replicaFile) validateMembers(file *config.File) error {
	if len(f.Members) == 0 {
		return nil
	}
	if !slices.Contains([]int{1, 3, 5}, len(f.Members)) {
		return file.Errorf("member", "%d members, wanted 1, 3 or 5", len(f.Members))
	}
	includesSelf := false
	for i, member := range f.Members {
		if err := validateAddresses(file, fmt.Sprintf("member[%d].", i), member.HTTP, member.Raft); err != nil {
			return err
		}
		includesSelf = includesSelf || member.HTTP == f.HTTP
	}
	if !includesSelf {
		return file.Errorf("member", "this replica, %s, is not a member", f.HTTP)
	}
	return nil
}

// validateAddresses checks the addresses of a replica. Prefix is the prefix of their keys in the file.
func validateAddresses(file *config.File, prefix, httpAddr, raftAddr string) error {
	for _, address := range []struct{ key, value string }{{"http", httpAddr}, {"raft", raftAddr}} {
		if err := registry.CheckLoopback(address.key, address.value); err != nil {
			return file.Errorf(prefix+address.key, "%v", err)
		}
	}
	return nil
}

// options returns the options of a valid configuration.
func (f *replicaFile) options() registry.Options {
	options := registry.Options{
		HTTPAddr:          f.HTTP,
		RaftAddr:          f.Raft,
		AdvertiseRaftAddr: f.Advertise,
		DataDir:           f.Dir,
		SnapshotThreshold: f.SnapshotThreshold,
		Expiry:            registry.ExpiryPolicy{MaxShare: f.Expiry.MaxShare, Window: seconds(f.Expiry.WindowS)},
		WarmUpDuration:    defaultWarmUp,
	}
	if f.WarmUpS != nil {
		options.WarmUpDuration = seconds(*f.WarmUpS)
	}
	for _, member := range f.Members {
		options.Members = append(options.Members, registry.Member{HTTPAddr: member.HTTP, RaftAddr: member.Raft})
	}
	return options
}

// backupOptions returns the options of the cluster's backups, with a new candidate name.
func (f *replicaFile) backupOptions() leaderelection.BackupOptions {
	return leaderelection.BackupOptions{
		Dir:         f.Backup.Dir,
		MinInterval: cmp.Or(seconds(f.Backup.IntervalS), defaultBackupInterval),
		RetainCount: cmp.Or(f.Backup.RetainCount, defaultBackupRetainCount),
		Candidate:   f.HTTP + "/" + registry.NewID(),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func newRegistryServe() *cobra.Command {
	var path string
	var dev bool
	command := &cobra.Command{
		Use:   "serve",
		Short: "Runs a replica until SIGTERM",
		Long: "serve runs a replica. --dev runs a single replica at " + devHTTP + " with its log in memory. A replica without\n" +
			"members in its configuration waits until `registry members add` adds it.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			if dev == (path != "") {
				return usageError{errors.New("registry serve needs either --config FILE or --dev")}
			}
			if dev {
				members := []registry.Member{{HTTPAddr: devHTTP, RaftAddr: devRaft}}
				return serveReplica(command.Context(), registry.Options{HTTPAddr: devHTTP, RaftAddr: devRaft, Members: members}, nil)
			}
			var file replicaFile
			options, err := file.load(path)
			if err != nil {
				return err
			}
			if file.Backup.Dir == "" {
				return serveReplica(command.Context(), options, nil)
			}
			backups := file.backupOptions()
			return serveReplica(command.Context(), options, &backups)
		},
	}
	command.Flags().StringVar(&path, "config", "", "configuration file of the replica (TOML)")
	command.Flags().BoolVar(&dev, "dev", false, "run a single replica in memory")
	return command
}

// serveReplica runs a replica until ctx is cancelled or the replica fails. backups may be nil.
func serveReplica(ctx context.Context, options registry.Options, backups *leaderelection.BackupOptions) error {
	replica, err := registry.Open(options)
	if err != nil {
		return err
	}
	slog.Info(readiness.ListeningMessage, "http", replica.Addr(), "raft", options.RaftAddr)
	if backups != nil {
		ended, err := startBackups(ctx, options, *backups)
		if err != nil {
			return errors.Join(err, replica.Close())
		}
		defer func() { <-ended }()
	}
	select {
	case <-ctx.Done():
		return replica.Close()
	case err := <-replica.Fatal():
		return errors.Join(err, replica.Close())
	}
}

// startBackups starts to campaign for the lease of backups, at any replica, until ctx is cancelled. It closes ended when the
// campaign is over.
func startBackups(
	ctx context.Context, options registry.Options, backups leaderelection.BackupOptions,
) (ended <-chan struct{}, err error) {
	replicas := []string{options.HTTPAddr}
	for _, member := range options.Members {
		if member.HTTPAddr != options.HTTPAddr {
			replicas = append(replicas, member.HTTPAddr)
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
			if err := leaderelection.RunBackups(ctx, client, backups); err != nil && ctx.Err() == nil {
				slog.Error("backups interrupted", "component", "backup", "error", err)
				time.Sleep(backupRetryDelay)
			}
		}
	}()
	return done, nil
}

package leaderelection

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"milldeck/internal/registry"
)

// BackupLease is the lease for backups of the registry. Every replica campaigns for the lease, and its holder makes the
// backups.
const BackupLease = "registry-backup"

const (
	backupFilePrefix = "registry-"
	backupFileSuffix = ".snapshot"
	// backupRetryInterval is the pause after a failed backup.
	backupRetryInterval = time.Second
)

// BackupOptions configure where backups are stored, how often they are made and how many are retained.
type BackupOptions struct {
	Dir         string
	MinInterval time.Duration // between two checks whether the registry has changed
	RetainCount int           // how many of the newest files are retained
	Candidate   string
	TTL         time.Duration
}

// RunBackups campaigns for BackupLease until ctx ends. Whenever the list of instances has changed, the holder writes the
// registry's snapshot to a file and saves the list's revision as the lease's checkpoint, from which the next holder
// continues. The snapshot's checksum is verified before the file gets its name.
func RunBackups(ctx context.Context, client *registry.Client, opts BackupOptions) error {
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	b := &backup{opts: opts, client: client, logger: slog.With("component", "backup")}
	return Run(ctx, client, BackupLease, Options{Candidate: opts.Candidate, TTL: opts.TTL}, b.run)
}

// backup makes the backups of one process.
type backup struct {
	opts   BackupOptions
	client *registry.Client
	logger *slog.Logger
}

// run is the Work of the backup lease's holder.
func (b *backup) run(ctx context.Context, lease *Lease) error {
	savedRevision, _ := strconv.ParseUint(string(lease.Checkpoint), 10, 64) // 0 if there is no checkpoint yet
	for pause := time.Duration(0); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = b.opts.MinInterval
		revision, err := b.saveIfChanged(ctx, lease, savedRevision)
		if err != nil && ctx.Err() == nil {
			b.logger.Warn("backup failed, will be retried", "dir", b.opts.Dir, "error", err)
			pause = backupRetryInterval
		}
		savedRevision = max(savedRevision, revision)
	}
}

// saveIfChanged writes a backup if the list of instances has changed since a revision. It returns the revision of the newest
// backup.
func (b *backup) saveIfChanged(ctx context.Context, lease *Lease, sinceRevision uint64) (uint64, error) {
	list, err := b.client.List(ctx, true)
	if err != nil || list.Revision == sinceRevision {
		return sinceRevision, err
	}
	data, err := b.client.SaveSnapshot(ctx) // verifies the checksum
	if err != nil {
		return sinceRevision, err
	}
	path := filepath.Join(b.opts.Dir, fmt.Sprintf("%s%020d%s", backupFilePrefix, list.Revision, backupFileSuffix))
	if err := renameio.WriteFile(path, data, 0o600); err != nil {
		return sinceRevision, err
	}
	// The file is written before the checkpoint, so that the checkpoint names only backups that exist. A holder whose token
	// is no longer valid may leave a file without a checkpoint, which does no harm.
	if err := lease.SaveCheckpoint(ctx, []byte(strconv.FormatUint(list.Revision, 10))); err != nil {
		return sinceRevision, err
	}
	b.logger.Info("backup written", "path", path, "revision", list.Revision, "token", lease.Token)
	return list.Revision, b.pruneOldest()
}

// pruneOldest removes all but the newest backups.
func (b *backup) pruneOldest() error {
	entries, err := os.ReadDir(b.opts.Dir)
	if err != nil {
		return err
	}
	var names []string
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), backupFilePrefix) && strings.HasSuffix(entry.Name(), backupFileSuffix) {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	for len(names) > b.opts.RetainCount {
		err = errors.Join(err, os.Remove(filepath.Join(b.opts.Dir, names[0])))
		names = names[1:]
	}
	return err
}

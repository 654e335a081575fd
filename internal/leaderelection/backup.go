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

// BackupLease is the lease of the registry's backups: every replica campaigns for it, its holder makes them.
const BackupLease = "registry-backup"

const (
	backupFilePrefix = "registry-"
	backupFileSuffix = ".snapshot"
	// backupRetryInterval is the pause after a backup that failed.
	backupRetryInterval = time.Second
)

// BackupOptions say where backups are stored and how many.
type BackupOptions struct {
	Dir         string
	MinInterval time.Duration // between two checks whether the registry has changed
	RetainCount int           // the newest so many files are retained
	Candidate   string
	TTL         time.Duration
}

// RunBackups campaigns for BackupLease until ctx ends. The holder writes the registry's snapshot to a file whenever the
// list of instances has changed, and saves its revision as the lease's checkpoint, from which the next holder goes on.
// The snapshot's checksum is verified before the file gets its name.
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

// run is the Work of the holder.
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

// saveIfChanged writes a backup if the list has changed since a revision. It returns the revision that is backed up.
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
	// The file comes first: a holder whose token is no longer valid may leave a file, which does no harm, but the
	// checkpoint names only backups that exist.
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

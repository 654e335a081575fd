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

// BackupLease is the duty under which the list service is backed up: all replicas may, one does.
const BackupLease = "registry-backup"

const (
	backupFilePrefix, backupFileSuffix = "registry-", ".snapshot"
	// backupRetryInterval is how soon a backup that failed is tried again, and how often the list is looked at meanwhile.
	backupRetryInterval = time.Second
)

// BackupOptions say where backups go.
type BackupOptions struct {
	Dir         string
	MinInterval time.Duration // at least so long between two, while the list changes
	RetainCount int           // so many stay, the newest
	Candidate   string
	TTL         time.Duration
}

// RunBackups takes part in the duty until ctx ends. Its holder saves the list service's state to a file whenever it has
// changed, checks it before it gets its name, and notes its revision in the duty's checkpoint, where the next holder
// goes on.
func RunBackups(ctx context.Context, client *registry.Client, opts BackupOptions) error {
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return Run(ctx, client, BackupLease, Options{Candidate: opts.Candidate, TTL: opts.TTL}, func(ctx context.Context, lease *Lease) error {
		savedRev, _ := strconv.ParseUint(string(lease.Checkpoint), 10, 64) // 0 where there is none yet
		for pause := time.Duration(0); ; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
			pause = opts.MinInterval
			newRev, err := opts.saveIfChanged(ctx, client, lease, savedRev)
			if err != nil && ctx.Err() == nil {
				slog.Warn("backup failed, is tried again", "error", err)
				pause = backupRetryInterval
			}
			savedRev = max(savedRev, newRev)
		}
	})
}

// saveIfChanged writes a backup where the list has changed since a revision, and returns the revision it has.
func (o *BackupOptions) saveIfChanged(ctx context.Context, client *registry.Client, lease *Lease, sinceRev uint64) (uint64, error) {
	list, err := client.List(ctx, true)
	if err != nil || list.Revision == sinceRev {
		return sinceRev, err
	}
	data, err := client.SaveSnapshot(ctx) // checked by its checksum
	if err != nil {
		return sinceRev, err
	}
	path := filepath.Join(o.Dir, fmt.Sprintf("%s%020d%s", backupFilePrefix, list.Revision, backupFileSuffix))
	if err := renameio.WriteFile(path, data, 0o600); err != nil {
		return sinceRev, err
	}
	// Only now, under the token: a holder that was cut off may leave a file, which does no harm, but no note.
	if err := lease.SaveCheckpoint(ctx, []byte(strconv.FormatUint(list.Revision, 10))); err != nil {
		return sinceRev, err
	}
	slog.Info("backed up", "path", path, "rev", list.Revision, "token", lease.Token)
	return list.Revision, o.pruneOldest()
}

// pruneOldest removes all but the newest backups.
func (o *BackupOptions) pruneOldest() error {
	entries, err := os.ReadDir(o.Dir)
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
	for len(names) > o.RetainCount {
		err = errors.Join(err, os.Remove(filepath.Join(o.Dir, names[0])))
		names = names[1:]
	}
	return err
}

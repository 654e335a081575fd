package duty

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

// BackupDuty is the duty under which the list service is backed up: all replicas may, one does.
const BackupDuty = "registry-backup"

const (
	backupPrefix, backupSuffix = "registry-", ".snapshot"
	// backupRetry is how soon a backup that failed is tried again, and how often the list is looked at meanwhile.
	backupRetry = time.Second
)

// BackupOptions say where backups go.
type BackupOptions struct {
	Dir   string
	Every time.Duration // at least so long between two, while the list changes
	Keep  int           // so many stay, the newest
	Who   string
	TTL   time.Duration
}

// Backup takes part in the duty until ctx ends. Its holder saves the list service's state to a file whenever it has
// changed, checks it before it gets its name, and notes its revision in the duty's checkpoint, where the next holder
// goes on.
func Backup(ctx context.Context, client *registry.Client, o BackupOptions) error {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return Run(ctx, client, BackupDuty, Options{Who: o.Who, TTL: o.TTL}, func(ctx context.Context, l *Lease) error {
		rev, _ := strconv.ParseUint(string(l.Checkpoint), 10, 64) // 0 where there is none yet
		for pause := time.Duration(0); ; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
			pause = o.Every
			now, err := o.save(ctx, client, l, rev)
			if err != nil && ctx.Err() == nil {
				slog.Warn("backup failed, is tried again", "error", err)
				pause = backupRetry
			}
			rev = max(rev, now)
		}
	})
}

// save writes a backup where the list has changed since a revision, and returns the revision it has.
func (o *BackupOptions) save(ctx context.Context, client *registry.Client, l *Lease, since uint64) (uint64, error) {
	list, err := client.List(ctx, true)
	if err != nil || list.Rev == since {
		return since, err
	}
	data, err := client.SaveSnapshot(ctx) // checked by its checksum
	if err != nil {
		return since, err
	}
	path := filepath.Join(o.Dir, fmt.Sprintf("%s%020d%s", backupPrefix, list.Rev, backupSuffix))
	if err := renameio.WriteFile(path, data, 0o600); err != nil {
		return since, err
	}
	// Only now, under the token: a holder that was cut off may leave a file, which does no harm, but no note.
	if err := l.Save(ctx, []byte(strconv.FormatUint(list.Rev, 10))); err != nil {
		return since, err
	}
	slog.Info("backed up", "path", path, "rev", list.Rev, "token", l.Token)
	return list.Rev, o.prune()
}

// prune removes all but the newest backups.
func (o *BackupOptions) prune() error {
	entries, err := os.ReadDir(o.Dir)
	if err != nil {
		return err
	}
	var names []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), backupPrefix) && strings.HasSuffix(e.Name(), backupSuffix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	for len(names) > o.Keep {
		err = errors.Join(err, os.Remove(filepath.Join(o.Dir, names[0])))
		names = names[1:]
	}
	return err
}

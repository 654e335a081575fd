package standin

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

const (
	logTrimInterval = time.Second
	maxLogBytes     = 1 << 20 // per unit; a longer log is truncated to zero bytes
)

func (p *platform) logPath(unit string) string    { return filepath.Join(p.dir, unit+".log") }
func (p *platform) configPath(unit string) string { return filepath.Join(p.dir, unit+".json") }

// trimLogs truncates logs longer than maxLogBytes to zero bytes. The processes continue to append to the truncated files.
func (p *platform) trimLogs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for unit := range p.loggedUnits {
		info, err := os.Stat(p.logPath(unit))
		if err == nil && info.Size() > maxLogBytes {
			slog.Warn("unit log truncated", "unit", unit, "bytes", info.Size())
			err = os.Truncate(p.logPath(unit), 0)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("unit log truncation failed", "unit", unit, "error", err)
		}
	}
}

// writeConfig replaces a unit's configuration file atomically.
func (p *platform) writeConfig(unit, text string) error {
	path := p.configPath(unit)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// removeFiles removes a unit's log and configuration.
func (p *platform) removeFiles(unit string) {
	for _, path := range []string{p.logPath(unit), p.configPath(unit)} {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("unit file removal failed", "unit", unit, "error", err)
		}
	}
}

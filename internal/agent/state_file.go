package agent

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// A state file consists of a header line that names its format and version, the xxhash checksum of the body (8 bytes,
// big-endian), and the body in JSON.
const (
	checksumBytes     = 8
	maxStateFileBytes = 64 << 20
)

var errChecksumMismatch = errors.New("checksum does not match")

// encodeChecksummed returns the contents of a state file. The header ends with a line feed.
func encodeChecksummed(header string, body []byte) []byte {
	data := binary.BigEndian.AppendUint64([]byte(header), xxhash.Sum64(body))
	return append(data, body...)
}

// decodeChecksummed returns the body of a state file. It returns errChecksumMismatch if the file is corrupt.
func decodeChecksummed(header string, data []byte) ([]byte, error) {
	remainder, ok := bytes.CutPrefix(data, []byte(header))
	if !ok {
		return nil, fmt.Errorf("state file does not begin with %q", strings.TrimSpace(header))
	}
	if len(remainder) < checksumBytes {
		return nil, errChecksumMismatch
	}
	checksum, body := binary.BigEndian.Uint64(remainder), remainder[checksumBytes:]
	if checksum != xxhash.Sum64(body) {
		return nil, errChecksumMismatch
	}
	return body, nil
}

// readStateFile reads a state file; nil if it does not exist.
func readStateFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > maxStateFileBytes {
		return nil, fmt.Errorf("state file has %d bytes, the limit is %d", info.Size(), maxStateFileBytes)
	}
	return os.ReadFile(path)
}

// writeStateFile replaces a file atomically: after a crash, either the old or the new contents are complete.
func writeStateFile(path string, data []byte) error { return renameio.WriteFile(path, data, 0o600) }

// savedState saves state to a file after changes.
type savedState struct {
	path   string                 // "": the state is not saved
	mu     *sync.Mutex            // guards dirty and the state
	dirty  bool                   // the state has changed since the last successful save
	encode func() ([]byte, error) // returns the file's contents; called with mu held

	failing bool // the last save failed; used only by the goroutine that saves
}

// saveIfDirty writes the file if the state has changed since the last successful save.
func (s *savedState) saveIfDirty() error {
	if s.path == "" {
		return nil
	}
	data, err := s.encodeIfDirty()
	if data == nil || err != nil {
		return err
	}
	if err := writeStateFile(s.path, data); err != nil {
		s.markDirty()
		return err
	}
	return nil
}

func (s *savedState) markDirty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirty = true
}

// encodeIfDirty returns the file's new contents and clears dirty; nil if dirty is not set.
func (s *savedState) encodeIfDirty() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dirty {
		return nil, nil
	}
	s.dirty = false
	return s.encode()
}

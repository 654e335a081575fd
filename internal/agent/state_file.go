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

// A state file is a line that names its form, the checksum of the rest (xxhash, 8 bytes, big-endian), and JSON.
const (
	checksumBytes     = 8
	maxStateFileBytes = 64 << 20
)

var errChecksumMismatch = errors.New("checksum does not match")

// encodeChecksummed returns the bytes of a state file. The form is a line with its line feed.
func encodeChecksummed(header string, body []byte) []byte {
	data := binary.BigEndian.AppendUint64([]byte(header), xxhash.Sum64(body))
	return append(data, body...)
}

// decodeChecksummed returns the body of a state file. It fails with errChecksumMismatch if the file is corrupt.
func decodeChecksummed(header string, data []byte) ([]byte, error) {
	remainder, ok := bytes.CutPrefix(data, []byte(header))
	if !ok {
		return nil, fmt.Errorf("it does not begin with %q", strings.TrimSpace(header))
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

// readStateFile reads a state file; nil if there is none.
func readStateFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > maxStateFileBytes {
		return nil, fmt.Errorf("%d bytes, at most %d are read", info.Size(), maxStateFileBytes)
	}
	return os.ReadFile(path)
}

// writeStateFile replaces a file so that a crash leaves either the old or the new one complete.
func writeStateFile(path string, data []byte) error { return renameio.WriteFile(path, data, 0o600) }

// savedState is state that is saved to a file after it has changed.
type savedState struct {
	path   string                 // "": it is not saved
	mu     *sync.Mutex            // guards dirty and the state
	dirty  bool                   // the file is out of date
	encode func() ([]byte, error) // returns the file's bytes; called with mu held
}

// saveIfDirty writes the file if the state has changed since it was written. A failed write is not retried before the
// state changes again.
func (s *savedState) saveIfDirty() error {
	if s.path == "" {
		return nil
	}
	data, err := s.encodeIfDirty()
	if data == nil || err != nil {
		return err
	}
	return writeStateFile(s.path, data)
}

// encodeIfDirty returns the bytes to be written and marks the file as up to date; nil if it is already.
func (s *savedState) encodeIfDirty() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dirty {
		return nil, nil
	}
	s.dirty = false
	return s.encode()
}

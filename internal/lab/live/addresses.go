package live

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"milldeck/internal/lab/proc"
)

// addresses are this run's: its own part of the loopback range.
type addresses struct{ *proc.Block }

const (
	sidecarPort = 8081
	peerPort    = 7946
	peerNets    = 8     // third byte from which on the sidecars are for each other
	serverPort  = 10000 // plus the sidecar's number
	serverNets  = 16    // third byte from which on servers are; below it are sidecars and discovery
)

func (a addresses) sidecar(n int) string { return a.Addr(1, n, sidecarPort) }

// peerListen is where a sidecar hears the others, and peer where they reach it, by way of the relay.
func (a addresses) peerListen(n int) string { return a.Addr(1, n, peerPort) }

func (a addresses) peer(n int) string { return a.Addr(peerNets, n, peerPort) }

func (a addresses) discovery(n, which int) string { return a.Addr(0, which, serverPort+n) }

func (a addresses) server(slot, sidecar int) string {
	return a.Addr(serverNets, slot, serverPort+sidecar)
}

// LogTail gathers the ends of all logs of a run, for a failure's report.
func LogTail(dir string) string {
	var b strings.Builder
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is well-formed
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if len(data) > 2000 {
			data = data[len(data)-2000:]
		}
		fmt.Fprintf(&b, "== %s\n%s\n", filepath.Base(path), data)
	}
	return b.String()
}

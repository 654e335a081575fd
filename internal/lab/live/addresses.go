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
	sidecarPort     = 8081
	gossipPort      = 7946
	firstGossipNet  = 8     // third byte from which on the sidecars are for each other
	firstServerPort = 10000 // plus the sidecar's number
	firstServerNet  = 16    // third byte from which on servers are; below it are sidecars and discovery
)

func (a addresses) sidecar(number int) string { return a.Addr(1, number, sidecarPort) }

// gossipListen is where a sidecar hears the others, and peer where they reach it, by way of the relay.
func (a addresses) gossipListen(sidecar int) string { return a.Addr(1, sidecar, gossipPort) }

func (a addresses) gossipRelay(sidecar int) string {
	return a.Addr(firstGossipNet, sidecar, gossipPort)
}

func (a addresses) discovery(sidecar, alternative int) string {
	return a.Addr(0, alternative, firstServerPort+sidecar)
}

func (a addresses) server(slot, sidecar int) string {
	return a.Addr(firstServerNet, slot, firstServerPort+sidecar)
}

// LogTail gathers the ends of all logs of a run, for a failure's report.
func LogTail(dir string) string {
	var tail strings.Builder
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is well-formed
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if len(content) > 2000 {
			content = content[len(content)-2000:]
		}
		fmt.Fprintf(&tail, "== %s\n%s\n", filepath.Base(path), content)
	}
	return tail.String()
}

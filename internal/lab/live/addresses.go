package live

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"milldeck/internal/lab/proc"
)

// addresses assigns the addresses of a run within its block of the loopback range.
type addresses struct{ *proc.Block }

// logTailBytes is how much of the end of each log LogTail returns.
const logTailBytes = 2000

const (
	sidecarPort     = 8081
	gossipPort      = 7946
	firstGossipNet  = 8     // first /24 subnet of the gossip relay
	firstServerPort = 10000 // plus the number of the sidecar that connects to it
	firstServerNet  = 16    // first /24 subnet of servers; below it are sidecars and discovery
)

// sidecar is where a sidecar listens for its application.
func (a addresses) sidecar(number int) string { return a.Addr(1, number, sidecarPort) }

// gossipListen is where a sidecar receives gossip.
func (a addresses) gossipListen(sidecar int) string { return a.Addr(1, sidecar, gossipPort) }

// gossipRelay is where the others send gossip to a sidecar: the relay forwards it to gossipListen.
func (a addresses) gossipRelay(sidecar int) string {
	return a.Addr(firstGossipNet, sidecar, gossipPort)
}

// discovery is one of the two alternative addresses of a sidecar's discovery agent.
func (a addresses) discovery(sidecar, alternative int) string {
	return a.Addr(0, alternative, firstServerPort+sidecar)
}

// server is where the server in a slot listens for one sidecar.
func (a addresses) server(slot, sidecar int) string {
	return a.Addr(firstServerNet, slot, firstServerPort+sidecar)
}

// LogTail returns the ends of all logs in a run's folder, for the message of a failure.
func LogTail(dir string) string {
	var tail strings.Builder
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is well-formed
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if len(content) > logTailBytes {
			content = content[len(content)-logTailBytes:]
		}
		fmt.Fprintf(&tail, "== %s\n%s\n", filepath.Base(path), content)
	}
	return tail.String()
}

package live

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"milldeck/internal/lab/proc"
)

// addresses assigns the addresses of a run within its block of the loopback range.
type addresses struct{ *proc.AddressBlock }

// logTailBytes is the number of bytes that LogTail returns from the end of each log.
const logTailBytes = 2000

const (
	sidecarPort     = 8081
	gossipPort      = 7946
	firstGossipNet  = 8     // first /24 subnet of the gossip relay
	firstServerPort = 10000 // a server's port is this plus the number of the sidecar that connects to it
	firstServerNet  = 16    // first /24 subnet of servers; sidecars, discovery and gossip use lower subnets
)

// sidecar returns the address at which a sidecar accepts its application's requests.
func (a addresses) sidecar(number int) string { return a.Addr(1, number, sidecarPort) }

// gossipListen returns the address at which a sidecar receives gossip.
func (a addresses) gossipListen(sidecar int) string { return a.Addr(1, sidecar, gossipPort) }

// gossipRelay returns the address to which other sidecars send gossip to a sidecar. The relay forwards it to
// gossipListen.
func (a addresses) gossipRelay(sidecar int) string {
	return a.Addr(firstGossipNet, sidecar, gossipPort)
}

// discovery returns one of the two addresses between which a sidecar's discovery agent relocates.
func (a addresses) discovery(sidecar, alternative int) string {
	return a.Addr(0, alternative, firstServerPort+sidecar)
}

// server returns the address at which the server in an address slot listens for one sidecar.
func (a addresses) server(slot, sidecar int) string {
	return a.Addr(firstServerNet, slot, firstServerPort+sidecar)
}

// LogTail returns the ends of all logs in a run's folder, for a failure message.
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

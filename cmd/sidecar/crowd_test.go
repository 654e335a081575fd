package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Crowds of clients that the platform's pages describe. None ever sends a complete request; each starts again the moment its
// connection ends.
var crowds = map[string]func(client int) string{
	"silent":       func(int) string { return "" },
	"short fields": func(int) string { return shortFieldsHead + strings.Repeat("x", 600) },
	"half heads": func(int) string {
		return "GET /api HTTP/1.1\r\nHost: b\r\nX-Long: " + strings.Repeat("x", 7000)
	},
	"half bodies": func(client int) string {
		length := 65536 >> (client % 14) // of all sizes, so that together they fill any budget to the last byte
		return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: half%d\r\nX-Priority-Class: once\r\nContent-Length: %d\r\n\r\n", client, length) +
			strings.Repeat("x", length*5/8)
	},
}

// shortFieldsHead is a head of some 1,500 fields, with a body that stops half way.
var shortFieldsHead = func() string {
	var head strings.Builder
	head.WriteString("POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: fields\r\nX-Priority-Class: once\r\nContent-Length: 1200\r\n")
	for head.Len() < 7600 {
		fmt.Fprintf(&head, "%c%c:\r\n", 'a'+head.Len()/5%26, 'a'+head.Len()/130%26)
	}
	return head.String() + "\r\n"
}()

const crowdDuration = 3 * time.Second

// Hundreds of clients that stop in the middle of a request take a sidecar neither over its memory limit nor from its other clients.
func TestClientCrowdsExceedMemoryAndStarveOthers(t *testing.T) {
	for name, text := range crowds {
		for _, count := range []int{300, 600} {
			t.Run(fmt.Sprintf("%s, %d", name, count), func(t *testing.T) {
				r := newRig(t, programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: 0.5, servers: rigServers})
				result := r.playBeside(crowdDuration, func() func() { return r.crowd(count, text) })
				r.check(result, leastMemoryMB)
			})
		}
	}
}

// A sidecar is killed and started again, twice, while hundreds of clients wait for it: all of them connect in its first moment.
func TestRestartBesideClientCrowdExceedsMemory(t *testing.T) {
	options := programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: 0.5, servers: rigServers}
	for name, text := range crowds {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, options)
			address := r.address // that of the crowd, which reads it while the rig starts another process
			end := (&rig{address: address}).crowd(600, text)
			for range 2 {
				r.restart(options)
				time.Sleep(time.Second)
				if peak := r.peakMemoryMB(); peak > leastMemoryMB {
					t.Errorf("peak memory %.0f MB, the limit is %d", peak, leastMemoryMB)
				}
			}
			result := r.playBeside(time.Second, func() func() { return end })
			r.check(result, leastMemoryMB)
		})
	}
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	fastClientCount    = 8
	fastClientDuration = 3 * time.Second
	fastClientCores    = 0.25
)

// fastClients write a text at full speed on their connections and read what comes, without waiting for it. They start again when
// a connection ends.
func (r *rig) fastClients(text func(number int64) string) (end func()) {
	var number atomic.Int64
	return r.reconnecting(fastClientCount, func(_ int, conn net.Conn) {
		go discard(conn)
		writer := bufio.NewWriter(conn)
		for {
			if _, err := writer.WriteString(text(number.Add(1))); err != nil {
				return
			}
		}
	})
}

// sequentialClients send one request at a time without a pause, each with new names.
func (r *rig) sequentialClients(class string) (end func()) {
	var clients sync.WaitGroup
	var ended atomic.Bool
	var number atomic.Int64
	for range fastClientCount {
		clients.Go(func() {
			client := &usualClient{address: r.address, class: class}
			defer client.close()
			for !ended.Load() {
				_, err := client.exchange(fmt.Sprintf("fast%012x", number.Add(1)), time.Now().Add(time.Second))
				if err != nil {
					client.close()
				}
			}
		})
	}
	return func() {
		ended.Store(true)
		clients.Wait()
	}
}

// A few clients at full speed, on a fraction of a core, neither delay the other clients nor make memory grow.
func TestFastClientsDelayOthers(t *testing.T) {
	disturbances := map[string]func(*rig) (end func()){
		"sequential, new names": func(r *rig) func() { return r.sequentialClients("safe") },
		"sequential, once":      func(r *rig) func() { return r.sequentialClients("once") },
		"pipelined, new names": func(r *rig) func() {
			return r.fastClients(func(n int64) string { return requestText("safe", fmt.Sprintf("fast%012x", n), "") })
		},
		"pipelined ready checks": func(r *rig) func() {
			return r.fastClients(func(int64) string { return "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n" })
		},
		"pipelined, no time": func(r *rig) func() {
			return r.fastClients(func(n int64) string {
				return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: f%x\r\nX-Priority-Class: safe\r\nX-Timeout-Ms: 1\r\n\r\n", n)
			})
		},
		"unsound": func(r *rig) func() {
			return r.fastClients(func(int64) string { return "GET /none HTTP/1.1\r\nHost: b\r\n\r\n" })
		},
		"noise": func(r *rig) func() { return r.fastClients(func(int64) string { return strings.Repeat("x\r\n", 20) }) },
	}
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: fastClientCores, servers: rigServers})
			r.limitCores(fastClientCores)
			result := r.playBeside(fastClientDuration, func() func() { return disturb(r) })
			r.check(result, leastMemoryMB)
		})
	}
}

package sidecar

import (
	"cmp"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	// pacedFraction is the part of the process's processor time above which what clients do at full speed has to wait. The
	// rest keeps the event loop, discovery and the other clients prompt.
	pacedFraction = 0.7
	// processorBurst is the real time for which the process may use all of its processor time before anything waits.
	processorBurst = 5 * time.Millisecond
	// maxProcessorDebt limits for how long a past burst makes clients wait.
	maxProcessorDebt = 20 * time.Millisecond

	// rateWindow is the period over which requests of a connection and new connections are counted.
	rateWindow = 100 * time.Millisecond
	// unpacedRequests and unpacedConns are how many requests of one connection, and how many new connections of all clients,
	// never wait in a rateWindow.
	unpacedRequests = 10
	unpacedConns    = 64
	// maxRequestPause and maxAcceptPause limit the wait of one request and of one new connection.
	maxRequestPause = 50 * time.Millisecond
	maxAcceptPause  = 5 * time.Millisecond
)

// processorBudget measures whether the process uses nearly all of the processor time that it may use. A process with a single
// running thread serves connections in turn: a few clients that always have a request ready would take all turns. Its methods
// are safe for concurrent use; a nil budget never makes anything wait.
type processorBudget struct {
	rate  float64 // processor time for each unit of real time, above which the level falls
	usage func() (time.Duration, error)

	mu      sync.Mutex
	level   time.Duration // processor time that may be used before anything waits; negative: a debt
	usedAt  time.Duration // the latest reading of usage
	readAt  time.Time     // of usage
	started bool
}

// newProcessorBudget creates a budget for a process that may use a number of cores; 0: as many as it can.
func newProcessorBudget(cores float64) *processorBudget {
	threads := float64(runtime.GOMAXPROCS(0))
	return &processorBudget{rate: pacedFraction * min(cmp.Or(cores, threads), threads), usage: processorTime}
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// pause returns how long to wait until the process has processor time to spare, or 0 if it has some now.
func (b *processorBudget) pause(now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	used, err := b.usage()
	if err != nil {
		return 0
	}
	if b.started {
		b.level += time.Duration(b.rate*float64(now.Sub(b.readAt))) - (used - b.usedAt)
	}
	b.started, b.usedAt, b.readAt = true, used, now
	perUnit := func(realTime time.Duration) time.Duration { return time.Duration(b.rate * float64(realTime)) }
	b.level = max(min(b.level, perUnit(processorBurst)), -perUnit(maxProcessorDebt))
	return max(0, time.Duration(float64(-b.level)/b.rate))
}

// wait waits until the process has processor time to spare, for at most the given time, or until stop is closed.
func (b *processorBudget) wait(atMost time.Duration, stop <-chan struct{}) {
	for deadline := time.Now().Add(atMost); ; {
		now := time.Now()
		pause := min(b.pause(now), deadline.Sub(now))
		if pause <= 0 {
			return
		}
		select {
		case <-time.After(pause):
		case <-stop:
			return
		}
	}
}

// rateCounter counts events in consecutive windows of rateWindow.
type rateCounter struct {
	began time.Time
	count int
}

// add counts an event, in a new window if the present one is over.
func (c *rateCounter) add(now time.Time) {
	if now.Sub(c.began) >= rateWindow {
		c.began, c.count = now, 0
	}
	c.count++
}

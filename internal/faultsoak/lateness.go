package faultsoak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latenessInterval = 5 * time.Millisecond
	maxLateness      = time.Minute
	latenessDigits   = 3 // significant decimal digits
)

// Lateness is how late the machine ran the soak's own timers. A run of a machine that is late by more than the tolerances of the
// oracle may show violations that no sidecar caused.
type Lateness struct {
	P99, Max time.Duration
	MaxAt    time.Duration // when Max was measured, after the start of the load
}

// String describes the lateness for the report of a run.
func (l Lateness) String() string {
	return fmt.Sprintf("p99 %v, at most %v at %v", l.P99.Round(time.Millisecond), l.Max.Round(time.Millisecond), l.MaxAt.Round(time.Millisecond))
}

// latenessMeter measures the lateness of a run.
type latenessMeter struct {
	mu        sync.Mutex
	startedAt time.Time
	delays    *hdrhistogram.Histogram // in microseconds
	worst     Lateness
}

func newLatenessMeter() *latenessMeter {
	return &latenessMeter{startedAt: time.Now(), delays: hdrhistogram.New(1, maxLateness.Microseconds(), latenessDigits)}
}

// run measures until ctx ends.
func (m *latenessMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(latenessInterval)
		time.Sleep(latenessInterval)
		m.record(time.Since(due), time.Now())
	}
}

func (m *latenessMeter) record(delay time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay = min(max(delay, 0), maxLateness)
	_ = m.delays.RecordValue(delay.Microseconds()) // fails only above maxLateness
	if delay > m.worst.Max {
		m.worst.Max, m.worst.MaxAt = delay, now.Sub(m.startedAt)
	}
}

// result returns the lateness measured so far.
func (m *latenessMeter) result() Lateness {
	m.mu.Lock()
	defer m.mu.Unlock()
	measured := m.worst
	measured.P99 = time.Duration(m.delays.ValueAtQuantile(99)) * time.Microsecond
	return measured
}

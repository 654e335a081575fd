package sidecar

import (
	"errors"
	"testing"
	"time"
)

// A process that uses more than its paced share of processor time makes clients at full speed wait, for a bounded time, and not
// once it has been idle. A process whose processor time is unknown makes nothing wait.
func TestProcessorBudget(t *testing.T) {
	used := time.Duration(0)
	var usageErr error
	budget := &processorBudget{rate: 0.5, usage: func() (time.Duration, error) { return used, usageErr }}
	now := time.Now()
	for _, step := range []struct {
		name          string
		elapsed, used time.Duration
		want          time.Duration
	}{
		{"the first reading", 0, time.Hour, 0},
		{"idle", time.Second, 0, 0},
		{"a burst within the limit", 0, 2 * time.Millisecond, 0},
		{"busy", 10 * time.Millisecond, 10 * time.Millisecond, 9 * time.Millisecond},
		{"half of the wait", 4 * time.Millisecond, 0, 5 * time.Millisecond},
		{"the rest", 5 * time.Millisecond, 0, 0},
		{"busy for long", time.Second, time.Second, maxProcessorDebt},
		{"idle again", maxProcessorDebt, 0, 0},
	} {
		now, used = now.Add(step.elapsed), used+step.used
		if got := budget.pause(now); got != step.want {
			t.Errorf("%s: wait %v, want %v", step.name, got, step.want)
		}
	}
	used, usageErr = used+time.Hour, errors.New("not supported")
	if got := budget.pause(now); got != 0 {
		t.Errorf("wait %v although the processor time is unknown", got)
	}
	if got := (*processorBudget)(nil).pause(now); got != 0 {
		t.Errorf("wait %v without a budget", got)
	}
}

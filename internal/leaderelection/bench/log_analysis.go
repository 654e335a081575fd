package bench

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"milldeck/internal/leaderelection"
)

const (
	// maxViolations limits the violations that the result lists; a single violation makes a run a failure.
	maxViolations = 20
	// maxElectionTime is the time after the kill of a raft leader within which the registry may have no leader.
	maxElectionTime = 2 * time.Second
)

// holderEvent is a line that a candidate process prints. Times are in ns of the machine's monotonic clock.
type holderEvent struct {
	Type         leaderelection.EventType `json:"what"`
	Lease        string                   `json:"duty"`
	Candidate    string                   `json:"who"`
	Token        uint64                   `json:"token"`
	AtNS         int64                    `json:"at_ns"`
	ValidUntilNS int64                    `json:"until_ns"`
	Count        int                      `json:"count"` // for a trial write: the number that it stored
}

// tenure is the period in which a process considered itself the holder of a lease.
type tenure struct {
	candidate        string
	token            uint64
	beganNS, endedNS int64
	releasedNS       int64 // when the holder received the confirmation of its release; 0: never
	counts           []int // the numbers that its trial writes stored
}

// holderGap is a period in which a lease had no holder.
type holderGap struct {
	ms         float64
	leaderless bool // the registry may have had no raft leader for a part of it
}

// analyzeLogs reads the logs of all candidate processes and completes the result.
func (b *benchRun) analyzeLogs() error {
	logs, err := filepath.Glob(filepath.Join(b.opts.Dir, leasePrefix+"*.log"))
	if err != nil {
		return err
	}
	byLease := map[string][]*tenure{}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, t := range b.readTenures(data, byLease) {
			if killedNS, killed := b.killedAt[t.candidate]; killed {
				t.endedNS = min(t.endedNS, killedNS)
			}
		}
	}
	for name, tenures := range byLease {
		b.checkLease(name, tenures)
	}
	slices.Sort(b.result.Violations)
	b.result.Violations = b.result.Violations[:min(len(b.result.Violations), maxViolations)]
	b.result.ReleaseGapP50MS, b.result.ReleaseGapP99MS = quantiles(b.releaseGaps)
	b.result.KillGapP50MS, b.result.KillGapP99MS = quantiles(b.killGaps)
	return nil
}

// readTenures reads the tenures in the log of one process. It returns them by token, and adds them to byLease.
func (b *benchRun) readTenures(log []byte, byLease map[string][]*tenure) map[uint64]*tenure {
	byToken := map[uint64]*tenure{}
	for lines := bufio.NewScanner(bytes.NewReader(log)); lines.Scan(); {
		var event holderEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil || event.Lease == "" {
			continue // a line of the logger, or an event that a kill truncated
		}
		if event.Type == leaderelection.Acquired {
			t := &tenure{candidate: event.Candidate, token: event.Token, beganNS: event.AtNS, endedNS: event.ValidUntilNS}
			byToken[event.Token] = t
			byLease[event.Lease] = append(byLease[event.Lease], t)
			continue
		}
		b.applyEvent(&event, byToken[event.Token])
	}
	return byToken
}

// applyEvent applies an event to the tenure t. t is nil if the process has not acquired the lease under the event's token.
func (b *benchRun) applyEvent(event *holderEvent, t *tenure) {
	switch {
	case event.Type == leaderelection.Waiting:
	case t == nil && event.Type == leaderelection.Released:
		b.result.ExpiredUnclaimed++
	case t == nil:
		b.addViolation("%s: %s was %s under token %d, which it never acquired", event.Lease, event.Candidate, event.Type, event.Token)
	case event.Type == leaderelection.Renewed:
		t.endedNS = max(t.endedNS, event.ValidUntilNS)
	case event.Type == leaderelection.Lost || event.Type == leaderelection.Stopped:
		t.endedNS = min(t.endedNS, event.AtNS)
	case event.Type == leaderelection.Released:
		t.releasedNS = event.AtNS
	case event.Type == leaderelection.CheckpointSaved:
		b.result.GuardedWrites++
		t.counts = append(t.counts, event.Count)
	case event.Type == leaderelection.CheckpointRejected:
		b.result.RejectedWrites++
	}
}

// checkLease checks the tenures of one lease in the order of their tokens.
func (b *benchRun) checkLease(name string, tenures []*tenure) {
	slices.SortFunc(tenures, func(x, y *tenure) int { return cmp.Compare(x.token, y.token) })
	b.result.Tenures += len(tenures)
	lastCount := 0
	for i, t := range tenures {
		if i > 0 {
			b.checkTransition(name, tenures[i-1], t)
		}
		for _, count := range t.counts {
			// A holder increments the count of the checkpoint by one with each write, so a repeated count was written twice.
			if count <= lastCount {
				b.result.DuplicateWrites++
				b.addViolation("%s: count %d under token %d after %d", name, count, t.token, lastCount)
			}
			lastCount = max(lastCount, count)
		}
	}
}

// checkTransition checks two consecutive tenures of a lease for an overlap, and records the gap between them.
func (b *benchRun) checkTransition(name string, previous, next *tenure) {
	if next.beganNS < previous.endedNS {
		b.result.Overlaps++
		b.addViolation("%s: %s under token %d believes from %d ns on, %s under %d for %v longer",
			name, next.candidate, next.token, next.beganNS, previous.candidate, previous.token, time.Duration(previous.endedNS-next.beganNS))
	} else if next.beganNS < previous.releasedNS {
		b.result.LateReleaseConfirmations++
	}
	requestedNS, requested := b.stopRequestedAt[previous.candidate]
	if !requested || requestedNS < previous.beganNS || requestedNS >= next.beganNS {
		return
	}
	gap := holderGap{leaderless: b.leaderless(requestedNS, next.beganNS)}
	if previous.releasedNS != 0 {
		gap.ms = milliseconds(next.beganNS - previous.endedNS)
		b.releaseGaps = append(b.releaseGaps, gap)
	} else {
		gap.ms = milliseconds(next.beganNS - requestedNS)
		b.killGaps = append(b.killGaps, gap)
	}
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

func (b *benchRun) addViolation(format string, args ...any) {
	b.result.Violations = append(b.result.Violations, fmt.Sprintf(format, args...))
}

// leaderless reports whether the registry may have elected a raft leader between two times.
func (b *benchRun) leaderless(fromNS, toNS int64) bool {
	return slices.ContainsFunc(b.leaderKills, func(atNS int64) bool {
		return atNS > fromNS-int64(maxElectionTime) && atNS < toNS
	})
}

// quantiles returns the median and the 99th percentile of the gaps in which the registry had a raft leader throughout. The
// other gaps would measure the registry's elections.
func quantiles(gaps []holderGap) (p50, p99 float64) {
	var ms []float64
	for _, gap := range gaps {
		if !gap.leaderless {
			ms = append(ms, gap.ms)
		}
	}
	if len(ms) == 0 {
		return 0, 0
	}
	slices.Sort(ms)
	return ms[len(ms)/2], ms[min(len(ms)-1, len(ms)*99/100)]
}

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
)

// holderEvent is a line that a holder prints. Times are ns of the machine's monotonic clock.
type holderEvent struct {
	Type         string `json:"what"`
	Lease        string `json:"duty"`
	Candidate    string `json:"who"`
	Token        uint64 `json:"token"`
	AtNS         int64  `json:"at_ns"`
	ValidUntilNS int64  `json:"until_ns"`
	Count        int    `json:"count"`
}

// tenure is the time in which a process believed that it held a duty.
type tenure struct {
	candidate        string
	token            uint64
	beganNS, endedNS int64
	releasedNS       int64 // when the holder heard that its release was done; 0: it did not
	counts           []int
}

// judge reads what all processes printed.
func (b *benchRun) judge() error {
	logs, err := filepath.Glob(filepath.Join(b.opts.Dir, "duty-*.log"))
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
		b.judgeLease(name, tenures)
	}
	slices.Sort(b.result.Violations)
	b.result.Violations = b.result.Violations[:min(len(b.result.Violations), maxViolations)]
	b.result.ReleaseGapP50MS, b.result.ReleaseGapP99MS = quantiles(b.result.releaseGaps)
	b.result.KillGapP50MS, b.result.KillGapP99MS = quantiles(b.result.killGaps)
	return nil
}

// readTenures reads those of one process, and adds them to their duties.
func (b *benchRun) readTenures(log []byte, byLease map[string][]*tenure) map[uint64]*tenure {
	byToken := map[uint64]*tenure{}
	for lines := bufio.NewScanner(bytes.NewReader(log)); lines.Scan(); {
		var event holderEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil || event.Lease == "" {
			continue // of the log, or cut off by a kill
		}
		t := byToken[event.Token]
		switch {
		case event.Type == "acquired":
			t = &tenure{candidate: event.Candidate, token: event.Token, beganNS: event.AtNS, endedNS: event.ValidUntilNS}
			byToken[event.Token] = t
			byLease[event.Lease] = append(byLease[event.Lease], t)
		case event.Type == "waiting":
		case t == nil && event.Type == "released":
			b.result.ExpiredUnclaimed++ // it was given the duty, did not hear in time that its lease ran, and never worked
		case t == nil:
			b.addViolation("%s: %s was %s under token %d, which it never acquired", event.Lease, event.Candidate, event.Type, event.Token)
		case event.Type == "renewed":
			t.endedNS = max(t.endedNS, event.ValidUntilNS)
		case event.Type == "lost" || event.Type == "stopped":
			t.endedNS = min(t.endedNS, event.AtNS)
		case event.Type == "released":
			t.releasedNS = event.AtNS
		case event.Type == "saved":
			b.result.GuardedWrites++
			t.counts = append(t.counts, event.Count)
		case event.Type == "refused":
			b.result.RejectedWrites++
		}
	}
	return byToken
}

func (b *benchRun) judgeLease(name string, tenures []*tenure) {
	slices.SortFunc(tenures, func(a, b *tenure) int { return cmp.Compare(a.token, b.token) })
	b.result.Tenures += len(tenures)
	last := 0
	for i, t := range tenures {
		if i > 0 {
			b.judgeTransition(name, tenures[i-1], t)
		}
		for _, count := range t.counts {
			// Each count is one above the newest checkpoint, so none comes twice, in the order of tokens.
			if count <= last {
				b.result.DuplicateWrites++
				b.addViolation("%s: count %d under token %d after %d", name, count, t.token, last)
			}
			last = max(last, count)
		}
	}
}

// judgeTransition looks at the change from one tenure to the next.
func (b *benchRun) judgeTransition(name string, previous, next *tenure) {
	if next.beganNS < previous.endedNS {
		b.result.Overlaps++
		b.addViolation("%s: %s under token %d believes from %d ns on, %s under %d for %v longer",
			name, next.candidate, next.token, next.beganNS, previous.candidate, previous.token, time.Duration(previous.endedNS-next.beganNS))
	} else if next.beganNS < previous.releasedNS {
		b.result.LateReleaseNotices++
	}
	requestedNS, requested := b.stopRequestedAt[previous.candidate]
	if !requested || requestedNS < previous.beganNS || requestedNS >= next.beganNS {
		return
	}
	if gap := (holderGap{float64(next.beganNS-requestedNS) / 1e6, b.leaderless(requestedNS, next.beganNS)}); previous.releasedNS != 0 {
		gap.ms = float64(next.beganNS-previous.endedNS) / 1e6
		b.result.releaseGaps = append(b.result.releaseGaps, gap)
	} else {
		b.result.killGaps = append(b.result.killGaps, gap)
	}
}

// maxViolations are told of all that was wrong; one would do.
const maxViolations = 20

func (b *benchRun) addViolation(format string, args ...any) {
	b.result.Violations = append(b.result.Violations, fmt.Sprintf(format, args...))
}

// leaderless tells whether the registry had to elect a leader within a time.
func (b *benchRun) leaderless(from, to int64) bool {
	const election = int64(2 * time.Second)
	return slices.ContainsFunc(b.leaderKills, func(at int64) bool { return at > from-election && at < to })
}

// quantiles of the gaps in which the registry had a leader: what an election adds is the registry's figure.
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

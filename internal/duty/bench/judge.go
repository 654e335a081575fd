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

// event is a line that a holder prints. Times are ns of the machine's monotonic clock.
type event struct {
	What  string `json:"what"`
	Duty  string `json:"duty"`
	Who   string `json:"who"`
	Token uint64 `json:"token"`
	At    int64  `json:"at_ns"`
	Until int64  `json:"until_ns"`
	Count int    `json:"count"`
}

// tenure is the time in which a process believed that it held a duty.
type tenure struct {
	who      string
	token    uint64
	from, to int64
	released int64 // when the holder heard that its release was done; 0: it did not
	saves    []int
}

// judge reads what all processes printed.
func (p *play) judge() error {
	logs, err := filepath.Glob(filepath.Join(p.opts.Dir, "duty-*.log"))
	if err != nil {
		return err
	}
	byDuty := map[string][]*tenure{}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, t := range p.tenures(data, byDuty) {
			if at, killed := p.ended[t.who]; killed {
				t.to = min(t.to, at)
			}
		}
	}
	for name, list := range byDuty {
		p.judgeDuty(name, list)
	}
	slices.Sort(p.r.Broken)
	p.r.Broken = p.r.Broken[:min(len(p.r.Broken), mostBroken)]
	p.r.ReleaseP50, p.r.ReleaseP99 = quantiles(p.r.ReleaseGap)
	p.r.KillP50, p.r.KillP99 = quantiles(p.r.KillGap)
	return nil
}

// tenures reads those of one process, and adds them to their duties.
func (p *play) tenures(log []byte, byDuty map[string][]*tenure) map[uint64]*tenure {
	of := map[uint64]*tenure{}
	for in := bufio.NewScanner(bytes.NewReader(log)); in.Scan(); {
		var e event
		if json.Unmarshal(in.Bytes(), &e) != nil || e.Duty == "" {
			continue // of the log, or cut off by a kill
		}
		t := of[e.Token]
		switch {
		case e.What == "acquired":
			t = &tenure{who: e.Who, token: e.Token, from: e.At, to: e.Until}
			of[e.Token] = t
			byDuty[e.Duty] = append(byDuty[e.Duty], t)
		case e.What == "waiting":
		case t == nil && e.What == "released":
			p.r.NotTaken++ // it was given the duty, did not hear in time that its lease ran, and never worked
		case t == nil:
			p.broken("%s: %s was %s under token %d, which it never acquired", e.Duty, e.Who, e.What, e.Token)
		case e.What == "renewed":
			t.to = max(t.to, e.Until)
		case e.What == "lost" || e.What == "stopped":
			t.to = min(t.to, e.At)
		case e.What == "released":
			t.released = e.At
		case e.What == "saved":
			p.r.Saves++
			t.saves = append(t.saves, e.Count)
		case e.What == "refused":
			p.r.Refused++
		}
	}
	return of
}

func (p *play) judgeDuty(name string, list []*tenure) {
	slices.SortFunc(list, func(a, b *tenure) int { return cmp.Compare(a.token, b.token) })
	p.r.Tenures += len(list)
	last := 0
	for i, t := range list {
		if i > 0 {
			p.judgePair(name, list[i-1], t)
		}
		for _, count := range t.saves {
			// Each count is one above the newest checkpoint, so none comes twice, in the order of tokens.
			if count <= last {
				p.r.Twice++
				p.broken("%s: count %d under token %d after %d", name, count, t.token, last)
			}
			last = max(last, count)
		}
	}
}

// judgePair looks at the change from one tenure to the next.
func (p *play) judgePair(name string, before, t *tenure) {
	if t.from < before.to {
		p.r.Overlaps++
		p.broken("%s: %s under token %d believes from %d ns on, %s under %d for %v longer",
			name, t.who, t.token, t.from, before.who, before.token, time.Duration(before.to-t.from))
	} else if t.from < before.released {
		p.r.ToldLate++
	}
	asked, told := p.asked[before.who]
	if !told || asked < before.from || asked >= t.from {
		return
	}
	if g := (gap{float64(t.from-asked) / 1e6, p.leaderless(asked, t.from)}); before.released != 0 {
		g.ms = float64(t.from-before.to) / 1e6
		p.r.ReleaseGap = append(p.r.ReleaseGap, g)
	} else {
		p.r.KillGap = append(p.r.KillGap, g)
	}
}

// mostBroken are told of all that was wrong; one would do.
const mostBroken = 20

func (p *play) broken(format string, args ...any) {
	p.r.Broken = append(p.r.Broken, fmt.Sprintf(format, args...))
}

// leaderless tells whether the registry had to elect a leader within a time.
func (p *play) leaderless(from, to int64) bool {
	const election = int64(2 * time.Second)
	return slices.ContainsFunc(p.down, func(at int64) bool { return at > from-election && at < to })
}

// quantiles of the gaps in which the registry had a leader: what an election adds is the registry's figure.
func quantiles(list []gap) (p50, p99 float64) {
	var ms []float64
	for _, g := range list {
		if !g.leaderless {
			ms = append(ms, g.ms)
		}
	}
	if len(ms) == 0 {
		return 0, 0
	}
	slices.Sort(ms)
	return ms[len(ms)/2], ms[min(len(ms)-1, len(ms)*99/100)]
}

package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kept is a server that sidecars of a tenant are told to keep off, and until when.
type Kept struct {
	Tenant, Server string
	Until          float64
}

// Placed: a sidecar's agent has this to tell it of servers that it keeps off, in place of all before.
func (c *ControlJudge) Placed(now float64, sidecar int, kept []Kept) {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	old := c.kept[sidecar]
	next := map[keptOff]span{}
	for _, k := range kept {
		key := keptOff{k.Tenant, k.Server}
		from := now
		if s, is := old[key]; is && s.to >= now {
			from = s.from
		}
		next[key] = span{from, k.Until}
	}
	for _, key := range sortedKept(old) {
		s := old[key]
		if n, goes := next[key]; !goes || n.from == now {
			c.hours(now, sidecar, key, span{s.from, min(s.to, now)})
		}
	}
	c.kept[sidecar] = next
}

func sortedKept(m map[keptOff]span) []keptOff {
	return slices.SortedFunc(maps.Keys(m), func(a, b keptOff) int {
		return strings.Compare(a.tenant+"\x00"+a.server, b.tenant+"\x00"+b.server)
	})
}

// hours looks whether a time in which a tenant was kept off lies within its approved hours, which may adjoin.
func (c *ControlJudge) hours(now float64, sidecar int, k keptOff, s span) {
	at := s.from
	hours := slices.Clone(c.file.Hours)
	slices.SortFunc(hours, func(a, b HoursFile) int { return int(1000 * (a.FromS - b.FromS)) })
	for _, h := range hours {
		if h.Tenant == k.tenant && 1000*h.FromS <= at+hourSlack && 1000*h.ToS > at {
			at = 1000 * h.ToS
		}
	}
	if at+hourSlack < s.to {
		c.j.breaks(now, RuleHours, nil, fmt.Sprintf("sidecar %d is told to keep %s off %s from %.0f to %.0f ms, outside its hours from %.0f ms on",
			sidecar, k.tenant, k.server, s.from, s.to, at))
	}
}

// Worked: a server has done work, cold where its key was not warm there.
func (c *ControlJudge) Worked(now, work float64, cold bool) {
	window := 1000 * c.file.Spread.WindowS
	if window == 0 {
		return
	}
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	slot := int(now / window * spreadParts)
	at := &c.cold[((slot%spreadParts)+spreadParts)%spreadParts]
	if at.slot != slot {
		at.slot, at.all, at.cold = slot, 0, 0
	}
	at.all += work
	if cold {
		at.cold += work
	}
	if now < window {
		return // what was never asked for before is cold wherever it goes
	}
	all, sum := 0.0, 0.0
	for _, p := range c.cold {
		if p.slot > slot-spreadParts {
			all += p.all
			sum += p.cold
		}
	}
	if sum > c.file.Spread.Most*all && all > 0 {
		c.j.breaks(now, RuleSpread, nil, fmt.Sprintf("within %.1f s %.0f of %.0f ms of work were for keys that were not warm, at most %.0f%% may be",
			c.file.Spread.WindowS, sum, all, 100*c.file.Spread.Most))
	}
}

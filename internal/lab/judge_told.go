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
	for _, k := range kept {
		if _, had := old[keptOff{k.Tenant, k.Server}]; !had {
			c.keepings++
		}
	}
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
	c.outside += max(0, s.to-at)
	if at+hourSlack < s.to {
		c.j.breaks(now, RuleHours, nil, fmt.Sprintf("sidecar %d is told to keep %s off %s from %.0f to %.0f ms, outside its hours from %.0f ms on",
			sidecar, k.tenant, k.server, s.from, s.to, at))
	}
}

// Copied is a server that sidecars are told to send a key to, beside the key's own.
type Copied struct {
	Key    uint64 // as sidecars hash it
	Server string
}

// Copies: a sidecar's agent has these copies to tell it of, in place of all before.
func (c *ControlJudge) Copies(sidecar int, copies []Copied) {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	for _, k := range c.copies[sidecar] {
		if c.copied[k]--; c.copied[k] <= 0 {
			delete(c.copied, k)
		}
	}
	for _, k := range copies {
		c.copied[k]++
	}
	c.copies[sidecar] = copies
}

// Worked: a server has done work for a key, cold where that was not warm there. Only what a copy does cold is the
// spreader's.
func (c *ControlJudge) Worked(now float64, unit string, key uint64, work float64, cold bool) {
	window := 1000 * c.file.Spread.WindowS
	if window == 0 || !cold {
		return
	}
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	if c.copied[Copied{key, unit}] == 0 {
		return
	}
	slot := int(now / window * spreadParts)
	at := &c.cold[((slot%spreadParts)+spreadParts)%spreadParts]
	if at.slot != slot {
		at.slot, at.work = slot, 0
	}
	at.work += work
	sum := 0.0
	for _, p := range c.cold {
		if p.slot > slot-spreadParts {
			sum += p.work
		}
	}
	c.coldest = max(c.coldest, sum)
	if most := c.file.Spread.Most * c.bears * c.file.Spread.WindowS; sum > most && now > c.warned+window {
		c.warned = now // one for each window: the work in it is the same
		c.j.breaks(now, RuleSpread, nil, fmt.Sprintf("within %.1f s copies did %.0f ms of work for keys that were not warm there, at most %.0f may be",
			c.file.Spread.WindowS, sum, most))
	}
}

// Figures are what the judge has measured: how often a sidecar was told to begin to keep off a server, for how many seconds
// it was told to outside its tenant's hours, the most cold work of copies against its budget, and the most servers and
// sidecars that were out at a time of those that somebody took out.
func (c *ControlJudge) Figures() map[string]float64 {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	out := map[string]float64{
		"kept_off": float64(c.keepings), "kept_off_outside_s": round(c.outside / 1000),
		"most_servers_out": float64(c.mostOut["server"]), "most_sidecars_out": float64(c.mostOut["sidecar"]),
	}
	if most := c.file.Spread.Most * c.bears * c.file.Spread.WindowS; most > 0 {
		out["cold_work_of_budget"] = round(c.coldest / most)
	}
	return out
}

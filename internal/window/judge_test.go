package window

import (
	"fmt"
	"time"
)

// judge sees what sidecars did and what was applied, and asks the wall clocks itself.
type judge struct {
	terms   map[string][]terms // by tenant, in order of time
	outside int64              // ms kept off outside approved hours
	kepts   int64
	first   string
	out     map[string]int64 // when windows went out
	used    map[string]int64 // ms by tenant and month
	tokens  uint64
	broken  []string
	unsure  bool // clocks were wrong: minutes are not compared
}

// terms are a contract's hours as the judge knows them, from an instant on.
type terms struct {
	from       int64
	loc        *time.Location
	start, len int // minutes
	none       bool
}

func newJudge() *judge {
	return &judge{terms: map[string][]terms{}, out: map[string]int64{}, used: map[string]int64{}}
}

func wallOf(t int64, loc *time.Location) int64 {
	at := time.UnixMilli(t).In(loc)
	_, off := at.Zone()
	return t + int64(off)*1000
}

// approves reads the wall, and the time passed since the wall first showed the start.
func (m *terms) approves(t int64) bool {
	if m.none {
		return false
	}
	const dayMS = 24 * 3600_000
	wall := wallOf(t, m.loc)
	length := int64(m.len) * 60_000
	for start := wall - wall%dayMS - dayMS + int64(m.start)*60_000; start <= wall; start += dayMS {
		if wall >= start+length {
			continue
		}
		first := t - length - 3*3600_000
		for step := int64(3600_000); step >= 1000; step /= 60 { // to the second
			for wallOf(first+step, m.loc) < start {
				first += step
			}
		}
		if t-first-1000 < length {
			return true
		}
	}
	return false
}

func (j *judge) kept(w *world, tenant string, from, until int64) {
	j.kepts += until - from
	list := j.terms[tenant]
	at := func(t int64) bool {
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].from <= t && list[i].approves(t) {
				return true
			}
			// What was told under the terms before may last for a step.
			if list[i].from+StepMS <= t {
				return false
			}
		}
		return false
	}
	for t := from; t < until; t += min(60_000, until-t) {
		if !at(t) || !at(min(t+59_999, until-1)) {
			j.outside += min(60_000, until-t)
			if j.first == "" {
				j.first = fmt.Sprintf("%s kept off from %s to %s", tenant, utc(from), utc(until))
			}
		}
	}
}

func (j *judge) applied(w *world, op *Op, token uint64) {
	if token != 0 {
		if token < j.tokens {
			j.broken = append(j.broken, fmt.Sprintf("%s %s under token %d after %d", op.Kind, op.Name, token, j.tokens))
		}
		j.tokens = max(j.tokens, token)
	}
	win := w.table.Window(op.Name)
	switch op.Kind {
	case OpDrain:
		j.out[op.Name] = w.now
		for _, other := range w.table.Windows() {
			if other.Name != op.Name && other.Out() && share(other.Servers, win.Servers) {
				j.broken = append(j.broken, other.Name+" and "+op.Name+" have a server")
			}
		}
	case OpBack:
		for tenant := range w.fleet.TenantsOf(w.table, win.Servers) {
			if list := j.terms[tenant]; len(list) > 0 {
				for t := j.out[op.Name]; t < w.now; t += min(1000, w.now-t) {
					j.used[tenant+" "+time.UnixMilli(t).In(list[0].loc).Format("2006-01")] += min(1000, w.now-t)
				}
			}
		}
	}
}

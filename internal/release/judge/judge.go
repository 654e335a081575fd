// Package judge compares a new version with the old one at the same time, in the same zone and class, and says whether
// the new harms. It is pure and sequential: it may be asked after every interval, and what it says of false alarms holds
// for all its looks together.
//
// Shares (answered in time, late, failed, slower than three quarters of the old, restarts) are tested one against the
// other; a trouble that both feel moves both and is no difference. Memory is no draw of chances and is compared by its
// level. What is stated: over the whole life of one Judge, a version that is no worse than tolerated is found harmful by
// the tests of shares with a chance of at most Settings.FalseAlarms, and one that is worse by more than tolerated in a
// stratum that counts passes with a chance of at most wrongPass. Restarts are too rare for such a proof within a wave:
// they convict, and on suspicion they keep a pass back.
package judge

import (
	"fmt"
	"math"
	"slices"
)

const (
	// wrongPass bounds the chance that a version beyond what is tolerated passes. A pass needs every comparison, so it is
	// not divided among them.
	wrongPass = 0.01
	// sharing is how many comparisons a stratum has at most: four shares, each over all and over the loaded intervals,
	// and its part of the zone's restarts.
	sharing = 9
	// leastShare of a zone's requests at the old makes a class one that a pass waits for. Rarer ones can only convict.
	leastShare = 0.01
	// memoryRow is how many intervals in a row the memory has to be above what is tolerated.
	memoryRow = 10
	// suspicion is the logarithm of the evidence of too many restarts that keeps a pass back.
	suspicion = 1
	// silentRow is how many intervals in a row without half of the reports make a silence.
	silentRow = 5
	// loaded is how far above its mean so far an interval's traffic is to count as loaded.
	loaded = 1.2
	// forget is what the mean traffic and the latencies of the old keep of themselves in each interval: about a minute.
	forget = 0.98
	// tail is the share of the old's answers that the latency is compared beyond.
	tail = 0.25
	// maxStrata bounds memory: classes × zones beyond it are not judged, and a pass is withheld.
	maxStrata = 4096
)

// Settings are what is tolerated; see plan.Guards for the terms.
type Settings struct {
	Served, Late, Failed, Latency, Restarts, Memory float64

	FalseAlarms float64 // over all comparisons and looks of one Judge, 0 to 1
	Strata      int     // classes × zones that are expected; more are judged with ever less of the false-alarm rate
}

// Counts are what became of requests in an interval. Latency counts the served by rising bounds, the same for both.
type Counts struct {
	Served, Late, Failed int // Late are among Served
	Latency              []uint32
}

// Pair is a class in a zone, new and old.
type Pair struct {
	Class, Zone string
	New, Old    Counts
}

// Side is what is known of the units of one version in a zone.
type Side struct {
	Units    int
	Restarts int     // in the interval, that nobody asked for
	Memory   float64 // mean of a unit, in any unit that is the same for both; 0: unknown
}

// ZonePair is the units of a zone, new and old.
type ZonePair struct {
	Zone     string
	New, Old Side
}

// Interval is a second or more of both versions. Its reports are counted so that silence is known from calm.
type Interval struct {
	Expected, Reports int
	Pairs             []Pair
	Zones             []ZonePair
}

// Kind is a verdict.
type Kind string

// The verdicts.
const (
	Pass   Kind = "pass"   // there is enough evidence that nothing is worse than tolerated
	Harm   Kind = "harm"   // there is enough evidence that something is
	Wait   Kind = "wait"   // too little traffic for either
	Silent Kind = "silent" // reports are missing
)

// Verdict is a verdict and, in one line, what it rests on.
type Verdict struct {
	Kind Kind   `json:"kind"`
	Why  string `json:"why,omitempty"`
}

// Judge is the watch of one wave.
type Judge struct {
	set    Settings
	strata map[[2]string]*stratum // by zone and class
	zones  map[string]*zone
	rank   int // strata so far
	silent int // intervals in a row without enough reports
	over   bool
	harm   string
}

// stratum is a class in a zone. The second of each pair is over the loaded intervals alone.
type stratum struct {
	limit                        float64 // of the logarithm of the evidence of harm
	served, late, failed, slower [2]comparison
	traffic                      float64 // mean of an interval so far
	latency                      [2][]float64
	old                          int // requests of the old
}

type zone struct {
	limit    float64
	restarts comparison
	above    int // intervals in a row in which the memory is above what is tolerated
	memory   int // intervals that told of memory
	units    int // of the new, last
	ratio    float64
}

// New begins a watch.
func New(s Settings) *Judge {
	s.Strata = max(s.Strata, 1)
	return &Judge{set: s, strata: map[[2]string]*stratum{}, zones: map[string]*zone{}}
}

// limit is the logarithm of the evidence that convicts in the next stratum: half of the false-alarm rate is shared
// among those expected, half is for what comes beyond, ever less of it.
func (j *Judge) limit() float64 {
	j.rank++
	alpha := j.set.FalseAlarms / 2 / sharing
	if j.rank <= j.set.Strata {
		alpha /= float64(j.set.Strata)
	} else {
		k := float64(j.rank - j.set.Strata)
		alpha /= k * (k + 1)
	}
	return -math.Log(alpha)
}

// Add takes an interval and says how things stand.
func (j *Judge) Add(in Interval) Verdict {
	if 2*in.Reports < in.Expected || in.Expected == 0 {
		j.silent++
		return j.verdict()
	}
	j.silent = 0
	for _, p := range in.Pairs {
		at := [2]string{p.Zone, p.Class}
		s := j.strata[at]
		if s == nil {
			if len(j.strata) == maxStrata {
				j.over = true
				continue
			}
			s = j.newStratum()
			j.strata[at] = s
		}
		s.add(p)
		j.convict(s, p)
	}
	for _, p := range in.Zones {
		z := j.zones[p.Zone]
		if z == nil {
			z = &zone{limit: j.limit(), restarts: comparison{tolerated: j.set.Restarts}}
			j.zones[p.Zone] = z
		}
		z.add(p, j.set.Memory)
		switch {
		case j.harm != "":
		case z.restarts.harm.log() >= z.limit:
			j.harm = fmt.Sprintf("restarts in zone %q: %d in %d unit-intervals, more than the old and the tolerated %v",
				p.Zone, z.restarts.hits, z.restarts.seen, j.set.Restarts)
		case z.above >= memoryRow:
			j.harm = fmt.Sprintf("memory in zone %q: %.2f times the old, tolerated %.2f", p.Zone, z.ratio, 1+j.set.Memory)
		}
	}
	return j.verdict()
}

func (j *Judge) newStratum() *stratum {
	s := &stratum{limit: j.limit()}
	for i := range 2 {
		s.served[i].tolerated, s.late[i].tolerated = j.set.Served, j.set.Late
		s.failed[i].tolerated, s.slower[i].tolerated = j.set.Failed, j.set.Latency
	}
	return s
}

func (s *stratum) add(p Pair) {
	n, m := p.New.Served+p.New.Failed, p.Old.Served+p.Old.Failed
	s.old += m
	all := float64(n + m)
	busy := s.traffic > 0 && all > loaded*s.traffic
	if s.traffic == 0 {
		s.traffic = all
	}
	s.traffic = forget*s.traffic + (1-forget)*all
	for i := range 2 {
		if i == 1 && !busy {
			break
		}
		s.served[i].add(n-p.New.Served+p.New.Late, n, m-p.Old.Served+p.Old.Late, m)
		s.late[i].add(p.New.Late, n, p.Old.Late, m)
		s.failed[i].add(p.New.Failed, n, p.Old.Failed, m)
		// The bound is that of the intervals before, so that it owes nothing to what it is applied to.
		if at := quantile(s.latency[i]); at >= 0 {
			x, nn := beyond(p.New.Latency, at)
			y, mm := beyond(p.Old.Latency, at)
			s.slower[i].add(x, nn, y, mm)
		}
		s.latency[i] = remember(s.latency[i], p.Old.Latency)
	}
}

// convict notes the first harm that the stratum's evidence is enough for.
func (j *Judge) convict(s *stratum, p Pair) {
	if j.harm != "" {
		return
	}
	for i, under := range []string{"", " under load"} {
		for _, c := range []struct {
			what string
			c    *comparison
		}{{"failed", &s.failed[i]}, {"late", &s.late[i]}, {"not in time", &s.served[i]}, {"slower than three quarters of the old", &s.slower[i]}} {
			if c.c.harm.log() >= s.limit {
				j.harm = fmt.Sprintf("%s%s, class %q in zone %q: %d of %d, more than the old and the tolerated %v",
					c.what, under, p.Class, p.Zone, c.c.hits, c.c.seen, c.c.tolerated)
				return
			}
		}
	}
}

func (z *zone) add(p ZonePair, tolerated float64) {
	z.units = p.New.Units
	z.restarts.add(min(p.New.Restarts, p.New.Units), p.New.Units, min(p.Old.Restarts, p.Old.Units), p.Old.Units)
	if p.New.Memory <= 0 || p.Old.Memory <= 0 {
		return
	}
	z.memory++
	z.ratio = p.New.Memory / p.Old.Memory
	if z.ratio > 1+tolerated {
		z.above++
	} else {
		z.above = 0
	}
}

// verdict says how things stand after the last interval.
func (j *Judge) verdict() Verdict {
	if j.harm != "" {
		return Verdict{Harm, j.harm}
	}
	if j.silent >= silentRow {
		return Verdict{Silent, fmt.Sprintf("%d intervals in a row without half of the reports", j.silent)}
	}
	if why := j.missing(); why != "" {
		return Verdict{Wait, why}
	}
	return Verdict{Kind: Pass}
}

// missing tells what a pass still lacks, the same whatever the order in which things were told.
func (j *Judge) missing() string {
	if j.silent > 0 {
		return "the last reports are missing"
	}
	if j.over {
		return fmt.Sprintf("more than %d classes × zones", maxStrata)
	}
	old := map[string]int{} // by zone
	keys := make([][2]string, 0, len(j.strata))
	for at, s := range j.strata {
		old[at[0]] += s.old
		keys = append(keys, at)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	enough, counted := -math.Log(wrongPass), 0
	for _, at := range keys {
		s := j.strata[at]
		if z := j.zones[at[0]]; z == nil || z.units == 0 || s.old == 0 || float64(s.old) < leastShare*float64(old[at[0]]) {
			continue
		}
		counted++
		for _, c := range []struct {
			what string
			c    *comparison
		}{{"in time", &s.served[0]}, {"late", &s.late[0]}, {"failed", &s.failed[0]}, {"latency", &s.slower[0]}} {
			if c.c.fit.log() < enough {
				return fmt.Sprintf("too little traffic for %s, class %q in zone %q: %d requests at the new so far", c.what, at[1], at[0], c.c.seen)
			}
		}
	}
	if counted == 0 {
		return "no class has met both versions in a zone"
	}
	names := make([]string, 0, len(j.zones))
	for name := range j.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		switch z := j.zones[name]; {
		case z.units == 0:
		case z.restarts.harm.log() > suspicion:
			return fmt.Sprintf("%d restarts in zone %q, in %d unit-intervals", z.restarts.hits, name, z.restarts.seen)
		case z.above > 0 || z.memory > 0 && z.memory < memoryRow:
			return fmt.Sprintf("memory in zone %q: %.2f times the old", name, z.ratio)
		}
	}
	return ""
}

// quantile is the first bound beyond which at most tail of a histogram lies, -1 for an empty one.
func quantile(h []float64) int {
	all := 0.0
	for _, n := range h {
		all += n
	}
	if all == 0 {
		return -1
	}
	left := all
	for i, n := range h {
		if left -= n; left <= tail*all {
			return i
		}
	}
	return len(h) - 1
}

// beyond counts what lies beyond a bound, and all.
func beyond(h []uint32, at int) (slow, all int) {
	for i, n := range h {
		all += int(n)
		if i > at {
			slow += int(n)
		}
	}
	return slow, all
}

// maxBuckets bounds a histogram that is remembered.
const maxBuckets = 64

func remember(h []float64, add []uint32) []float64 {
	for i := range h {
		h[i] *= forget
	}
	for i, n := range add[:min(len(add), maxBuckets)] {
		if i == len(h) {
			h = append(h, 0)
		}
		h[i] += float64(n)
	}
	return h
}

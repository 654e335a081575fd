package controlplane

import (
	"fmt"
	"strings"
	"time"

	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// Rules of the judge, in the order of reports.
const (
	ruleBudget   = "budget"
	ruleHours    = "hours"
	ruleOnce     = "once"
	ruleStranded = "stranded"
	ruleSpread   = "spread"
)

// RuleNames lists the rules.
var RuleNames = []string{ruleBudget, ruleHours, ruleOnce, ruleStranded, ruleSpread}

const (
	// sightMS is how long what fails by itself may be unknown to the ledger: its lease and a look.
	sightMS = leaseMS + 4*tickMS
	// afterRestoreMS is how long acts that were decided before a restore may still arrive.
	afterRestoreMS = 15_000
	mostBroken     = 20 // told of a night
)

// judged is what the judge keeps of a unit.
type judged struct {
	in      bool
	since   int64 // of its being out
	inFrom  int64 // of its being in
	held    bool  // a grant takes it out
	wasOut  bool  // since that grant
	told    bool  // its process was told to end
	ready   bool  // and served then for a while
	version string
	inc     uint64
}

// referee sees the world: processes, the list, what sidecars follow, and grants as they come. It asks no table what is out.
//
// budget: at the moment of a grant no more may be out, whatever the reason, than allowed, with all that was granted and
// is still to go; who fails alone counts once it can be known, and is no breach. Nobody is taken out without a grant.
type referee struct {
	w       *world
	on      bool
	broken  []Broken
	counts  map[string]int
	hours   map[string][]open
	outside int64 // ms that tenants were kept off outside their hours, over all sidecars
	keptMS  int64
	cold    map[int64]float64 // ms of cold work that was begun, by second
	excused bool              // the platform starts twice or has forgotten what runs
	restore int64
	halted  map[string]bool // releases that were ever sent elsewhere than forward
	held    map[string]*unit
	seen    map[string]bool
	hit     map[string]bool // units that were started on another version than the first
}

// Broken is a broken rule.
type Broken struct {
	AtS  float64 `json:"at_s"`
	Rule string  `json:"rule"`
	What string  `json:"what"`
}

// open are a tenant's hours from an instant on: those that open are known by the judge's own calendar.
type open struct {
	from   int64
	opens  time.Time
	length time.Duration // 0: none
}

func newJudge(w *world) *referee {
	return &referee{w: w, counts: map[string]int{}, hours: map[string][]open{}, halted: map[string]bool{}, held: map[string]*unit{},
		cold: map[int64]float64{}, seen: map[string]bool{}, hit: map[string]bool{}}
}

// start begins to judge: until then the fleet was being started.
func (j *referee) start() {
	j.on = true
	for _, u := range j.w.units {
		j.see(u)
		if !u.judged.in {
			j.breaks(ruleStranded, u.ID+" is out at the start")
		}
	}
	clear(j.hit)
}

func (j *referee) breaks(rule, what string) {
	if !j.on {
		return
	}
	j.counts[rule]++
	if len(j.broken) < mostBroken {
		j.broken = append(j.broken, Broken{float64(j.w.now-j.w.begin) / 1000, rule, what})
	}
}

// see takes in whether a unit serves.
func (j *referee) see(u *unit) {
	d := &u.judged
	in := j.w.serves(u)
	switch {
	case in && !d.in:
		if d.held && d.wasOut {
			d.held = false
			delete(j.held, u.ID)
		}
		d.inFrom = j.w.now
	case !in && d.in:
		d.since = j.w.now
	}
	if !in && d.held {
		d.wasOut = true
	}
	d.in = in
	if n := j.w.platform.LiveProcesses(u.name); n > 1 && !j.excused && !j.seen["twice "+u.ID] {
		j.seen["twice "+u.ID] = true
		j.breaks(ruleOnce, fmt.Sprintf("%s has %d processes", u.ID, n))
	}
}

// grants looks at what was granted since the last look.
func (j *referee) grants() {
	p := j.w.plane
	for _, name := range p.releases.Names() {
		j.phase(name)
	}
	fresh := p.fresh
	p.fresh = nil
	for _, id := range sorted(j.held) {
		u := j.held[id]
		if _, is := p.at[id]; !is && (u.judged.in || u.gone && !u.alive) { // given back before anything was done, or drained
			u.judged.held = false
			delete(j.held, id)
		}
	}
	if !j.on || len(fresh) == 0 {
		return
	}
	hit := map[*unit]string{}
	for _, m := range fresh {
		for _, id := range m.Units {
			if u := j.w.by[id]; u != nil {
				if u.judged.in && u.lost == 0 { // who is out already, or cannot be seen and counts as out, is not taken out
					hit[u] = m.ID
				}
				u.judged.held, u.judged.wasOut = true, !u.judged.in
				j.held[id] = u
			}
		}
	}
	for _, b := range j.w.opt.budgets() {
		n, by, outs := 0, "", []string(nil)
		for _, u := range j.w.units {
			if !b.Selector.Matches(&u.Unit) {
				continue
			}
			if id, is := hit[u]; is {
				by = max(by, id)
			}
			if j.out(u) {
				n++
				if len(outs) < 12 {
					outs = append(outs, u.name)
				}
			}
		}
		if by != "" && n > *b.MaxUnavailable.Count {
			j.breaks(ruleBudget, fmt.Sprintf("%s is granted, and %d of %s are out, %d allowed: %s", by, n, b.Name, *b.MaxUnavailable.Count, strings.Join(outs, ", ")))
		}
	}
}

// out tells whether a unit counts as out, as far as it can be known.
func (j *referee) out(u *unit) bool {
	switch {
	case u.gone && !u.alive && !u.judged.held:
		return false // it has left for good
	case u.judged.held:
		return true
	}
	return !u.judged.in && j.w.plane.leads() && j.w.now-max(u.judged.since, j.w.plane.since) > sightMS
}

// taken: a unit that serves is taken out on purpose.
func (j *referee) taken(u *unit, how string) {
	p := j.w.plane
	p.look()
	if _, is := p.at[u.ID]; !is && j.w.serves(u) && (j.restore == 0 || j.w.now-j.restore > afterRestoreMS) {
		j.breaks(ruleBudget, fmt.Sprintf("%s is %s without a grant", u.ID, how))
	}
}

// asked: the platform is asked to stop units. What names another life of a unit is refused.
func (j *referee) asked(reqs []supervisor.Request) {
	for i := range reqs {
		u := j.w.names[reqs[i].Unit]
		if reqs[i].Op != supervisor.Stop || reqs[i].Incarnation != u.judged.inc {
			continue
		}
		if !u.judged.told {
			j.taken(u, "stopped")
		}
		// One that has only just come up may have been given up a moment before.
		if !u.judged.told {
			u.judged.ready = u.judged.in && j.w.now-u.judged.inFrom > sightMS
		}
		u.judged.told = true
	}
}

// launched: a process of a unit begins. One of the same incarnation is the platform's own restart, which nobody asked for.
func (j *referee) launched(u *unit, version string, incarnation uint64) {
	d := &u.judged
	if again := d.told && d.ready && d.version == version && d.inc != incarnation; again && !j.excused && j.restore == 0 && !j.halted[j.of(u)] {
		j.breaks(ruleOnce, fmt.Sprintf("%s served on version %s, was told to end and is started on it again", u.ID, version))
	}
	d.told, d.ready, d.version, d.inc = false, false, version, incarnation
	if version != "1" {
		j.hit[u.ID] = true
	}
}

// of is the release that a unit is of.
func (j *referee) of(u *unit) string {
	for _, name := range j.w.plane.releases.Names() {
		s, _ := j.w.plane.releases.Get(name)
		for i := range s.Units {
			if s.Units[i].ID == u.ID {
				j.phase(name)
				return name
			}
		}
	}
	return ""
}

// phase notes whether a release is, or was, sent elsewhere than forward: what was stopped then starts as it was.
func (j *referee) phase(name string) {
	if s, _ := j.w.plane.releases.Get(name); s.Status.Phase != release.PhaseRollout && s.Status.Phase != release.PhaseCompleted {
		j.halted[name] = true
	}
}

// agree has a tenant's hours be others from now on.
func (j *referee) agree(tenant string, opens time.Time, length time.Duration) {
	j.hours[tenant] = append(j.hours[tenant], open{j.w.now, opens, length})
}

// stepMS is how long after a change of hours sidecars may still follow what was told before.
const stepMS = 30_000

// approved tells whether a tenant may be kept off at an instant.
func (j *referee) approved(tenant string, t int64) bool {
	list := j.hours[tenant]
	for i := len(list) - 1; i >= 0; i-- {
		h := list[i]
		if h.from <= t && h.length > 0 {
			at := time.UnixMilli(t).In(h.opens.Location())
			for day := -2; day <= 0; day++ {
				from := time.Date(at.Year(), at.Month(), at.Day()+day, h.opens.Hour(), h.opens.Minute(), 0, 0, h.opens.Location())
				if !at.Before(from) && at.Before(from.Add(h.length)) {
					return true
				}
			}
		}
		if h.from+stepMS <= t {
			return false
		}
	}
	return false
}

// kept: a sidecar kept a tenant off servers from since to end.
func (j *referee) kept(u *unit, tenant string, since, end int64) {
	if !j.on || end <= since {
		return
	}
	j.keptMS += end - since
	outside := int64(0)
	for t := since; t < end; t += 1000 {
		if !j.approved(tenant, t) || !j.approved(tenant, min(t+999, end-1)) {
			outside += min(1000, end-t)
		}
	}
	if outside > 0 {
		j.outside += outside
		j.breaks(ruleHours, fmt.Sprintf("%s keeps %s off for %d ms outside its hours, from %s to %s", u.ID, tenant, outside,
			time.UnixMilli(since).UTC().Format(time.TimeOnly), time.UnixMilli(end).UTC().Format(time.TimeOnly)))
	}
}

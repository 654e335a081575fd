// Package night plays the control plane of a fleet through a bad night on a virtual clock: the same pure cores that run
// in processes (ledger, duties, releases, windows, placement, spreader, platform), over a world of units without
// requests. Releases, a window, an operator's drain and a hot key come at once, while a zone is lost, leader and
// controllers are killed, frozen and cut off, clocks are wrong and the platform fails; all of it is drawn from a seed.
// A judge that sees the world alone says which rules were broken.
//
// It has no sockets, no goroutines and no clock of its own: the same options and seed give the same result.
package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor/core"
)

// Options say how large the fleet is, and what is planted.
type Options struct {
	Sidecars, Servers int // 8 or more; a fleet-night has 1,000 and 2,000
	Bugs              Bugs

	// Of single tests; a night draws what is zero.
	Start      int64 // Unix ms
	SlowReturn bool  // a window's servers come back half an hour late
	Calm       bool  // no faults are drawn
	First      bool  // it ends with the first rule that is broken
	ClockOff   int64 // ms that the first window controller's clock is off
	OpenIn     time.Duration
	CloseIn    time.Duration // from the start to the close of all hours
}

// Bugs are planted faults of the control plane, which the judge has to find.
type Bugs struct {
	Torn         bool // grants are decided on what was true a second ago
	LeaseFrees   bool // a permit ends with its owner's lease
	EarlyHours   bool // hours are looked up by the controller's clock, not where the log is applied
	NoToken      bool // tokens are not looked at
	PastClose    bool // sidecars are told an end past the close
	WrittenAfter bool // a step is written after it is done
}

// Result is how a night went.
type Result struct {
	Seed     uint64            `json:"seed"`
	Seconds  float64           `json:"seconds"` // of the world
	Broken   int               `json:"broken_rules"`
	Counts   map[string]int    `json:"rule_counts"`
	First    []Broken          `json:"first,omitempty"`
	Faults   []string          `json:"faults"`
	Releases map[string]string `json:"Releases"`
	Windows  map[string]string `json:"Windows"`
	Fit      int               `json:"windows_that_fit"`
	Held     int               `json:"windows_done"`
	KeptS    float64           `json:"kept_off_s"`
	OutsideS float64           `json:"kept_off_outside_s"`
	Writes   int               `json:"writes"`
}

var zones = []string{"a", "b", "c", "d"}

// tenants with the zones of their clocks.
var tenants = []struct{ name, zone string }{{"portal", "America/Montevideo"}, {"teller", "Europe/Madrid"}, {"island", "Australia/Lord_Howe"}}

// starts are days on which clocks are put forward or back somewhere, months end, or nothing is.
var starts = []string{"2026-03-28", "2026-10-24", "2026-04-04", "2026-09-30", "2026-02-27", "2026-06-10"}

// nightPlan is what a night holds.
type nightPlan struct {
	hotKey         uint64
	hotFrom, hotTo int64
	bad            string // version of the release of servers
	quiet          int64  // from when on no fault is left
	fits           bool
	wish           *maintenance.Operation
	asked          bool
	faults         []string
}

const (
	releaseS = "servers"
	releaseC = "sidecars"
	drainD   = "drain"
	windowW  = "w"
	mostMS   = 5400_000 // of a night: far more than any takes that comes to rest
)

const serverPlan = `name = "servers"
on_halt = "back"
deadline_s = 20000
[what]
server = "%s"
[select]
model = "m1"
[[wave]]
share = 0.05
bake_s = 20
[[wave]]
share = 0.4
bake_s = 10
[[wave]]
bake_s = 5
[limits]
max_out = { count = %d }
`

const sidecarPlan = `name = "sidecars"
on_halt = "hold"
deadline_s = 20000
[what]
sidecar = "2"
[[wave]]
share = 0.02
bake_s = 10
[[wave]]
bake_s = 5
[limits]
max_out = { count = %d }
`

// Run plays the night of a seed.
func Run(seed uint64, opt Options) *Result {
	if opt.Start == 0 {
		at, err := time.Parse(time.DateOnly, starts[seed%uint64(len(starts))])
		if err != nil {
			panic(err)
		}
		opt.Start = at.UnixMilli() + int64(rand.New(rand.NewPCG(seed, 3)).IntN(86400))*1000
	}
	w := newWorld(seed, opt)
	n := &nightPlan{hotKey: w.rng.Uint64()}
	w.night = n
	w.contracts()
	if !w.begins() {
		return w.result()
	}
	if !opt.Calm {
		w.faults()
	}
	for w.now-w.begin < mostMS {
		w.tick()
		if opt.First && len(w.judge.broken) > 0 {
			return w.result()
		}
		if w.now%1000 == 0 && w.opt.Bugs.Torn {
			w.count()
		}
		if w.now%5000 == 0 {
			w.operator()
			if w.rest() {
				break
			}
		}
	}
	w.judge.finish()
	return w.result()
}

func (w *world) result() *Result {
	j := w.judge
	r := &Result{Seed: w.seed, Seconds: float64(w.now-w.begin) / 1000, Counts: j.counts, First: j.broken, Faults: w.night.faults,
		Releases: map[string]string{}, Windows: map[string]string{}, KeptS: float64(j.keptMS) / 1000, OutsideS: float64(j.outside) / 1000, Writes: w.writes}
	for _, rule := range RuleNames {
		r.Broken += j.counts[rule]
	}
	for _, name := range w.plane.releases.Names() {
		s, _ := w.plane.releases.Get(name)
		r.Releases[name] = string(s.Status.Phase)
	}
	for _, win := range w.plane.windows.Windows() {
		r.Windows[win.Name] = string(win.Stage)
		if w.night.fits {
			r.Fit++
			if win.Stage == maintenance.StageDone {
				r.Held++
			}
		}
	}
	return r
}

// contracts agrees on hours that the night lies in: where they close so soon that the window cannot be, it has to wait.
func (w *world) contracts() {
	closes := time.Duration(100+w.rng.IntN(200)) * time.Minute
	if w.rng.IntN(4) == 0 {
		closes = time.Duration(5+w.rng.IntN(35)) * time.Minute
	}
	opened := time.Duration(10+w.rng.IntN(90)) * time.Minute
	if w.opt.CloseIn != 0 {
		closes = w.opt.CloseIn
	}
	if w.opt.OpenIn != 0 {
		opened = -w.opt.OpenIn
	}
	w.night.fits = closes >= 100*time.Minute && opened > 0
	for _, t := range tenants {
		loc, err := time.LoadLocation(t.zone)
		if err != nil {
			panic(err) // the program carries its zones
		}
		opens := time.UnixMilli(w.now).Add(-opened).In(loc).Truncate(time.Minute)
		w.agree(t.name, t.zone, opens, (opened + closes).Truncate(time.Minute))
	}
}

// begins has all that is asked for in the night begin.
func (w *world) begins() bool {
	n := w.night
	n.bad = goodVersion
	if !w.opt.Calm {
		switch w.rng.IntN(8) {
		case 0:
			n.bad = deadVersion
		case 1:
			n.bad = neverVersion
		}
	}
	start := func(name, text string) bool {
		p, err := plan.Parse(name+".toml", []byte(text))
		if err != nil {
			panic(err)
		}
		s, err := release.New(p, w.now, w.plane.ledger.Units(), w.plane.ledger.Budgets(), w.list())
		if err == nil {
			err = w.startRelease(s)
		}
		if err != nil {
			w.judge.breaks(ruleStranded, err.Error())
		}
		return err == nil
	}
	ok := start(releaseS, fmt.Sprintf(serverPlan, n.bad, max(w.opt.Servers/40, 3))) &&
		start(releaseC, fmt.Sprintf(sidecarPlan, max(w.opt.Sidecars/25, 2)))
	// The drain's servers are of the third model, whose release is none; each of another pod group.
	var gone []string
	for i := 2; len(gone) < 4 && i < len(w.servers); i += max(len(w.servers)/16, 1) {
		u := w.servers[i-i%4+2]
		if !slices.Contains(gone, u.ID) {
			gone = append(gone, u.ID)
			u.gone = true
		}
	}
	p := release.DrainPlan(drainD, disruption.Selector{Kind: disruption.KindServer, IDs: gone}, 20000)
	s, err := release.NewDrain(p, w.now, w.plane.ledger.Units(), w.list())
	if err == nil {
		err = w.startRelease(s)
	}
	if err != nil {
		w.judge.breaks(ruleStranded, err.Error())
		return false
	}
	for k := range 2 {
		for _, name := range []string{releaseS, releaseC, drainD} {
			w.releaser(name, k)
		}
		c := w.goodClock()
		if k == 0 {
			c.off += w.opt.ClockOff
		}
		w.windower(k, c)
		w.spreader(k)
	}
	// The window's servers are of the fourth model, of several tenants.
	var uids []string
	at := w.rng.IntN(len(w.servers))
	for k := range 3 {
		i := (at + k*len(w.servers)/3) % len(w.servers)
		uids = append(uids, w.servers[min(i-i%4+3, len(w.servers)-1)].name)
	}
	w.after(1000*w.rng.Int64N(60), func() { w.propose(uids) })
	n.hotFrom = w.now + 20_000 + 1000*w.rng.Int64N(60)
	n.hotTo = n.hotFrom + 30_000 + 1000*w.rng.Int64N(30)
	return ok
}

// propose asks for the window until it is known to be asked for.
func (w *world) propose(uids []string) {
	op := &maintenance.Operation{Kind: maintenance.OpPropose, Window: windowW, Operator: "ops", ServerUIDs: uids, WorkMS: 60_000 + 1000*w.rng.Int64N(60)}
	var try func()
	try = func() {
		if w.operate(op) != string(maintenance.OutcomeApplied) {
			w.after(10_000, try)
			return
		}
		w.night.asked = true
	}
	w.night.wish = op
	try()
}

func (w *world) startRelease(s *release.State) error {
	w.plane.rev++
	return w.plane.releases.Apply(w.plane.rev, &release.Operation{Start: s})
}

// rest tells whether the night is over: nothing moves and nothing is left to come.
func (w *world) rest() bool {
	if w.now < w.night.quiet+30_000 || !w.plane.leads() || w.heated() {
		return false
	}
	for _, name := range w.plane.releases.Names() {
		s, cmds := w.plane.releases.Get(name)
		if !s.Status.Phase.Finished() || s.Status.HandledCommands != len(cmds) {
			return false
		}
	}
	windows := w.plane.windows.Windows()
	if len(windows) == 0 {
		return false
	}
	for _, win := range windows {
		later := win.Stage == maintenance.StageApproved && win.PlannedStartMS > w.now+3600_000
		if !win.Finished() && !later {
			return false
		}
	}
	for _, u := range w.units {
		if !u.judged.in && !u.gone {
			return false
		}
	}
	return true
}

// fault notes and sets one fault.
func (w *world) fault(atMS int64, what string, do func()) {
	w.night.faults = append(w.night.faults, fmt.Sprintf("%4.0f s %s", float64(atMS)/1000, what))
	w.after(atMS, do)
	w.night.quiet = max(w.night.quiet, w.now+atMS)
}

func (w *world) platformFault(f core.Fault) func() {
	return func() { _ = w.platform.SetFault(f) } // a full row of faults takes no more
}

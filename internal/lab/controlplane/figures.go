package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"milldeck/internal/release"
	"milldeck/internal/release/plan"
)

// figuresPlan releases servers in four waves, each watched for half a minute.
const figuresPlan = `name = "servers"
on_halt = "back"
deadline_s = 36000
[what]
server = "2"
[[wave]]
share = 0.02
bake_s = 30
[[wave]]
share = 0.1
bake_s = 30
[[wave]]
share = 0.4
bake_s = 30
[[wave]]
bake_s = 30
[limits]
max_out = { count = 8 }
`

// Rollout is how one release went.
type Rollout struct {
	Seed    uint64  `json:"seed"`
	Harm    string  `json:"harm,omitempty"`
	Phase   string  `json:"phase"`
	Why     string  `json:"why,omitempty"`
	Share   float64 `json:"share"`    // of the fleet that was started on the new version
	BackFor float64 `json:"back_for"` // time of the way back against the time forward; 0: none
	Broken  int     `json:"broken_rules"`
}

// Release plays one release of 200 servers with its judge. A version without harm meets ordinary trouble: servers that
// end by themselves, a zone that is cut off for a while, its controller killed; beside what all servers feel.
func Release(seed uint64, harm *Harm) Rollout {
	w := newWorld(seed, Options{Sidecars: 16, Servers: 200, Start: 1_780_000_000_000, Calm: true})
	w.night, w.stepMS = &nightPlan{}, tickMS
	w.traffic = &traffic{w: w, rng: rand.New(rand.NewPCG(seed, 9))}
	out := Rollout{Seed: seed}
	if harm != nil {
		w.traffic.harm, out.Harm = *harm, harm.Name
	}
	p, err := plan.Parse("figures.toml", []byte(figuresPlan))
	if err != nil {
		panic(err)
	}
	s, err := release.New(p, w.now, w.plane.ledger.Units(), w.plane.ledger.Budgets(), w.list())
	if err == nil {
		err = w.startRelease(s)
	}
	if err != nil {
		panic(fmt.Sprintf("a release of %d sound servers: %v", len(w.servers), err))
	}
	for k := range 2 {
		w.releaser(releaseS, k)
	}
	if harm == nil {
		w.trouble()
	}
	begun, turned := w.now, int64(0)
	for w.now-begun < mostMS {
		w.tick()
		s, _ := w.plane.releases.Get(releaseS)
		if s.Status.Phase == release.PhaseRollback && turned == 0 {
			turned = w.now
		}
		if s.Status.Phase.Finished() {
			break
		}
		if w.now%5000 == 0 {
			w.operator()
		}
	}
	s, _ = w.plane.releases.Get(releaseS)
	out.Phase, out.Why = string(s.Status.Phase), s.Status.HaltReason
	out.Share = float64(len(w.judge.hit)) / float64(len(w.servers))
	if turned > begun {
		out.BackFor = float64(w.now-turned) / float64(turned-begun)
	}
	for _, rule := range RuleNames {
		out.Broken += w.judge.counts[rule]
	}
	return out
}

func (w *world) trouble() {
	r := w.rng
	for range 4 {
		u := w.servers[r.IntN(len(w.servers))]
		w.after(r.Int64N(600_000), func() { w.platform.Crash(u.name, "signal: killed") })
	}
	zone := zones[r.IntN(len(zones))]
	w.after(r.Int64N(400_000), func() {
		for _, u := range w.units {
			if u.Zone == zone {
				u.cut, u.active = w.now+20_000, true
			}
		}
	})
	w.after(r.Int64N(400_000), func() { w.holder(w.procs[0]).doom = &doom{} })
}

// Figures are what is told of many nights and releases.
type Figures struct {
	Nights       int     `json:"nights"`
	BrokenRules  int     `json:"broken_rules"`
	OutsideS     float64 `json:"kept_off_outside_s"`
	KeptS        float64 `json:"kept_off_s"`
	Fit          int     `json:"windows_that_fit"`
	HeldShare    float64 `json:"windows_held"`           // of those that fit
	Early        float64 `json:"harmful_stopped_early"`  // share that met under a tenth of the fleet
	FalseHalts   float64 `json:"false_halts"`            // share of healthy releases that did not end on the new version
	WayBack      float64 `json:"way_back"`               // worst, against the time forward
	WayBackMid   float64 `json:"way_back_median"`        //
	ReleaseRules int     `json:"releases_broken_rules"`  // in the releases of these figures
	Harmful      int     `json:"harmful_releases"`       //
	Healthy      int     `json:"healthy_releases"`       //
	Seconds      float64 `json:"seconds_of_the_worlds"`  //
	Writes       int     `json:"writes_to_the_log"`      //
	BrokenNights []int   `json:"broken_nights,omitzero"` // their seeds
}

// Sum makes the figures of nights, and of releases of harmful and of healthy versions.
func Sum(nights []*Result, harmful, healthy []Rollout) Figures {
	f := Figures{Nights: len(nights), Harmful: len(harmful), Healthy: len(healthy)}
	held := 0
	for _, r := range nights {
		f.BrokenRules += r.Broken
		f.OutsideS += r.OutsideS
		f.KeptS += r.KeptS
		f.Fit += r.Fit
		f.Seconds += r.Seconds
		f.Writes += r.Writes
		held += r.Held
		if r.Broken > 0 {
			f.BrokenNights = append(f.BrokenNights, int(r.Seed))
		}
	}
	f.HeldShare = part(held, f.Fit)
	early, halts, ratios := 0, 0, []float64{}
	for _, r := range harmful {
		f.ReleaseRules += r.Broken
		if r.Phase == string(release.PhaseRolledBack) && r.Share < 0.1 {
			early++
		}
		if r.BackFor > 0 {
			ratios = append(ratios, r.BackFor)
		}
	}
	for _, r := range healthy {
		f.ReleaseRules += r.Broken
		if r.Phase != string(release.PhaseCompleted) {
			halts++
		}
	}
	f.Early, f.FalseHalts = part(early, len(harmful)), part(halts, len(healthy))
	if slices.Sort(ratios); len(ratios) > 0 {
		f.WayBack, f.WayBackMid = ratios[len(ratios)-1], ratios[len(ratios)/2]
	}
	return f
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

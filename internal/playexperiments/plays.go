package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"milldeck/internal/lab"
)

// mode is the subcommand of `milldeck lab` that plays a file.
type mode string

const (
	modeRun mode = "run" // real processes
	modeSim mode = "sim" // virtual clock
)

// replacement shortens an experiment: a text of the file and what stands in its place.
type replacement struct{ old, new string }

// play is one way of playing a file, with the verdict that it has to have.
type play struct {
	file         string
	mode         mode
	controlPlane bool          // the file has a control plane: sim simulates nothing else, with faults of its own
	broken       []lab.Rule    // the rules that the file plants a violation of; none: the play violates nothing
	short        []replacement // for modeRun
}

// verdict returns the verdict that the play has to have.
func (p *play) verdict() verdict {
	if len(p.broken) == 0 {
		return verdict{}
	}
	expected := verdict{status: 1}
	for _, rule := range p.broken {
		expected.rules = append(expected.rules, string(rule))
	}
	slices.Sort(expected.rules)
	return expected
}

// duration shortens the load.
func duration(from, to int) replacement {
	return replacement{fmt.Sprintf("\nduration_s = %d\n", from), fmt.Sprintf("\nduration_s = %d\n", to)}
}

// at moves what happens at a time.
func at(from, to int) replacement {
	return replacement{fmt.Sprintf("\nat_s = %d\n", from), fmt.Sprintf("\nat_s = %d\n", to)}
}

// phaseLength shortens a phase of the load.
func phaseLength(from, to int) replacement {
	return replacement{fmt.Sprintf("\nfor_s = %d\n", from), fmt.Sprintf("\nfor_s = %d\n", to)}
}

// nightFaults moves the faults of fleet-night forward by twelve seconds, and the platform's by ten.
var nightFaults = []replacement{
	at(18, 8), at(26, 14), at(27, 15), at(29, 17),
	{"\nat_s = 28\nfor_s = 10\n", "\nat_s = 16\nfor_s = 10\n"}, {"\nat_s = 28\nfor_s = 5\n", "\nat_s = 16\nfor_s = 5\n"},
}

// simulated returns the simulation of a file that violates nothing.
func simulated(file string) play { return play{file: file, mode: modeSim} }

// controlPlaneSimulated returns the simulation of a file with a control plane. What a -broken variant plants is an action of
// real processes, which the simulation leaves out, so it violates nothing either.
func controlPlaneSimulated(file string) play {
	return play{file: file, mode: modeSim, controlPlane: true}
}

// live returns the play of a file with real processes.
func live(file string, broken []lab.Rule, short ...replacement) play {
	return play{file: file, mode: modeRun, broken: broken, short: short}
}

// bypassed are the rules that an operator violates who acts at the supervisor, bypassing the controllers.
var bypassed = []lab.Rule{lab.RuleDuplicateAction, lab.RuleDisruptionBudget, lab.RuleFinalState}

// plays are all plays, the longest first. faults.toml is for `lab faults`, fleet.toml and the hot-key-sim files are for sim.
var plays = []play{
	live("fleet-night.toml", nil, slices.Concat(nightFaults, []replacement{duration(72, 58), at(35, 25), at(70, 56)})...),
	live("release-good.toml", nil, duration(75, 50), at(10, 6), at(25, 9)),
	live("release-harm.toml", nil, duration(60, 44)),
	live("fleet-night-broken.toml", bypassed, slices.Concat(nightFaults, []replacement{duration(72, 34), phaseLength(30, 18), at(35, 25), at(68, 29), at(70, 32)})...),
	live("window.toml", nil, duration(75, 26), replacement{"to_s = 62 #", "to_s = 21 #"}, at(15, 6), at(20, 9), at(55, 16), at(60, 19), at(73, 24)),
	live("release-harm-broken.toml", []lab.Rule{lab.RuleFinalState}, duration(60, 26)),
	live("release-good-broken.toml", []lab.Rule{lab.RuleDisruptionBudget}, duration(40, 24)),
	live("registry-loss.toml", nil, duration(80, 23), replacement{"at_s = 10\nfor_s = 60\n", "at_s = 8\nfor_s = 10\n"}, at(25, 11), at(40, 14)),
	live("hot-key.toml", nil, duration(40, 22), phaseLength(10, 4), replacement{"\nfor_s = 18\nevery_s = 12\n", "\nfor_s = 14\nevery_s = 7\n"},
		at(13, 6), at(24, 12)),
	live("drain-loss-broken.toml", bypassed, duration(60, 21), at(40, 13), at(45, 16)),
	live("window-broken.toml", []lab.Rule{lab.RuleMaintenanceHours}, duration(75, 20), replacement{"to_s = 20\n", "to_s = 10\n"},
		at(15, 6), at(20, 8), at(55, 12), at(60, 15), at(73, 18)),
	live("drain-loss.toml", nil, duration(60, 16)),
	live("hot-key-broken.toml", []lab.Rule{lab.RuleHotKeyCost}, duration(34, 16), phaseLength(10, 4), phaseLength(18, 10), at(12, 6)),
	live("quickstart.toml", nil),
	live("zone-loss.toml", nil),
	simulated("fleet.toml"),
	simulated("hot-key-sim.toml"),
	{file: "hot-key-sim-broken.toml", mode: modeSim, broken: []lab.Rule{lab.RuleHotKeyCost}},
	simulated("zone-loss.toml"),
	simulated("registry-loss.toml"),
	simulated("quickstart.toml"),
	simulated("faults.toml"),
	controlPlaneSimulated("drain-loss.toml"),
	controlPlaneSimulated("drain-loss-broken.toml"),
	controlPlaneSimulated("fleet-night.toml"),
	controlPlaneSimulated("fleet-night-broken.toml"),
	controlPlaneSimulated("hot-key.toml"),
	controlPlaneSimulated("hot-key-broken.toml"),
	controlPlaneSimulated("release-good.toml"),
	controlPlaneSimulated("release-good-broken.toml"),
	controlPlaneSimulated("release-harm.toml"),
	controlPlaneSimulated("release-harm-broken.toml"),
	controlPlaneSimulated("window.toml"),
	controlPlaneSimulated("window-broken.toml"),
}

// checkComplete returns an error unless every file of the directory is in a play of each mode that it is meant for, and every
// file named as broken is in a play that violates a rule.
func checkComplete(dir string, all []play) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("no experiments in %s", dir)
	}
	for _, path := range paths {
		file := filepath.Base(path)
		experiment, err := lab.Load(path)
		if err != nil {
			return err
		}
		played := func(holds func(*play) bool) bool {
			return slices.ContainsFunc(all, func(p play) bool { return p.file == file && holds(&p) })
		}
		switch {
		case !played(func(p *play) bool { return p.mode == modeSim }):
			return fmt.Errorf("%s has no play in plays.go", file)
		case experiment.HasControlPlane() && !played(func(p *play) bool { return p.mode == modeRun }):
			return fmt.Errorf("%s has a control plane and no play with real processes in plays.go", file)
		case strings.HasSuffix(file, "-broken.toml") != played(func(p *play) bool { return len(p.broken) > 0 }):
			return fmt.Errorf("%s: the name and the expected verdicts in plays.go differ on whether it is broken", file)
		}
	}
	return nil
}

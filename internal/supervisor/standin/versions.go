// Package standin is the lab's platform: it starts, stops and lists real processes by version, and fails when it is
// told to. What it decides stands in package core; here are the versions' file, the processes and the HTTP form.
package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"milldeck/internal/conf"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// Versions are the programs that a platform can run.
type Versions struct {
	MostUnits int       `toml:"most_units"` // listed at a time; 0: the core's default
	Versions  []Version `toml:"version"`
}

// Version is one of them. In Argv and the values of Env, {name}, {listen}, {zone}, {version} and {config}, the path
// of the unit's configuration file, stand for the unit's own.
type Version struct {
	Name     string            `toml:"name"`
	Kind     supervisor.Kind   `toml:"kind"`
	Argv     []string          `toml:"argv"`
	Env      map[string]string `toml:"env"`      // beside the platform's
	Ready    string            `toml:"ready"`    // path of the ready check at the unit's address; empty: ready once started
	GraceMS  int64             `toml:"grace_ms"` // 0: the core's default
	Restarts int               `toml:"restarts"` // by the platform itself, of one incarnation
}

const (
	mostVersions = 256
	mostArgs     = 64
	mostRestarts = 1000
)

var placeholders = []string{"name", "listen", "zone", "version", "config"}

// LoadVersions reads a versions' file.
func LoadVersions(path string) (*Versions, error) {
	v := &Versions{}
	f, err := conf.Load(path, v)
	if err != nil {
		return nil, err
	}
	if len(v.Versions) == 0 || len(v.Versions) > mostVersions {
		return nil, f.Errorf("version", "%d versions, 1 to %d can be", len(v.Versions), mostVersions)
	}
	if v.MostUnits < 0 {
		return nil, f.Errorf("most_units", "%d is negative", v.MostUnits)
	}
	seen := map[core.Version]bool{}
	for i := range v.Versions {
		one := &v.Versions[i]
		at := func(key string) string { return fmt.Sprintf("version[%d].%s", i, key) }
		id := core.Version{Kind: one.Kind, Name: one.Name}
		if err := supervisor.CheckVersion(one.Kind, one.Name); err != nil {
			return nil, f.Errorf(at("name"), "%w", err)
		}
		if seen[id] {
			return nil, f.Errorf(at("name"), "%s %s stands twice", one.Kind, one.Name)
		}
		seen[id] = true
		if len(one.Argv) == 0 || len(one.Argv) > mostArgs || one.Argv[0] == "" {
			return nil, f.Errorf(at("argv"), "%d parts, a program and at most %d in all can be", len(one.Argv), mostArgs)
		}
		for _, a := range one.Argv {
			if bad := unknown(a); bad != "" {
				return nil, f.Errorf(at("argv"), "%s stands for nothing", bad)
			}
		}
		for _, k := range slices.Sorted(maps.Keys(one.Env)) {
			if bad := unknown(one.Env[k]); bad != "" {
				return nil, f.Errorf(at("env")+"."+k, "%s stands for nothing", bad)
			}
		}
		if one.Ready != "" && one.Ready[0] != '/' {
			return nil, f.Errorf(at("ready"), "%q is no path", one.Ready)
		}
		if one.GraceMS < 0 || one.GraceMS > supervisor.MaxGraceMS {
			return nil, f.Errorf(at("grace_ms"), "%d is not within 0 to %d", one.GraceMS, supervisor.MaxGraceMS)
		}
		if one.Restarts < 0 || one.Restarts > mostRestarts {
			return nil, f.Errorf(at("restarts"), "%d is not within 0 to %d", one.Restarts, mostRestarts)
		}
	}
	return v, nil
}

// unknown is the first placeholder of a text that stands for nothing.
func unknown(text string) string {
	for {
		_, rest, found := strings.Cut(text, "{")
		if !found {
			return ""
		}
		name, after, _ := strings.Cut(rest, "}")
		if !slices.Contains(placeholders, name) {
			return "{" + name + "}"
		}
		text = after
	}
}

// options are the core's.
func (v *Versions) options() core.Options {
	rules := make(map[core.Version]core.Rules, len(v.Versions))
	for _, one := range v.Versions {
		rules[core.Version{Kind: one.Kind, Name: one.Name}] = core.Rules{GraceMS: one.GraceMS, Restarts: one.Restarts}
	}
	return core.Options{Versions: rules, MostUnits: v.MostUnits}
}

// find is a version that the core knows.
func (v *Versions) find(k supervisor.Kind, name string) *Version {
	for i := range v.Versions {
		if v.Versions[i].Kind == k && v.Versions[i].Name == name {
			return &v.Versions[i]
		}
	}
	return nil
}

// command is a unit's command line and environment, and whether they name a configuration file.
func (v *Version) command(u *supervisor.Unit, config string) (argv, env []string, configured bool) {
	r := strings.NewReplacer("{name}", u.Name, "{listen}", u.Listen, "{zone}", u.Zone, "{version}", u.Version, "{config}", config)
	for _, a := range v.Argv {
		argv = append(argv, r.Replace(a))
		configured = configured || strings.Contains(a, "{config}")
	}
	for _, k := range slices.Sorted(maps.Keys(v.Env)) {
		env = append(env, k+"="+r.Replace(v.Env[k]))
		configured = configured || strings.Contains(v.Env[k], "{config}")
	}
	return argv, env, configured
}

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// verdict is the exit status of a play with the rules that it found violated.
type verdict struct {
	status     int
	rules      []string // sorted
	overloaded bool     // the machine was too slow: the sidecars were not judged, nor anything else if a fault came late
}

func (v verdict) String() string {
	text := fmt.Sprint(v.status)
	if len(v.rules) > 0 {
		text += " (" + strings.Join(v.rules, ", ") + ")"
	}
	if v.overloaded {
		text += ", machine too slow"
	}
	return text
}

// equal reports whether two verdicts have the same status and rules.
func (v verdict) equal(other verdict) bool {
	return v.status == other.status && slices.Equal(v.rules, other.rules)
}

// resultFile is what the check reads of the JSON of a result: of a run, or of simulations of the control plane.
type resultFile struct {
	Overloaded bool           `json:"overloaded"`
	LateFaults int            `json:"late_faults"`
	Rules      map[string]int `json:"rules"`
	Nights     []struct {
		Rules map[string]int `json:"rule_counts"`
	} `json:"nights"`
}

// readVerdict returns the verdict of a play that ended with a status and wrote its result to a file. Without a result the
// play violated no rule: it could not be played.
func readVerdict(status int, path string) (verdict, error) {
	found := verdict{status: status}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return found, nil
	}
	if err != nil {
		return found, err
	}
	var result resultFile
	if err := json.Unmarshal(data, &result); err != nil {
		return found, fmt.Errorf("%s: %w", path, err)
	}
	if result.LateFaults > 0 {
		found.overloaded = true
		return found, nil
	}
	counts := result.Rules
	for _, night := range result.Nights {
		counts = mergeCounts(counts, night.Rules)
	}
	for rule, count := range counts {
		if count > 0 && (!result.Overloaded || isControlPlaneRule(rule)) {
			found.rules = append(found.rules, rule)
		}
	}
	slices.Sort(found.rules)
	found.overloaded = result.Overloaded
	return found, nil
}

func mergeCounts(into, from map[string]int) map[string]int {
	merged := maps.Clone(from)
	if merged == nil {
		merged = map[string]int{}
	}
	for rule, count := range into {
		merged[rule] += count
	}
	return merged
}

package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// The case "lease": two candidates, A and B, take turns at the leases of some jobs. A backup of the registry is made while A
// holds them. An operator hands each lease over to B. Then the registry is restored from the backup.

const (
	leaseCount      = 20
	handoverSpacing = 1300 * time.Millisecond
	afterRestore    = 7 * time.Second // more than one TTL (5 s)
	leaseSetupLimit = 15 * time.Second
)

// holdEvent is a line of `milldeck duty hold`. Times are readings of the machine's monotonic clock.
type holdEvent struct {
	What    string `json:"what"`
	Lease   string `json:"duty"`
	Who     string `json:"who"`
	Token   uint64 `json:"token"`
	AtNS    int64  `json:"at_ns"`
	UntilNS int64  `json:"until_ns"`
}

func holdEvents(p *process) []holdEvent {
	var events []holdEvent
	for _, line := range p.lines() {
		var event holdEvent
		if json.Unmarshal([]byte(line), &event) == nil && event.AtNS != 0 {
			events = append(events, event)
		}
	}
	return events
}

// heldLeases returns the number of leases whose last event says that the process holds them.
func heldLeases(p *process) int {
	last := map[string]string{}
	for _, event := range holdEvents(p) {
		last[event.Lease] = event.What
	}
	count := 0
	for _, what := range last {
		if what == "acquired" || what == "renewed" {
			count++
		}
	}
	return count
}

func leaseNames() []string {
	var names []string
	for i := range leaseCount {
		names = append(names, fmt.Sprintf("job%d", i+1))
	}
	return names
}

func leaseCase(r *run) error {
	replicas, err := r.startReplicas()
	if err != nil {
		return err
	}
	flag := " --replicas " + strings.Join(replicas, ",")
	hold := "exec bin/milldeck duty hold " + strings.Join(leaseNames(), " ") + " --ttl 5s" + flag
	holderA, err := r.start("holder-a", hold+" --who A")
	if err != nil {
		return err
	}
	if err := r.wait("A holds all leases", leaseSetupLimit, func() bool { return heldLeases(holderA) == leaseCount }); err != nil {
		return err
	}
	holderB, err := r.start("holder-b", hold+" --who B")
	if err != nil {
		return err
	}
	if err := r.wait("B waits", leaseSetupLimit, func() bool { return len(holdEvents(holderB)) >= leaseCount }); err != nil {
		return err
	}
	backup := filepath.Join(r.dir, "backup.snapshot")
	if err := r.command("registry snapshot save " + backup + flag); err != nil {
		return err
	}
	for _, name := range leaseNames() {
		if err := r.command("duty handover " + name + " --to B" + flag); err != nil {
			return err
		}
		if err := r.sleep(handoverSpacing); err != nil {
			return err
		}
	}
	if err := r.wait("B holds all leases", leaseSetupLimit, func() bool { return heldLeases(holderB) == leaseCount }); err != nil {
		return err
	}
	if r.trouble {
		if err := r.command("registry snapshot restore " + backup + flag); err != nil {
			return err
		}
	}
	if err := r.sleep(afterRestore); err != nil {
		return err
	}
	if err := r.command("duty list" + flag); err != nil {
		return err
	}
	return r.judgeLeases(slices.Concat(holdEvents(holderA), holdEvents(holderB)))
}

// belief is the time in which a process believed that it held a lease, by its own events.
type belief struct {
	who          string
	token        uint64
	fromNS, toNS int64
}

// judgeLeases checks two rules of docs/leader-election.md: at most one process believes at any moment that it holds a lease,
// and each tenure has a higher fencing token than any before.
func (r *run) judgeLeases(events []holdEvent) error {
	slices.SortStableFunc(events, func(a, b holdEvent) int { return int(a.AtNS - b.AtNS) })
	overlaps, lowTokens := 0, 0
	for _, name := range leaseNames() {
		beliefs := beliefsOf(events, name)
		for i, later := range beliefs {
			for _, earlier := range beliefs[:i] {
				if earlier.who != later.who && min(earlier.toNS, later.toNS) > later.fromNS {
					overlaps++
					r.note("%s: %s (token %d) and %s (token %d) both believed to hold it for %.0f ms", name, earlier.who, earlier.token,
						later.who, later.token, float64(min(earlier.toNS, later.toNS)-later.fromNS)/float64(time.Millisecond))
				}
				if later.token <= earlier.token {
					lowTokens++
					r.note("%s: %s began a tenure under token %d after %s's under token %d", name, later.who, later.token, earlier.who, earlier.token)
				}
			}
		}
	}
	for _, event := range events {
		r.write("event %+v", event)
	}
	r.note("leases with two holders at a time: %d of %d; tenures under a token that is not higher than an earlier one: %d",
		overlaps, leaseCount, lowTokens)
	if overlaps > 0 {
		return errRuleBroken
	}
	return nil
}

// beliefsOf returns the tenures of a lease in the order of their begin. A tenure lasts until the process says that it has
// lost or stopped it, and no longer than the end that its last renewal names.
func beliefsOf(events []holdEvent, lease string) []belief {
	var beliefs []belief
	current := map[string]int{} // index in beliefs, by process
	for _, event := range events {
		if event.Lease != lease {
			continue
		}
		i, holds := current[event.Who]
		switch event.What {
		case "acquired":
			current[event.Who] = len(beliefs)
			beliefs = append(beliefs, belief{event.Who, event.Token, event.AtNS, event.UntilNS})
		case "renewed":
			if holds {
				beliefs[i].toNS = event.UntilNS
			}
		case "lost", "stopped":
			if holds {
				beliefs[i].toNS = min(beliefs[i].toNS, event.AtNS)
				delete(current, event.Who)
			}
		}
	}
	return beliefs
}

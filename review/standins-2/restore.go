package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restore"] = playRestore }

// leaseEvent is a line that `milldeck duty hold` prints.
type leaseEvent struct {
	What    string `json:"what"`
	Lease   string `json:"duty"`
	Who     string `json:"who"`
	Token   uint64 `json:"token"`
	AtNS    int64  `json:"at_ns"` // of the machine's monotonic clock
	UntilNS int64  `json:"until_ns"`
}

// leaseEvents collects the lines of all holders.
type leaseEvents struct {
	mu     sync.Mutex
	events []leaseEvent // of one holder in order
}

func (l *leaseEvents) add(line string) {
	var event leaseEvent
	if json.Unmarshal([]byte(line), &event) != nil || event.What == "" {
		return // a line of the log
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

// count counts the events of a kind of a holder.
func (l *leaseEvents) count(what, who string) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.events {
		if l.events[i].What == what && l.events[i].Who == who {
			count++
		}
	}
	return count
}

// tenure is a time for which a process believed that it held a lease.
type tenure struct {
	lease, who     string
	token          uint64
	fromNS, tillNS int64
	saved          int // writes that the registry accepted under the token
}

// tenures returns the tenures of all holders by the order of their begin.
func (l *leaseEvents) tenures() []*tenure {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := map[string]*tenure{} // by holder
	var all []*tenure
	for i := range l.events {
		event := &l.events[i]
		current := open[event.Who]
		switch event.What {
		case "acquired":
			open[event.Who] = &tenure{event.Lease, event.Who, event.Token, event.AtNS, event.UntilNS, 0}
			all = append(all, open[event.Who])
		case "renewed":
			if current != nil {
				current.tillNS = event.UntilNS
			}
		case "saved":
			if current != nil {
				current.saved++
			}
		case "lost", "stopped":
			if current != nil {
				current.tillNS = min(current.tillNS, event.AtNS)
				delete(open, event.Who)
			}
		}
	}
	slices.SortFunc(all, func(a, b *tenure) int { return cmp.Compare(a.fromNS, b.fromNS) })
	return all
}

const leasesOfCase = 3

// playRestore restores a backup of the registry while processes hold leases and wait for them.
func playRestore(ctx context.Context, r *run) error {
	registry, err := r.startRegistry(ctx)
	if err != nil {
		return err
	}
	events := &leaseEvents{}
	for i := range leasesOfCase {
		if _, err := r.hold(ctx, registry, events, i, "a", "--save-every", "2s"); err != nil {
			return err
		}
		if _, err := r.hold(ctx, registry, events, i, "b"); err != nil {
			return err
		}
	}
	backup := filepath.Join(r.scratch, "backup")
	if err := r.command(ctx, "registry", "snapshot", "save", backup, "--replicas", registry); err != nil {
		return err
	}
	if err := r.handOver(ctx, registry, events); err != nil {
		return err
	}
	if err := r.comeAndGo(ctx, registry, events); err != nil {
		return err
	}
	last := fmt.Sprintf("b%d", leasesOfCase-1)
	renewals := events.count("renewed", last) + 1
	if err := await(ctx, "a renewal", 10*time.Second, func() bool { return events.count("renewed", last) > renewals }); err != nil {
		return err
	}
	if err := sleep(ctx, 200*time.Millisecond); err != nil {
		return err
	}
	if r.trouble {
		if err := r.command(ctx, "registry", "snapshot", "restore", backup, "--replicas", registry); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 12*time.Second); err != nil {
		return err
	}
	r.killAll()
	return r.judgeTenures(events.tenures())
}

// comeAndGo starts a further candidate for each lease and ends it. Waiting candidates renew their places some time after the
// last change of the queue, holders after they have acquired the lease: this keeps the two apart.
func (r *run) comeAndGo(ctx context.Context, registry string, events *leaseEvents) error {
	if err := sleep(ctx, 600*time.Millisecond); err != nil {
		return err
	}
	for i := range leasesOfCase {
		further, err := r.hold(ctx, registry, events, i, "c")
		if err != nil {
			return err
		}
		if err := r.end(further, syscall.SIGTERM, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// hold starts a candidate for a lease and waits until it holds the lease or waits for it.
func (r *run) hold(ctx context.Context, registry string, events *leaseEvents, number int, name string, flags ...string) (*process, error) {
	lease, who := fmt.Sprintf("job-%d", number), fmt.Sprintf("%s%d", name, number)
	argv := append([]string{milldeck, "duty", "hold", lease, "--who", who, "--ttl", "5s", "--replicas", registry}, flags...)
	started, err := r.start(who, nil, events.add, argv...)
	if err != nil {
		return nil, err
	}
	return started, await(ctx, who+" to campaign", 10*time.Second, func() bool { return events.count("acquired", who)+events.count("waiting", who) > 0 })
}

// handOver hands each lease over to the candidate that waits for it.
func (r *run) handOver(ctx context.Context, registry string, events *leaseEvents) error {
	for i := range leasesOfCase {
		successor := fmt.Sprintf("b%d", i)
		if err := r.command(ctx, "duty", "handover", fmt.Sprintf("job-%d", i), "--to", successor, "--replicas", registry); err != nil {
			return err
		}
		if err := await(ctx, successor+" to hold its lease", 10*time.Second, func() bool { return events.count("acquired", successor) > 0 }); err != nil {
			return err
		}
	}
	return nil
}

// judgeTenures judges that at most one process believes at a time that it holds a lease, and that each tenure has a higher
// token than any before.
func (r *run) judgeTenures(all []*tenure) error {
	broken := false
	for i, t := range all {
		r.printf("%s: %s believes under token %d from %.3f s for %.3f s, %d writes accepted", t.lease, t.who, t.token,
			float64(t.fromNS-all[0].fromNS)/1e9, float64(t.tillNS-t.fromNS)/1e9, t.saved)
		for _, earlier := range all[:i] {
			if earlier.lease != t.lease {
				continue
			}
			if overlap := earlier.tillNS - t.fromNS; overlap > 0 && earlier.who != t.who {
				broken = true
				r.printf("  BROKEN: %s believes so too, under token %d, for %.3f s of this", earlier.who, earlier.token, float64(overlap)/1e9)
			}
			if earlier.token >= t.token && earlier.who != t.who { // a holder may get its own lease and token again
				broken = true
				r.printf("  BROKEN: %s had token %d before, which is not lower", earlier.who, earlier.token)
			}
		}
	}
	if len(all) < 2*leasesOfCase {
		return fmt.Errorf("only %d tenures: the run shows nothing", len(all))
	}
	if broken {
		return errBroken
	}
	return nil
}

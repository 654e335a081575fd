package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/leaderelection"
	"milldeck/internal/leaderelection/clock"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

func newDuty() *cobra.Command {
	c := &cobra.Command{
		Use:   "duty",
		Short: "Leader election: leases for what only one process may do at a time",
		Long: "duty holds, shows and hands over leases, each for what only one process may do at a time. docs/leader-election.md says\n" +
			"what is promised.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newHold(), newDutyList(), newDutyWatch(), newDutyRelease(), newHandover(), newTakeaway(), newDutyBench())
	return c
}

// holdOptions are the flags of `milldeck duty hold`.
type holdOptions struct {
	replicas     []string
	election     leaderelection.Options
	saveInterval time.Duration // 0: no trial writes
	clockFaults  string
}

func newHold() *cobra.Command {
	var opts holdOptions
	c := &cobra.Command{
		Use:   "hold NAME...",
		Short: "Campaigns for leases and holds them until SIGTERM",
		Long: "hold campaigns for leases, holds each until an interrupt and releases it. It prints a JSON line for each step: waiting,\n" +
			"acquired, renewed, asked, lost, stopped, released, with token and times; those in ns are of the machine's monotonic\n" +
			"clock. After a loss it campaigns again.\n\n" + exitHelp,
		Example: "  milldeck duty hold backup --ttl 5s\n  milldeck duty hold backup --once",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("duty hold takes the names of duties")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, names []string) error { return hold(c.Context(), c.OutOrStdout(), names, opts) },
	}
	flags := c.Flags()
	flags.StringSliceVar(&opts.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	flags.StringVar(&opts.election.Candidate, "who", "", "this candidate's name, another with each start (default: drawn)")
	flags.DurationVar(&opts.election.TTL, "ttl", leaderelection.DefaultTTL, "TTL of the lease, if this candidate finds it free")
	flags.BoolVar(&opts.election.SingleTenure, "once", false, "end after the first tenure, however it ended")
	flags.DurationVar(&opts.saveInterval, "save-every", 0, "interval at which to count up in the lease's checkpoint, as a trial of its guard; 0: never")
	flags.StringVar(&opts.clockFaults, "clock", "", `a fault of this process's clock, for trials: "rate=0.9" or "jump=1h/300ms"`)
	_ = flags.MarkHidden("clock") // it fails only for a flag that does not exist
	return c
}

// hold campaigns for all the leases until ctx ends, and prints their events.
func hold(ctx context.Context, w io.Writer, names []string, opts holdOptions) error {
	if ttl := opts.election.TTL.Milliseconds(); ttl < leasetable.MinTTLMS || ttl > leasetable.MaxTTLMS {
		return usageError{fmt.Errorf("--ttl: %v is not within %d ms to %d ms", opts.election.TTL, leasetable.MinTTLMS, leasetable.MaxTTLMS)}
	}
	faultyClock, err := clock.Parse(opts.clockFaults)
	if err != nil {
		return usageError{fmt.Errorf("--clock: %w", err)}
	}
	client, err := registry.NewClient(opts.replicas)
	if err != nil {
		return usageError{fmt.Errorf("--replicas: %w", err)}
	}
	defer client.Close()
	out := &jsonLines{encoder: json.NewEncoder(w)}
	election := opts.election
	election.Clock = faultyClock
	if election.Candidate == "" {
		election.Candidate = registry.NewID() // one for all leases, so that their renewals are sent together
	}
	election.OnEvent = func(e leaderelection.Event) {
		out.print(timedEvent{e, faultyClock.MonotonicNSOf(e.At), faultyClock.MonotonicNSOf(e.ValidUntil)})
	}
	ended := make(chan error, len(names))
	for _, name := range names {
		go func() {
			ended <- leaderelection.Run(ctx, client, name, election, func(ctx context.Context, lease *leaderelection.Lease) error {
				return holdLease(ctx, lease, opts.saveInterval, out)
			})
		}()
	}
	for range names {
		if e := <-ended; !errors.Is(e, leaderelection.ErrStepDownRequested) {
			err = errors.Join(err, e)
		}
	}
	if ctx.Err() != nil {
		return nil // it was interrupted, and what it held is released or expires
	}
	return err
}

// timedEvent is an event with its times on the monotonic clock that all processes of the machine share.
type timedEvent struct {
	leaderelection.Event
	AtNS         int64 `json:"at_ns"`
	ValidUntilNS int64 `json:"until_ns,omitempty"`
}

// trialWrite is what became of one trial write of the checkpoint.
type trialWrite struct {
	At        time.Time                `json:"at"`
	StartedAt time.Time                `json:"began"`
	Count     int                      `json:"count"`
	Lease     string                   `json:"duty"`
	Token     uint64                   `json:"token"`
	Type      leaderelection.EventType `json:"what"`
	Candidate string                   `json:"who"`
}

// jsonLines prints values as JSON lines, one at a time.
type jsonLines struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func (l *jsonLines) print(v any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.encoder.Encode(v) // a closed output is no reason to give the lease up
}

// holdLease holds a lease until ctx ends. With a save interval it counts up in the checkpoint and prints the outcomes.
func holdLease(ctx context.Context, lease *leaderelection.Lease, saveInterval time.Duration, out *jsonLines) error {
	if saveInterval == 0 {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	count, _ := strconv.Atoi(string(lease.Checkpoint)) // 0 if there is no checkpoint yet
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		count++
		write := trialWrite{StartedAt: time.Now(), Count: count, Lease: lease.Name, Token: lease.Token, Candidate: lease.Holder}
		err := lease.SaveCheckpoint(context.WithoutCancel(ctx), []byte(strconv.Itoa(count)))
		var status *registry.StatusError
		switch {
		case err == nil:
			write.Type = leaderelection.CheckpointSaved
		case errors.As(err, &status):
			write.Type = leaderelection.CheckpointRejected
		default:
			write.Type = leaderelection.CheckpointUnknown
		}
		write.At = time.Now()
		out.print(write)
	}
}

func newDutyList() *cobra.Command {
	return asks("list", "Prints the leases", 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
		leases, err := client.Leases(ctx)
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), leases, func(w io.Writer) error {
			table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
			for i := range leases {
				fmt.Fprintln(table, leaseRow(&leases[i]))
			}
			return table.Flush()
		})
	})
}

// leaseRow describes a lease in columns separated by tabs.
func leaseRow(lease *leasetable.Lease) string {
	state := "held by " + lease.Holder
	switch {
	case lease.Holder == "":
		state = "free"
	case lease.Revoked:
		state = "taken away from " + lease.Holder
	case lease.StepDownRequested:
		state += ", asked to step down"
	}
	return fmt.Sprintf("%s\ttoken %d\t%s\t%d waiting\t%d changes", lease.Name, lease.Token, state, len(lease.Queue), lease.Transitions)
}

// showLease prints one lease as JSON or as a line.
func (a *asking) showLease(w io.Writer, lease leasetable.Lease) error {
	return a.show(w, lease, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.ReplaceAll(leaseRow(&lease), "\t", "  "))
		return err
	})
}

func newDutyWatch() *cobra.Command {
	a := &asking{}
	c := &cobra.Command{
		Use: "watch NAME", Short: "Prints a lease and each of its changes, until an interrupt", Args: exactly(1),
		Long: "watch prints a lease and each of its changes, until an interrupt.\n\n" + exitHelp,
		RunE: func(c *cobra.Command, args []string) error {
			return a.with(c, func(_ context.Context, client *registry.Client) error {
				// It lasts until the interrupt, not until --wait is over. A closed output ends the program by SIGPIPE.
				err := client.WatchLease(c.Context(), args[0], func(lease leasetable.Lease) { _ = a.showLease(c.OutOrStdout(), lease) })
				if errors.Is(err, context.Canceled) {
					return nil
				}
				return err
			})
		},
	}
	a.flags(c)
	return c
}

// leaseCommand returns a command that makes one request about a lease and prints the lease as it then is. The command
// sets the request's fields from its flags.
func leaseCommand(use, short string, kind leasetable.OperationKind, request *registry.LeaseRequest) *cobra.Command {
	return asks(use, short, 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		lease, err := client.UpdateLease(ctx, kind, args[0], *request)
		if err != nil {
			return err
		}
		return a.showLease(c.OutOrStdout(), lease)
	})
}

func newDutyRelease() *cobra.Command {
	var request registry.LeaseRequest
	c := leaseCommand("release NAME", "Gives up a lease for its holder, or a place in its queue", leasetable.Release, &request)
	c.Flags().StringVar(&request.Candidate, "who", "", "the holder or candidate")
	c.Flags().Uint64Var(&request.Token, "token", 0, "the holder's fencing token; 0: a place in the queue")
	return c
}

func newHandover() *cobra.Command {
	var request registry.LeaseRequest
	c := leaseCommand("handover NAME", "Requests the holder to step down in favour of a candidate", leasetable.Handover, &request)
	c.Flags().StringVar(&request.Successor, "to", "", "the candidate, who waits in the queue")
	return c
}

func newTakeaway() *cobra.Command {
	const short = "Revokes a lease: its token is invalid at once, and the next candidate acquires it after the holder's TTL"
	return leaseCommand("takeaway NAME", short, leasetable.Revoke, &registry.LeaseRequest{})
}

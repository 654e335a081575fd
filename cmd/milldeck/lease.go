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
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/leaderelection"
	"milldeck/internal/leaderelection/clock"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

func newLease() *cobra.Command {
	command := &cobra.Command{
		Use:   "duty",
		Short: "Leader election: leases that one process at a time can hold",
		Long: "duty holds, shows and hands over leases. One process at a time holds a lease; docs/leader-election.md\n" +
			"describes the guarantees.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newLeaseHold(), newLeaseList(), newLeaseWatch(), newLeaseRelease(), newLeaseHandover(), newLeaseRevoke(), newLeaseBench())
	return command
}

// holdOptions are the flags of `milldeck duty hold`.
type holdOptions struct {
	replicas     []string
	election     leaderelection.Options
	saveInterval time.Duration // between trial writes of the checkpoint; 0: no trial writes
	clockFaults  string
}

func newLeaseHold() *cobra.Command {
	var opts holdOptions
	command := &cobra.Command{
		Use:   "hold NAME...",
		Short: "Campaigns for leases and holds them until SIGTERM",
		Long: "hold campaigns for leases, holds each until an interrupt and releases it. It prints a JSON line for each\n" +
			"event: waiting, acquired, renewed, asked, lost, stopped, released, with the fencing token and times;\n" +
			"times in ns are readings of the machine's monotonic clock. After it loses a lease, it campaigns again.\n\n" +
			exitHelp,
		Example: "  milldeck duty hold backup --ttl 5s\n  milldeck duty hold backup --once",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("duty hold needs the name of at least one lease")}
			}
			return nil
		},
		RunE: func(command *cobra.Command, names []string) error {
			return holdLeases(command.Context(), command.OutOrStdout(), names, opts)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&opts.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	flags.StringVar(&opts.election.Candidate, "who", "",
		"name of this candidate, which must be unique for each start (default: random)")
	flags.DurationVar(&opts.election.TTL, "ttl", leaderelection.DefaultTTL,
		"TTL of the lease; it applies if this candidate finds the lease free")
	flags.BoolVar(&opts.election.SingleTenure, "once", false, "exit after the first tenure, whatever ended it")
	flags.DurationVar(&opts.saveInterval, "save-every", 0,
		"interval of trial writes, which increment a counter in the lease's checkpoint to test its guard; 0: no trial writes")
	flags.StringVar(&opts.clockFaults, "clock", "",
		`fault to inject into the clock of this process, for tests: "rate=0.9" or "jump=1h/300ms"`)
	_ = flags.MarkHidden("clock") // fails only if the flag does not exist
	return command
}

// holdLeases campaigns for all the leases until ctx is cancelled, and prints their events.
func holdLeases(ctx context.Context, out io.Writer, names []string, opts holdOptions) error {
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
	lines := &jsonLines{encoder: json.NewEncoder(out)}
	election := opts.election
	election.Clock = faultyClock
	if election.Candidate == "" {
		election.Candidate = registry.NewID() // the same for all leases, so that one request renews them together
	}
	election.OnEvent = func(event leaderelection.Event) {
		lines.print(timedEvent{event, faultyClock.MonotonicNSOf(event.At), faultyClock.MonotonicNSOf(event.ValidUntil)})
	}
	err = campaignForAll(ctx, client, names, election, func(ctx context.Context, lease *leaderelection.Lease) error {
		return holdLease(ctx, lease, opts.saveInterval, lines)
	})
	if ctx.Err() != nil {
		return nil // after an interrupt, the held leases are released or expire
	}
	return err
}

// campaignForAll campaigns for the leases concurrently and runs work under each, until all campaigns have ended. A requested
// step-down is not an error.
func campaignForAll(ctx context.Context, client *registry.Client, names []string, election leaderelection.Options,
	work func(context.Context, *leaderelection.Lease) error) error {
	ended := make(chan error, len(names))
	for _, name := range names {
		go func() {
			ended <- leaderelection.Run(ctx, client, name, election, work)
		}()
	}
	var err error
	for range names {
		if runErr := <-ended; !errors.Is(runErr, leaderelection.ErrStepDownRequested) {
			err = errors.Join(err, runErr)
		}
	}
	return err
}

// timedEvent is an event with its times on the machine's monotonic clock, which all processes share.
type timedEvent struct {
	leaderelection.Event
	AtNS         int64 `json:"at_ns"`
	ValidUntilNS int64 `json:"until_ns,omitempty"`
}

// trialWrite is the outcome of one trial write of the checkpoint.
type trialWrite struct {
	At        time.Time                `json:"at"`
	StartedAt time.Time                `json:"began"`
	Count     int                      `json:"count"`
	Lease     string                   `json:"duty"`
	Token     uint64                   `json:"token"`
	Type      leaderelection.EventType `json:"what"`
	Candidate string                   `json:"who"`
}

// jsonLines prints values as JSON lines. It is safe for concurrent use.
type jsonLines struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func (l *jsonLines) print(v any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.encoder.Encode(v) // the lease is kept even if the output is closed
}

// holdLease holds a lease until ctx is cancelled. If saveInterval is not 0, it increments a counter in the checkpoint at this
// interval and prints the outcome of each write.
func holdLease(ctx context.Context, lease *leaderelection.Lease, saveInterval time.Duration, out *jsonLines) error {
	if saveInterval == 0 {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	count, _ := strconv.Atoi(string(lease.Checkpoint)) // 0 without a checkpoint
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

func newLeaseList() *cobra.Command {
	return newClientCommand("list", "Prints the leases", 0, func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
		leases, err := client.Leases(ctx)
		if err != nil {
			return err
		}
		return flags.print(command.OutOrStdout(), leases, func(w io.Writer) error {
			table := newTable(w)
			for i := range leases {
				fmt.Fprintln(table, leaseRow(&leases[i]))
			}
			return table.Flush()
		})
	})
}

// leaseRow describes a lease in tab-separated columns.
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
func (f *clientFlags) showLease(w io.Writer, lease leasetable.Lease) error {
	return f.print(w, lease, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.ReplaceAll(leaseRow(&lease), "\t", "  "))
		return err
	})
}

func newLeaseWatch() *cobra.Command {
	flags := &clientFlags{}
	command := &cobra.Command{
		Use: "watch NAME", Short: "Prints a lease and each of its changes, until an interrupt", Args: exactArgs(1),
		Long: "watch prints a lease and each of its changes, until an interrupt.\n\n" + exitHelp,
		RunE: func(command *cobra.Command, args []string) error {
			return flags.withClient(command, func(_ context.Context, client *registry.Client) error {
				// The watch lasts until an interrupt, so it uses the context that --wait does not limit. A closed output ends
				// the process by SIGPIPE.
				err := client.WatchLease(command.Context(), args[0], func(lease leasetable.Lease) { _ = flags.showLease(command.OutOrStdout(), lease) })
				if errors.Is(err, context.Canceled) {
					return nil
				}
				return err
			})
		},
	}
	flags.addTo(command)
	return command
}

// newLeaseCommand returns a command that applies one operation to a lease and prints the resulting lease. The caller adds
// flags that set the fields of the request.
func newLeaseCommand(use, short string, kind leasetable.OperationKind, request *registry.LeaseRequest) *cobra.Command {
	return newClientCommand(use, short, 1, func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
		lease, err := client.UpdateLease(ctx, kind, args[0], *request)
		if err != nil {
			return err
		}
		return flags.showLease(command.OutOrStdout(), lease)
	})
}

func newLeaseRelease() *cobra.Command {
	var request registry.LeaseRequest
	command := newLeaseCommand("release NAME", "Releases a lease for its holder, or removes a candidate from its queue", leasetable.Release, &request)
	command.Flags().StringVar(&request.Candidate, "who", "", "name of the holder or candidate")
	command.Flags().Uint64Var(&request.Token, "token", 0, "fencing token of the holder; 0: remove the candidate from the queue")
	return command
}

func newLeaseHandover() *cobra.Command {
	var request registry.LeaseRequest
	command := newLeaseCommand("handover NAME", "Requests the holder to step down in favour of a candidate",
		leasetable.Handover, &request)
	command.Flags().StringVar(&request.Successor, "to", "", "candidate in the queue of the lease")
	return command
}

func newLeaseRevoke() *cobra.Command {
	const short = "Revokes a lease: its token is invalid at once, and the next candidate acquires it after the holder's TTL"
	return newLeaseCommand("takeaway NAME", short, leasetable.Revoke, &registry.LeaseRequest{})
}

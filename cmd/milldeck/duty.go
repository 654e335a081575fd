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
		Short: "Duties: what only one process may do at a time",
		Long: "duty holds, shows and passes on what only one process may do at a time. docs/leader-election.md tells what is promised.\n\n" +
			exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newHold(), newDutyList(), newDutyWatch(), newDutyRelease(), newHandover(), newTakeaway(), newDutyBench())
	return c
}

func newHold() *cobra.Command {
	var opts leaderelection.Options
	var save time.Duration
	var wrong string
	a := &asking{}
	c := &cobra.Command{
		Use:   "hold NAME...",
		Short: "Waits for duties and holds them until SIGTERM",
		Long: "hold waits for duties, holds each until an interrupt and releases it. It prints a JSON line for each step: waiting,\n" +
			"acquired, renewed, asked, lost, stopped, released, with token and times; those in ns are of the machine's monotonic\n" +
			"clock. After a loss it seeks the duty again.\n\n" + exitHelp,
		Example: "  milldeck duty hold backup --ttl 5s\n  milldeck duty hold backup --once",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("duty hold takes the names of duties")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if ttl := opts.TTL.Milliseconds(); ttl < leasetable.MinTTLMS || ttl > leasetable.MaxTTLMS {
				return usageError{fmt.Errorf("--ttl: %v is not within %d ms to %d ms", opts.TTL, leasetable.MinTTLMS, leasetable.MaxTTLMS)}
			}
			clk, err := clock.Parse(wrong)
			if err != nil {
				return usageError{fmt.Errorf("--clock: %w", err)}
			}
			client, err := registry.NewClient(a.replicas)
			if err != nil {
				return usageError{fmt.Errorf("--replicas: %w", err)}
			}
			defer client.Close()
			opts.Clock = clk
			if opts.Candidate == "" {
				opts.Candidate = registry.NewID() // one for all, whose renewals then go together
			}
			out := &lines{enc: json.NewEncoder(c.OutOrStdout())}
			opts.OnEvent = func(e leaderelection.Event) {
				out.print(step{e, clk.MonotonicNSOf(e.At), clk.MonotonicNSOf(e.ValidUntil)})
			}
			ended := make(chan error, len(args))
			for _, name := range args {
				go func() {
					ended <- leaderelection.Run(c.Context(), client, name, opts, func(ctx context.Context, l *leaderelection.Lease) error {
						return keep(ctx, l, save, out)
					})
				}()
			}
			for range args {
				if e := <-ended; !errors.Is(e, leaderelection.ErrStepDownRequested) {
					err = errors.Join(err, e)
				}
			}
			if c.Context().Err() != nil {
				return nil // it was told to end, and what it held is released or runs out
			}
			return err
		},
	}
	c.Flags().StringSliceVar(&a.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().StringVar(&opts.Candidate, "who", "", "this candidate's name, another with each start (default: drawn)")
	c.Flags().DurationVar(&opts.TTL, "ttl", leaderelection.DefaultTTL, "lease, where this candidate is the duty's first")
	c.Flags().BoolVar(&opts.SingleTenure, "once", false, "end after the first tenure, however it ended")
	c.Flags().DurationVar(&save, "save-every", 0, "count up in the duty's checkpoint so often, as a trial of its guard; 0: never")
	c.Flags().StringVar(&wrong, "clock", "", `a fault of this process's clock, for trials: "rate=0.9" or "jump=1h/300ms"`)
	_ = c.Flags().MarkHidden("clock") // there is such a flag
	return c
}

// step is an event with its times on the clock that all processes of the machine share: what a judge compares.
type step struct {
	leaderelection.Event
	AtNS    int64 `json:"at_ns"`
	UntilNS int64 `json:"until_ns,omitempty"`
}

// lines prints JSON lines, one at a time.
type lines struct {
	mu  sync.Mutex
	enc *json.Encoder
}

func (l *lines) print(v any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.enc.Encode(v) // a reader that is gone is no reason to give the duty up
}

// keep holds a duty until it is told to stop. With save it counts up in the checkpoint and prints what became of it.
func keep(ctx context.Context, l *leaderelection.Lease, save time.Duration, out *lines) error {
	if save == 0 {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	count, _ := strconv.Atoi(string(l.Checkpoint)) // 0 where there is none yet
	for tick := time.NewTicker(save); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return context.Cause(ctx)
		case <-tick.C:
		}
		count++
		began := time.Now()
		err := l.SaveCheckpoint(context.WithoutCancel(ctx), []byte(strconv.Itoa(count)))
		what := "saved"
		var status *registry.StatusError
		if errors.As(err, &status) {
			what = "refused"
		} else if err != nil {
			what = "unknown"
		}
		out.print(map[string]any{"what": what, "duty": l.Name, "who": l.Holder, "token": l.Token, "count": count, "began": began, "at": time.Now()})
	}
}

func newDutyList() *cobra.Command {
	return asks("list", "Prints the duties", 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
		list, err := client.Leases(ctx)
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), list, func(w io.Writer) error {
			t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
			for i := range list {
				fmt.Fprintln(t, dutyLine(&list[i]))
			}
			return t.Flush()
		})
	})
}

func dutyLine(d *leasetable.Lease) string {
	state := "held by " + d.Holder
	switch {
	case d.Holder == "":
		state = "free"
	case d.Revoked:
		state = "taken away from " + d.Holder
	case d.StepDownRequested:
		state += ", asked to step down"
	}
	return fmt.Sprintf("%s\ttoken %d\t%s\t%d waiting\t%d changes", d.Name, d.Token, state, len(d.Queue), d.Transitions)
}

func newDutyWatch() *cobra.Command {
	a := &asking{}
	c := &cobra.Command{
		Use: "watch NAME", Short: "Prints a duty and each of its changes, until an interrupt", Args: exactly(1),
		Long: "watch prints a duty and each of its changes, until an interrupt.\n\n" + exitHelp,
		RunE: func(c *cobra.Command, args []string) error {
			return a.with(c, func(_ context.Context, client *registry.Client) error {
				err := client.WatchLease(c.Context(), args[0], func(d leasetable.Lease) {
					_ = a.show(c.OutOrStdout(), d, func(w io.Writer) error { // a reader that is gone ends the program by its own signal
						_, err := fmt.Fprintln(w, strings.ReplaceAll(dutyLine(&d), "\t", "  "))
						return err
					})
				})
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

// dutyCall makes a command of one call about a duty.
func dutyCall(use, short string, kind leasetable.OperationKind, call func(args []string) registry.LeaseRequest, flags func(*cobra.Command)) *cobra.Command {
	c := asks(use, short, 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		d, err := client.UpdateLease(ctx, kind, args[0], call(args))
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), d, func(w io.Writer) error {
			_, err := fmt.Fprintln(w, strings.ReplaceAll(dutyLine(&d), "\t", "  "))
			return err
		})
	})
	flags(c)
	return c
}

func newDutyRelease() *cobra.Command {
	var in registry.LeaseRequest
	return dutyCall("release NAME", "Gives up a duty for its holder, or a place in its queue", leasetable.Release,
		func([]string) registry.LeaseRequest { return in }, func(c *cobra.Command) {
			c.Flags().StringVar(&in.Candidate, "who", "", "the holder or candidate")
			c.Flags().Uint64Var(&in.Token, "token", 0, "the holder's token; 0: a place in the queue")
		})
}

func newHandover() *cobra.Command {
	var in registry.LeaseRequest
	return dutyCall("handover NAME", "Asks the holder to step down for a candidate", leasetable.Handover,
		func([]string) registry.LeaseRequest { return in }, func(c *cobra.Command) {
			c.Flags().StringVar(&in.Successor, "to", "", "the candidate")
		})
}

func newTakeaway() *cobra.Command {
	return dutyCall("takeaway NAME", "Takes a duty away from its holder: its token counts no more, and once its lease has ended the next has it",
		leasetable.Revoke, func([]string) registry.LeaseRequest { return registry.LeaseRequest{} }, func(*cobra.Command) {})
}

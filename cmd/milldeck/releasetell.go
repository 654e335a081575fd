package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
	"milldeck/internal/release"
)

func newReleaseStatus() *cobra.Command {
	c := asks("status [NAME]", "Prints the releases, or one with its units", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			if len(args) == 0 {
				all, err := client.Releases(ctx)
				if err != nil {
					return err
				}
				return a.show(c.OutOrStdout(), all, func(w io.Writer) error {
					t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
					for _, v := range all {
						fmt.Fprintln(t, releaseLine(v.State))
					}
					return t.Flush()
				})
			}
			v, err := client.Release(ctx, args[0], false, false)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v, func(w io.Writer) error { return writeRelease(w, v.State) })
		})
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) > 1 {
			return usageError{fmt.Errorf("%s takes one name at most", c.CommandPath())}
		}
		return nil
	}
	return c
}

func releaseLine(s *release.State) string {
	line := fmt.Sprintf("%s\t%s\twave %d\tplan %s", s.Name, s.Status.Phase, s.Status.Wave, s.PlanHash)
	if s.Status.Finalized {
		line += "\tfinal"
	}
	if s.Status.HaltReason != "" {
		line += fmt.Sprintf("\tby %s: %s", s.Status.HaltedBy, s.Status.HaltReason)
	}
	return line
}

// writeRelease prints a release: how many units stand where, and those that are between two places.
func writeRelease(out io.Writer, s *release.State) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, releaseLine(s))
	rest, back, todo := 0, 0, 0
	for i := range s.Units {
		switch u := &s.Units[i]; {
		case u.Stage == release.StageConverged && u.Rollback:
			back++
		case u.Stage == release.StageConverged:
			rest++
		case u.Stage == release.StagePending:
			todo++
		default:
			to := u.Target
			if u.Rollback {
				to = u.Previous
			}
			fmt.Fprintf(w, "%s\t%s\tto %s %s\ttry %d\t%s\n", u.ID, u.Stage, to.Version, to.ConfigName, u.PermitAttempt, u.Reason)
		}
	}
	fmt.Fprintf(w, "%d units: %d moved, %d back, %d wait\n", len(s.Units), rest, back, todo)
	for _, line := range s.Status.Stranded {
		fmt.Fprintln(w, "stranded:", line)
	}
	return w.Flush()
}

// newReleaseTell makes a command that tells a release something. It counts once the release's controller has read it.
func newReleaseTell(what release.Action, short string) *cobra.Command {
	var by, why string
	c := asks(string(what)+" NAME", short, 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		res, err := client.WriteRelease(ctx, registry.WriteOptions{}, args[0], release.Operation{Command: &release.Command{Action: what, Operator: "operator/" + by, Reason: why}})
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), res, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s: told to %s at revision %d\n", args[0], what, res.Revision)
			return err
		})
	})
	c.Flags().StringVar(&by, "by", "unnamed", "name of the operator, kept in the log")
	c.Flags().StringVar(&why, "why", "", "reason, kept in the log")
	return c
}

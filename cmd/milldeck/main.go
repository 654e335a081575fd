// Command milldeck is the operators' command. It runs the registry, agents and the controllers of releases, maintenance windows
// and hot keys, and runs experiments with fleets in the lab.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"milldeck/internal/config"
)

// Exit codes, the same for all subcommands.
const (
	exitFailed = 1 // the work was started and failed
	exitUsage  = 2 // invalid arguments or an invalid file; nothing was started
	// exitNotJudged is the code of a run of the lab in which a fault was late: it shows neither success nor failure.
	exitNotJudged = 3
)

const exitHelp = `Exit codes: 0 success; 1 the work failed; 2 invalid arguments or an invalid file, nothing was started.`

// usageError marks an error in the arguments or in a file that they name. Its exit code is exitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func main() {
	os.Exit(run())
}

// run executes the command line of the process until SIGINT or SIGTERM, and returns its exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// execute runs one command line and returns its exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(errOut, "milldeck:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code of a command that ended with an error or nil.
func exitCode(err error) int {
	var usage usageError
	var file *config.Error
	var notJudged notJudgedError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage), errors.As(err, &file):
		return exitUsage
	case errors.As(err, &notJudged):
		return exitNotJudged
	default:
		return exitFailed
	}
}

func newRoot() *cobra.Command {
	var level, format string
	root := &cobra.Command{
		Use:   "milldeck",
		Short: "Operates fleets of load-balancing sidecars and tests them in the lab",
		Long: "milldeck operates fleets of load-balancing sidecars and tests them in the lab.\n\n" +
			"Logs go to standard error, results to standard output.\n" + exitHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q; see milldeck --help", args[0])}
			}
			return nil
		},
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			return configureLogging(command.ErrOrStderr(), level, format)
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&level, "log-level", "info", "minimum level of logged messages: debug, info, warn or error")
	flags.StringVar(&format, "log-format", "text", "log format: text or json")
	root.AddCommand(newVersion(), newLab(), newRegistry(), newLease(), newAgent(), newSupervisor(), newRelease(), newFleet(),
		newHotKey(), newContract(), newWindow())
	return root
}

// configureLogging sets the default logger for all subcommands.
func configureLogging(w io.Writer, level, format string) error {
	var logLevel slog.Level
	if err := logLevel.UnmarshalText([]byte(level)); err != nil {
		return usageError{fmt.Errorf("--log-level %s: not debug, info, warn or error", level)}
	}
	options := &slog.HandlerOptions{Level: logLevel}
	var handler slog.Handler
	switch format {
	case "text":
		handler = slog.NewTextHandler(w, options)
	case "json":
		handler = slog.NewJSONHandler(w, options)
	default:
		return usageError{fmt.Errorf("--log-format %s: not text or json", format)}
	}
	slog.SetDefault(slog.New(handler))
	return nil
}

// exactArgs requires count positional arguments. The error contains the usage line, which names them.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) != count {
			return usageError{fmt.Errorf("%s takes %d argument(s), not %d: %s", command.CommandPath(), count, len(args), command.UseLine())}
		}
		return nil
	}
}

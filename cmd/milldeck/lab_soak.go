package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/faultsoak"
	"milldeck/internal/faultsoak/shim"
)

// maxSoakLength limits the length of one run of the soak.
const maxSoakLength = 10 * time.Minute

// maxFaultRate limits the faults per second.
const maxFaultRate = 20

// soakFlags are the flags of lab soak.
type soakFlags struct {
	firstSeed, lastSeed uint64
	length              time.Duration
	faultRate           float64
	only                []string
	sidecarPath, dir    string
}

func newLabSoak() *cobra.Command {
	flags := &soakFlags{}
	command := &cobra.Command{
		Use: "soak", Short: "Runs real sidecars under random overlapping faults and checks their guarantees", Args: exactArgs(0),
		Long: "soak performs one run per seed: five sidecars and eight servers as processes, a fault proxy between them,\n" +
			"well-behaved and misbehaving clients, failing system calls, clock steps, restarts and reloads, two or three at a\n" +
			"time. It prints violations with the history of the request; logs are in --dir. docs/fault-soak.md describes it.\n\n" +
			exitHelp,
		RunE: func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().Uint64Var(&flags.firstSeed, "seed", 1, "seed of the first run")
	command.Flags().Uint64Var(&flags.lastSeed, "to", 0, "seed of the last run (default: the seed of the first run)")
	command.Flags().DurationVar(&flags.length, "for", 15*time.Second, "duration of the load in each run")
	command.Flags().Float64Var(&flags.faultRate, "faults", faultsoak.DefaultFaultRate, "faults per second")
	command.Flags().StringSliceVar(&flags.only, "only", nil, "kinds of faults to inject (default: all)")
	command.Flags().StringVar(&flags.sidecarPath, "sidecar", "",
		"executable of the sidecar (default: sidecar in the directory of this executable)")
	command.Flags().StringVar(&flags.dir, "dir", "",
		"directory for configurations and logs (default: a temporary one, kept after violations)")
	return command
}

func (f *soakFlags) run(command *cobra.Command) error {
	if f.length <= 0 || f.length > maxSoakLength {
		return usageError{fmt.Errorf("--for %v: not above 0 and at most %v", f.length, maxSoakLength)}
	}
	if !(f.faultRate >= 0 && f.faultRate <= maxFaultRate) {
		return usageError{fmt.Errorf("--faults %v: not within 0 to %v", f.faultRate, maxFaultRate)}
	}
	milldeckPath, err := os.Executable()
	if err != nil {
		return err
	}
	if f.sidecarPath == "" {
		f.sidecarPath = filepath.Join(filepath.Dir(milldeckPath), "sidecar")
	}
	failedSeeds := 0
	for seed := f.firstSeed; seed <= max(f.firstSeed, f.lastSeed) && command.Context().Err() == nil; seed++ {
		violations, err := f.runSeed(command, milldeckPath, seed)
		if err != nil {
			return err
		}
		if violations > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return fmt.Errorf("guarantees were violated with %d seed(s)", failedSeeds)
	}
	return nil
}

// runSeed performs one run, prints its result and returns the number of violations.
func (f *soakFlags) runSeed(command *cobra.Command, milldeckPath string, seed uint64) (violations int, err error) {
	dir := f.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "milldeck-soak-"); err != nil {
			return 0, err
		}
	}
	dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	result, err := faultsoak.Run(command.Context(), faultsoak.Options{
		Seed: seed, Length: f.length, FaultRate: f.faultRate, FaultKinds: f.only, SidecarPath: f.sidecarPath, MilldeckPath: milldeckPath, Dir: dir,
	})
	if err != nil {
		return 0, err
	}
	printSoak(command.OutOrStdout(), result, dir)
	if len(result.Violations) > 0 {
		fmt.Fprintf(command.OutOrStdout(), "  again: %s\n", f.commandFor(seed))
	}
	if len(result.Violations) == 0 && f.dir == "" {
		err = os.RemoveAll(filepath.Dir(dir))
	}
	return len(result.Violations), err
}

// commandFor returns the command that repeats the run of a seed, with the sidecar from the directory of the executable.
func (f *soakFlags) commandFor(seed uint64) string {
	text := fmt.Sprintf("bin/milldeck lab soak --seed %d --for %v --faults %v", seed, f.length, f.faultRate)
	if len(f.only) > 0 {
		text += " --only " + strings.Join(f.only, ",")
	}
	return text
}

// printSoak prints the result of a run, and the faults and violations if there are violations.
func printSoak(out io.Writer, result *faultsoak.Result, dir string) {
	failedCalls := 0
	for _, count := range result.InjectedFailures {
		failedCalls += count
	}
	fmt.Fprintf(out, "seed %d: %d requests, %.3f of the plain ones served, %d attempts, %d system calls failed, %d violations\n",
		result.Seed, result.Requests, result.ServedShare, result.Attempts, failedCalls, len(result.Violations))
	if len(result.Violations) == 0 {
		return
	}
	fmt.Fprintf(out, "  lateness of the soak's own timers: %s\n", result.Lateness)
	fmt.Fprintf(out, "  logs: %s\n  outcomes: %v\n  failed calls: %v\n  %s\n",
		dir, result.Outcomes, result.InjectedFailures, strings.Join(result.Faults, "\n  "))
	for _, violation := range result.Violations {
		fmt.Fprintf(out, "  VIOLATION %s %s: %s\n", violation.Rule, violation.Request, violation.Detail)
	}
}

// newLabSoakServer returns a hidden command, which runs a server of the soak.
func newLabSoakServer() *cobra.Command {
	var listen string
	var seed uint64
	command := &cobra.Command{
		Use: "soak-server", Hidden: true, Short: "Runs one server of the soak until SIGTERM", Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			if address, err := netip.ParseAddrPort(listen); err != nil || !address.Addr().IsLoopback() {
				return usageError{fmt.Errorf("--listen %s: not an address and port on loopback", listen)}
			}
			listener, err := net.Listen("tcp4", listen)
			if err != nil {
				return usageError{fmt.Errorf("--listen: %w", err)}
			}
			return faultsoak.ServeServer(command.Context(), listener, command.OutOrStdout(), seed)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address and port on loopback")
	command.Flags().Uint64Var(&seed, "seed", 0, "seed of the run")
	return command
}

// newLabSoakLaunch returns a hidden command, which executes a program under the shim of the soak.
func newLabSoakLaunch() *cobra.Command {
	return &cobra.Command{
		Use: "soak-launch PROGRAM", Hidden: true,
		Short: "Executes a program whose system calls the parent process can make fail", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return errors.Join(errors.New("the program was not executed"),
				shim.Exec(args[0], slices.Clone(args[1:]), os.Environ(), shim.NotifyDescriptor, shim.ReleaseDescriptor))
		},
	}
}

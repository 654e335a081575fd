package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/config"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/contract"
)

func newWindow() *cobra.Command {
	command := &cobra.Command{
		Use:   "window",
		Short: "Maintenance windows by contract",
		Long: "window takes servers out of service for maintenance in the hours that their tenants approve.\n" +
			"docs/maintenance-windows.md says what is guaranteed.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newWindowPlan(), newWindowServe(), newWindowPropose(), newWindowList(), newWindowShow(),
		newWindowHalt(maintenance.OpHalt, "Halts a window, a tenant's windows or all: no more drains start, a window halted by name returns"),
		newWindowHalt(maintenance.OpResume, "Resumes halted windows"),
		newWindowOperation(maintenance.OpCancel, "Cancels a window; one that is out of service returns"),
		newWindowOperation(maintenance.OpFinishWork, "Reports that the work of a drained window is done"))
	return command
}

// windowFile is a window as an operator writes it.
type windowFile struct {
	Name      string              `toml:"name"`
	Servers   []string            `toml:"servers"` // by UID
	Work      string              `toml:"work"`    // "30m"
	NotBefore string              `toml:"after"`   // not before, RFC 3339; "": from now on
	Fleet     map[string][]string `toml:"fleet"`   // all servers by UID, each with its tenants; none: all tenants
}

// minWork and maxWork bound the work of one window: longer work takes several windows.
const minWork, maxWork = time.Minute, 24 * time.Hour

func newWindowPlan() *cobra.Command {
	var contracts []string
	var at string
	command := &cobra.Command{
		Use:   "plan FILE --contract FILE...",
		Short: "Finds the earliest start that all contracts approve",
		Long: "plan reads a window and the contracts of its servers' tenants and prints the earliest time at which it may begin, or\n" +
			"says whose contract forbids it and what comes nearest. It changes nothing and sends no request to the registry: the\n" +
			"time that other windows take and the minutes used in a month are not counted.\n\n" + exitHelp,
		Example: "  milldeck window plan window.toml --contract portal.toml --contract teller.toml --at 2026-06-10T12:00:00Z",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			nowMS, err := parseTimeMS(at)
			if err != nil {
				return usageError{fmt.Errorf("--at: %w", err)}
			}
			return planWindow(command.OutOrStdout(), args[0], contracts, nowMS)
		},
	}
	command.Flags().StringArrayVar(&contracts, "contract", nil, "a tenant's contract; may be repeated")
	command.Flags().StringVar(&at, "at", "", "plan as if it were this time, RFC 3339 (default now)")
	return command
}

// planWindow plans the window of a file under the contracts of other files, and prints the plan.
func planWindow(out io.Writer, path string, contractPaths []string, nowMS int64) error {
	request, fleet, err := loadWindowFile(path, true)
	if err != nil {
		return err
	}
	request.ProposedAtMS = nowMS
	table, err := loadContracts(contractPaths)
	if err != nil {
		return err
	}
	plan, err := maintenance.NewPlanner().Plan(table, fleet, request, nowMS)
	if err != nil {
		return fmt.Errorf("%s: %w", request.Name, err)
	}
	return printPlan(out, request.Name, plan, table)
}

// loadContracts returns a table with the contracts of files, at most one for each tenant.
func loadContracts(paths []string) (*maintenance.Table, error) {
	table := maintenance.New()
	for i, path := range paths {
		terms, err := contract.Load(path)
		if err != nil {
			return nil, err
		}
		if table.Contract(terms.Tenant) != nil {
			return nil, usageError{fmt.Errorf("--contract %s: %s has another contract", path, terms.Tenant)}
		}
		op := &maintenance.Operation{Kind: maintenance.OpSetContract, Contract: terms}
		if _, err := table.Apply(uint64(i+1), op, maintenance.Timestamp{}); err != nil {
			return nil, fmt.Errorf("--contract %s: %w", path, err)
		}
	}
	return table, nil
}

// parseTimeMS parses a time of RFC 3339 to Unix ms; "" is now.
func parseTimeMS(text string) (int64, error) {
	if text == "" {
		return time.Now().UnixMilli(), nil
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%q is no time like 2026-06-10T12:00:00Z", text)
	}
	return parsed.UnixMilli(), nil
}

// loadWindowFile reads the request for a window and the fleet, which has to contain its servers where it is required.
func loadWindowFile(path string, requireFleet bool) (maintenance.Request, maintenance.Fleet, error) {
	window := &windowFile{}
	file, err := config.Load(path, window)
	if err != nil {
		return maintenance.Request{}, nil, err
	}
	request, err := window.request(file, requireFleet)
	return request, window.Fleet, err
}

// request validates the file and returns the request for its window.
func (f *windowFile) request(file *config.File, requireFleet bool) (maintenance.Request, error) {
	none := maintenance.Request{}
	work, err := time.ParseDuration(f.Work)
	if err != nil || work < minWork || work > maxWork {
		return none, file.Errorf("work", "%q is no time like 30m, from %s to %s", f.Work, minWork, maxWork)
	}
	request := maintenance.Request{Name: f.Name, ServerUIDs: f.Servers, WorkMS: work.Milliseconds()}
	if f.NotBefore != "" {
		if request.NotBeforeMS, err = parseTimeMS(f.NotBefore); err != nil {
			return none, file.Errorf("after", "%v", err)
		}
	}
	if len(f.Servers) == 0 {
		return none, file.Errorf("servers", "none")
	}
	slices.Sort(request.ServerUIDs)
	for _, uid := range request.ServerUIDs {
		if _, known := f.Fleet[uid]; requireFleet && !known {
			return none, file.Errorf("servers", "%s is not in fleet", uid)
		}
	}
	return request, nil
}

// printPlan prints the start in UTC, and what each contract approves in its own time zone.
func printPlan(out io.Writer, name string, plan *maintenance.Plan, table *maintenance.Table) error {
	const layout = "Mon 2006-01-02 15:04 MST"
	start := time.UnixMilli(plan.StartMS).UTC().Format(layout)
	required := time.Duration(plan.RequiredMS) * time.Millisecond
	lines := fmt.Sprintf("%s may begin at %s; %s with drain and return\n", name, start, required)
	for _, approval := range plan.Approvals {
		location, err := time.LoadLocation(table.Contract(approval.Tenant).Zone)
		if err != nil {
			return fmt.Errorf("contract of %s: %w", approval.Tenant, err)
		}
		opens := time.UnixMilli(approval.OpensAtMS).In(location).Format(layout)
		closes := time.UnixMilli(approval.ClosesAtMS).In(location).Format(layout)
		lines += fmt.Sprintf("  %s approves from %s to %s\n", approval.Tenant, opens, closes)
	}
	if _, err := io.WriteString(out, lines); err != nil {
		return fmt.Errorf("standard output: %w", err)
	}
	return nil
}

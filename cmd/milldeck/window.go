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
		Short: "Maintenance windows, in the hours that contracts approve",
		Long: "window takes servers out of service for maintenance in the hours that their tenants approve.\n" +
			"docs/maintenance-windows.md describes the guarantees.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newWindowPlan(), newWindowServe(), newWindowPropose(), newWindowList(), newWindowShow(),
		newWindowHalt(maintenance.OpHalt,
			"Halts a window, a tenant's windows or all: no further drain starts, and a window halted by name returns to service"),
		newWindowHalt(maintenance.OpResume, "Resumes halted windows"),
		newWindowOperation(maintenance.OpCancel, "Cancels a window; if it is out of service, it returns to service"),
		newWindowOperation(maintenance.OpFinishWork, "Reports that the work of a drained window is done"))
	return command
}

// windowFile is the file format of a window.
type windowFile struct {
	Name      string              `toml:"name"`
	Servers   []string            `toml:"servers"` // by UID
	Work      string              `toml:"work"`    // duration, such as "30m"
	NotBefore string              `toml:"after"`   // earliest start, RFC 3339; "": now
	Fleet     map[string][]string `toml:"fleet"`   // all servers by UID, each with its tenants; an empty list: all tenants
}

// minWork and maxWork limit the duration of the work in one window. Longer work needs several windows.
const minWork, maxWork = time.Minute, 24 * time.Hour

func newWindowPlan() *cobra.Command {
	var contracts []string
	var at string
	command := &cobra.Command{
		Use:   "plan FILE --contract FILE...",
		Short: "Finds the earliest start that all contracts approve",
		Long: "plan reads a window and the contracts of its servers' tenants and prints the earliest start, or whose\n" +
			"contract forbids the window and the closest alternative. It changes nothing and sends no request to the\n" +
			"registry, so it ignores other windows and the minutes used in a month.\n\n" + exitHelp,
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
	command.Flags().StringArrayVar(&contracts, "contract", nil, "file with a tenant's contract; may be repeated")
	command.Flags().StringVar(&at, "at", "", "time to use as the current time, RFC 3339 (default now)")
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

// loadContracts reads contracts, at most one per tenant, and returns a table with them.
func loadContracts(paths []string) (*maintenance.Table, error) {
	table := maintenance.New()
	for i, path := range paths {
		terms, err := contract.Load(path)
		if err != nil {
			return nil, err
		}
		if table.Contract(terms.Tenant) != nil {
			return nil, usageError{fmt.Errorf("--contract %s: tenant %s has another contract", path, terms.Tenant)}
		}
		op := &maintenance.Operation{Kind: maintenance.OpSetContract, Contract: terms}
		if _, err := table.Apply(uint64(i+1), op, maintenance.Timestamp{}); err != nil {
			return nil, fmt.Errorf("--contract %s: %w", path, err)
		}
	}
	return table, nil
}

// parseTimeMS parses an RFC 3339 time and returns it in Unix ms; "" means now.
func parseTimeMS(text string) (int64, error) {
	if text == "" {
		return time.Now().UnixMilli(), nil
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time like 2026-06-10T12:00:00Z", text)
	}
	return parsed.UnixMilli(), nil
}

// loadWindowFile reads the request for a window, and the fleet. If requireFleet is set, the fleet must contain all servers of
// the window.
func loadWindowFile(path string, requireFleet bool) (maintenance.Request, maintenance.Fleet, error) {
	window := &windowFile{}
	file, err := config.Load(path, window)
	if err != nil {
		return maintenance.Request{}, nil, err
	}
	request, err := window.request(file, requireFleet)
	return request, window.Fleet, err
}

// request validates the window and returns its request.
func (f *windowFile) request(file *config.File, requireFleet bool) (maintenance.Request, error) {
	none := maintenance.Request{}
	work, err := time.ParseDuration(f.Work)
	if err != nil || work < minWork || work > maxWork {
		return none, file.Errorf("work", "%q is not a duration like 30m, from %s to %s", f.Work, minWork, maxWork)
	}
	request := maintenance.Request{Name: f.Name, ServerUIDs: f.Servers, WorkMS: work.Milliseconds()}
	if f.NotBefore != "" {
		if request.NotBeforeMS, err = parseTimeMS(f.NotBefore); err != nil {
			return none, file.Errorf("after", "%v", err)
		}
	}
	if len(f.Servers) == 0 {
		return none, file.Errorf("servers", "at least one server is required")
	}
	slices.Sort(request.ServerUIDs)
	for _, uid := range request.ServerUIDs {
		if _, known := f.Fleet[uid]; requireFleet && !known {
			return none, file.Errorf("servers", "server %s is not in fleet", uid)
		}
	}
	return request, nil
}

// printPlan prints the planned start of a window in UTC, and the interval that each contract approves in the tenant's time
// zone.
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

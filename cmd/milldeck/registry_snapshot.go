package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"milldeck/internal/config"
	"milldeck/internal/registry"
)

// snapshotMode is the file mode of a saved snapshot. Only its owner may read it, because it holds the state of the whole fleet.
const snapshotMode = 0o600

func newRegistrySnapshot() *cobra.Command {
	command := &cobra.Command{
		Use: "snapshot", Short: "Saves, restores and verifies backups",
		Long: "snapshot saves the state to a file, replaces the state by a saved one, or verifies a file.\n\n" +
			exitHelp,
		Args: exactArgs(0), RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(
		newClientCommand("save FILE", "Saves the leader's state to a file", 1, saveSnapshot),
		newClientCommand("restore FILE", "Replaces the cluster's state by a saved one, in a new epoch", 1, restoreSnapshot),
		newClientCommand("verify FILE", "Verifies a file with a saved state", 1, verifySnapshot))
	return command
}

func saveSnapshot(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
	data, err := client.SaveSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(args[0], data, snapshotMode); err != nil {
		return err
	}
	return describeSnapshot(command.OutOrStdout(), flags, data)
}

func restoreSnapshot(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
	data, err := readSnapshotFile(args[0])
	if err != nil {
		return err
	}
	result, err := client.RestoreSnapshot(ctx, data)
	if err != nil {
		return err
	}
	return flags.print(command.OutOrStdout(), result, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "restored; the list continues at revision %d under a new epoch\n", result.Revision)
		return err
	})
}

func verifySnapshot(_ context.Context, command *cobra.Command, flags *clientFlags, _ *registry.Client, args []string) error {
	data, err := readSnapshotFile(args[0])
	if err != nil {
		return err
	}
	return describeSnapshot(command.OutOrStdout(), flags, data)
}

// readSnapshotFile reads and verifies a snapshot.
func readSnapshotFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	if _, err := registry.ReadSnapshot(bytes.NewReader(data)); err != nil {
		return nil, &config.Error{File: path, Err: err}
	}
	return data, nil
}

// snapshotDescription summarizes the content of a snapshot.
type snapshotDescription struct {
	Bytes     int    `json:"bytes"`
	Epoch     uint64 `json:"epoch"`
	Instances int    `json:"instances"`
	Revision  uint64 `json:"rev"`
	Version   int    `json:"version"`
}

func describeSnapshot(out io.Writer, flags *clientFlags, data []byte) error {
	state, err := registry.ReadSnapshot(bytes.NewReader(data))
	if err != nil {
		return err
	}
	description := snapshotDescription{
		Bytes: len(data), Epoch: state.Epoch(), Instances: state.Len(), Revision: state.Revision(), Version: registry.SnapshotVersion,
	}
	return flags.print(out, description, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "revision %d, epoch %d, %d instances, %d bytes\n",
			description.Revision, description.Epoch, description.Instances, description.Bytes)
		return err
	})
}

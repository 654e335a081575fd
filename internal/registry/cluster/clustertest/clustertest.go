// Package clustertest starts registry replicas as processes for tests of other packages. At the end of the test, it stops the
// replicas, releases their addresses and closes the client. TestMain of the package under test has to call proctest.Main.
package clustertest

import (
	"context"
	"testing"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// Cluster is a running cluster.
type Cluster struct {
	*cluster.Cluster
	Client *registry.Client
}

// Start starts replicas and waits for their leader. For options that are not set, Start builds the program, creates a
// temporary data directory and reserves a block of addresses. If the test fails, the end of the replicas' logs is logged.
func Start(ctx context.Context, t testing.TB, replicas int, options cluster.Options) *Cluster {
	t.Helper()
	if options.Program == "" {
		options.Program = proctest.Program(t, "milldeck")
	}
	if options.DataDir == "" {
		options.DataDir = t.TempDir()
	}
	if options.Addresses == nil {
		options.Addresses = proctest.ReserveAddressBlock(t)
	}
	running, err := cluster.Start(ctx, replicas, options)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(running.Logs())
		}
		_ = running.Close() // a replica that the test has killed causes an error
	})
	if err != nil {
		t.Fatal(err)
	}
	client, err := running.Client()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return &Cluster{running, client}
}

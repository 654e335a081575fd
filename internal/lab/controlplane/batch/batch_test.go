package batch

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milldeck/internal/lab/controlplane"
)

// The same seeds give the same result, whatever the number of workers.
func TestSameResultForAnyWorkerCount(t *testing.T) {
	runBatch := func(workers int) *Result {
		result, err := Run(context.Background(), "night", 3, 5, 1, controlplane.Options{Sidecars: 40, Servers: 160}, workers)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	if diff := cmp.Diff(runBatch(1), runBatch(6)); diff != "" {
		t.Error(diff)
	}
}

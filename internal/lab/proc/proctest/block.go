package proctest

import (
	"testing"

	"milldeck/internal/lab/proc"
)

// Block reserves a block of loopback addresses until the test ends.
func Block(t testing.TB) *proc.Block {
	t.Helper()
	block, err := proc.ReserveBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	return block
}

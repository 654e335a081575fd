package proctest

import (
	"testing"

	"milldeck/internal/lab/proc"
)

// ReserveAddressBlock reserves a block of loopback addresses until the test ends.
func ReserveAddressBlock(t testing.TB) *proc.AddressBlock {
	t.Helper()
	block, err := proc.ReserveAddressBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	return block
}

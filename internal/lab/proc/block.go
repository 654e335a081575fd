package proc

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// The blocks are 127.B.0.0/16 for B from firstBlock to lastBlock. A listener at a fixed address within a block is its
// reservation, so that the kernel ends the reservation when the process exits.
const (
	firstBlock      = 64
	lastBlock       = 126
	reservationPort = 9999
	hostsPerNet     = 250
)

// AddressBlock is a reserved part of the loopback range. It ensures that concurrent runs and tests, also in different processes,
// never share an address.
type AddressBlock struct {
	number      int
	reservation net.Listener
}

// ReserveAddressBlock reserves the first free block. The caller has to release it. It fails when all blocks are reserved.
func ReserveAddressBlock() (*AddressBlock, error) {
	for number := firstBlock; number <= lastBlock; number++ {
		reservation, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", number, reservationPort))
		if err == nil {
			return &AddressBlock{number, reservation}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("loopback addresses: %w", err)
		}
	}
	return nil, fmt.Errorf("loopback addresses: all of 127.%d.0.0 to 127.%d.0.0 are reserved by other runs",
		firstBlock, lastBlock)
}

// Release ends the reservation.
func (b *AddressBlock) Release() { b.reservation.Close() }

// Addr returns an address in the block as host:port. Host 0 is the first address of the /24 subnet; after hostsPerNet
// hosts the numbering continues in the next subnet.
func (b *AddressBlock) Addr(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.number, subnet+host/hostsPerNet, 1+host%hostsPerNet, port)
}

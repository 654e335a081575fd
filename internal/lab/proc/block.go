package proc

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Blocks of 127.B.0.0/16, and the address within one that is held for as long as it is taken.
const (
	firstBlock      = 64
	lastBlock       = 126
	reservationPort = 9999
	hostsPerNet     = 250
)

// Block is a part of the loopback range of one's own, so that runs and tests beside each other never meet.
type Block struct {
	number      int
	reservation net.Listener
}

// ReserveBlock takes a free part of the loopback range.
func ReserveBlock() (*Block, error) {
	for number := firstBlock; number <= lastBlock; number++ {
		reservation, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", number, reservationPort))
		if err == nil {
			return &Block{number, reservation}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("loopback addresses: %w", err)
		}
	}
	return nil, fmt.Errorf("loopback addresses: all of 127.%d.0.0 to 127.%d.0.0 are taken by other runs", firstBlock, lastBlock)
}

// Release gives it back.
func (b *Block) Release() { b.reservation.Close() }

// Addr is an address in the block: the host-th of the nets from net on.
func (b *Block) Addr(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.number, subnet+host/hostsPerNet, 1+host%hostsPerNet, port)
}

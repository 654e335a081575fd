package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"milldeck/balance"
)

const (
	maxDatagramBytes = 256 // PROTOCOL; a longer one cannot come from a sidecar of this tier
	// peerQueueSize bounds what waits for the event loop and for the socket. More is dropped: gossip that waited is
	// worthless, and a flood must not delay requests.
	peerQueueSize = 64
)

// peerTransport carries gossip datagrams between this sidecar and the others of its tier. What is sent to whom is the
// balancer's decision. It is nil where the settings allow no gossip; its methods accept that where the event loop calls
// them.
type peerTransport struct {
	conn            *net.UDPConn
	addresses       []netip.AddrPort // by sidecar number
	numberByAddress map[netip.AddrPort]int
	broadcast       netip.AddrPort // reaches all; invalid: there is none

	inbound  chan balance.GossipMessage
	outbound chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peerConfigFile is the part of the configuration file about peers.
type peerConfigFile struct {
	Listen    string   `json:"peer_listen"`
	Peers     []string `json:"peers"`
	Broadcast string   `json:"peers_all"`
}

// peerConfig holds the checked addresses of a peerConfigFile.
type peerConfig struct {
	listen    netip.AddrPort
	addresses []netip.AddrPort
	broadcast netip.AddrPort
}

// resolvePeers checks the addresses; nil means that there are no peers. The socket must be on the host of the frontend, so that
// nobody outside of the tier reaches it.
func (f *peerConfigFile) resolvePeers(frontendAddress string, number, total int) (*peerConfig, error) {
	if f.Listen == "" && len(f.Peers) == 0 {
		return nil, nil
	}
	config := &peerConfig{}
	var err error
	if config.listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	// An address without a host fails the comparison.
	if host, _, _ := net.SplitHostPort(frontendAddress); host != config.listen.Addr().String() {
		return nil, fmt.Errorf("peer_listen: %s is not on the host of listen, %s", f.Listen, frontendAddress)
	}
	if len(f.Peers) != total || number >= total {
		return nil, fmt.Errorf("peers: %d addresses for %d sidecars, of which this is number %d", len(f.Peers), total, number)
	}
	for i, text := range f.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		config.addresses = append(config.addresses, address)
	}
	if f.Broadcast != "" {
		if config.broadcast, err = netip.ParseAddrPort(f.Broadcast); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	return config, nil
}

// listenPeers binds the socket for gossip. If that fails the sidecar works without: gossip only improves decisions.
func listenPeers(config *peerConfig) *peerTransport {
	if config == nil {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.listen))
	if err != nil {
		gossipLog.Warn("gossip disabled: cannot listen", "error", err)
		return nil
	}
	transport := &peerTransport{
		conn:            conn,
		addresses:       config.addresses,
		numberByAddress: make(map[netip.AddrPort]int, len(config.addresses)),
		broadcast:       config.broadcast,
		inbound:         make(chan balance.GossipMessage, peerQueueSize),
		outbound:        make(chan datagram, peerQueueSize),
	}
	for i, address := range config.addresses {
		transport.numberByAddress[address] = i
	}
	return transport
}

// receive returns the channel of inbound messages; nil, which blocks forever, without gossip.
func (p *peerTransport) receive() <-chan balance.GossipMessage {
	if p == nil {
		return nil
	}
	return p.inbound
}

// send queues a datagram for a peer, or for all if the peer's number is negative, and never blocks. It drops what cannot
// be sent.
func (p *peerTransport) send(peer int, data []byte) {
	if p == nil || len(data) > maxDatagramBytes || peer >= len(p.addresses) {
		return
	}
	to := p.broadcast
	if peer >= 0 {
		to = p.addresses[peer]
	}
	if !to.IsValid() {
		return
	}
	select {
	case p.outbound <- datagram{to, data}:
	default:
	}
}

// runWriter sends queued datagrams until ctx ends. It then closes the socket, which ends runReader.
func (p *peerTransport) runWriter(ctx context.Context) {
	defer func() { _ = p.conn.Close() }() // nothing is buffered that could be lost
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-p.outbound:
			// A datagram that cannot be sent is lost, as it may be on its way.
			_, _ = p.conn.WriteToUDPAddrPort(datagram.data, datagram.to)
		}
	}
}

// runReader queues datagrams of the tier until the socket is closed. It drops those of other senders, those that are too
// long, and those beyond the queue.
func (p *peerTransport) runReader() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		number, known := p.numberByAddress[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known || n > maxDatagramBytes {
			continue
		}
		select {
		case p.inbound <- balance.GossipMessage{From: number, Data: append([]byte(nil), buffer[:n]...)}:
		default:
		}
	}
}

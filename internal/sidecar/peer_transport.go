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
	maxDatagramBytes = 256 // limit in the platform's protocol; a longer datagram cannot come from a sidecar of this tier
	// peerQueueSize is the length of the queues to the event loop and to the socket. While a queue is full, further datagrams
	// are dropped: delayed gossip is worthless, and a flood must not delay requests.
	peerQueueSize = 64
)

// peerTransport sends and receives gossip datagrams between this sidecar and the others of its tier. The balancer decides
// what is sent to which peer. The transport is nil if gossip is disabled; the methods that the event loop calls accept a
// nil receiver.
type peerTransport struct {
	conn            *net.UDPConn
	addresses       []netip.AddrPort // by sidecar number
	numberByAddress map[netip.AddrPort]int
	broadcast       netip.AddrPort // reaches all peers; invalid: none is configured

	inbound  chan balance.GossipMessage
	outbound chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peerConfigFile is the section of the configuration file on peers.
type peerConfigFile struct {
	Listen    string   `json:"peer_listen"`
	Peers     []string `json:"peers"`
	Broadcast string   `json:"peers_all"`
}

// peerConfig holds the parsed addresses of a peerConfigFile.
type peerConfig struct {
	listen    netip.AddrPort
	addresses []netip.AddrPort
	broadcast netip.AddrPort
}

// resolvePeers parses and checks the addresses. It returns nil if no peers are configured. The socket must be on the host of
// the frontend, so that only the sidecars of this tier, which are those listed as peers, can reach it.
func (f *peerConfigFile) resolvePeers(frontendAddress string, number, total int) (*peerConfig, error) {
	if f.Listen == "" && len(f.Peers) == 0 {
		return nil, nil
	}
	config := &peerConfig{}
	var err error
	if config.listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	// A frontend address without a host never equals the peer address.
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

// listenPeers binds the socket for gossip. If that fails, it logs the error and returns nil: the sidecar works without
// gossip, which only improves its decisions.
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

// receive returns the channel of inbound messages. Without gossip the channel is nil and blocks forever.
func (p *peerTransport) receive() <-chan balance.GossipMessage {
	if p == nil {
		return nil
	}
	return p.inbound
}

// send queues a datagram for a peer, or for all peers if the number is negative. It never blocks: a datagram that cannot be
// sent or queued is dropped.
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

// runWriter sends queued datagrams until ctx ends. It then closes the socket, and runReader returns.
func (p *peerTransport) runWriter(ctx context.Context) {
	defer func() { _ = p.conn.Close() }() // a UDP socket buffers nothing that an error could lose
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-p.outbound:
			// Gossip tolerates lost datagrams, so a failed send is ignored.
			_, _ = p.conn.WriteToUDPAddrPort(datagram.data, datagram.to)
		}
	}
}

// runReader queues datagrams from the sidecars listed as peers until the socket is closed. It drops datagrams from other
// senders, datagrams that are too long, and all datagrams while the queue is full.
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

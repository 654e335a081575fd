package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"

	"milldeck/balance"
)

const (
	// maxDatagramBytes is the platform's limit; a longer one is not the tier's (PROTOCOL).
	maxDatagramBytes = 256
	// peerQueueSize bounds what waits for the loop and for the socket. What comes beyond it is dropped: a hint that
	// waited is worth nothing, and a flood must not hold up requests.
	peerQueueSize = 64
)

// peerTransport carries datagrams between this sidecar and the others of its tier. It decides nothing: the module says
// what is told to whom. Nil where the settings allow none.
type peerTransport struct {
	conn            *net.UDPConn
	addresses       []netip.AddrPort // by the sidecars' numbers
	numberByAddress map[netip.AddrPort]int
	broadcast       netip.AddrPort // reaches all; invalid: there is none

	inbound  chan balance.GossipMessage
	outbound chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peerConfigFile is what the configuration says of the others.
type peerConfigFile struct {
	Listen    string   `json:"peer_listen"`
	Peers     []string `json:"peers"`
	Broadcast string   `json:"peers_all"`
}

// peerConfig is the same, checked.
type peerConfig struct {
	listen    netip.AddrPort
	addresses []netip.AddrPort
	broadcast netip.AddrPort
}

// resolve checks the addresses. The socket for the others may be bound to no other host than the front's: nobody
// beside the tier is to reach it.
func (f *peerConfigFile) resolve(frontendAddress string, number, total int) (*peerConfig, error) {
	if f.Listen == "" && len(f.Peers) == 0 {
		return nil, nil
	}
	config := &peerConfig{}
	var err error
	if config.listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
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

// listenPeers binds the socket. Where that fails the sidecar works without: hints only help.
func listenPeers(config *peerConfig) *peerTransport {
	if config == nil {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.listen))
	if err != nil {
		slog.Warn("no messages between sidecars", "error", err)
		return nil
	}
	transport := &peerTransport{
		conn: conn, addresses: config.addresses, broadcast: config.broadcast, numberByAddress: make(map[netip.AddrPort]int, len(config.addresses)),
		inbound: make(chan balance.GossipMessage, peerQueueSize), outbound: make(chan datagram, peerQueueSize),
	}
	for i, address := range config.addresses {
		transport.numberByAddress[address] = i
	}
	return transport
}

// receive is what comes in; it blocks for ever where there is no socket.
func (p *peerTransport) receive() <-chan balance.GossipMessage {
	if p == nil {
		return nil
	}
	return p.inbound
}

// send hands a datagram to the writer; the loop never waits for a socket. Peer -1 is all.
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

// runWriter sends until ctx ends, and then has read end as well.
func (p *peerTransport) runWriter(ctx context.Context) {
	defer p.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-p.outbound:
			// What cannot be sent is lost, as a datagram may be under way.
			_, _ = p.conn.WriteToUDPAddrPort(datagram.data, datagram.to)
		}
	}
}

// runReader takes datagrams of the tier until the socket is closed. Foreign and overlong ones are dropped here.
func (p *peerTransport) runReader() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		received, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		number, known := p.numberByAddress[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known || received > maxDatagramBytes {
			continue
		}
		select {
		case p.inbound <- balance.GossipMessage{From: number, Data: append([]byte(nil), buffer[:received]...)}:
		default:
		}
	}
}

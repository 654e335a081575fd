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
	// maxDatagram is the platform's limit; a longer one is not the tier's (PROTOCOL).
	maxDatagram = 256
	// peerQueue bounds what waits for the loop and for the socket. What comes beyond it is dropped: a hint that
	// waited is worth nothing, and a flood must not hold up requests.
	peerQueue = 64
)

// peers carries datagrams between this sidecar and the others of its tier. It decides nothing: the module says
// what is told to whom. Nil where the settings allow none.
type peers struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort // by the sidecars' numbers
	byAt  map[netip.AddrPort]int
	all   netip.AddrPort // reaches all; invalid: there is none

	in  chan balance.GossipMessage
	out chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peerFile is what the configuration says of the others.
type peerFile struct {
	Listen string   `json:"peer_listen"`
	Peers  []string `json:"peers"`
	All    string   `json:"peers_all"`
}

// peerConfig is the same, checked.
type peerConfig struct {
	listen netip.AddrPort
	addrs  []netip.AddrPort
	all    netip.AddrPort
}

// config checks the addresses. The socket for the others may be bound to no other host than the front's: nobody
// beside the tier is to reach it.
func (f *peerFile) config(front string, number, total int) (*peerConfig, error) {
	if f.Listen == "" && len(f.Peers) == 0 {
		return nil, nil
	}
	c := &peerConfig{}
	var err error
	if c.listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if host, _, _ := net.SplitHostPort(front); host != c.listen.Addr().String() {
		return nil, fmt.Errorf("peer_listen: %s is not on the host of listen, %s", f.Listen, front)
	}
	if len(f.Peers) != total || number >= total {
		return nil, fmt.Errorf("peers: %d addresses for %d sidecars, of which this is number %d", len(f.Peers), total, number)
	}
	for i, text := range f.Peers {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.addrs = append(c.addrs, at)
	}
	if f.All != "" {
		if c.all, err = netip.ParseAddrPort(f.All); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	return c, nil
}

// listenPeers binds the socket. Where that fails the sidecar works without: hints only help.
func listenPeers(c *peerConfig) *peers {
	if c == nil {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.listen))
	if err != nil {
		slog.Warn("no messages between sidecars", "error", err)
		return nil
	}
	p := &peers{
		conn: conn, addrs: c.addrs, all: c.all, byAt: make(map[netip.AddrPort]int, len(c.addrs)),
		in: make(chan balance.GossipMessage, peerQueue), out: make(chan datagram, peerQueue),
	}
	for i, at := range c.addrs {
		p.byAt[at] = i
	}
	return p
}

// messages is what comes in; it blocks for ever where there is no socket.
func (p *peers) messages() <-chan balance.GossipMessage {
	if p == nil {
		return nil
	}
	return p.in
}

// post hands a datagram to the writer; the loop never waits for a socket. Peer -1 is all.
func (p *peers) post(peer int, data []byte) {
	if p == nil || len(data) > maxDatagram || peer >= len(p.addrs) {
		return
	}
	to := p.all
	if peer >= 0 {
		to = p.addrs[peer]
	}
	if !to.IsValid() {
		return
	}
	select {
	case p.out <- datagram{to, data}:
	default:
	}
}

// write sends until ctx ends, and then has read end as well.
func (p *peers) write(ctx context.Context) {
	defer p.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.out:
			// What cannot be sent is lost, as a datagram may be under way.
			_, _ = p.conn.WriteToUDPAddrPort(d.data, d.to)
		}
	}
}

// read takes datagrams of the tier until the socket is closed. Foreign and overlong ones are dropped here.
func (p *peers) read() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		number, known := p.byAt[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known || n > maxDatagram {
			continue
		}
		select {
		case p.in <- balance.GossipMessage{From: number, Data: append([]byte(nil), buf[:n]...)}:
		default:
		}
	}
}

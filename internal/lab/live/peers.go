package live

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"milldeck/internal/lab"
)

// maxUnderWay bounds the datagrams that the relay holds back; beyond it they are lost, as on any network.
const maxUnderWay = 4096

// relay carries datagrams between sidecars, under the faults of their links. Each sidecar has an address here:
// what is sent to it goes to that sidecar, and comes to it from the sender's address.
type relay struct {
	f        *fleet
	conns    []*net.UDPConn
	bySource map[netip.AddrPort]int
	listens  []netip.AddrPort
	underWay atomic.Int64
}

func newRelay(f *fleet) *relay { return &relay{f: f, bySource: map[netip.AddrPort]int{}} }

// open binds the addresses.
func (x *relay) open() error {
	for i := range x.f.plan.Sidecars {
		conn, err := listenUDP(x.f.addrs.peer(i))
		if err != nil {
			x.close()
			return fmt.Errorf("address of sidecar %d for the others: %w", i, err)
		}
		x.conns = append(x.conns, conn)
		at, err := netip.ParseAddrPort(x.f.addrs.peerListen(i))
		if err != nil {
			return fmt.Errorf("address of sidecar %d: %w", i, err)
		}
		x.listens = append(x.listens, at)
		x.bySource[at] = i
	}
	for i := range x.conns {
		go x.carry(i)
	}
	return nil
}

func listenUDP(addr string) (*net.UDPConn, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
}

// carry passes on what is sent to one sidecar until the relay is closed.
func (x *relay) carry(to int) {
	buf := make([]byte, 2048)
	for {
		n, source, err := x.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from, known := x.bySource[source]
		cut, more, loss, _ := x.f.net.way(lab.Endpoint{Kind: lab.SidecarEndpoint, Index: from}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: to})
		if !known || cut || rand.Float64() < loss || x.underWay.Load() >= maxUnderWay {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		x.underWay.Add(1)
		delay := millis(lab.MinPeerDelayMS + (lab.MaxPeerDelayMS-lab.MinPeerDelayMS)*rand.Float64())
		time.AfterFunc(delay+more, func() {
			x.underWay.Add(-1)
			// An error is a sidecar that is down: what is sent to it is lost.
			if _, err := x.conns[from].WriteToUDPAddrPort(data, x.listens[to]); err == nil {
				x.f.measure.AddCounts(func(c *lab.Counts) { c.GossipMessages++; c.GossipBytes += len(data) })
			}
		})
	}
}

func (x *relay) close() {
	for _, c := range x.conns {
		c.Close()
	}
}

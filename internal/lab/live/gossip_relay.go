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

// maxInFlightDatagrams bounds the datagrams that the relay delays at the same time. The relay drops further datagrams, as a
// network does.
const maxInFlightDatagrams = 4096

// maxDatagram is the length in bytes to which longer datagrams are truncated.
const maxDatagram = 2048

// gossipRelay forwards gossip datagrams between sidecars, subject to the faults on their links. It has one address for
// each sidecar. A datagram sent to that address is forwarded to the sidecar, with the sender's relay address as source.
type gossipRelay struct {
	fleet           *fleet
	connections     []*net.UDPConn // by sidecar
	sidecarBySource map[netip.AddrPort]int
	destinations    []netip.AddrPort // where each sidecar receives gossip
	inFlight        atomic.Int64
}

func newGossipRelay(fleet *fleet) *gossipRelay {
	return &gossipRelay{fleet: fleet, sidecarBySource: map[netip.AddrPort]int{}}
}

// open binds the addresses and starts forwarding.
func (r *gossipRelay) open() error {
	for i := range r.fleet.plan.Sidecars {
		connection, err := listenUDP(r.fleet.addresses.gossipRelay(i))
		if err != nil {
			r.close()
			return fmt.Errorf("gossip address of sidecar %d: %w", i, err)
		}
		r.connections = append(r.connections, connection)
		destination, err := netip.ParseAddrPort(r.fleet.addresses.gossipListen(i))
		if err != nil {
			return fmt.Errorf("gossip address of sidecar %d: %w", i, err)
		}
		r.destinations = append(r.destinations, destination)
		r.sidecarBySource[destination] = i
	}
	for i := range r.connections {
		go r.forward(i)
	}
	return nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort))
}

// forward forwards the datagrams for one sidecar until the relay is closed.
func (r *gossipRelay) forward(destination int) {
	buffer := make([]byte, maxDatagram)
	for {
		length, source, err := r.connections[destination].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		sender, ok := r.sidecarBySource[source]
		link := r.fleet.network.state(sidecarEnd(sender), sidecarEnd(destination))
		if !ok || link.partitioned || rand.Float64() < link.loss || r.inFlight.Load() >= maxInFlightDatagrams {
			continue
		}
		datagram := append([]byte(nil), buffer[:length]...)
		r.inFlight.Add(1)
		delay := milliseconds(lab.MinPeerDelayMS + (lab.MaxPeerDelayMS-lab.MinPeerDelayMS)*rand.Float64())
		time.AfterFunc(delay+link.extraDelay, func() {
			r.inFlight.Add(-1)
			r.deliver(sender, destination, datagram)
		})
	}
}

// deliver sends a datagram to its destination and adds it to the counts.
func (r *gossipRelay) deliver(sender, destination int, datagram []byte) {
	if _, err := r.connections[sender].WriteToUDPAddrPort(datagram, r.destinations[destination]); err != nil {
		return // the sidecar is down: the datagram is lost
	}
	r.fleet.recorder.AddCounts(func(counts *lab.Counts) {
		counts.GossipMessages++
		counts.GossipBytes += len(datagram)
	})
}

func sidecarEnd(number int) lab.LinkEnd {
	return lab.LinkEnd{Kind: lab.SidecarEnd, Index: number}
}

func (r *gossipRelay) close() {
	for _, connection := range r.connections {
		_ = connection.Close() // the run is over: nothing depends on the result
	}
}

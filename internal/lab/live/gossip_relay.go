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

// maxInFlightDatagrams bounds the datagrams that the relay holds back; beyond it they are lost, as on any network.
const maxInFlightDatagrams = 4096

// gossipRelay carries datagrams between sidecars, under the faults of their links. Each sidecar has an address here:
// what is sent to it goes to that sidecar, and comes to it from the sender's address.
type gossipRelay struct {
	fleet           *fleet
	connections     []*net.UDPConn
	sidecarBySource map[netip.AddrPort]int
	destinations    []netip.AddrPort
	inFlight        atomic.Int64
}

func newGossipRelay(fleet *fleet) *gossipRelay {
	return &gossipRelay{fleet: fleet, sidecarBySource: map[netip.AddrPort]int{}}
}

// open binds the addresses.
func (x *gossipRelay) open() error {
	for i := range x.fleet.plan.Sidecars {
		connection, err := listenUDP(x.fleet.addresses.gossipRelay(i))
		if err != nil {
			x.close()
			return fmt.Errorf("address of sidecar %d for the others: %w", i, err)
		}
		x.connections = append(x.connections, connection)
		destination, err := netip.ParseAddrPort(x.fleet.addresses.gossipListen(i))
		if err != nil {
			return fmt.Errorf("address of sidecar %d: %w", i, err)
		}
		x.destinations = append(x.destinations, destination)
		x.sidecarBySource[destination] = i
	}
	for i := range x.connections {
		go x.forward(i)
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

// forward passes on what is sent to one sidecar until the relay is closed.
func (x *gossipRelay) forward(destination int) {
	buffer := make([]byte, 2048)
	for {
		length, source, err := x.connections[destination].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		sender, ok := x.sidecarBySource[source]
		partitioned, extraDelay, loss, _ := x.fleet.network.state(lab.Endpoint{Kind: lab.SidecarEndpoint, Index: sender}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: destination})
		if !ok || partitioned || rand.Float64() < loss || x.inFlight.Load() >= maxInFlightDatagrams {
			continue
		}
		datagram := append([]byte(nil), buffer[:length]...)
		x.inFlight.Add(1)
		delay := milliseconds(lab.MinPeerDelayMS + (lab.MaxPeerDelayMS-lab.MinPeerDelayMS)*rand.Float64())
		time.AfterFunc(delay+extraDelay, func() {
			x.inFlight.Add(-1)
			// An error is a sidecar that is down: what is sent to it is lost.
			if _, err := x.connections[sender].WriteToUDPAddrPort(datagram, x.destinations[destination]); err == nil {
				x.fleet.recorder.AddCounts(func(counts *lab.Counts) { counts.GossipMessages++; counts.GossipBytes += len(datagram) })
			}
		})
	}
}

func (x *gossipRelay) close() {
	for _, connection := range x.connections {
		connection.Close()
	}
}

package sidecar

import (
	"maps"

	"milldeck/balance"
)

// addressOwner is the server whose process was announced last at an address.
type addressOwner struct {
	server balance.ServerID
	bootMS float64
	update int // the endpoint update in which the server was first seen there
}

// addressOwners tells which of several listed servers with one address is there. Discovery announces a new server at once, but may
// list the former one at its address for seconds: whatever is sent to the former one would reach the new one.
type addressOwners struct {
	byAddress map[string]addressOwner
	addresses map[balance.ServerID]string // the address that a server owns
	// formerAddress is the address that a listed server has lost to another one.
	formerAddress map[balance.ServerID]string
	update        int // number of the present endpoint update
}

func newAddressOwners() addressOwners {
	return addressOwners{
		byAddress:     map[string]addressOwner{},
		addresses:     map[balance.ServerID]string{},
		formerAddress: map[balance.ServerID]string{},
	}
}

// beginUpdate starts a new endpoint update.
func (o *addressOwners) beginUpdate() { o.update++ }

// claim processes the entry of a ready server. present reports whether the server's process can be at the address. If another
// server has lost the address to it, that is returned in lost, with found set.
func (o *addressOwners) claim(server balance.ServerID, listed *endpoint) (present bool, lost balance.ServerID, found bool) {
	if previous := o.addresses[server]; previous != listed.Address && o.byAddress[previous].server == server {
		delete(o.byAddress, previous) // the server has moved
	}
	owner, owned := o.byAddress[listed.Address]
	if owned && owner.server == server {
		owner.bootMS = listed.BootMS
		o.byAddress[listed.Address] = owner
		return true, 0, false
	}
	if owned {
		switch {
		case listed.BootMS < owner.bootMS, listed.BootMS == owner.bootMS && o.formerAddress[server] == listed.Address:
			o.formerAddress[server] = listed.Address
			return false, 0, false
		case listed.BootMS == owner.bootMS && owner.update == o.update:
			return true, 0, false // both are new in one list, which does not tell who came later
		}
		o.formerAddress[owner.server] = listed.Address
	}
	delete(o.formerAddress, server)
	o.addresses[server] = listed.Address
	o.byAddress[listed.Address] = addressOwner{server: server, bootMS: listed.BootMS, update: o.update}
	return true, owner.server, owned
}

// retain forgets the servers that a predicate does not name.
func (o *addressOwners) retain(keep func(balance.ServerID) bool) {
	maps.DeleteFunc(o.byAddress, func(_ string, owner addressOwner) bool { return !keep(owner.server) })
	maps.DeleteFunc(o.addresses, func(server balance.ServerID, _ string) bool { return !keep(server) })
	maps.DeleteFunc(o.formerAddress, func(server balance.ServerID, _ string) bool { return !keep(server) })
}

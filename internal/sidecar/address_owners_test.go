package sidecar

import (
	"testing"

	"milldeck/balance"
)

// Of several listed servers with one address, only the one that was announced last is there. Where a list does not tell that, all
// count as there.
func TestAddressOwners(t *testing.T) {
	const former, successor balance.ServerID = 1, 2
	type entry struct {
		server      balance.ServerID
		address     string
		bootMS      float64
		wantPresent bool
		wantLost    balance.ServerID // 0: none
	}
	for name, updates := range map[string][][]entry{
		"announced later":           {{{former, "a", 0, true, 0}}, {{successor, "a", 5, true, former}}, {{former, "a", 0, false, 0}, {successor, "a", 5, true, 0}}},
		"one list, former first":    {{{former, "a", 0, true, 0}, {successor, "a", 5, true, former}}},
		"one list, successor first": {{{successor, "a", 5, true, 0}, {former, "a", 0, false, 0}}},
		"no boot times":             {{{former, "a", 0, true, 0}}, {{successor, "a", 0, true, former}}, {{former, "a", 0, false, 0}}},
		"no boot times, one list":   {{{former, "a", 0, true, 0}, {successor, "a", 0, true, 0}}},
		"the former restarts there": {{{successor, "a", 5, true, 0}}, {{former, "a", 9, true, successor}}, {{successor, "a", 5, false, 0}}},
		"the successor moves on":    {{{former, "a", 0, true, 0}}, {{successor, "a", 5, true, former}}, {{successor, "b", 5, true, 0}}, {{former, "a", 0, true, 0}}},
		"the former moves":          {{{former, "a", 0, true, 0}}, {{successor, "a", 5, true, former}}, {{former, "b", 0, true, 0}}},
	} {
		owners := newAddressOwners()
		for i, update := range updates {
			owners.beginUpdate()
			for _, e := range update {
				present, lost, found := owners.claim(e.server, &endpoint{Address: e.address, BootMS: e.bootMS})
				if present != e.wantPresent || found != (e.wantLost != 0) || found && lost != e.wantLost {
					t.Errorf("%s, update %d, server %d: present %v, lost %d (%v)", name, i, e.server, present, lost, found)
				}
			}
		}
		owners.retain(func(balance.ServerID) bool { return false })
		if len(owners.byAddress)+len(owners.addresses)+len(owners.formerAddress) != 0 {
			t.Errorf("%s: servers that are not listed are retained", name)
		}
	}
}

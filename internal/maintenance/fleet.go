package maintenance

import (
	"maps"
	"slices"
)

// Fleet maps the UID of each known server to the tenants of the server. A server without tenants belongs to all
// tenants that have a contract.
type Fleet map[string][]string

// ServerCounts returns the tenants of the given servers, each with the number of all its servers in the fleet.
// The contracts of these tenants have to approve that the given servers go out of service.
func (f Fleet) ServerCounts(table *Table, serverUIDs []string) map[string]int {
	counts := map[string]int{}
	for _, uid := range serverUIDs {
		for _, tenant := range f.tenantsOf(table, uid) {
			counts[tenant] = 0
		}
	}
	for uid := range f {
		for _, tenant := range f.tenantsOf(table, uid) {
			if _, involved := counts[tenant]; involved {
				counts[tenant]++
			}
		}
	}
	return counts
}

func (f Fleet) tenantsOf(table *Table, uid string) []string {
	if tenants := f[uid]; len(tenants) > 0 {
		return tenants
	}
	return slices.Sorted(maps.Keys(table.contracts))
}

package maintenance

import (
	"maps"
	"slices"
)

// Fleet is the tenants of each known server, by server UID. A server that names no tenant belongs to all tenants that
// have a contract.
type Fleet map[string][]string

// ServerCounts returns the tenants whose contracts have to approve that the servers go out of service, each with the
// number of all its servers.
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

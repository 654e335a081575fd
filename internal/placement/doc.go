// Package placement defines routing directives for sidecars, in addition to the endpoint list. A directive excludes
// servers for a tenant, replicates a hot key to further servers, or has load reports count servers as a separate
// cohort. Directives are part of the registry's replicated state. Node agents watch them like the endpoint list and
// serve them to their sidecars. Each directive expires, so that it does not outlive its approval if its owner fails.
//
// The package contains the replicated Table, the Cache that agents and sidecars keep of it, the Update that a watch
// sends, and the LoadReport that sidecars send. Packages internal/maintenance, internal/hotkey and internal/release
// decide on directives, and the registry checks fencing tokens. This package does no I/O and reads no clock: times are
// parameters.
package placement

// Package placement holds the routing directives that a fleet gives its sidecars beyond the endpoint list: which tenant
// stays off which servers, which hot key is replicated to which servers, and which servers are counted as a cohort of
// their own. Directives are part of the registry's replicated state, watched like the endpoint list and served on to
// sidecars by their node agents. Each directive expires, so that none outlives its approval when those who issued it
// are gone.
//
// The package owns the replicated Table, the Cache of a consumer, the update lines between them, and the form of the
// load reports that sidecars answer with. It does not decide on directives (internal/maintenance, internal/hotkey and
// internal/release do), does not check leases or fencing tokens, and does no I/O: times are inputs.
package placement

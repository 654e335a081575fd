package registry

import (
	"sync"
	"time"
)

// broadcastDelay is the least time between two wake-ups of watchers. Changes that are closer together go out in one
// write, which saves thousands of watchers a wake-up for each.
const broadcastDelay = 20 * time.Millisecond

// broadcaster wakes all who wait for its channel. The lock of the struct that contains it guards it.
type broadcaster struct {
	changed chan struct{} // closed, and replaced, by each broadcast
	pending bool
}

func newBroadcaster() broadcaster { return broadcaster{changed: make(chan struct{})} }

// schedule broadcasts after broadcastDelay, unless a broadcast is pending. It calls before, if that is not nil, just
// before the broadcast. Lock is the lock that guards the broadcaster: the caller holds it, and before is called under it.
func (b *broadcaster) schedule(lock sync.Locker, before func()) {
	if b.pending {
		return
	}
	b.pending = true
	time.AfterFunc(broadcastDelay, func() {
		lock.Lock()
		defer lock.Unlock()
		if before != nil {
			before()
		}
		b.pending = false
		close(b.changed)
		b.changed = make(chan struct{})
	})
}

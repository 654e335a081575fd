package registry

import (
	"sync"
	"time"
)

// broadcastDelay is the minimum time between two broadcasts. Changes that are closer together share one broadcast, which
// saves thousands of watchers a wake-up for each change.
const broadcastDelay = 20 * time.Millisecond

// broadcaster wakes all goroutines that wait for its channel. It is guarded by the lock of the struct that contains it.
type broadcaster struct {
	changed chan struct{} // closed and replaced by each broadcast
	pending bool
}

func newBroadcaster() broadcaster { return broadcaster{changed: make(chan struct{})} }

// schedule broadcasts after broadcastDelay, unless a broadcast is pending. Lock guards the broadcaster, and the caller of
// schedule holds it. If before is not nil, it is called with lock held, just before the broadcast.
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

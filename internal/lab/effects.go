package lab

import "sync"

// EffectStore is the deduplication memory of servers: it records the effects that the servers of a scope have applied.
type EffectStore interface {
	// CheckAndRecord reports whether a server of the same scope applied the effect within the idempotency window of the class,
	// and otherwise records that the server applies the effect now. classIndex is the index of the class.
	CheckAndRecord(now float64, s *ServerPlan, class *ClassPlan, classIndex int, effect uint64) bool
}

// MemoryEffectStore is an EffectStore for servers within one process. It may be used concurrently.
type MemoryEffectStore struct {
	mu      sync.Mutex
	byScope map[effectScope]*effectWindow
}

// effectScope identifies the servers that recognise each other's repeats, for one class.
type effectScope struct {
	class, group int
}

// effectWindow holds the effects within the idempotency window of a class.
type effectWindow struct {
	appliedAt map[uint64]float64
	order     []timedKey // by age
}

// NewMemoryEffectStore returns an empty store.
func NewMemoryEffectStore() *MemoryEffectStore {
	return &MemoryEffectStore{byScope: map[effectScope]*effectWindow{}}
}

// CheckAndRecord implements EffectStore.
func (m *MemoryEffectStore) CheckAndRecord(now float64, s *ServerPlan, class *ClassPlan, classIndex int, effect uint64) bool {
	key := effectScope{class: classIndex}
	switch class.ClassSpec.DeduplicationScope {
	case scopeZone:
		key.group = s.Zone
	case scopePod:
		key.group = s.Cell
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	window := m.byScope[key]
	if window == nil {
		window = &effectWindow{appliedAt: map[uint64]float64{}}
		m.byScope[key] = window
	}
	window.expire(now, class.IdempotencyWindowMS)
	if _, known := window.appliedAt[effect]; known {
		return true
	}
	window.appliedAt[effect] = now
	window.order = append(window.order, timedKey{effect, now})
	return false
}

// expire removes the effects that are older than the window.
func (w *effectWindow) expire(now, windowMS float64) {
	for len(w.order) > 0 && now > w.order[0].at+windowMS {
		delete(w.appliedAt, w.order[0].key)
		w.order = w.order[1:]
	}
}

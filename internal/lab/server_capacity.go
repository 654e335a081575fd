package lab

import "math"

// workSlot is the work that a warming-up server was sent within one slot of the overload window.
type workSlot struct {
	slot               int
	work, informedWork float64
}

// SlowStartOverload describes the overload of a warming-up server.
type SlowStartOverload struct {
	WorkMS, BudgetMS float64 // standard work sent within the window, and the limit of that work
	InformedShare    float64 // share of the work from sidecars that had been notified of the server's start
}

// Overloaded reports whether the server was overloaded while it was warming up. An overloaded server stays down.
func (s *Server) Overloaded() bool { return s.overloaded }

// IsWarmingUp reports whether the slow start has not ended yet.
func (s *Server) IsWarmingUp(now float64) bool {
	return s.hasSlowStart && now < s.startedAt+s.Plan.SlowStartMS
}

// capacityShare returns the share of its capacity that a server has, which grows linearly during the slow start.
func (s *Server) capacityShare(now float64) float64 {
	if !s.hasSlowStart || now >= s.startedAt+s.Plan.SlowStartMS {
		return 1
	}
	from := s.Plan.Spec.SlowStartFrom
	return from + (1-from)*(now-s.startedAt)/s.Plan.SlowStartMS
}

// recordSlowStartWork counts the work that sidecars send to a warming-up server, accepted or not. It returns the overload
// if that work exceeds its limit.
func (s *Server) recordSlowStartWork(now float64, job Job) *SlowStartOverload {
	if !s.IsWarmingUp(now) || s.rules.OverloadWindowMS <= 0 {
		return nil
	}
	slotMS := s.rules.OverloadWindowMS / overloadSlots
	slot := int(now / slotMS)
	current := &s.slowStartWork[slot%overloadSlots]
	if current.slot != slot {
		*current = workSlot{slot: slot}
	}
	current.work += job.WorkMS
	if job.SenderInformed {
		current.informedWork += job.WorkMS
	}
	totalWork, informedWork := 0.0, 0.0
	for _, slotWork := range s.slowStartWork {
		if slotWork.slot > slot-overloadSlots {
			totalWork += slotWork.work
			informedWork += slotWork.informedWork
		}
	}
	capacity := s.Plan.Speed * s.capacityShare(now) * float64(s.Plan.Spec.Cores)
	budget := s.rules.OverloadMultiple * capacity * s.rules.OverloadWindowMS * overloadTolerance
	if totalWork <= budget {
		return nil
	}
	return &SlowStartOverload{WorkMS: totalWork, BudgetMS: budget, InformedShare: informedWork / totalWork}
}

// Congested reports whether too many waiting jobs have slowed the server down.
func (s *Server) Congested(now float64) bool { return now >= s.congestedSince }

// updateCongestion begins or ends congestion, depending on the length of the queue and the use of the cores.
func (s *Server) updateCongestion(now float64) {
	switch {
	case s.Plan.Spec.CongestionQueuePerCore == 0:
	case now >= s.congestedSince:
		s.endCongestion(now)
	default:
		s.beginCongestion(now)
	}
}

// beginCongestion makes the server congested once too many jobs have waited for long enough.
func (s *Server) beginCongestion(now float64) {
	spec := s.Plan.Spec
	if float64(len(s.waiting)) <= spec.CongestionQueuePerCore*float64(spec.Cores) {
		s.longQueueSince = math.Inf(1)
	} else if math.IsInf(s.longQueueSince, 1) {
		s.longQueueSince = now
	}
	if now >= s.longQueueSince+spec.CongestionAfterMS {
		s.congestedSince, s.idleSince = now, math.Inf(1)
	}
}

// endCongestion ends the congestion once the server was idle for long enough, or after the longest duration.
func (s *Server) endCongestion(now float64) {
	spec := s.Plan.Spec
	if float64(len(s.running)) > idleUtilisation*float64(spec.Cores) || len(s.waiting) > 0 {
		s.idleSince = math.Inf(1)
	} else if math.IsInf(s.idleSince, 1) {
		s.idleSince = now
	}
	wasIdle := now >= s.idleSince+spec.CongestionIdleMS
	tookLongest := now >= s.congestedSince+spec.CongestionMaxMS && spec.CongestionMaxMS > 0
	if wasIdle || tookLongest {
		s.congestedSince, s.longQueueSince = math.Inf(1), math.Inf(1)
	}
}

// checkCache reports whether a key is cached, and caches it.
func (s *Server) checkCache(now float64, key uint64) bool {
	spec := s.Plan.Spec
	capacity := max(spec.CacheKeys, 1)
	for len(s.cacheOrder) > 0 && (now > s.cacheOrder[0].at+spec.CacheTTLMS || len(s.cacheOrder) > 2*capacity) {
		s.evictOldest()
	}
	if s.AlwaysCached[key] {
		return true
	}
	lastUse, known := s.cachedAt[key]
	s.cachedAt[key] = now
	s.cacheOrder = append(s.cacheOrder, timedKey{key, now})
	for len(s.cachedAt) > capacity {
		s.evictOldest()
	}
	return known && now <= lastUse+spec.CacheTTLMS
}

// evictOldest drops the oldest use. The key stays cached if it was used again later.
func (s *Server) evictOldest() {
	oldest := s.cacheOrder[0]
	s.cacheOrder = s.cacheOrder[1:]
	if s.cachedAt[oldest.key] == oldest.at {
		delete(s.cachedAt, oldest.key)
	}
}

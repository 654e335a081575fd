package live

import (
	"time"

	"milldeck/internal/lab"
)

// offer brings the model a job; what becomes of it comes on the channel.
func (s *front) offer(j lab.Job) (<-chan lab.JobCompletion, bool) {
	s.mu.Lock()
	now := s.host.now()
	s.advance(now)
	result := make(chan lab.JobCompletion, 1)
	if j.Attempt != 0 {
		s.asks[j.Attempt] = result
	}
	taken, fall := s.model.Offer(now, j)
	if !taken {
		delete(s.asks, j.Attempt)
	}
	s.arm(now)
	s.mu.Unlock()
	if fall != nil {
		s.host.fell(now, fall)
	}
	return result, taken
}

func (s *front) drop(attempt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.now()
	delete(s.asks, attempt)
	s.advance(now)
	s.model.Cancel(now, attempt)
	s.arm(now)
}

// advance lets the model's time pass; the caller holds the lock.
func (s *front) advance(now float64) {
	s.model.Advance(now, func(end lab.JobCompletion) {
		if end.Result != lab.JobExpired {
			s.host.ran(end)
		}
		if ch := s.asks[end.Attempt]; ch != nil {
			ch <- end
			delete(s.asks, end.Attempt)
		}
	})
}

// arm sets the timer for what the model does next; the caller holds the lock.
func (s *front) arm(now float64) {
	next := s.model.Next()
	if next > 1e12 {
		return
	}
	after := max(0, millis(next-now))
	if s.timer != nil {
		s.timer.Reset(after)
		return
	}
	s.timer = time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.host.now()
		if next := s.model.Next(); next <= now {
			s.host.lateness(now - next)
		}
		s.advance(now)
		s.arm(now)
	})
}

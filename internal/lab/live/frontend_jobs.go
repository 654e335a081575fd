package live

import (
	"time"

	"milldeck/internal/lab"
)

// submit gives the model a job. Its completion comes on the channel; false: the server rejects the job, its queue is
// full.
func (s *frontend) submit(job lab.Job) (<-chan lab.JobCompletion, bool) {
	s.mu.Lock()
	now := s.host.now()
	s.advanceModel(now)
	result := make(chan lab.JobCompletion, 1)
	if job.Attempt != 0 {
		s.pendingJobs[job.Attempt] = result
	}
	accepted, overload := s.model.Offer(now, job)
	if !accepted {
		delete(s.pendingJobs, job.Attempt)
	}
	s.scheduleTimer(now)
	s.mu.Unlock()
	if overload != nil {
		s.host.overloaded(now, overload)
	}
	return result, accepted
}

// cancel drops the job of an attempt whose connection has closed.
func (s *frontend) cancel(attempt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.now()
	delete(s.pendingJobs, attempt)
	s.advanceModel(now)
	s.model.Cancel(now, attempt)
	s.scheduleTimer(now)
}

// advanceModel advances the model to a time and reports the jobs completed by then. The caller holds the lock.
func (s *frontend) advanceModel(now float64) {
	s.model.Advance(now, func(completion lab.JobCompletion) {
		if completion.Result != lab.JobExpired {
			s.host.jobCompleted(completion)
		}
		if result := s.pendingJobs[completion.Attempt]; result != nil {
			result <- completion
			delete(s.pendingJobs, completion.Attempt)
		}
	})
}

// scheduleTimer sets the timer to the model's next event. The caller holds the lock.
func (s *frontend) scheduleTimer(now float64) {
	next := s.model.Next()
	if next > 1e12 {
		return
	}
	delay := max(0, milliseconds(next-now))
	if s.timer != nil {
		s.timer.Reset(delay)
		return
	}
	s.timer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.host.now()
		if next := s.model.Next(); next <= now {
			s.host.recordLateness(now - next)
		}
		s.advanceModel(now)
		s.scheduleTimer(now)
	})
}

package live

import (
	"time"

	"milldeck/internal/lab"
)

// submit passes a job to the model. The job's completion arrives on the channel. submit returns false if the server rejects
// the job because the server's queue is full.
func (f *frontend) submit(job lab.Job) (<-chan lab.JobCompletion, bool) {
	f.mu.Lock()
	now := f.host.now()
	f.advanceModel(now)
	result := make(chan lab.JobCompletion, 1)
	if job.Attempt != 0 {
		f.pendingJobs[job.Attempt] = result
	}
	accepted, overload := f.model.Offer(now, job)
	if !accepted {
		delete(f.pendingJobs, job.Attempt)
	}
	f.scheduleTimer(now)
	f.mu.Unlock()
	if overload != nil {
		f.host.overloaded(now, overload)
	}
	return result, accepted
}

// cancel cancels the job of an attempt whose connection has closed.
func (f *frontend) cancel(attempt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.host.now()
	delete(f.pendingJobs, attempt)
	f.advanceModel(now)
	f.model.Cancel(now, attempt)
	f.scheduleTimer(now)
}

// advanceModel advances the model to a time and reports the jobs completed by then. The caller holds the lock.
func (f *frontend) advanceModel(now float64) {
	f.model.Advance(now, func(completion lab.JobCompletion) {
		if completion.Result != lab.JobExpired {
			f.host.jobCompleted(completion)
		}
		if result := f.pendingJobs[completion.Attempt]; result != nil {
			result <- completion
			delete(f.pendingJobs, completion.Attempt)
		}
	})
}

// scheduleTimer sets the timer to the model's next event. The caller holds the lock.
func (f *frontend) scheduleTimer(now float64) {
	next := f.model.Next()
	if next > 1e12 {
		return
	}
	delay := max(0, milliseconds(next-now))
	if f.timer != nil {
		f.timer.Reset(delay)
		return
	}
	f.timer = time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := f.host.now()
		if next := f.model.Next(); next <= now {
			f.host.recordLateness(now - next)
		}
		f.advanceModel(now)
		f.scheduleTimer(now)
	})
}

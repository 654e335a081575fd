package live

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milldeck/internal/lab"
)

// standaloneObserver is the observer of a server process that runs without a lab. It derives the job from the request's
// header and drops all reports.
type standaloneObserver struct {
	process     *serverProcess
	lastAttempt atomic.Int64
}

// standaloneAttempt is an attempt whose job is derived from the request's header.
type standaloneAttempt struct {
	directPath
	requestJob lab.Job
}

func (a *standaloneAttempt) job() lab.Job { return a.requestJob }

func (a *standaloneAttempt) ended(string) {}

func (a *standaloneAttempt) responseProduced() {}

func (o *standaloneObserver) beginAttempt(id uint64, received receivedRequest) (serverAttempt, bool) {
	header := received.request.Header
	attempt := &standaloneAttempt{requestJob: lab.Job{Attempt: o.lastAttempt.Add(1), Request: id}}
	classKnown := false
	for i := range o.process.config.Classes {
		if o.process.config.Classes[i].Name == header.Get("X-Priority-Class") {
			attempt.requestJob.Class, classKnown = i, true
		}
	}
	if !classKnown {
		return attempt, false
	}
	if microseconds, err := strconv.ParseFloat(header.Get("X-Cost"), 64); err == nil {
		attempt.requestJob.WorkMS = microseconds / 1000
	} else {
		attempt.requestJob.WorkMS = o.process.config.Classes[attempt.requestJob.Class].WorkMS.Min
	}
	if cookie, err := received.request.Cookie("k"); err == nil {
		attempt.requestJob.Key, _ = strconv.ParseUint(cookie.Value, 16, 64) // 0 (no key) if it is not a number
	}
	if key := strings.TrimLeft(header.Get("Idempotency-Key"), "0"); key != "" {
		attempt.requestJob.EffectID, _ = strconv.ParseUint(key[:min(16, len(key))], 16, 64) // 0 (no effect) if it is not a number
	}
	return attempt, true
}

func (*standaloneObserver) addCounts(func(*lab.Counts)) {}

func (*standaloneObserver) reportReady() {}

func (*standaloneObserver) reportTerminating() {}

func (*standaloneObserver) jobCompleted(time.Time, lab.JobCompletion) {}

func (*standaloneObserver) overloaded(time.Time, *lab.SlowStartOverload) {}

func (*standaloneObserver) close() {}

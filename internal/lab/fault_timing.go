package lab

import "math"

// MaxFaultLatenessMS is how late a fault may come into force or end. A run in which one was later is not judged, because it
// does not show what its experiment describes.
const MaxFaultLatenessMS = 100.0

// faultTiming is when a fault was in force and when it had ended, in ms of the run. A time is nil if the fault has not come
// so far.
type faultTiming struct {
	inForceMS, endedMS *float64
	late               bool
}

// FaultInForce records that a fault of the plan is in force, as measured after its last part has changed. An error means that
// the fault could not be brought into force.
func (r *Recorder) FaultInForce(number int, now float64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	timing := &r.faultTimings[number]
	timing.inForceMS = timeUnlessFailed(now, err)
	timing.late = timing.late || isLate(r.plan.Faults[number].StartMS, now, err)
}

// FaultEnded records that a fault of the plan has ended, as measured after its last part has changed back.
func (r *Recorder) FaultEnded(number int, now float64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	timing := &r.faultTimings[number]
	timing.endedMS = timeUnlessFailed(now, err)
	timing.late = timing.late || isLate(r.plan.Faults[number].EndMS, now, err)
}

// ServerReplaced records that one step of a rolling replacement was carried out, which was planned for dueMS.
func (r *Recorder) ServerReplaced(dueMS, now float64, err error) {
	if !isLate(dueMS, now, err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateReplacements++
}

func timeUnlessFailed(now float64, err error) *float64 {
	if err != nil {
		return nil
	}
	return &now
}

func isLate(dueMS, now float64, err error) bool {
	return err != nil || now-dueMS > MaxFaultLatenessMS
}

// faultIntervals returns the planned and the measured periods of the faults. The caller holds the lock.
func (r *Recorder) faultIntervals() []FaultInterval {
	var intervals []FaultInterval
	for i := range r.plan.Faults {
		fault, timing := &r.plan.Faults[i], &r.faultTimings[i]
		intervals = append(intervals, FaultInterval{
			Fault: fault.Label, FromS: fault.StartMS / 1000, ToS: fault.EndMS / 1000,
			InForceS: secondsOf(timing.inForceMS), EndedS: secondsOf(timing.endedMS), Late: timing.late,
		})
	}
	return intervals
}

// secondsOf converts a time in ms to seconds, rounded to a microsecond. The result is nil if the time is nil.
func secondsOf(ms *float64) *float64 {
	if ms == nil {
		return nil
	}
	seconds := math.Round(*ms*1000) / 1e6
	return &seconds
}

// discountIfFaultsLate discounts all violations if a fault was late: the run is not judged.
func (r *Result) discountIfFaultsLate(lateReplacements int) {
	r.LateFaults = lateReplacements
	for i := range r.Faults {
		r.LateFaults += boolToInt(r.Faults[i].Late)
	}
	if r.LateFaults == 0 {
		return
	}
	r.DiscountedViolations += r.ViolationCount
	r.ViolationCount, r.Violations = 0, nil
}

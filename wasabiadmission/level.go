package wasabiadmission

import (
	"math"
	"time"

	"github.com/wasabistand/wasabistand"
)

// lowerLevel lowers the admission level by one step per hold time in which no
// call at or above the level was refused for load.
func (q *Queue) lowerLevel(now time.Time) {
	if q.level == wasabistand.Low {
		return
	}
	if !q.hasSpareCapacity() {
		// Time without spare capacity does not count, so that the level falls
		// by one step at a time afterwards.
		if q.lowerLevelAt.Before(now) {
			q.lowerLevelAt = now
		}
		return
	}
	for q.level > wasabistand.Low && !now.Before(q.lowerLevelAt) {
		q.level--
		q.lowerLevelAt = q.lowerLevelAt.Add(q.options.levelHold)
	}
}

// hasSpareCapacity reports whether the queue is empty or a slot is free, so
// that calls of lower importance could be admitted.
func (q *Queue) hasSpareCapacity() bool {
	return q.waitingCount == 0 || q.runningCount < q.limit
}

// raiseLevel records that a call of importance i was refused for load. It
// raises the admission level to i and refuses all waiting calls below i. No
// call below i is admitted until the level falls.
func (q *Queue) raiseLevel(now time.Time, i wasabistand.Importance) {
	if i < q.level {
		return
	}
	q.level = i
	q.lowerLevelAt = now.Add(q.options.levelHold)
	for j := wasabistand.Low; j < i; j++ {
		for q.waiting[j] > 0 {
			c := q.accounts.lastCall(j)
			q.remove(c)
			q.refuse(now, c.ID, j, wasabistand.ReasonLevel)
			q.release(c)
		}
	}
}

// refuse refuses a call without changing the admission level.
func (q *Queue) refuse(now time.Time, id wasabistand.TicketID, i wasabistand.Importance, reason wasabistand.Reason) {
	q.emit(wasabistand.Decision{
		ID: id, Verdict: wasabistand.Refuse, Reason: reason, RetryAfter: q.retryAfter(now, i),
	})
}

// refuseForLoad refuses a call because of load and raises the admission level,
// which refuses all calls of lower importance.
func (q *Queue) refuseForLoad(now time.Time, id wasabistand.TicketID, i wasabistand.Importance, reason wasabistand.Reason) {
	q.refuse(now, id, i, reason)
	q.raiseLevel(now, i)
}

// retryAfter estimates when a call of importance i could be admitted: after
// the calls ahead of it, and after the admission level has fallen to i.
func (q *Queue) retryAfter(now time.Time, i wasabistand.Importance) time.Duration {
	d, _ := q.estimateWait(now, i)
	if q.level > i {
		d += max(q.lowerLevelAt.Sub(now), 0) + time.Duration(q.level-i-1)*q.options.levelHold
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// estimateWait estimates how long a new call of importance i waits for running
// calls and for waiting calls of the same or higher importance. minWait
// assumes that after the first freed slot all slots serve such calls. Refusals
// use it, so that no call is refused that could still be admitted in time.
// expectedWait takes into account that slots held by calls of lower importance
// are freed at their own, often slower, rate.
func (q *Queue) estimateWait(now time.Time, i wasabistand.Importance) (minWait, expectedWait time.Duration) {
	if q.runningCount < q.limit {
		return 0, 0
	}
	// After the limit was lowered, the first freed slots are not reused.
	ahead := float64(q.runningCount - q.limit)
	lowerRate, rate, work := 0.0, 0.0, 0.0
	for j := wasabistand.Low; j <= wasabistand.Critical; j++ {
		service := float64(max(q.expectedServiceTime(now, j), 1))
		freed := float64(len(q.running[j])) / service
		rate += freed
		if j < i {
			lowerRate += freed
			continue
		}
		ahead += float64(q.waiting[j])
		work += float64(q.waiting[j]) * service
	}
	first := 1 / rate
	minWait = time.Duration(first + work/float64(q.limit))
	if work == 0 || lowerRate == 0 {
		return minWait, time.Duration(first + ahead/rate)
	}
	// Each slot freed by a call of lower importance adds to the rate from then
	// on: ahead = rate*t + growth*t*t/2, solved for t.
	growth := lowerRate * ahead / work
	t := (math.Sqrt(rate*rate+2*growth*ahead) - rate) / growth
	return minWait, time.Duration(first + t)
}

// expectedServiceTime returns the estimated service time of a call of
// importance i, or of all calls if none of importance i has completed.
// Importances have separate estimates because their calls may differ widely,
// such as uploads and browsing.
func (q *Queue) expectedServiceTime(now time.Time, i wasabistand.Importance) time.Duration {
	if q.serviceTimes[i].count == 0 {
		return q.serviceTimes[0].value(now)
	}
	return q.serviceTimes[i].value(now)
}

// The estimate covers two thirds of a step change in 16 calls. It is halved
// for every second without a new sample. Otherwise an estimate that is too
// high would refuse all calls and never be corrected.
const (
	estimateCalls    = 16
	estimateHalfLife = time.Second
)

// serviceTimeEstimate is a moving average of service times.
type serviceTimeEstimate struct {
	mean    time.Duration
	count   int
	updated time.Time
}

func (e *serviceTimeEstimate) add(now time.Time, d time.Duration) {
	e.count = min(e.count+1, estimateCalls)
	e.mean += (max(d, 0) - e.mean) / time.Duration(e.count)
	e.updated = now
}

func (e *serviceTimeEstimate) value(now time.Time) time.Duration {
	// A shift by 63 bits or more yields zero.
	return e.mean >> max(now.Sub(e.updated)/estimateHalfLife, 0)
}

package wasabiadmission

import (
	"math"
	"time"

	"github.com/wasabistand/wasabistand"
)

// lower lets the level fall one step per hold while nothing was refused for
// load at or above it.
func (q *Queue) lower(now time.Time) {
	if q.level == wasabistand.Low {
		return
	}
	if !q.calm() {
		// The time during which the queue was full of important calls does
		// not count, so that the level falls by one step at a time afterwards.
		if q.fallAt.Before(now) {
			q.fallAt = now
		}
		return
	}
	for q.level > wasabistand.Low && !now.Before(q.fallAt) {
		q.level--
		q.fallAt = q.fallAt.Add(q.options.levelHold)
	}
}

// calm reports whether calls of lower importance could run soon.
func (q *Queue) calm() bool {
	return q.waits == 0 || q.runs < q.limit
}

// shed records a refusal for load of importance i: until the level falls, no
// call below i is admitted.
func (q *Queue) shed(now time.Time, i wasabistand.Importance) {
	if i < q.level {
		return
	}
	q.level = i
	q.fallAt = now.Add(q.options.levelHold)
	for j := wasabistand.Low; j < i; j++ {
		for q.waiting[j] > 0 {
			c := q.accounts.last(j)
			q.remove(c)
			q.refuse(now, c.ID, j, wasabistand.ReasonLevel)
			q.release(c)
		}
	}
}

// refuse refuses a call without any consequence for others.
func (q *Queue) refuse(now time.Time, id wasabistand.TicketID, i wasabistand.Importance, reason wasabistand.Reason) {
	q.emit(wasabistand.Decision{
		ID: id, Verdict: wasabistand.Refuse, Reason: reason, RetryAfter: q.retryAfter(now, i),
	})
}

// refuseLoad refuses a call because of load, and every lesser call with it.
func (q *Queue) refuseLoad(now time.Time, id wasabistand.TicketID, i wasabistand.Importance, reason wasabistand.Reason) {
	q.refuse(now, id, i, reason)
	q.shed(now, i)
}

// retryAfter estimates when a call of importance i could be served: after the
// calls ahead of it, and after the level has fallen to it.
func (q *Queue) retryAfter(now time.Time, i wasabistand.Importance) time.Duration {
	d, _ := q.wait(now, i)
	if q.level > i {
		d += max(q.fallAt.Sub(now), 0) + time.Duration(q.level-i-1)*q.options.levelHold
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// wait estimates how long a new call of importance i waits behind running
// calls and waiting ones of its own or a higher importance. least assumes that
// after the first freed slot all slots serve such calls; refusals use it, so
// that no call is refused that may still be served. likely counts that slots
// held by lesser calls are freed at their own, often slower, rate.
func (q *Queue) wait(now time.Time, i wasabistand.Importance) (least, likely time.Duration) {
	if q.runs < q.limit {
		return 0, 0
	}
	// After the limit fell, the first slots to leave are not filled again.
	ahead := float64(q.runs - q.limit)
	lesser, rate, work := 0.0, 0.0, 0.0
	for j := wasabistand.Low; j <= wasabistand.Critical; j++ {
		service := float64(max(q.expected(now, j), 1))
		freed := float64(len(q.running[j])) / service
		rate += freed
		if j < i {
			lesser += freed
			continue
		}
		ahead += float64(q.waiting[j])
		work += float64(q.waiting[j]) * service
	}
	first := 1 / rate
	least = time.Duration(first + work/float64(q.limit))
	if work == 0 || lesser == 0 {
		return least, time.Duration(first + ahead/rate)
	}
	// Each slot that a lesser call leaves adds to the rate from then on:
	// ahead = rate*t + growth*t*t/2, solved for t.
	growth := lesser * ahead / work
	t := (math.Sqrt(rate*rate+2*growth*ahead) - rate) / growth
	return least, time.Duration(first + t)
}

// expected returns the service time to expect of a call of importance i. The
// importances are kept apart, since an upload and a browsing call differ.
func (q *Queue) expected(now time.Time, i wasabistand.Importance) time.Duration {
	if q.service[i].count == 0 {
		return q.service[0].at(now)
	}
	return q.service[i].at(now)
}

// Settings of the service time estimate: a step is followed to two thirds in
// 16 calls. A value that no call confirmed for a second is halved every
// second, or calls that are refused for it could never correct it.
const (
	estimateCalls    = 16
	estimateHalfLife = time.Second
)

// estimate is a moving mean of service times.
type estimate struct {
	mean    time.Duration
	count   int
	updated time.Time
}

func (e *estimate) add(now time.Time, d time.Duration) {
	e.count = min(e.count+1, estimateCalls)
	e.mean += (max(d, 0) - e.mean) / time.Duration(e.count)
	e.updated = now
}

func (e *estimate) at(now time.Time) time.Duration {
	// A shift by 63 bits or more yields zero.
	return e.mean >> max(now.Sub(e.updated)/estimateHalfLife, 0)
}

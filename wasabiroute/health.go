package wasabiroute

import "time"

const (
	// failureRateWeight is the EWMA weight of one call in an instance's failure
	// rate.
	failureRateWeight = 1.0 / 16
	// minRateCalls is the number of calls after which a failure rate is used.
	minRateCalls = 20
	// outlierRatio is how many times the mean failure rate of the other instances
	// makes an instance an outlier.
	outlierRatio = 3
	// minOutlierRate is the lowest failure rate of an outlier. Without it, a few
	// failures would eject an instance when the others have none.
	minOutlierRate = 0.2
	// ejectionResetCalls is the number of consecutive successful calls after which
	// an instance's earlier ejections no longer lengthen the next one.
	ejectionResetCalls = 20
	// recentWindow is the maximum age of the observations that are compared between
	// instances.
	recentWindow = 10 * time.Second
	// minCommonCauseInstances is how many instances must have been observed before
	// failures of most of them are attributed to the caller's own link.
	minCommonCauseInstances = 3
)

// health holds the passive health observations of an instance, from the results
// of its calls.
type health struct {
	// consecutiveFailures and consecutiveSuccesses count the latest results; at
	// least one of them is 0.
	consecutiveFailures, consecutiveSuccesses int
	failureRate                               float64
	calls                                     int
	lastResultAt                              time.Time
	ejectedUntil                              time.Time
	ejections                                 int
}

func (i *instance) isEjected(now time.Time) bool { return now.Before(i.health.ejectedUntil) }

func (i *instance) recordSuccess(now time.Time) {
	h := &i.health
	h.consecutiveFailures = 0
	h.consecutiveSuccesses++
	h.calls++
	h.failureRate -= h.failureRate * failureRateWeight
	h.lastResultAt = now
	if h.consecutiveSuccesses >= ejectionResetCalls {
		h.ejections = 0
	}
}

func (i *instance) recordFailure(now time.Time) {
	h := &i.health
	h.consecutiveSuccesses = 0
	h.consecutiveFailures++
	h.calls++
	h.failureRate += (1 - h.failureRate) * failureRateWeight
	h.lastResultAt = now
}

// ejectIfOutlier ejects an instance that just failed, if it failed enough
// consecutive calls or its failure rate is an outlier, and if the bound on
// ejections allows it.
func (r *Router) ejectIfOutlier(now time.Time, s *service, i *instance) {
	if i.isEjected(now) {
		return
	}
	observed, failing, otherRates := 0, 0, 0.0
	for _, j := range s.list {
		if !j.isEjected(now) && (j.health.lastResultAt.IsZero() || now.Sub(j.health.lastResultAt) > recentWindow) {
			continue
		}
		observed++
		if j.health.consecutiveFailures >= r.options.ejectAfterFailures {
			failing++
		}
		if j != i {
			otherRates += j.health.failureRate
		}
	}
	if observed >= minCommonCauseInstances && failing*2 > observed {
		// Most instances fail: the common cause is on the caller's side.
		for _, j := range s.list {
			j.health.ejectedUntil = time.Time{}
		}
		return
	}
	h := &i.health
	others := otherRates / float64(max(observed-1, 1))
	if h.consecutiveFailures < r.options.ejectAfterFailures &&
		(h.calls < minRateCalls || h.failureRate < minOutlierRate || h.failureRate < outlierRatio*others || observed < 2) {
		return
	}
	if r.ejectedCount(now, s) >= r.maxEjections(s) {
		return
	}
	d := r.options.ejectBase << min(h.ejections, 30)
	if d <= 0 || d > r.options.ejectMax {
		d = r.options.ejectMax
	}
	// A single failure after the ejection ends ejects the instance again.
	*h = health{consecutiveFailures: r.options.ejectAfterFailures, lastResultAt: now, ejectedUntil: now.Add(d), ejections: h.ejections + 1}
}

// maxEjections returns how many instances of a service may be ejected at the same
// time.
func (r *Router) maxEjections(s *service) int {
	working := 0
	for _, i := range s.list {
		if i.AcceptsCalls() && !i.reportedLeaving {
			working++
		}
	}
	// The small term keeps 0.3 of 10 from being rounded down to 2.
	return int(r.options.maxEjectedShare*float64(working) + 1e-9)
}

func (r *Router) ejectedCount(now time.Time, s *service) int {
	n := 0
	for _, i := range s.list {
		if i.isEjected(now) {
			n++
		}
	}
	return n
}

// capEjections ends ejections, the earliest to expire first, when fewer instances
// have lowered the bound.
func (r *Router) capEjections(now time.Time, s *service) {
	for r.ejectedCount(now, s) > r.maxEjections(s) {
		var first *instance
		for _, i := range s.list {
			if i.isEjected(now) && (first == nil || i.health.ejectedUntil.Before(first.health.ejectedUntil)) {
				first = i
			}
		}
		first.health.ejectedUntil = time.Time{}
	}
}

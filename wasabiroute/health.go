package wasabiroute

import "time"

const (
	// rateWeight is the weight of one call in an instance's failure rate.
	rateWeight = 1.0 / 16
	// rateCalls is how many calls a failure rate needs before it counts.
	rateCalls = 20
	// rateRatio is how many times the rate of the others is far above it.
	rateRatio = 3
	// rateMin keeps a few failures beside none from counting as far above.
	rateMin = 0.2
	// resetCalls is how many good calls in succession make an instance's
	// earlier ejections count no more.
	resetCalls = 20
	// recent bounds the observations that are compared between instances.
	recent = 10 * time.Second
	// alikeMin is how many instances must be seen before their failing alike
	// says more about the caller's own link than about them.
	alikeMin = 3
)

// health is what the ends of calls say of an instance.
type health struct {
	// failures and successes count the latest ones in succession.
	failures, successes int
	rate                float64
	calls               int
	last                time.Time
	until               time.Time
	ejections           int
}

func (i *instance) ejected(now time.Time) bool { return now.Before(i.health.until) }

func (i *instance) succeed(now time.Time) {
	h := &i.health
	h.failures = 0
	h.successes++
	h.calls++
	h.rate -= h.rate * rateWeight
	h.last = now
	if h.successes >= resetCalls {
		h.ejections = 0
	}
}

func (i *instance) fail(now time.Time) {
	h := &i.health
	h.successes = 0
	h.failures++
	h.calls++
	h.rate += (1 - h.rate) * rateWeight
	h.last = now
}

// eject ejects an instance that just failed, if it is worse than the others
// and the bound allows it.
func (r *Router) eject(now time.Time, s *service, i *instance) {
	if i.ejected(now) {
		return
	}
	seen, failing, rates := 0, 0, 0.0
	for _, j := range s.list {
		if !j.ejected(now) && (j.health.last.IsZero() || now.Sub(j.health.last) > recent) {
			continue
		}
		seen++
		if j.health.failures >= r.options.failures {
			failing++
		}
		if j != i {
			rates += j.health.rate
		}
	}
	if seen >= alikeMin && failing*2 > seen {
		// Most instances fail alike: the cause lies on this side.
		for _, j := range s.list {
			j.health.until = time.Time{}
		}
		return
	}
	h := &i.health
	others := rates / float64(max(seen-1, 1))
	if h.failures < r.options.failures &&
		(h.calls < rateCalls || h.rate < rateMin || h.rate < rateRatio*others || seen < 2) {
		return
	}
	if r.ejectedCount(now, s) >= r.ejectable(s) {
		return
	}
	d := r.options.ejectBase << min(h.ejections, 30)
	if d <= 0 || d > r.options.ejectMax {
		d = r.options.ejectMax
	}
	// One more failure after the return ejects it again.
	*h = health{failures: r.options.failures, last: now, until: now.Add(d), ejections: h.ejections + 1}
}

// ejectable returns how many instances of a service may be ejected at once.
func (r *Router) ejectable(s *service) int {
	working := 0
	for _, i := range s.list {
		if i.TakesWork() && !i.leaving {
			working++
		}
	}
	// The small term keeps 0.3 of 10 from being rounded down to 2.
	return int(r.options.maxEjectedShare*float64(working) + 1e-9)
}

func (r *Router) ejectedCount(now time.Time, s *service) int {
	n := 0
	for _, i := range s.list {
		if i.ejected(now) {
			n++
		}
	}
	return n
}

// capEjections returns ejected instances, those due first, when a shorter
// list lowered the bound.
func (r *Router) capEjections(now time.Time, s *service) {
	for r.ejectedCount(now, s) > r.ejectable(s) {
		var first *instance
		for _, i := range s.list {
			if i.ejected(now) && (first == nil || i.health.until.Before(first.health.until)) {
				first = i
			}
		}
		first.health.until = time.Time{}
	}
}

package wasabiroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Router implements wasabistand.Router. It is not safe for concurrent use: its
// owner serializes all method calls, including those that only read. All queries
// to one router come from the same region.
type Router struct {
	options  Options
	random   *rand.Rand
	services map[string]*service
	links    map[regionPair]*regionLink
	// candidates is reused across calls of Pick, so that they don't allocate.
	candidates []*instance
}

// service holds the instances of one service.
type service struct {
	list []*instance
	// byID also holds instances that were removed while calls were outstanding.
	byID map[string]*instance
	// meanBytes is the EWMA of the size of a call.
	meanBytes float64
}

var _ wasabistand.Router = (*Router)(nil)

// Refusals returned by Pick. They are preallocated, since refusing a call under
// load must not cost more than choosing an instance.
var (
	errUnknownService = wasabistand.NewRefusal(wasabistand.ReasonNoInstance,
		"service: no instance is known").WithRetryAfter(time.Second)
	errNoCandidate = wasabistand.NewRefusal(wasabistand.ReasonNoInstance,
		"service: every instance was tried, is leaving, or is in a region that "+
			"the patience or the link's budget does not allow").WithRetryAfter(100 * time.Millisecond)
)

// New returns a router without instances. random is used by Pick only.
func New(random *rand.Rand, o Options) *Router {
	r := &Router{options: o, random: random, services: make(map[string]*service)}
	r.SetRegionLinks(o.links, o.linkShare)
	return r
}

// SetInstances replaces the instances of a service. Instances that remain keep
// their load and health observations; a new incarnation starts without any.
// Instances and services beyond the configured maximums are ignored.
func (r *Router) SetInstances(now time.Time, name string, list []wasabistand.Instance) {
	s := r.services[name]
	if s == nil {
		if len(list) == 0 || len(r.services) >= r.options.maxServices {
			return
		}
		s = &service{byID: make(map[string]*instance), meanBytes: defaultCallBytes}
		r.services[name] = s
	}
	for _, i := range s.list {
		i.listed = false
	}
	clear(s.list)
	s.list = s.list[:0]
	for _, v := range list[:min(len(list), r.options.maxInstances)] {
		i := s.byID[v.ID]
		switch {
		case i == nil:
			i = &instance{}
			s.byID[v.ID] = i
		case i.listed:
			continue
		}
		i.update(now, v)
		i.listed = true
		s.list = append(s.list, i)
	}
	// Group instances by region, so that Pick looks up each link once.
	slices.SortStableFunc(s.list, func(a, b *instance) int {
		return strings.Compare(a.Location.Region, b.Location.Region)
	})
	for id, i := range s.byID {
		if !i.listed && i.outstanding == 0 {
			delete(s.byID, id)
		}
	}
	r.capEjections(now, s)
	if len(s.byID) == 0 {
		delete(r.services, name)
	}
	r.candidates = slices.Grow(r.candidates[:0], len(s.list))
}

// rank orders candidates. Pick chooses among those of the lowest rank.
type rank int

// The ranks, best first. Other regions rank after instances with free slots in the
// caller's region and before full ones. Instances that failed, refused, or reported
// in a response that they are leaving while control lists them as ready are the last
// resort: such an instance refuses a call with outcome not-run, and trying it
// detects that its upstream has recovered.
const (
	rankSameDomain rank = iota
	rankSameRegion
	rankSameRegionAvoided
	rankOtherRegion
	rankOtherRegionAvoided
	rankFailing
	rankFull
	rankRefused
	rankOtherRegionFull
	rankEjected
	rankLeaving
	rankNone
)

// Pick chooses an instance that is not in q.Exclude and counts the call as
// outstanding on it until Done. The error is a *Refusal.
func (r *Router) Pick(now time.Time, q wasabistand.Query) (wasabistand.Instance, error) {
	s := r.services[q.Service]
	if s == nil {
		return wasabistand.Instance{}, errUnknownService
	}
	best := rankNone
	r.candidates = r.candidates[:0]
	remote := false
	for _, i := range s.list {
		if i.Location.Region != q.From.Region {
			remote = true
			continue
		}
		best = r.consider(best, i, i.localRank(now, &q, &r.options))
	}
	if remote && best > rankOtherRegion {
		best = r.considerRemote(now, s, &q, best)
	}
	if best == rankNone {
		return wasabistand.Instance{}, errNoCandidate
	}
	i := r.chooseOfTwo(now)
	i.outstanding++
	if i.Location.Region != q.From.Region {
		r.reserveBytes(now, s, i, &q)
	}
	return i.Instance, nil
}

// considerRemote adds the instances of other regions for which the remaining time
// and the link's budget suffice.
func (r *Router) considerRemote(now time.Time, s *service, q *wasabistand.Query, best rank) rank {
	bytes := s.expectedBytes(q)
	region, allowed := "", false
	for _, i := range s.list {
		if i.Location.Region == q.From.Region {
			continue
		}
		if region != i.Location.Region {
			region = i.Location.Region
			l := r.links[regionPair{from: q.From.Region, to: region}]
			allowed = l != nil && q.Remaining >= 2*l.roundTrip && l.allows(now, q.Importance, bytes)
		}
		if allowed {
			best = r.consider(best, i, i.remoteRank(now, q, &r.options))
		}
	}
	return best
}

// consider adds a candidate of rank n if no better one was found, and drops those of
// higher rank. It returns the lowest rank so far.
func (r *Router) consider(best rank, i *instance, n rank) rank {
	if n > best || n == rankNone {
		return best
	}
	if n < best {
		r.candidates = r.candidates[:0]
	}
	r.candidates = append(r.candidates, i)
	return n
}

// chooseOfTwo returns the less loaded of two random candidates (power of two
// choices).
func (r *Router) chooseOfTwo(now time.Time) *instance {
	n := len(r.candidates)
	if n == 1 {
		return r.candidates[0]
	}
	a := r.randomCandidate(now, -1)
	b := r.randomCandidate(now, a)
	if r.candidates[b].score(now, r.options.refusalBackoff) < r.candidates[a].score(now, r.options.refusalBackoff) {
		return r.candidates[b]
	}
	return r.candidates[a]
}

// randomCandidate returns the index of a random candidate, different from other
// unless other is negative. The fewer calls a cold instance should get, the more
// often it is skipped, up to three times.
func (r *Router) randomCandidate(now time.Time, other int) int {
	n := 0
	for range 4 {
		if other < 0 {
			n = r.random.IntN(len(r.candidates))
		} else if n = r.random.IntN(len(r.candidates) - 1); n >= other {
			n++
		}
		w := r.candidates[n].weight(now, r.options.warmup)
		if w >= 1 || r.random.Float64() < w {
			break
		}
	}
	return n
}

// Done records the result of a call.
func (r *Router) Done(now time.Time, name, id string, result wasabistand.Result) {
	s := r.services[name]
	if s == nil {
		return
	}
	i := s.byID[id]
	if i == nil || i.outstanding == 0 {
		return
	}
	i.settleBytes(now, result.Bytes)
	i.outstanding--
	if !i.listed {
		if i.outstanding == 0 {
			delete(s.byID, id)
		}
		if len(s.byID) == 0 {
			delete(r.services, name)
		}
		return
	}
	if result.Bytes > 0 {
		s.meanBytes += (float64(result.Bytes) - s.meanBytes) / 16
	}
	if result.Load != nil {
		i.recordLoad(now, result.Load, r.options.refusalBackoff)
		if i.reportedLeaving {
			r.capEjections(now, s)
		}
	}
	switch {
	case result.Failed:
		i.recordFailure(now)
		r.ejectIfOutlier(now, s, i)
	case result.Outcome == wasabistand.NotRun:
		i.recordRefusal(now, result.Load, r.options.refusalBackoff)
	case result.Outcome == wasabistand.Answered:
		i.recordSuccess(now)
	}
}

// Ejected returns the IDs of a service's ejected instances.
func (r *Router) Ejected(now time.Time, name string) []string {
	var ids []string
	if s := r.services[name]; s != nil {
		for _, i := range s.list {
			if i.isEjected(now) {
				ids = append(ids, i.ID)
			}
		}
	}
	return ids
}

// String returns the name of the implementation and the numbers of services and links.
func (r *Router) String() string {
	return fmt.Sprintf("wasabiroute.Router(services=%d links=%d)", len(r.services), len(r.links))
}

package wasabiroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Router implements wasabistand.Router. It holds no lock: its owner
// serializes all calls, of readers too. All queries of one router come from
// the same region.
type Router struct {
	options  Options
	random   *rand.Rand
	services map[string]*service
	links    map[pair]*link
	// candidates is reused by every Pick, so that none allocates.
	candidates []*instance
}

// service is what is known of the instances of one service.
type service struct {
	list []*instance
	// byID also holds instances that were removed with calls outstanding.
	byID map[string]*instance
	// meanBytes is the moving mean size of a call.
	meanBytes float64
}

var _ wasabistand.Router = (*Router)(nil)

// Refusals of Pick. They are shared, since a refusal under load must not cost
// more than a choice.
var (
	errUnknownService = wasabistand.NewRefusal(wasabistand.ReasonNoInstance,
		"service: no instance is known").WithRetryAfter(time.Second)
	errNoCandidate = wasabistand.NewRefusal(wasabistand.ReasonNoInstance,
		"service: every instance was tried, is leaving, or is in a region that "+
			"the patience or the link's budget does not allow").WithRetryAfter(100 * time.Millisecond)
)

// New returns a router without any instance. random is used by Pick only.
func New(random *rand.Rand, o Options) *Router {
	r := &Router{options: o, random: random, services: make(map[string]*service)}
	r.SetRegionLinks(o.links, o.linkShare)
	return r
}

// SetInstances replaces the instances of a service. Load and health
// observations of instances that stay are kept; a new incarnation starts
// without any. Instances and services beyond the bounds are left out.
func (r *Router) SetInstances(now time.Time, name string, list []wasabistand.Instance) {
	s := r.services[name]
	if s == nil {
		if len(list) == 0 || len(r.services) >= r.options.maxServices {
			return
		}
		s = &service{byID: make(map[string]*instance), meanBytes: defaultBytes}
		r.services[name] = s
	}
	for _, i := range s.list {
		i.present = false
	}
	clear(s.list)
	s.list = s.list[:0]
	for _, v := range list[:min(len(list), r.options.maxInstances)] {
		i := s.byID[v.ID]
		switch {
		case i == nil:
			i = &instance{}
			s.byID[v.ID] = i
		case i.present:
			continue
		}
		i.update(now, v)
		i.present = true
		s.list = append(s.list, i)
	}
	// Instances of one region stand together, so that Pick looks up a link
	// once.
	slices.SortStableFunc(s.list, func(a, b *instance) int {
		return strings.Compare(a.Location.Region, b.Location.Region)
	})
	for id, i := range s.byID {
		if !i.present && i.outstanding == 0 {
			delete(s.byID, id)
		}
	}
	r.capEjections(now, s)
	if len(s.byID) == 0 {
		delete(r.services, name)
	}
	r.candidates = slices.Grow(r.candidates[:0], len(s.list))
}

// rank orders candidates; only those of the lowest rank are chosen from.
type rank int

// The ranks. Another region comes after any free instance of the own one, but
// before full ones. Instances that failed, refused, or answered that they leave
// while control lists them as ready are a last resort: they refuse as not run
// themselves, and one whose upstream is back is found again.
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
		best = r.consider(best, i, i.rankNear(now, &q, &r.options))
	}
	if remote && best > rankOtherRegion {
		best = r.considerRemote(now, s, &q, best)
	}
	if best == rankNone {
		return wasabistand.Instance{}, errNoCandidate
	}
	i := r.choose(now)
	i.outstanding++
	if i.Location.Region != q.From.Region {
		r.reserve(now, s, i, &q)
	}
	return i.Instance, nil
}

// considerRemote adds the instances of other regions that the patience and
// the link's budget allow.
func (r *Router) considerRemote(now time.Time, s *service, q *wasabistand.Query, best rank) rank {
	bytes := s.expectedBytes(q)
	region, allowed := "", false
	for _, i := range s.list {
		if i.Location.Region == q.From.Region {
			continue
		}
		if region != i.Location.Region {
			region = i.Location.Region
			l := r.links[pair{from: q.From.Region, to: region}]
			allowed = l != nil && q.Remaining >= 2*l.roundTrip && l.allows(now, q.Importance, bytes)
		}
		if allowed {
			best = r.consider(best, i, i.rankFar(now, q, &r.options))
		}
	}
	return best
}

// consider keeps the candidates of the lowest rank seen.
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

// choose takes the less loaded of two random candidates.
func (r *Router) choose(now time.Time) *instance {
	n := len(r.candidates)
	if n == 1 {
		return r.candidates[0]
	}
	a := r.draw(now, -1)
	b := r.draw(now, a)
	if r.candidates[b].score(now, r.options.avoid) < r.candidates[a].score(now, r.options.avoid) {
		return r.candidates[b]
	}
	return r.candidates[a]
}

// draw returns a random candidate other than not. A cold one is passed over
// the more often the colder it is, up to a few times.
func (r *Router) draw(now time.Time, not int) int {
	n := 0
	for range 4 {
		if not < 0 {
			n = r.random.IntN(len(r.candidates))
		} else if n = r.random.IntN(len(r.candidates) - 1); n >= not {
			n++
		}
		w := r.candidates[n].weight(now, r.options.warmup)
		if w >= 1 || r.random.Float64() < w {
			break
		}
	}
	return n
}

// Done records how the call ended.
func (r *Router) Done(now time.Time, name, id string, result wasabistand.Result) {
	s := r.services[name]
	if s == nil {
		return
	}
	i := s.byID[id]
	if i == nil || i.outstanding == 0 {
		return
	}
	i.settle(now, result.Bytes)
	i.outstanding--
	if !i.present {
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
		i.learn(now, result.Load, r.options.avoid)
		if i.leaving {
			r.capEjections(now, s)
		}
	}
	switch {
	case result.Failed:
		i.fail(now)
		r.eject(now, s, i)
	case result.Outcome == wasabistand.NotRun:
		i.refuse(now, result.Load, r.options.avoid)
	case result.Outcome == wasabistand.Answered:
		i.succeed(now)
	}
}

// Ejected returns the instances of a service that are ejected.
func (r *Router) Ejected(now time.Time, name string) []string {
	var ids []string
	if s := r.services[name]; s != nil {
		for _, i := range s.list {
			if i.ejected(now) {
				ids = append(ids, i.ID)
			}
		}
	}
	return ids
}

// String names the implementation.
func (r *Router) String() string {
	return fmt.Sprintf("wasabiroute.Router(services=%d links=%d)", len(r.services), len(r.links))
}

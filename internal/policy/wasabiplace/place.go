// Package wasabiplace chooses the instance for each request of a service by
// the time at which it is likely to be answered, with a price for traffic that
// leaves a failure domain. It learns speed, load and failures from answers. It
// does not decide which instances exist, nor whether a request is repeated.
package wasabiplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Options are the settings of a Placer: an immutable value.
type Options struct {
	domainPrice  time.Duration
	regionPrice  time.Duration
	domainTrip   time.Duration
	regionTrip   time.Duration
	failurePrice time.Duration
	loadAge      time.Duration
	failureAge   time.Duration
	refusedFor   time.Duration
	downFor      time.Duration
	maxDownFor   time.Duration
	guess        time.Duration
	coldFactor   float64
	jitter       float64
	sample       int
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		// An answer that waits this much longer is preferred to traffic that
		// leaves the failure domain or the region.
		domainPrice: 40 * time.Millisecond,
		regionPrice: 120 * time.Millisecond,
		domainTrip:  3 * time.Millisecond,
		regionTrip:  40 * time.Millisecond,
		// What a failed attempt costs its caller: another attempt or nothing.
		failurePrice: 2 * time.Second,
		// Within a few calls' time a queue has changed.
		loadAge:    time.Second,
		failureAge: 4 * time.Second,
		refusedFor: 50 * time.Millisecond,
		downFor:    500 * time.Millisecond,
		maxDownFor: 4 * time.Second,
		guess:      50 * time.Millisecond,
		coldFactor: 2,
		jitter:     0.1,
		sample:     16,
	}
}

// WithPrices returns a copy with other prices of leaving the failure domain and
// the region.
func (o Options) WithPrices(domain, region time.Duration) Options {
	o.domainPrice, o.regionPrice = domain, region
	return o
}

// WithTrips returns a copy with other round trips between failure domains and
// between regions.
func (o Options) WithTrips(domain, region time.Duration) Options {
	o.domainTrip, o.regionTrip = domain, region
	return o
}

// Placer chooses instances. It is not safe for concurrent use.
type Placer struct {
	options  Options
	random   *rand.Rand
	from     wasabistand.Location
	services map[string]*service
}

type service struct {
	list []*instance
	byID map[string]*instance
	// mean is the moving mean of the time in the upstream, over all instances.
	mean float64
}

type instance struct {
	wasabistand.Instance
	present     bool
	outstanding int
	trip        time.Duration
	price       time.Duration

	// What the latest answer told.
	told        time.Time
	load        wasabistand.Load
	outThen     int
	serviceTime float64 // seconds, 0 when unknown

	failRate     float64
	failedAt     time.Time
	consecutive  int
	downUntil    time.Time
	refusedUntil time.Time
	leaving      bool
}

// New returns a placer for requests that come from one place.
func New(o Options, from wasabistand.Location, random *rand.Rand) *Placer {
	return &Placer{options: o, random: random, from: from, services: map[string]*service{}}
}

// SetInstances replaces the instances of a service. What is known of those
// that stay is kept.
func (p *Placer) SetInstances(name string, list []wasabistand.Instance) {
	s := p.services[name]
	if s == nil {
		s = &service{byID: map[string]*instance{}}
		p.services[name] = s
	}
	for _, i := range s.byID {
		i.present = false
	}
	s.list = s.list[:0]
	for _, v := range list {
		i := s.byID[v.ID]
		if i == nil {
			i = &instance{}
			s.byID[v.ID] = i
		}
		if i.Incarnation != v.Incarnation {
			*i = instance{outstanding: i.outstanding}
		}
		if v.Sequence > i.Sequence {
			i.leaving = false
		}
		i.Instance, i.present = v, true
		i.trip, i.price = p.distance(v.Location)
		s.list = append(s.list, i)
	}
	for id, i := range s.byID {
		if !i.present && i.outstanding == 0 {
			delete(s.byID, id)
		}
	}
}

// Known reports whether the instances of a service were set.
func (p *Placer) Known(name string) bool {
	s := p.services[name]
	return s != nil && len(s.list) > 0
}

func (p *Placer) distance(l wasabistand.Location) (trip, price time.Duration) {
	switch {
	case l.FailureDomain == p.from.FailureDomain && l.Region == p.from.Region:
		return 0, 0
	case l.Region == p.from.Region:
		return p.options.domainTrip, p.options.domainPrice
	default:
		return p.options.regionTrip, p.options.regionPrice
	}
}

// Query is a request to place.
type Query struct {
	Service string
	// Exclude lists instances that were tried.
	Exclude []string
	// Once says that the request can't be repeated after a failure.
	Once bool
	// Remaining is how long its caller still waits.
	Remaining time.Duration
}

// Choice is where a request goes.
type Choice struct {
	Instance wasabistand.Instance
	// Expected is the estimated time until the answer.
	Expected time.Duration
}

// Pick chooses an instance and counts the request as outstanding there until
// Done. The error is a *wasabistand.Refusal.
func (p *Placer) Pick(now time.Time, q Query) (Choice, error) {
	s := p.services[q.Service]
	if s == nil || len(s.list) == 0 {
		return Choice{}, wasabistand.NewRefusal(wasabistand.ReasonNoInstance, "no instance of the service is known")
	}
	var best *instance
	bestScore, bestExpected := math.Inf(1), 0.0
	offset, n := 0, len(s.list)
	if n > p.options.sample {
		offset = p.random.IntN(n)
	}
	seen := 0
	for k := range n {
		i := s.list[(offset+k)%n]
		if seen >= p.options.sample && i.price > 0 {
			continue
		}
		if !i.TakesWork() || i.leaving || slices.Contains(q.Exclude, i.ID) {
			continue
		}
		seen++
		score, expected := p.score(now, s, i, q)
		if score < bestScore {
			best, bestScore, bestExpected = i, score, expected
		}
	}
	if best == nil {
		return Choice{}, wasabistand.NewRefusal(wasabistand.ReasonNoInstance, "every instance was tried or is leaving")
	}
	best.outstanding++
	return Choice{Instance: best.Instance, Expected: seconds(bestExpected)}, nil
}

// score estimates in seconds when an instance would answer, and what choosing
// it costs besides.
func (p *Placer) score(now time.Time, s *service, i *instance, q Query) (score, expected float64) {
	o := &p.options
	service := i.serviceTime
	if service == 0 {
		service = s.mean
	}
	if service == 0 {
		service = o.guess.Seconds()
	}
	if i.State == wasabistand.Cold {
		service *= o.coldFactor
	}
	limit := float64(max(i.Slots, 1))
	ahead := float64(i.outstanding)
	if age := now.Sub(i.told); !i.told.IsZero() && age < o.loadAge {
		if i.load.Limit > 0 {
			limit = float64(i.load.Limit)
		}
		others := float64(i.load.Running+i.load.Waiting) - float64(i.outThen)
		ahead += max(others, 0) * (1 - age.Seconds()/o.loadAge.Seconds())
	}
	wait := max(ahead+1-limit, 0) * service / limit
	// Queues form by chance before all slots are taken.
	busy := min(ahead/limit, 1)
	wait += busy * busy * busy * service / 4
	expected = i.trip.Seconds() + wait + service
	score = expected + i.price.Seconds()
	if !i.failedAt.IsZero() {
		rate := i.failRate * math.Exp2(-now.Sub(i.failedAt).Seconds()/o.failureAge.Seconds())
		price := o.failurePrice.Seconds()
		if q.Once {
			price *= 2
		}
		score += rate * price
	}
	if now.Before(i.refusedUntil) {
		score += service
	}
	score *= 1 + o.jitter*p.random.Float64()
	if now.Before(i.downUntil) {
		score += 1000
	}
	return score, expected
}

// Result is how a placed request ended.
type Result struct {
	// Failed says that the instance or the way to it is at fault.
	Failed bool
	// Refused says that the instance refused for load.
	Refused bool
	// Down says that the instance could not be reached at all.
	Down bool
	// Service is the time in the upstream, 0 when unknown.
	Service time.Duration
	// Load is what the answer told, nil for nothing.
	Load *wasabistand.Load
}

// meanWeight is the part of a new sample in a moving mean.
const meanWeight = 1.0 / 16

// Done records how a request ended.
func (p *Placer) Done(now time.Time, name, id string, r Result) {
	s := p.services[name]
	if s == nil {
		return
	}
	i := s.byID[id]
	if i == nil {
		return
	}
	i.outstanding--
	if !i.present && i.outstanding <= 0 {
		delete(s.byID, id)
		return
	}
	if r.Service > 0 {
		s.mean = moving(s.mean, r.Service.Seconds())
	}
	if l := r.Load; l != nil {
		i.told, i.load, i.outThen = now, *l, i.outstanding
		i.leaving = l.Leaving
		if l.Service > 0 {
			i.serviceTime = l.Service.Seconds()
		}
	}
	switch {
	case r.Down:
		i.fail(now, &p.options)
		d := min(p.options.downFor<<min(i.consecutive-1, 8), p.options.maxDownFor)
		i.downUntil = now.Add(d)
	case r.Failed:
		i.fail(now, &p.options)
	case r.Refused:
		i.refusedUntil = now.Add(p.options.refusedFor)
	default:
		i.consecutive = 0
		i.downUntil = time.Time{}
		i.failRate *= 1 - meanWeight
	}
}

func (i *instance) fail(now time.Time, o *Options) {
	if !i.failedAt.IsZero() {
		i.failRate *= math.Exp2(-now.Sub(i.failedAt).Seconds() / o.failureAge.Seconds())
	}
	i.failRate += (1 - i.failRate) * 4 * meanWeight
	i.failedAt = now
	i.consecutive++
}

func moving(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*meanWeight
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// String names the implementation.
func (p *Placer) String() string { return fmt.Sprintf("place(%d services)", len(p.services)) }

// Package wasabiplace chooses the instance for each request to a service by its
// expected response time plus a penalty for traffic that leaves the failure domain.
// It observes service times, load and failures from responses. It does not decide
// which instances exist, nor whether a request is retried.
package wasabiplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Options holds the settings of a Placer. It is an immutable value.
type Options struct {
	domainPenalty         time.Duration
	regionPenalty         time.Duration
	domainRoundTrip       time.Duration
	regionRoundTrip       time.Duration
	failurePenalty        time.Duration
	retryPenalty          time.Duration
	ampleRetryShare       float64
	loadMaxAge            time.Duration
	failureHalfLife       time.Duration
	slowdownHalfLife      time.Duration
	queueingUtilization   float64
	refusalBackoff        time.Duration
	unreachableBackoff    time.Duration
	maxUnreachableBackoff time.Duration
	defaultServiceTime    time.Duration
	coldSlowdown          float64
	jitter                float64
	sampleSize            int
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		// A response that takes up to this much longer is preferred to traffic
		// that leaves the failure domain or the region.
		domainPenalty:   120 * time.Millisecond,
		regionPenalty:   240 * time.Millisecond,
		domainRoundTrip: 3 * time.Millisecond,
		regionRoundTrip: 40 * time.Millisecond,
		// The cost to the caller of a failed attempt: either another attempt or no
		// response.
		failurePenalty: 2 * time.Second,
		// The cost while the retry budget has room for another attempt.
		retryPenalty: 200 * time.Millisecond,
		// The fraction of the retry budget that must remain for the lower cost to
		// apply in full.
		ampleRetryShare: 0.5,
		// A queue changes within the duration of a few calls.
		loadMaxAge:      time.Second,
		failureHalfLife: 4 * time.Second,
		// A slow instance is tried again after a few half-lives.
		slowdownHalfLife: 4 * time.Second,
		// The utilization of slots above which requests that happen to arrive at
		// the same time begin to queue.
		queueingUtilization:   0.7,
		refusalBackoff:        50 * time.Millisecond,
		unreachableBackoff:    500 * time.Millisecond,
		maxUnreachableBackoff: 4 * time.Second,
		defaultServiceTime:    50 * time.Millisecond,
		coldSlowdown:          2,
		jitter:                0.1,
		sampleSize:            16,
	}
}

// WithPenalties returns a copy with other penalties for leaving the failure domain
// and the region.
func (o Options) WithPenalties(domain, region time.Duration) Options {
	o.domainPenalty, o.regionPenalty = domain, region
	return o
}

// WithRoundTrips returns a copy with other round-trip times between failure domains
// and between regions.
func (o Options) WithRoundTrips(domain, region time.Duration) Options {
	o.domainRoundTrip, o.regionRoundTrip = domain, region
	return o
}

// Placer chooses the instances for requests. It is not safe for concurrent use.
type Placer struct {
	options  Options
	random   *rand.Rand
	from     wasabistand.Location
	services map[string]*service
}

// service holds the instances and observations of one service.
type service struct {
	list []*instance
	byID map[string]*instance
	// meanServiceTimes holds the EWMA of the service time in seconds over all
	// instances, by kind of request.
	meanServiceTimes map[string]float64
}

// instance holds an instance and the observations of it.
type instance struct {
	wasabistand.Instance
	listed      bool
	outstanding int
	roundTrip   time.Duration
	penalty     time.Duration

	// load is the load that the latest response reported, at loadReportedAt, and
	// outstandingAtLoad the number of requests outstanding at that time.
	loadReportedAt    time.Time
	load              wasabistand.Load
	outstandingAtLoad int
	// slowdown is the instance's service time relative to the mean of all
	// instances, as last measured at slowdownAt; 0 when unknown.
	slowdown   float64
	slowdownAt time.Time

	failureRate         decayingRate
	shedRate            decayingRate
	consecutiveFailures int
	unreachableUntil    time.Time
	refusedUntil        time.Time
	// reportedLeaving is set when a response reported that the instance is leaving,
	// which may precede the update from control.
	reportedLeaving bool
}

// New returns a Placer for requests that originate at from.
func New(o Options, from wasabistand.Location, random *rand.Rand) *Placer {
	return &Placer{options: o, random: random, from: from, services: map[string]*service{}}
}

// SetInstances replaces the instances of a service. Instances that remain keep their
// observations.
func (p *Placer) SetInstances(name string, list []wasabistand.Instance) {
	s := p.services[name]
	if s == nil {
		s = &service{byID: map[string]*instance{}, meanServiceTimes: map[string]float64{}}
		p.services[name] = s
	}
	for _, i := range s.byID {
		i.listed = false
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
			i.reportedLeaving = false
		}
		i.Instance, i.listed = v, true
		i.roundTrip, i.penalty = p.distance(v.Location)
		s.list = append(s.list, i)
	}
	for id, i := range s.byID {
		if !i.listed && i.outstanding == 0 {
			delete(s.byID, id)
		}
	}
}

// HasInstances reports whether any instance of a service is listed.
func (p *Placer) HasInstances(name string) bool {
	s := p.services[name]
	return s != nil && len(s.list) > 0
}

// distance returns the round trip to a location and the penalty for sending a request
// there.
func (p *Placer) distance(l wasabistand.Location) (roundTrip, penalty time.Duration) {
	switch {
	case l.FailureDomain == p.from.FailureDomain && l.Region == p.from.Region:
		return 0, 0
	case l.Region == p.from.Region:
		return p.options.domainRoundTrip, p.options.domainPenalty
	default:
		return p.options.regionRoundTrip, p.options.regionPenalty
	}
}

// Query is a request to place.
type Query struct {
	Service string
	// Kind groups requests with similar service times, such as those of a route.
	Kind string
	// Exclude lists the IDs of instances that were already tried.
	Exclude []string
	// NoRetry is set when the request can't be retried after a failure.
	NoRetry bool
	// RetryBudgetShare is the unused fraction of the retry budget, 0 to 1. While
	// enough of it remains, a failure costs no more than another attempt.
	RetryBudgetShare float64
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
}

// Choice is the instance chosen for a request.
type Choice struct {
	Instance wasabistand.Instance
	// Expected is the estimated time until the response.
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
	if n > p.options.sampleSize {
		offset = p.random.IntN(n)
	}
	seen := 0
	for k := range n {
		i := s.list[(offset+k)%n]
		if seen >= p.options.sampleSize && i.penalty > 0 {
			continue
		}
		if !i.AcceptsCalls() || i.reportedLeaving || slices.Contains(q.Exclude, i.ID) {
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
	return Choice{Instance: best.Instance, Expected: durationOf(bestExpected)}, nil
}

// score returns the cost of choosing an instance, and the expected response time that
// it includes, both in seconds. The instance with the lowest score is chosen.
func (p *Placer) score(now time.Time, s *service, i *instance, q Query) (score, expected float64) {
	o := &p.options
	serviceTime := s.meanServiceTimes[q.Kind]
	if serviceTime == 0 {
		serviceTime = o.defaultServiceTime.Seconds()
	}
	serviceTime *= i.currentSlowdown(now, o)
	// The requests ahead are assumed to take as long as recent calls there.
	recentServiceTime := i.load.ServiceTime.Seconds()
	if recentServiceTime == 0 {
		recentServiceTime = serviceTime
	}
	limit, waiting := float64(max(i.Slots, 1)), 0.0
	ahead := float64(i.outstanding)
	if age := now.Sub(i.loadReportedAt); !i.loadReportedAt.IsZero() && age < o.loadMaxAge {
		if i.load.Limit > 0 {
			limit = float64(i.load.Limit)
		}
		freshness := 1 - age.Seconds()/o.loadMaxAge.Seconds()
		ahead += max(float64(i.load.Running+i.load.Waiting)-float64(i.outstandingAtLoad), 0) * freshness
		waiting = float64(i.load.Waiting) * freshness
	}
	wait := max(ahead+1-limit, 0) * recentServiceTime / limit
	expected = i.roundTrip.Seconds() + wait + serviceTime
	// This request delays each request that is queued there, or is likely to arrive
	// while all slots are in use, by its service time divided by the slots.
	behind := max(waiting, ahead+1-limit) + limit*max(min(ahead/limit, 1)-o.queueingUtilization, 0)
	score = expected + i.penalty.Seconds() + max(behind, 0)*serviceTime/limit
	// A shed request did not run, so it costs no more than another attempt.
	score += i.failureRate.decayed(now, o)*q.failurePenalty(o) + i.shedRate.decayed(now, o)*o.retryPenalty.Seconds()
	if now.Before(i.refusedUntil) {
		score += recentServiceTime
	}
	if q.Remaining > 0 && expected > q.Remaining.Seconds() {
		score += expected
	}
	score *= 1 + o.jitter*p.random.Float64()
	if now.Before(i.unreachableUntil) {
		score += unreachablePenalty
	}
	return score, expected
}

// failurePenalty returns the cost of a failed attempt in seconds.
func (q Query) failurePenalty(o *Options) float64 {
	full := o.failurePenalty.Seconds()
	if q.NoRetry {
		return 2 * full
	}
	return full + (o.retryPenalty.Seconds()-full)*min(q.RetryBudgetShare/o.ampleRetryShare, 1)
}

// unreachablePenalty exceeds any other score, in seconds.
const unreachablePenalty = 1000

// currentSlowdown returns the instance's assumed service time relative to the mean.
// Without new measurements it decays to 1.
func (i *instance) currentSlowdown(now time.Time, o *Options) float64 {
	f := 1.0
	if i.slowdown > 0 {
		f += (i.slowdown - 1) * math.Exp2(-now.Sub(i.slowdownAt).Seconds()/o.slowdownHalfLife.Seconds())
	}
	if i.State == wasabistand.Cold {
		f = max(f, o.coldSlowdown)
	}
	return f
}

// recordServiceTime records the service time of a request in seconds. It updates the
// mean of the kind slowly, and the instance's slowdown quickly.
func (i *instance) recordServiceTime(now time.Time, s *service, kind string, took float64, o *Options) {
	mean := s.meanServiceTimes[kind]
	if mean == 0 && len(s.meanServiceTimes) < maxKinds || mean > 0 {
		s.meanServiceTimes[kind] = ewma(mean, took, ewmaWeight)
	}
	if mean == 0 {
		return
	}
	before := i.currentSlowdown(now, o)
	i.slowdown = min(max(ewma(before, took/mean, slowdownWeight), minSlowdown), maxSlowdown)
	i.slowdownAt = now
}

// Bounds of the observations.
const (
	maxKinds    = 4096
	minSlowdown = 0.25
	maxSlowdown = 50
	// slowdownWeight is the EWMA weight of a new measurement in an instance's
	// slowdown.
	slowdownWeight = 1.0 / 8
)

// Result is the result of a placed request.
type Result struct {
	// Failed is set when the instance or the connection to it failed.
	Failed bool
	// Refused is set when the instance's node refused the request for load.
	Refused bool
	// Shed is set when the upstream refused a request that its node had admitted.
	Shed bool
	// Unreachable is set when the instance could not be reached.
	Unreachable bool
	// ServiceTime is the time spent in the upstream, 0 when unknown.
	ServiceTime time.Duration
	// Kind is the Kind of the Query.
	Kind string
	// Load is the load that the response reported, nil if none.
	Load *wasabistand.Load
}

// ewmaWeight is the weight of a new sample in an EWMA.
const ewmaWeight = 1.0 / 16

// Done records the result of a request.
func (p *Placer) Done(now time.Time, name, id string, r Result) {
	s := p.services[name]
	if s == nil {
		return
	}
	i := s.byID[id]
	if i == nil {
		return
	}
	i.outstanding = max(i.outstanding-1, 0)
	if !i.listed && i.outstanding <= 0 {
		delete(s.byID, id)
		return
	}
	if r.ServiceTime > 0 {
		i.recordServiceTime(now, s, r.Kind, r.ServiceTime.Seconds(), &p.options)
	}
	if l := r.Load; l != nil {
		i.loadReportedAt, i.load, i.outstandingAtLoad = now, *l, i.outstanding
		i.reportedLeaving = l.Leaving
	}
	switch {
	case r.Unreachable:
		i.recordFailure(now, &p.options)
		d := min(p.options.unreachableBackoff<<min(i.consecutiveFailures-1, 8), p.options.maxUnreachableBackoff)
		i.unreachableUntil = now.Add(d)
	case r.Failed:
		i.recordFailure(now, &p.options)
	case r.Shed:
		i.shedRate.increase(now, &p.options)
	case r.Refused:
		i.refusedUntil = now.Add(p.options.refusalBackoff)
	default:
		i.consecutiveFailures = 0
		i.unreachableUntil = time.Time{}
		i.failureRate.value *= 1 - ewmaWeight
		i.shedRate.value *= 1 - ewmaWeight
	}
}

// decayingRate is a fraction of attempts that decays exponentially over time.
type decayingRate struct {
	value float64
	at    time.Time
}

// decayed returns the rate at now. It halves every failureHalfLife.
func (r *decayingRate) decayed(now time.Time, o *Options) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/o.failureHalfLife.Seconds())
}

// increase adds one occurrence to the rate.
func (r *decayingRate) increase(now time.Time, o *Options) {
	v := r.decayed(now, o)
	r.value, r.at = v+(1-v)*4*ewmaWeight, now
}

func (i *instance) recordFailure(now time.Time, o *Options) {
	i.failureRate.increase(now, o)
	i.consecutiveFailures++
}

// ewma returns the exponentially weighted moving average after a sample; a mean of 0
// is unset.
func ewma(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*weight
}

func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// String returns the name of the implementation and the number of services.
func (p *Placer) String() string { return fmt.Sprintf("place(%d services)", len(p.services)) }

package wasabisoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
)

// Prefixes of routes. Those of the first two are in all versions.
const (
	safePrefix   = "/safe-"
	oncePrefix   = "/once-"
	movingPrefix = "/moving-"
	markerPrefix = "/marker-"
	neverPrefix  = "/never-"
)

// movingRoutes is the number of routes that changes move between services.
const movingRoutes = 6

// version is a configuration as operators know it.
type version struct {
	id      string
	number  uint64
	marker  string
	routes  map[string]string
	dropped []string // markers of earlier versions that it no longer has, the last ones
	moved   []string
	invalid Invalidity
	change  Change // what is sent, unchanged each time
}

// operators plays two operators who change the configuration.
type operators struct {
	run    *run
	random *rand.Rand // for what is changed, in the order of the plan
	count  int
	// first is the number of the control instance that operators ask first. It is the
	// one that acknowledged last, or else one that is stopped would slow a burst.
	first  atomic.Int64
	probes sync.WaitGroup
	faults sync.WaitGroup
}

func newOperators(r *run) *operators {
	return &operators{run: r, random: rand.New(rand.NewPCG(r.settings.Seed, 4))}
}

// begin sends the first version until it is acknowledged.
func (o *operators) begin(ctx context.Context) error {
	routes := map[string]string{}
	for _, s := range services {
		routes[safePrefix+s+"/"], routes[oncePrefix+s+"/"] = s, s
	}
	for i := range movingRoutes {
		routes[fmt.Sprintf("%s%d/", movingPrefix, i)] = services[i%len(services)]
	}
	o.count++
	v := &version{id: "c0001", number: 1, marker: markerPrefix + "c0001/", routes: routes}
	v.routes[v.marker] = services[0]
	v.change = o.change(v, 0)
	if !o.send(ctx, v, 0, false, nil) {
		return Error.New("the first configuration was not accepted")
	}
	return nil
}

// next draws a version on top of another one.
func (o *operators) next(base *version) *version {
	o.count++
	v := &version{id: fmt.Sprintf("c%04d", o.count), number: base.number + 1 + uint64(o.random.IntN(3)), routes: maps.Clone(base.routes)}
	v.marker = markerPrefix + v.id + "/"
	var markers, moving []string
	for p := range v.routes {
		switch {
		case len(p) > len(markerPrefix) && p[:len(markerPrefix)] == markerPrefix:
			markers = append(markers, p)
		case len(p) > len(movingPrefix) && p[:len(movingPrefix)] == movingPrefix:
			moving = append(moving, p)
		}
	}
	slices.Sort(markers)
	slices.Sort(moving)
	// Markers stay for some versions, so that late nodes show on added routes and on
	// dropped ones.
	const minMarkers, maxMarkers = 6, 16
	if n := len(markers); n >= maxMarkers || n > minMarkers && o.random.IntN(2) == 0 {
		k := o.random.IntN(n)
		delete(v.routes, markers[k])
		v.dropped = append(base.dropped[max(0, len(base.dropped)-maxMarkers):len(base.dropped):len(base.dropped)], markers[k])
	} else {
		v.dropped = base.dropped
	}
	if o.random.IntN(2) == 0 {
		p := moving[o.random.IntN(len(moving))]
		i := slices.Index(services, v.routes[p])
		v.routes[p] = services[(i+1+o.random.IntN(len(services)-1))%len(services)]
		v.moved = append(v.moved, p)
	}
	v.routes[v.marker] = services[o.random.IntN(len(services))]
	return v
}

// change returns what is sent for a version.
func (o *operators) change(v *version, base uint64) Change {
	c := Change{Version: v.number, Base: base, Services: services, Invalid: v.invalid}
	for _, p := range slices.Sorted(maps.Keys(v.routes)) {
		c.Routes = append(c.Routes, Route{Prefix: p, Service: v.routes[p], Once: len(p) > len(oncePrefix) && p[:len(oncePrefix)] == oncePrefix})
	}
	return c
}

// play plays the rounds of the plan one after another.
func (o *operators) play(ctx context.Context, begin time.Duration) {
	for _, round := range o.run.plan.Rounds {
		// Changes that take long delay the rounds behind them.
		if ctx.Err() != nil || o.run.now()-begin > o.run.plan.LastChange {
			return
		}
		sleep(ctx, begin+round.At-o.run.now())
		o.hold(ctx)
		o.playRound(ctx, round)
	}
}

func (o *operators) playRound(ctx context.Context, round Round) {
	o.first.Store(int64(o.random.IntN(len(o.run.controls))))
	if round.Invalid {
		base := o.run.newest()
		v := o.next(base)
		v.invalid = invalidities[o.random.IntN(len(invalidities))]
		if v.invalid == OldVersion {
			v.number = base.number
		}
		v.change = o.change(v, base.number)
		o.send(ctx, v, base.number, false, nil)
	}
	if round.Early.Kind != "" {
		o.faults.Go(func() { o.run.inject(ctx, round.Early) })
	}
	for i := range round.Count {
		if ctx.Err() != nil {
			return
		}
		base := o.run.newest()
		list := []*version{o.next(base)}
		if round.Pair {
			list = append(list, o.next(base))
		}
		aim := (*Fault)(nil)
		if i == round.Count-1 && round.Aim.Kind != "" {
			aim = &round.Aim
		}
		var wait sync.WaitGroup
		for _, v := range list {
			v.change = o.change(v, base.number)
			wait.Go(func() { o.send(ctx, v, base.number, round.Lose, aim) })
		}
		wait.Wait()
		if last := o.run.newest(); round.Resend && i == round.Count-1 && last != base {
			o.resend(ctx, last)
		}
		sleep(ctx, round.Gap)
	}
}

// hold waits while a node doesn't have the newest version in force, until all bounds
// have passed. Otherwise the next change would hide that one was lost.
func (o *operators) hold(ctx context.Context) {
	const pause, answerTime = 100 * time.Millisecond, 500 * time.Millisecond
	r := o.run
	b := r.settings.Bounds
	newest := r.newest()
	began := r.now()
	for ctx.Err() == nil && r.now() < began+b.Apply+b.Stretch+b.Contact {
		limit, cancel := context.WithTimeout(ctx, answerTime)
		var behind atomic.Int64
		var wait sync.WaitGroup
		for _, m := range r.nodes {
			wait.Go(func() {
				if r.call(limit, m, newest.marker, false) == wasabioracle.NotFound {
					behind.Add(1)
				}
			})
		}
		wait.Wait()
		cancel()
		if behind.Load() == 0 {
			break
		}
		sleep(ctx, pause)
	}
	if held := r.now() - began; held > time.Second {
		r.logf("changes were held back for %.3f s, since nodes were behind version %d", held.Seconds(), newest.number)
	}
}

// Times of operators.
const (
	orderTimeout = time.Second
	// maxLossTime is the longest time until an operator stops to wait when a response
	// is to be lost. Most changes take a few milliseconds.
	maxLossTime  = 20 * time.Millisecond
	orderPause   = 50 * time.Millisecond
	maxOrderTime = 60 * time.Second
)

// send sends a version until there is a clear response, and reports whether it was
// acknowledged. With lose set, the responses of the first attempts are lost.
func (o *operators) send(ctx context.Context, v *version, base uint64, lose bool, aim *Fault) bool {
	r := o.run
	r.mu.Lock()
	r.oracle.Sent(wasabioracle.Change{ID: v.id, Version: v.number, Base: base, Routes: v.routes, Marker: v.marker, Invalid: string(v.invalid)})
	r.mu.Unlock()
	began := r.now()
	slow := false
	for i := int(o.first.Load()); ctx.Err() == nil && r.now()-began < maxOrderTime; i++ {
		m := r.controls[i%len(r.controls)]
		if lose {
			// The change may have arrived, and may be taken at any later time.
			lost, cancel := context.WithTimeout(ctx, rand.N(maxLossTime))
			r.platform.Apply(lost, m.Machine, v.change)
			cancel()
			lose = rand.IntN(3) == 0
			continue
		}
		outcome, sent, received := o.order(ctx, m, v)
		if outcome != wasabioracle.Unclear {
			r.logf("change %s version %d base %d invalid %q: %v by %s after %.3f s", v.id, v.number, base, v.invalid, outcome, m.Name, (received - sent).Seconds())
		}
		switch outcome {
		case wasabioracle.Accepted:
			o.first.Store(int64(m.number))
			o.confirm(ctx, v, m, received, aim)
			return true
		case wasabioracle.Conflict, wasabioracle.Refused:
			r.mu.Lock()
			r.refused = append(r.refused, v)
			r.mu.Unlock()
			return false
		}
		if at := r.now(); !slow && at-began > r.settings.Bounds.Acknowledge {
			slow = true
			r.mu.Lock()
			r.oracle.Slow(began, at)
			r.mu.Unlock()
		}
		sleep(ctx, orderPause)
	}
	r.logf("change %s version %d base %d: no clear response", v.id, v.number, base)
	return false
}

// order sends a version once to one control instance.
func (o *operators) order(ctx context.Context, m *machine, v *version) (outcome wasabioracle.Outcome, sent, received time.Duration) {
	r := o.run
	limit, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent = r.now()
	outcome = r.platform.Apply(limit, m.Machine, v.change)
	received = r.now()
	r.judge(func(x *wasabioracle.Oracle) []wasabioracle.Violation {
		return x.Replied(v.id, outcome, m.Name, sent, received)
	})
	return outcome, sent, received
}

// resend sends the newest version again to another control instance.
func (o *operators) resend(ctx context.Context, v *version) {
	m := o.run.controls[rand.IntN(len(o.run.controls))]
	outcome, _, _ := o.order(ctx, m, v)
	o.run.logf("change %s sent again to %s: %v", v.id, m.Name, outcome)
}

// confirm makes an acknowledged version the base of the next ones, and has callers
// ask for what it changed.
func (o *operators) confirm(ctx context.Context, v *version, by *machine, at time.Duration, aim *Fault) {
	r := o.run
	if v.invalid != Valid {
		return
	}
	r.mu.Lock()
	if r.confirmed == nil || v.number > r.confirmed.number {
		r.confirmed = v
	}
	r.mu.Unlock()
	if aim != nil {
		f := *aim
		switch f.Kind {
		case FreezeControl, KillControl, StopControl:
			f.Target = by.number
		}
		o.faults.Go(func() { r.inject(ctx, f) })
	}
	if v.number == 1 {
		return
	}
	for _, m := range r.nodes {
		o.probes.Go(func() { o.probe(ctx, m, v, at) })
	}
}

// probe asks a node at several times after a confirmation for routes that were added,
// removed, moved, refused, or never existed.
func (o *operators) probe(ctx context.Context, m *machine, v *version, confirmed time.Duration) {
	r := o.run
	apply := r.settings.Bounds.Apply
	random := rand.New(rand.NewPCG(r.settings.Seed, v.number<<16|uint64(m.number)))
	times := []time.Duration{0, between(random, 0, apply), apply + between(random, time.Millisecond, 30*time.Millisecond), between(random, apply, 3*apply)}
	slices.Sort(times)
	for _, after := range times {
		sleep(ctx, confirmed+after-r.now())
		if ctx.Err() != nil {
			return
		}
		newest := r.newest()
		prefixes := []string{v.marker, newest.marker}
		switch kind := random.IntN(6); {
		case kind == 0 && len(newest.dropped) > 0:
			prefixes = append(prefixes, newest.dropped[len(newest.dropped)-1-random.IntN(min(3, len(newest.dropped)))])
		case kind == 1 && len(v.moved) > 0:
			prefixes = append(prefixes, v.moved[0])
		case kind == 2:
			prefixes = append(prefixes, fmt.Sprintf("%s%s/", neverPrefix, v.id))
		case kind == 3:
			r.mu.Lock()
			if n := len(r.refused); n > 0 {
				prefixes = append(prefixes, r.refused[n-1-random.IntN(min(n, 5))].marker)
			}
			r.mu.Unlock()
		}
		for _, p := range slices.Compact(prefixes) {
			r.call(ctx, m, p, false)
		}
	}
}

package wasabisoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand/internal/soak/wasabifleet"
	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
)

// Times of a run.
const (
	readyTime    = 60 * time.Second // for all nodes to become ready
	settleTime   = 3 * time.Second  // between readiness and the first event
	tickTime     = 50 * time.Millisecond
	maxTickDelay = 500 * time.Millisecond // beyond it the run itself is held up
)

// run is one run. Its fields below mu are guarded by it.
type run struct {
	settings Settings
	platform Platform
	plan     Plan
	fleet    *wasabifleet.Fleet
	controls []*machine
	nodes    []*machine
	callers  map[*machine]Caller
	started  time.Time
	log      *os.File

	mu         sync.Mutex
	oracle     *wasabioracle.Oracle
	violations []wasabioracle.Violation
	expected   map[*wasabifleet.Process]bool // processes that are to end
	closing    bool                          // all processes are to end
	ownEnds    []string
	err        error
	down       int // control instances that a fault holds down
	downAll    bool
	requests   uint64
	confirmed  *version // newest acknowledged
	refused    []*version
}

// Run plays the plan of the settings. It returns the report also if promises were
// broken; an error means that the run itself failed.
func Run(ctx context.Context, s Settings, p Platform) (Report, error) {
	r := &run{settings: s, platform: p, plan: NewPlan(s), fleet: wasabifleet.New(s.Folder), callers: map[*machine]Caller{},
		oracle: wasabioracle.New(s.Bounds), expected: map[*wasabifleet.Process]bool{}, started: time.Now()}
	var err error
	if r.log, err = os.Create(filepath.Join(s.Folder, "soak.log")); err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer func() { _ = r.log.Close() }()
	if err := os.WriteFile(filepath.Join(s.Folder, "plan.txt"), []byte(r.plan.String()), 0o600); err != nil {
		return Report{}, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.closeProxies()
	// The processes end before the function returns, also when it fails.
	defer func() {
		r.mu.Lock()
		r.closing = true
		r.mu.Unlock()
		_ = r.fleet.Close()
	}()
	if r.controls, r.nodes, err = newMachines(s, r.plan.Crowd, p); err != nil {
		return Report{}, err
	}
	if err := r.startProxies(); err != nil {
		return Report{}, err
	}
	if err := r.play(ctx); err != nil {
		return r.report(), err
	}
	return r.report(), nil
}

func (r *run) all() []*machine { return append(append([]*machine(nil), r.controls...), r.nodes...) }

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.started) }

// logf writes a line to the run's own log.
func (r *run) logf(format string, a ...any) {
	fmt.Fprintf(r.log, "%s %9.3f %s\n", time.Now().UTC().Format("15:04:05.000"), r.now().Seconds(), fmt.Sprintf(format, a...))
}

// fail records the first error that makes the run worthless.
func (r *run) fail(err error) {
	r.logf("failed: %v", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// judge lets the oracle judge an event.
func (r *run) judge(f func(o *wasabioracle.Oracle) []wasabioracle.Violation) {
	r.mu.Lock()
	list := f(r.oracle)
	r.violations = append(r.violations, list...)
	r.mu.Unlock()
	for _, v := range list {
		r.logf("violation %s", v)
	}
}

// expectEnd records that the process of a machine is to end.
func (r *run) expectEnd(m *machine) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected[p] = true
}

// ended records that a process has ended.
func (r *run) ended(m *machine, p *wasabifleet.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing || r.expected[p] {
		return
	}
	line := fmt.Sprintf("%s ended by itself at %.3f s: %s", m.Name, r.now().Seconds(), p.Ended())
	r.ownEnds = append(r.ownEnds, line)
	r.logf("%s", line)
}

// claimControl reports whether one more control instance may be down, and counts it.
func (r *run) claimControl() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.downAll || r.down >= (len(r.controls)-1)/2 {
		return false
	}
	r.down++
	return true
}

func (r *run) releaseControl() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down--
}

// claimAll waits until no control instance is down, and keeps other faults away.
func (r *run) claimAll(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		if r.downAll {
			r.mu.Unlock()
			return false
		}
		if r.down == 0 {
			r.downAll = true
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		sleep(ctx, tickTime)
	}
	return false
}

func (r *run) releaseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downAll = false
}

// play starts the machines, plays the plan and reads the configuration at the end.
func (r *run) play(ctx context.Context) error {
	for _, m := range r.all() {
		if err := r.start(m); err != nil {
			return err
		}
	}
	for _, m := range r.nodes {
		u, err := r.platform.NewUpstream(m.Machine, func(id string, once bool) {
			r.judge(func(o *wasabioracle.Oracle) []wasabioracle.Violation { return o.Ran(id, m.Name, once, r.now()) })
		})
		if err != nil {
			return err
		}
		defer func() { _ = u.Close() }()
		c := r.platform.NewCaller(m.Machine)
		defer func() { _ = c.Close() }()
		r.callers[m] = c
	}
	o := newOperators(r)
	if err := o.begin(ctx); err != nil {
		return err
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	sleep(ctx, settleTime)
	begin := r.now()
	r.logf("plan begins")
	calls, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var background, faults sync.WaitGroup
	background.Go(func() { r.watchTicks(calls) })
	background.Go(func() { r.readOften(calls) })
	for _, m := range r.nodes {
		background.Go(func() { r.callSteadily(calls, m) })
	}
	for _, f := range r.plan.Faults {
		faults.Go(func() {
			sleep(ctx, begin+f.At-r.now())
			if ctx.Err() == nil {
				r.inject(ctx, f)
			}
		})
	}
	o.play(ctx, begin)
	faults.Wait()
	o.faults.Wait()
	sleep(ctx, begin+r.settings.Duration-r.now())
	o.probes.Wait()
	stopCalls()
	background.Wait()
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	if err := r.readAtEnd(ctx); err != nil {
		return err
	}
	r.judge(func(o *wasabioracle.Oracle) []wasabioracle.Violation { return o.Finish(r.now()) })
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *run) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTime)
	for _, m := range r.nodes {
		for !r.platform.Ready(ctx, m.Machine) {
			if err := ctx.Err(); err != nil {
				return Error.Wrap(err)
			}
			if time.Now().After(limit) {
				return Error.New("%s is not ready after %s", m.Name, readyTime)
			}
			sleep(ctx, tickTime)
		}
	}
	return nil
}

// watchTicks tells the oracle when the run itself is held up.
func (r *run) watchTicks(ctx context.Context) {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if d := time.Since(last); d > maxTickDelay {
			r.logf("the run was held up for %.3f s", d.Seconds())
			r.mu.Lock()
			r.oracle.Stall(r.now())
			r.mu.Unlock()
		}
		last = time.Now()
	}
}

// newest returns the newest acknowledged version.
func (r *run) newest() *version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// readOften reads the configuration at one control instance after another.
func (r *run) readOften(ctx context.Context) {
	const pause = 100 * time.Millisecond
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		m := r.controls[i%len(r.controls)]
		wait.Go(func() { r.read(ctx, m, false) })
		sleep(ctx, pause)
	}
}

func (r *run) read(ctx context.Context, m *machine, final bool) bool {
	sent := r.now()
	v, prefixes, err := r.platform.Read(ctx, m.Machine)
	received := r.now()
	if err != nil {
		return false
	}
	r.judge(func(o *wasabioracle.Oracle) []wasabioracle.Violation {
		return o.Read(m.Name, v, prefixes, sent, received, final)
	})
	return true
}

// readAtEnd reads the configuration at each control instance until it answers.
func (r *run) readAtEnd(ctx context.Context) error {
	const limit, pause = 30 * time.Second, 200 * time.Millisecond
	end := time.Now().Add(limit)
	for _, m := range r.controls {
		for !r.read(ctx, m, true) {
			if time.Now().After(end) {
				r.judge(func(*wasabioracle.Oracle) []wasabioracle.Violation {
					return []wasabioracle.Violation{{Rule: wasabioracle.RuleLost, Machine: m.Name, At: r.now(), Detail: "no answer to the final read"}}
				})
				break
			}
			sleep(ctx, pause)
		}
	}
	return nil
}

// Times of callers.
const (
	callTimeout = 2 * time.Second
	callPause   = 100 * time.Millisecond
)

// call sends one request to a node and has its answer judged, unless the context ends.
func (r *run) call(ctx context.Context, m *machine, prefix string, once bool) wasabioracle.Outcome {
	r.mu.Lock()
	r.requests++
	id := fmt.Sprintf("%s-%06x", m.Name, r.requests)
	r.mu.Unlock()
	sent := r.now()
	x := r.callers[m].Call(ctx, Request{ID: id, Path: prefix + "x", Once: once, Timeout: callTimeout})
	if ctx.Err() != nil {
		return wasabioracle.Unclear
	}
	a := wasabioracle.Answer{Node: m.Name, ID: id, Prefix: prefix, Sent: sent, Received: r.now(), Outcome: x.Outcome, Service: x.Service, EchoedID: x.EchoedID}
	r.judge(func(o *wasabioracle.Oracle) []wasabioracle.Violation { return o.Answered(a) })
	return a.Outcome
}

// callSteadily sends requests on the routes that all versions have, and on what the
// newest version added and dropped, on a few connections.
func (r *run) callSteadily(ctx context.Context, m *machine) {
	const connections = 2
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range connections {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(r.settings.Seed, uint64(m.number*connections+i)))
			for ctx.Err() == nil {
				// The service of an unsafe route may be that of one that is down, so
				// both kinds go to all services in turn.
				s := services[random.IntN(len(services))]
				switch newest := r.newest(); random.IntN(6) {
				case 0, 1:
					r.call(ctx, m, safePrefix+s+"/", false)
				case 2, 3:
					r.call(ctx, m, oncePrefix+s+"/", true)
				case 4:
					r.call(ctx, m, newest.marker, false)
				default:
					if n := len(newest.dropped); n > 0 {
						r.call(ctx, m, newest.dropped[n-1], false)
					}
				}
				sleep(ctx, between(random, callPause/2, 3*callPause/2))
			}
		})
	}
}

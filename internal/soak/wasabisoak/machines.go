package wasabisoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wasabistand/wasabistand/internal/soak/wasabifleet"
	"github.com/wasabistand/wasabistand/internal/soak/wasabiproxy"
)

// Locations of machines: two failure domains in each of three regions.
var locations = []struct{ failureDomain, region string }{
	{"north-1", "north"}, {"south-1", "south"}, {"west-1", "west"},
	{"north-2", "north"}, {"south-2", "south"}, {"west-2", "west"},
}

// services are those of the upstream instances, in turn.
var services = []string{"orders", "stock", "mail", "search"}

// stopTime is how long a process may take to end after SIGTERM.
const stopTime = 6 * time.Second

// machine is a machine and its process.
type machine struct {
	Machine
	number int
	// hit is held while a fault is at work, so that no two hit one machine at once.
	hit     sync.Mutex
	mu      sync.Mutex
	process *wasabifleet.Process
	proxy   *wasabiproxy.Proxy // before its links, or nil
}

// place returns the number of a machine's location. Regions have every third number.
func place(crowd int, role Role, number int) int {
	const regions, crowded = 3, 2
	switch {
	case crowd < 0:
		return number % len(locations)
	case role == Node || number == crowd:
		return crowded + regions*(number%2)
	}
	return number%crowded + regions*(number/crowded%2)
}

// newMachines returns machines at addresses of one free network.
func newMachines(s Settings, crowd int, p Platform) (controls, nodes []*machine, err error) {
	const attempts = 50
	for range attempts {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		controls, nodes = nil, nil
		add := func(role Role, number int) *machine {
			m := &machine{number: number}
			host := len(controls) + len(nodes) + 1
			l := locations[place(crowd, role, number)]
			m.Machine = Machine{IP: fmt.Sprintf("%s.%d", network, host), Role: role, FailureDomain: l.failureDomain, Region: l.region, Cores: s.Cores}
			m.Name = fmt.Sprintf("control-%d", number)
			if role == Node {
				m.Name, m.Service = fmt.Sprintf("node-%02d", number), services[number%len(services)]
			}
			m.Proxied = s.Proxy && role == Control
			m.Folder = filepath.Join(s.Folder, m.Name)
			return m
		}
		for i := range s.Controls {
			controls = append(controls, add(Control, i))
		}
		for i := range s.Nodes {
			nodes = append(nodes, add(Node, i))
		}
		free := true
		for _, m := range append(append([]*machine(nil), controls...), nodes...) {
			free = free && p.Free(m.Machine)
		}
		if free {
			return controls, nodes, nil
		}
	}
	return nil, nil, Error.New("no free loopback network after %d attempts", attempts)
}

// start starts the process of a machine.
func (r *run) start(m *machine) error {
	path := filepath.Join(r.settings.Folder, m.Name+".toml")
	var controls []Machine
	for _, c := range r.controls {
		controls = append(controls, c.Machine)
	}
	if err := os.MkdirAll(m.Folder, 0o700); err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(path, []byte(r.platform.Settings(m.Machine, controls)), 0o600); err != nil {
		return Error.Wrap(err)
	}
	arguments, environment := r.platform.Command(m.Machine, path)
	p, err := r.fleet.Start(m.Name, r.settings.Program, arguments, environment)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	go func() {
		<-p.Done()
		r.ended(m, p)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	// A process that has ended is found by ended.
	_ = p.Signal(s)
}

// wait waits until the process of a machine has ended.
func (m *machine) wait(ctx context.Context, limit time.Duration) bool {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	select {
	case <-p.Done():
		return true
	case <-ctx.Done():
	case <-time.After(limit):
	}
	return false
}

// record tells the oracle of a fault.
func (r *run) record(m *machine, running, newLifetime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Role == Control {
		r.oracle.ControlFault(m.Name, r.now(), running)
		return
	}
	r.oracle.NodeFault(m.Name, r.now(), running, newLifetime)
}

// inject plays one fault and returns after its end.
func (r *run) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case KillAll:
		r.killAll(ctx, f)
		return
	case Busy:
		r.busy(ctx, f.For)
		return
	}
	m := r.nodes[f.Target%len(r.nodes)]
	switch f.Kind {
	case FreezeControl, KillControl, StopControl, CutLinks, SilenceLinks, ResetLinks:
		m = r.controls[f.Target%len(r.controls)]
		if !r.claimControl() {
			return
		}
		defer r.releaseControl()
	}
	if !m.hit.TryLock() {
		return
	}
	defer m.hit.Unlock()
	r.logf("fault %s at %s for %.3f s", f.Kind, m.Name, f.For.Seconds())
	switch f.Kind {
	case ReloadNode:
		r.record(m, true, false)
		m.signal(syscall.SIGHUP)
	case FreezeControl, FreezeNode:
		r.record(m, false, false)
		m.signal(syscall.SIGSTOP)
		sleep(ctx, f.For)
		r.record(m, false, false)
		m.signal(syscall.SIGCONT)
		r.record(m, true, false)
	case CutLinks, SilenceLinks, ResetLinks:
		r.harmLinks(ctx, m, f)
	case KillControl, KillNode:
		r.restart(ctx, m, syscall.SIGKILL, f.For)
	case StopControl, StopNode:
		r.restart(ctx, m, syscall.SIGTERM, f.For)
	}
	r.logf("fault %s at %s ends", f.Kind, m.Name)
}

// restart ends the process of a machine and starts it again after a while.
func (r *run) restart(ctx context.Context, m *machine, s syscall.Signal, pause time.Duration) {
	r.expectEnd(m)
	r.record(m, false, true)
	m.signal(s)
	if !m.wait(ctx, stopTime) {
		r.logf("%s is killed, since it runs %s after the signal", m.Name, stopTime)
		m.signal(syscall.SIGKILL)
		m.wait(ctx, stopTime)
	}
	sleep(ctx, pause)
	if ctx.Err() != nil {
		return
	}
	r.record(m, false, true)
	if err := r.start(m); err != nil {
		r.fail(err)
	}
	r.record(m, true, true)
}

// killAll kills all control instances at once and starts them again.
func (r *run) killAll(ctx context.Context, f Fault) {
	if !r.claimAll(ctx) {
		return
	}
	defer r.releaseAll()
	r.logf("fault %s for %.3f s", f.Kind, f.For.Seconds())
	var wait sync.WaitGroup
	for _, m := range r.controls {
		wait.Go(func() {
			m.hit.Lock()
			defer m.hit.Unlock()
			r.restart(ctx, m, syscall.SIGKILL, f.For)
		})
	}
	wait.Wait()
	r.logf("fault %s ends", f.Kind)
}

// Delays between regions. Two of three connections cross regions.
const (
	linkDelay      = 10 * time.Millisecond // one way
	linkDelayShare = 2.0 / 3
)

// startProxies puts a proxy before the links of each control instance.
func (r *run) startProxies() error {
	for _, m := range r.controls {
		if !m.Proxied {
			continue
		}
		announced, behind := r.platform.LinkAddresses(m.Machine)
		p, err := wasabiproxy.New(wasabiproxy.Settings{Listen: announced, Target: behind, Delay: linkDelay, DelayShare: linkDelayShare})
		if err != nil {
			return err
		}
		m.proxy = p
	}
	return nil
}

func (r *run) closeProxies() {
	for _, m := range r.controls {
		if m.proxy != nil {
			// A proxy that is closed late harms no run.
			_ = m.proxy.Close()
		}
	}
}

// harmLinks cuts, silences or resets links to a control instance.
func (r *run) harmLinks(ctx context.Context, m *machine, f Fault) {
	record := func(harmed bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.oracle.LinkFault(m.Name, r.now(), harmed)
	}
	record(true)
	switch f.Kind {
	case CutLinks:
		m.proxy.SetRule(wasabiproxy.Rule{In: true, Out: true, Share: f.Share})
	case SilenceLinks:
		m.proxy.SetRule(wasabiproxy.Rule{In: f.Inward, Out: !f.Inward, Share: f.Share})
	case ResetLinks:
		m.proxy.Reset(f.Share)
	}
	if f.Kind != ResetLinks {
		sleep(ctx, f.For)
		m.proxy.SetRule(wasabiproxy.Rule{})
	}
	record(false)
}

// busy uses one core for a while, in a process of its own.
func (r *run) busy(ctx context.Context, long time.Duration) {
	p, err := r.fleet.Start("busy", "/bin/sh", []string{"-c", "while :; do :; done"}, nil)
	if err != nil {
		r.fail(err)
		return
	}
	sleep(ctx, long)
	// The process ignores nothing, so the signal ends it.
	_ = p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

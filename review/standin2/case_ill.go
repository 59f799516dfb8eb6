package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["ill-at-restart"] = illAtRestart
	cases["health-path"] = healthPath
}

// Health of a worker: it considers itself failing while it can't reach the system, which
// it needs for its own calls. It checks that every healthInterval, and is well again
// after healthRise good checks in a row.
const (
	healthInterval = 500 * time.Millisecond
	healthRise     = 5
)

// watchHealth keeps a worker's own view of its health until its lifetime ends.
func (w *worker) watchHealth(stop chan struct{}) {
	good := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(healthInterval):
		}
		c, err := net.DialTimeout("tcp", w.machine.address(offOutbound), time.Second)
		if err != nil {
			good = 0
		} else {
			_ = c.Close()
			good++
		}
		w.mu.Lock()
		before := w.ill
		w.ill = err != nil || w.ill && good < healthRise
		after := w.ill
		w.mu.Unlock()
		if before != after {
			w.machine.lab.logf("worker %s considers itself failing: %v", w.id, after)
		}
	}
}

// illAtRestart: all processes of the system are killed and are back within a second. The
// workers go on, report ready all the time, and say on their health path that they fail
// until they have seen the system again for some seconds.
func illAtRestart(l *lab) error {
	f, err := l.startFleet([]string{"reports", "reports", "archive", "archive"}, []route{{"/approve/", "unsafe", "reports", 5}, {"/lookup/", "safe", "archive", 5}})
	if err != nil {
		return err
	}
	for _, w := range f.workers {
		w.wait.Go(func() { w.watchHealth(w.stop) })
	}
	return f.judgeRecovery(l)
}

// healthPath: the workers answer health checks at a path of their own, which the manifest
// names. They start once the first manifest is in force. Then all processes of the system
// are killed and are back within a second.
func healthPath(l *lab) error {
	f, names, err := l.startMachines([]string{"reports", "reports", "archive", "archive"})
	if err != nil {
		return err
	}
	routes := []route{{"/approve/", "unsafe", "reports", 5}, {"/lookup/", "safe", "archive", 5}}
	if err := f.begin(l, manifestWithHealth(1, names, routes, "/status")); err != nil {
		return err
	}
	for _, w := range f.workers {
		w.healthPath = "/status"
	}
	if err := f.startWorkers(l); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return f.judgeRecovery(l)
}

// judgeRecovery kills all processes of the project, starts them again, and compares what
// is served from recovery_s on with what was served before.
func (f *fleet) judgeRecovery(l *lab) error {
	before := f.share(l, 5*time.Second)
	if l.trouble {
		for _, m := range l.machines {
			m.expectEnd()
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range l.machines {
			m.end(syscall.SIGKILL)
			if err := m.write(false); err != nil {
				return err
			}
			if err := m.start(); err != nil {
				return err
			}
		}
		l.logf("all processes are back")
	}
	time.Sleep(recoveryTime)
	for _, w := range f.workers {
		w.mu.Lock()
		l.logf("worker %s: failing %v, state %s", w.id, w.ill, w.state)
		w.mu.Unlock()
	}
	after := f.share(l, 15*time.Second)
	l.logf("served before: %.3f, from recovery_s on: %.3f", before, after)
	if before >= 0.25 && after < 0.25 {
		l.fail("RECOVER", "%.3f of the requests sent later than %v after all processes are back are served, %.3f were before", after, recoveryTime, before)
	}
	return nil
}

// share sends requests from all nodes that say that they are ready, and returns the
// share that is served.
func (f *fleet) share(l *lab, d time.Duration) float64 {
	var mu sync.Mutex
	sent, served := 0, 0
	var wait sync.WaitGroup
	for _, m := range f.nodes {
		wait.Go(func() {
			isReady := m.ready()
			l.logf("%s says that it is ready: %v", m.name, isReady)
			for begin, i := time.Now(), 0; time.Since(begin) < d; i++ {
				time.Sleep(100 * time.Millisecond)
				method, path := "GET", "/lookup/x"
				if i%2 == 0 {
					method, path = "POST", "/approve/x"
				}
				wait.Go(func() {
					a := l.call(m, method, path, nil, 5*time.Second)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if a.err == nil && a.status == 200 {
						served++
					}
				})
			}
		})
	}
	wait.Wait()
	l.logf("%d of %d requests were served", served, sent)
	return float64(served) / float64(max(sent, 1))
}

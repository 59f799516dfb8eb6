package main

import (
	"encoding/json"
	"sync"
	"time"
)

func init() {
	cases["odd-checkin"] = oddCheckin
	cases["earlier-birth"] = earlierBirth
}

// drainSetup starts a deployment with two workers of one service and one of another.
func drainSetup(l *lab) (*fleet, error) {
	return l.startFleet([]string{"reports", "reports", "archive"}, []route{{"/approve/", "unsafe", "reports", 5}, {"/lookup/", "safe", "archive", 5}})
}

// sendUntil sends approvals from all nodes until stop is closed, and returns the answers.
func (f *fleet) sendUntil(l *lab, stop chan struct{}) func() []answer {
	var mu sync.Mutex
	var list []answer
	var wait sync.WaitGroup
	for _, m := range f.nodes {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				wait.Go(func() {
					a := l.call(m, "POST", "/approve/x", []byte("amount=5"), 5*time.Second)
					mu.Lock()
					list = append(list, a)
					mu.Unlock()
				})
			}
		})
	}
	return func() []answer {
		wait.Wait()
		return list
	}
}

// leave lets a worker leave in order: it reports that it drains, serves on for drain_s
// after the confirmation and a little longer, deregisters and exits. It judges DRAIN.
func leave(l *lab, f *fleet, w *worker) {
	stop := make(chan struct{})
	answers := f.sendUntil(l, stop)
	time.Sleep(time.Second)
	confirmed, ok := w.drain()
	if !ok {
		l.logf("the drain is not confirmed")
		close(stop)
		answers()
		return
	}
	l.logf("the drain of %s is confirmed", w.id)
	time.Sleep(time.Until(confirmed.Add(drainTime + 2500*time.Millisecond)))
	w.deregister()
	time.Sleep(200 * time.Millisecond)
	ends := time.Now()
	w.crash()
	w.machine.end(15)
	close(stop)
	unclear := 0
	byID := map[string]answer{}
	for _, a := range answers() {
		byID[a.id] = a
	}
	late := 0
	for _, x := range f.runs.all() {
		if x.worker != w.id || !x.at.After(confirmed.Add(drainTime)) {
			continue
		}
		late++
		if a := byID[x.id]; a.status != 200 && a.received.After(ends) {
			unclear++
			l.logf("%s ran at %s and has no answer: %s", x.id, x.worker, a)
		}
	}
	l.logf("%d requests reached %s later than drain_s after the confirmation, %d of these were lost with it", late, w.id, unclear)
	if late > 0 {
		l.fail("DRAIN", "%d requests reached %s later than %v after the confirmation of its drain, %d of these have no answer", late, w.id, drainTime, unclear)
	}
}

// oddCheckin: another writer leaves one entry of a worker with a number too large.
func oddCheckin(l *lab) error {
	f, err := drainSetup(l)
	if err != nil {
		return err
	}
	w := f.workers[0]
	w.work, f.workers[1].work = 300*time.Millisecond, 300*time.Millisecond
	if l.trouble {
		b, _ := json.Marshal(map[string]any{
			"service": w.machine.service, "address": w.machine.address(offApp), "zone": w.machine.zone, "version": "v1", "slots": 64,
			"state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": uint64(1) << 63,
		})
		status, err := w.say("/Instances.Heartbeat/"+w.id, b)
		l.logf("another writer checks in for %s: %s: %d %v", w.id, b, status, err)
	}
	time.Sleep(contactWindow + 2*time.Second)
	leave(l, f, w)
	return nil
}

// earlierBirth: the time of day of a machine jumps back, and its worker crashes and
// starts again under its id, before the time at which it started first.
func earlierBirth(l *lab) error {
	f, err := drainSetup(l)
	if err != nil {
		return err
	}
	w := f.workers[0]
	w.work, f.workers[1].work = 300*time.Millisecond, 300*time.Millisecond
	w.crash()
	time.Sleep(time.Second)
	if err := w.start(time.Now()); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.crash()
	time.Sleep(300 * time.Millisecond)
	born := time.Now()
	if l.trouble {
		l.logf("the time of day of %s jumps back by 2.4 s", w.machine.name)
		born = born.Add(-2400 * time.Millisecond)
	}
	if err := w.start(born); err != nil {
		return err
	}
	time.Sleep(contactWindow + 3*time.Second)
	leave(l, f, w)
	return nil
}

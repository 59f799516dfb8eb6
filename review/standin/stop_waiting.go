package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop-waiting"] = stopWaiting }

const (
	graceTime  = 6 * time.Second
	lossSlack  = 200 * time.Millisecond
	bookSlots  = 4
	bookWork   = 400 * time.Millisecond
	bookEvery  = 80 * time.Millisecond // at all entry nodes together; the worker runs one each 100 ms
	bookLimit  = 10 * time.Second
	bookBefore = 16 * time.Second // until requests wait for about four seconds
	// lastNewWork is when the clients have left a stopping machine, after two questions
	// without a 200, one second apart.
	lastNewWork = 2 * time.Second
)

// stopWaiting stops one of the nodes that take requests for a busy worker. A request that
// was read whole must be answered before the node ends.
func stopWaiting(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.addControl()
	busy := d.newMachine("node", "reports")
	entries := []*machine{d.newMachine("node", "archive"), d.newMachine("node", "archive"), d.newMachine("node", "archive")}
	all := append([]*machine{busy}, entries...)
	if err := d.startAll(all...); err != nil {
		return err
	}
	ran := &runs{}
	for k, m := range all {
		w, err := newWorker(d, m, fmt.Sprintf("i-%02d", k), ran, bookWork)
		if err != nil {
			return err
		}
		defer w.close()
		w.slots = bookSlots
		go w.beat()
	}
	if err := d.replace(0, manifest(3, []manifestRoute{
		{name: "r-approve", kind: "unsafe", prefix: "/approve/", service: "reports", timeout: bookLimit.Seconds(), attempts: 2, priority: 0},
	})); err != nil {
		return err
	}
	if err := d.awaitReady(all...); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	type result struct {
		entry, status int
		sent, ended   time.Time
		text          string
	}
	var mu sync.Mutex
	results := map[string]result{}
	var wait sync.WaitGroup
	begun := time.Now()
	var stopped time.Time
	for k := 0; ; k++ {
		at := begun.Add(time.Duration(k) * bookEvery)
		time.Sleep(time.Until(at))
		if stopped.IsZero() && time.Since(begun) > bookBefore {
			stopped = time.Now()
			if trouble {
				r.printf("platform: SIGTERM to %s", entries[0].name)
				_ = entries[0].process.command.Process.Signal(syscall.SIGTERM)
				wait.Go(func() {
					<-entries[0].process.done
					r.printf("platform: the process of %s ended %.3f s after SIGTERM, and is started again", entries[0].name, time.Since(stopped).Seconds())
					_ = d.start(entries[0], false)
				})
			}
		}
		if !stopped.IsZero() && time.Since(stopped) > graceTime {
			break
		}
		e := k % len(entries)
		if e == 0 && !stopped.IsZero() && time.Since(stopped) > lastNewWork {
			e = 1
		}
		wait.Go(func() {
			id := fmt.Sprintf("b%03d", k)
			sent := time.Now()
			status, text := call(entries[e].at(portOutbound), http.MethodPost, "/approve/"+id, id, bookLimit, "report "+id)
			r.printf("client: %s, sent to %s at %.3f s: status %d %q", id, entries[e].name, sent.Sub(r.started).Seconds(), status, text)
			mu.Lock()
			results[id] = result{e, status, sent, time.Now(), text}
			mu.Unlock()
		})
	}
	wait.Wait()
	begins := map[string]time.Time{}
	for _, x := range ran.all() {
		begins[x.id] = x.at
	}
	lost, served := 0, 0
	for id, x := range results {
		switch {
		case x.status == http.StatusOK:
			served++
		case x.status == 0 && x.entry == 0 && trouble && x.ended.Sub(x.sent) > lossSlack && x.ended.Sub(x.sent) < bookLimit && x.ended.Before(stopped.Add(graceTime+time.Second)):
			if at, ok := begins[id]; ok && at.Before(x.ended) {
				// The worker was at work on it in the last sixth of the grace time.
				continue
			}
			lost++
			r.printf("LOST: %s was sent %.3f s after SIGTERM, no worker had run it, and its connection ended %.3f s after SIGTERM without an answer: %s", id, x.sent.Sub(stopped).Seconds(), x.ended.Sub(stopped).Seconds(), x.text)
		}
	}
	r.printf("%d requests, %d served, %d lost", len(results), served, lost)
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests that a stopping node had read got no answer", errBroken, lost)
	}
	if served < len(results)/2 {
		return errors.New("fewer than half of the requests were served")
	}
	return nil
}

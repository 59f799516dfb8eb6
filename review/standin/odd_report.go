package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-report"] = oddReport }

const (
	// drainExtra is how much longer than drainTime the worker serves.
	drainExtra     = time.Second
	approvalTime   = 300 * time.Millisecond
	approvalsAtOne = 6 // clients of a machine
)

// oddReport sends a check-in of another writer, with fields missing, before a worker
// reports that it is draining. No request may reach the worker later than drainTime
// after the acknowledgement.
func oddReport(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.addControl()
	var all []*machine
	for range 6 {
		all = append(all, d.newMachine("node", "reports"))
	}
	if err := d.startAll(all...); err != nil {
		return err
	}
	ran := &runs{}
	var workers []*worker
	for k, m := range all {
		w, err := newWorker(d, m, fmt.Sprintf("i-%02d", k), ran, approvalTime)
		if err != nil {
			return err
		}
		defer w.close()
		workers = append(workers, w)
		go w.beat()
	}
	if err := d.replace(0, manifest(3, []manifestRoute{
		{name: "r-approve", kind: "unsafe", prefix: "/approve/", service: "reports", timeout: 5, attempts: 2, priority: 0},
	})); err != nil {
		return err
	}
	if err := d.awaitReady(all...); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)

	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for e, m := range all {
		for c := range approvalsAtOne {
			wait.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					id := fmt.Sprintf("a%d-%d-%d", e, c, k)
					status, text := call(m.at(portOutbound), http.MethodPost, "/approve/"+id, id, 5*time.Second, "report "+id)
					r.printf("client: %s sent to %s: status %d %q", id, m.name, status, text)
					mu.Lock()
					statuses[id] = status
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	leaving := workers[0]
	if trouble {
		odd, _ := json.Marshal(map[string]any{
			"service": leaving.machine.service, "address": leaving.machine.at(portApp), "slots": 64, "state": "ready", "sequence": 1000000,
		})
		ok := post("http://"+leaving.machine.at(portControl)+"/Instances.Heartbeat/"+leaving.id, odd)
		r.printf("another writer: check-in %s of %s: acknowledged %v", odd, leaving.id, ok)
	}
	time.Sleep(4 * time.Second)
	leaving.draining.Store(true)
	if !leaving.report("draining") {
		return errors.New("the report of the drain was not acknowledged")
	}
	acknowledged := time.Now()
	r.printf("worker %s: draining is acknowledged", leaving.id)
	time.Sleep(drainTime + drainExtra)
	r.printf("worker %s: deregisters, acknowledged %v, and exits", leaving.id, leaving.deregister())
	leaving.close()
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	late, before, cut := 0, 0, 0
	for _, x := range ran.all() {
		if x.worker != leaving.id {
			continue
		}
		if after := x.at.Sub(acknowledged); after > drainTime {
			late++
			if statuses[x.id] != http.StatusOK {
				cut++
			}
			r.printf("DRAIN: %s reached %s %.3f s after the acknowledgement", x.id, x.worker, after.Seconds())
		} else if after < 0 {
			before++
		}
	}
	r.printf("worker %s ran %d requests before the acknowledgement and %d later than %v after it; %d of these were cut when it exited", leaving.id, before, late, drainTime, cut)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached a draining worker later than %v after the acknowledgement, %d were cut when it exited", errBroken, late, drainTime, cut)
	}
	if before == 0 {
		return errors.New("the worker ran nothing before it left")
	}
	return nil
}

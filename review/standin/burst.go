package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["burst"] = burst }

const (
	burstNodes     = 30
	burstRounds    = 60
	burstManifests = 10
	burstGap       = 60 * time.Millisecond
	burstReserve   = 15 * time.Second // for the last round
	burstFreeze    = 850 * time.Millisecond
)

// burst sends manifests in quick succession while the control machine of a region stands
// still for a moment. Every node must have the last one in force configApply after its
// acknowledgement.
func burst(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.cores = 4
	d.addControl()
	// The fourth control machine is the only one of its region, which is that of the
	// nodes. It is no seed, so it joins as a follower.
	near := d.control[3]
	for k, z := range []int{0, 1, 3, 2, 4} {
		d.control[k].zone, d.control[k].region = zones[z].zone, zones[z].region
	}
	var all []*machine
	for range burstNodes {
		m := d.newMachine("node", "archive")
		m.zone, m.region = near.zone, near.region
		all = append(all, m)
	}
	if err := d.startAll(all...); err != nil {
		return err
	}
	ran := &runs{}
	for k, m := range all {
		w, err := newWorker(d, m, fmt.Sprintf("i-%02d", k), ran, time.Millisecond)
		if err != nil {
			return err
		}
		defer w.close()
		go w.beat()
	}
	version := 1
	build := func(v int) []byte {
		return manifest(v, []manifestRoute{
			{name: "r-look", kind: "safe", prefix: "/look/", service: "archive", timeout: 5, attempts: 2, priority: 2},
			{name: "r-mark", kind: "safe", prefix: fmt.Sprintf("/mark-%d/", v), service: "archive", timeout: 5, attempts: 2, priority: 2},
		})
	}
	if err := d.replace(0, build(version)); err != nil {
		return err
	}
	if err := d.awaitReady(all...); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	stale := func(round int) (list []*machine) {
		var mu sync.Mutex
		var wait sync.WaitGroup
		for _, m := range all {
			wait.Go(func() {
				id := fmt.Sprintf("m%d-%s-%d", version, m.name, time.Now().UnixNano())
				status, text := call(m.at(portOutbound), http.MethodGet, fmt.Sprintf("/mark-%d/x", version), id, 2*time.Second, "")
				if status != http.StatusOK {
					mu.Lock()
					list = append(list, m)
					mu.Unlock()
					r.printf("client: round %d: route of version %d at %s: status %d %q", round, version, m.name, status, text)
				}
			})
		}
		wait.Wait()
		return list
	}
	for round := 0; round < burstRounds && d.timeLeft() > burstReserve; round++ {
		if trouble {
			_ = near.process.command.Process.Signal(syscall.SIGSTOP)
			r.printf("platform: %s freezes", near.name)
			time.AfterFunc(burstFreeze, func() { _ = near.process.command.Process.Signal(syscall.SIGCONT) })
		}
		for range burstManifests {
			time.Sleep(burstGap)
			if err := d.replaceAt(version, build(version+1), near); err != nil {
				return err
			}
			version++
		}
		acknowledged := time.Now()
		time.Sleep(burstFreeze)
		if len(stale(round)) == 0 {
			continue
		}
		time.Sleep(time.Until(acknowledged.Add(configApply + contactWindow + time.Second)))
		if list := stale(round); len(list) > 0 {
			return fmt.Errorf("%w: CONFIG: %d of %d nodes don't have version %d in force %.1f s after its acknowledgement", errBroken, len(list), len(all), version, time.Since(acknowledged).Seconds())
		}
	}
	return nil
}

// replaceAt sends a manifest to any control machine but one until it is accepted.
func (d *deployment) replaceAt(base int, text []byte, other *machine) error {
	limit := time.Now().Add(10 * time.Second)
	for k := 0; time.Now().Before(limit); k++ {
		c := d.control[k%len(d.control)]
		if c == other {
			continue
		}
		status, _ := d.order(c, base, text)
		if status == http.StatusOK {
			d.record.printf("manifest on top of version %d acknowledged by %s", base, c.name)
			return nil
		}
	}
	return errors.New("the manifest was not accepted")
}

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["split-body"] = splitBody }

const (
	uploadsAtOnce = 24
	uploadsFor    = 4 * time.Second
	crashedFor    = 4500 * time.Millisecond
)

// splitBody sends uploads right after one worker of nine has crashed. A worker must not
// run an upload with a body that the client didn't send.
func splitBody(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.addControl()
	var all []*machine
	for range 9 {
		all = append(all, d.newMachine("node", "footage"))
	}
	// Two of the nine workers share a zone.
	entry, neighbour := all[0], all[1]
	for _, m := range all[2:] {
		if m.zone == entry.zone {
			m.zone, m.region = zones[3].zone, zones[3].region
		}
	}
	neighbour.zone, neighbour.region = entry.zone, entry.region
	if err := d.startAll(all...); err != nil {
		return err
	}
	ran := &runs{}
	var workers []*worker
	for k, m := range all {
		w, err := newWorker(d, m, fmt.Sprintf("i-%02d", k), ran, 100*time.Millisecond)
		if err != nil {
			return err
		}
		defer w.close()
		workers = append(workers, w)
		go w.beat()
	}
	if err := d.replace(0, manifest(3, []manifestRoute{
		{name: "r-up", kind: "upload", prefix: "/up/", service: "footage", timeout: 10, attempts: 2, priority: 1},
	})); err != nil {
		return err
	}
	if err := d.awaitReady(all...); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		wake, err := workers[1].goDark()
		if err != nil {
			return err
		}
		restart := time.AfterFunc(crashedFor, func() {
			wake()
			if w, err := newWorker(d, neighbour, "i-01-again", ran, 100*time.Millisecond); err == nil {
				go w.beat()
			}
		})
		defer restart.Stop()
		time.Sleep(100 * time.Millisecond)
	}
	var mu sync.Mutex
	sent := map[string]string{}
	answered := map[int]int{}
	var wait sync.WaitGroup
	stop := time.Now().Add(uploadsFor)
	for c := range uploadsAtOnce {
		wait.Go(func() {
			for k := 0; k == 0 || time.Now().Before(stop); k++ {
				id := fmt.Sprintf("u-%02d-%d", c, k)
				r.printf("client: upload %s is sent", id)
				digest, status, body, err := upload(entry.at(portOutbound), "/up/", id)
				r.printf("client: upload %s, digest %s: status %d %q %v", id, digest, status, body, err)
				mu.Lock()
				sent[id] = digest
				answered[status]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	r.printf("responses by status: %v", answered)
	broken := 0
	for _, x := range ran.all() {
		if x.digest != sent[x.id] {
			broken++
			r.printf("UNASKED: worker %s ran %s with %d bytes, digest %s, but %d bytes, digest %s, were sent", x.worker, x.id, x.bytes, x.digest, uploadChunk*uploadChunks, sent[x.id])
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: UNASKED: %d of %d uploads ran with a changed body", errBroken, broken, len(sent))
	}
	if answered[http.StatusOK] == 0 {
		return errors.New("no upload was answered with 200")
	}
	return nil
}

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["later-route"] = laterRoute }

const (
	routeUploads  = 30 // per route
	routeWorkers  = 10 // clients at a time
	configApply   = 2500 * time.Millisecond
	laterUploadTo = "/film/"
)

// laterRoute sends uploads on a route of the first manifest and, with trouble, on one
// that a later manifest adds. Those on the later route must be served at least a quarter
// as often.
func laterRoute(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.addControl()
	entry := d.newMachine("node", "archive")
	all := []*machine{entry}
	for range 6 {
		all = append(all, d.newMachine("node", "footage"))
	}
	if err := d.startAll(all...); err != nil {
		return err
	}
	ran := &runs{}
	for k, m := range all {
		w, err := newWorker(d, m, fmt.Sprintf("i-%02d", k), ran, 100*time.Millisecond)
		if err != nil {
			return err
		}
		defer w.close()
		go w.beat()
	}
	first := manifestRoute{name: "r-up", kind: "upload", prefix: "/up/", service: "archive", timeout: 10, attempts: 2, priority: 1}
	look := manifestRoute{name: "r-look", kind: "safe", prefix: "/look/", service: "footage", timeout: 5, attempts: 2, priority: 2}
	if err := d.replace(0, manifest(3, []manifestRoute{first, look})); err != nil {
		return err
	}
	if err := d.awaitReady(all...); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	prefixes := []string{"/up/"}
	if trouble {
		later := manifestRoute{name: "r-film", kind: "upload", prefix: laterUploadTo, service: "footage", timeout: 10, attempts: 2, priority: 1}
		if err := d.replace(3, manifest(4, []manifestRoute{first, look, later})); err != nil {
			return err
		}
		time.Sleep(configApply + contactWindow + time.Second)
		prefixes = append(prefixes, laterUploadTo)
	}
	var mu sync.Mutex
	served := map[string]int{}
	queue := make(chan [2]string)
	var wait sync.WaitGroup
	for range routeWorkers {
		wait.Go(func() {
			for q := range queue {
				digest, status, body, err := upload(entry.at(portOutbound), q[0], q[1])
				r.printf("client: upload %s on %s, digest %s: status %d %q %v", q[1], q[0], digest, status, body, err)
				if status == http.StatusOK {
					mu.Lock()
					served[q[0]]++
					mu.Unlock()
				}
			}
		})
	}
	for k := range routeUploads {
		for _, prefix := range prefixes {
			queue <- [2]string{prefix, fmt.Sprintf("u%s%02d", prefix[1:len(prefix)-1], k)}
		}
	}
	close(queue)
	wait.Wait()
	for k := range 5 {
		id := fmt.Sprintf("l%d", k)
		status, text := call(entry.at(portOutbound), http.MethodGet, "/look/"+id, id, 5*time.Second, "")
		r.printf("client: lookup %s at the workers of the later route: status %d %q", id, status, text)
	}
	for _, prefix := range prefixes {
		r.printf("route %s: %d of %d uploads were served", prefix, served[prefix], routeUploads)
	}
	if served["/up/"] < routeUploads/2 {
		return errors.New("the uploads on the first route were not served")
	}
	if trouble && 4*served[laterUploadTo] < served["/up/"] {
		return fmt.Errorf("%w: CONFIG: on the later route %d of %d uploads were served, on the first one %d", errBroken, served[laterUploadTo], routeUploads, served["/up/"])
	}
	return nil
}

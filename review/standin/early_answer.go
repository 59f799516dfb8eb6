package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

// Largest dose of the disruption on the site: early answers to 0.4 of the uploads at 0.7
// of the workers of the service, for 6 s at a time.
const (
	earlyWorkers  = 4 // of 6
	earlyPercent  = 40
	earlySpell    = 6 * time.Second
	earlyPause    = 5 * time.Second
	earlySpells   = 3
	uploadTimeout = 2 * time.Second
)

// answerEarly returns a behaviour that rejects some uploads as not run before their body
// is read while active is set. It keeps the connection and reads on later.
func answerEarly(active *atomic.Bool) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if !active.Load() || !strings.HasPrefix(r.URL.Path, "/up/") || rand.IntN(100) >= earlyPercent {
			return false
		}
		c := http.NewResponseController(w)
		_ = c.EnableFullDuplex()
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Content-Length", "5")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("full\n"))
		_ = c.Flush()
		time.Sleep(200 * time.Millisecond)
		b := make([]byte, 32<<10)
		for {
			if _, err := r.Body.Read(b); err != nil {
				return true
			}
		}
	}
}

// longUpload sends an upload of 4 MiB as fast as the node reads it, until the response
// comes. It returns the status, 0 for none.
func longUpload(address, id string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	status := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	const total, piece = 4 << 20, 16 << 10
	fmt.Fprintf(c, "POST /up/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, manifestHost, id, uploadTimeout.Milliseconds(), total)
	chunk := make([]byte, piece)
	for range total / piece {
		if _, err := c.Write(chunk); err != nil {
			break
		}
		select {
		case s := <-status:
			return s
		default:
		}
	}
	return <-status
}

// earlyAnswer sends long uploads to workers that answer before the body is in. No
// process of the system may end by itself.
func earlyAnswer(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.addControl()
	var nodes, entries []*machine
	for range 6 {
		nodes = append(nodes, d.newMachine("node", "footage"))
	}
	for range 6 {
		entries = append(entries, d.newMachine("node", "archive"))
	}
	all := append(append([]*machine(nil), nodes...), entries...)
	if err := d.startAll(all...); err != nil {
		return err
	}
	ran := &runs{}
	var active atomic.Bool
	for k, m := range all {
		w, err := newWorker(d, m, fmt.Sprintf("i-%02d", k), ran, 20*time.Millisecond)
		if err != nil {
			return err
		}
		defer w.close()
		if k < earlyWorkers {
			w.early = answerEarly(&active)
		}
		go w.beat()
	}
	if err := d.replace(0, manifest(3, []manifestRoute{
		{name: "r-up", kind: "upload", prefix: "/up/", service: "footage", timeout: uploadTimeout.Seconds(), attempts: 2, priority: 1},
		{name: "r-look", kind: "safe", prefix: "/look/", service: "archive", timeout: 5, attempts: 2, priority: 2},
	})); err != nil {
		return err
	}
	if err := d.awaitReady(all...); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	// The platform starts a process again after a short delay.
	ends := map[string]int{}
	var mu sync.Mutex
	stopWatch := make(chan struct{})
	var watch sync.WaitGroup
	for _, m := range all {
		watch.Go(func() {
			for {
				select {
				case <-stopWatch:
					return
				case <-m.process.done:
				}
				mu.Lock()
				ends[m.name]++
				mu.Unlock()
				r.printf("platform: the process of %s ended by itself: %s", m.name, firstPanic(d.log(m)))
				time.Sleep(300 * time.Millisecond)
				if err := d.start(m, false); err != nil {
					return
				}
			}
		})
	}
	var answered [600]atomic.Int64
	stop := time.Now().Add(earlySpells * (earlySpell + earlyPause))
	var wait sync.WaitGroup
	for e, m := range entries {
		for c := range 8 {
			wait.Go(func() {
				for k := 0; time.Now().Before(stop); k++ {
					id := fmt.Sprintf("u%d-%d-%d", e, c, k)
					status := longUpload(m.at(portOutbound), id)
					answered[status].Add(1)
					r.printf("client: upload %s: status %d", id, status)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	for range earlySpells {
		active.Store(trouble)
		time.Sleep(earlySpell)
		active.Store(false)
		time.Sleep(earlyPause)
	}
	wait.Wait()
	close(stopWatch)
	watch.Wait()
	for status := range answered {
		if n := answered[status].Load(); n > 0 {
			r.printf("responses with status %d: %d", status, n)
		}
	}
	often := 0
	for name, n := range ends {
		r.printf("the processes of %s ended %d times", name, n)
		if n >= 3 {
			often++
		}
	}
	if often >= 2 {
		return fmt.Errorf("%w: Fault: on %d machines of %d, processes ended by themselves three times or more", errBroken, often, len(all)+len(d.control))
	}
	return nil
}

// firstPanic returns the first line of a panic in a log.
func firstPanic(log string) string {
	if _, after, ok := strings.Cut(log, "panic: "); ok {
		line, _, _ := strings.Cut(after, "\n")
		return line
	}
	if _, after, ok := strings.Cut(log, "fatal error: "); ok {
		line, _, _ := strings.Cut(after, "\n")
		return line
	}
	return "no panic"
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the scenario in which answers are broken off. One of two workers of the first
// service breaks off a share of its answers, as `garble` does on the site for so long.
const (
	pipelines    = 12
	behind       = 4
	brokenShare  = 0.4
	brokenFor    = 6 * time.Second
	largeAnswer  = 600 << 10
	soundSlots   = 64
	soundQueue   = 108
	shortWork    = 60 * time.Millisecond
	longWork     = 90 * time.Millisecond
	allowedLosts = 3
)

// pipeline is a client that keeps its connection and sends further safe requests before
// the first has been answered.
type pipeline struct {
	name, address string
	// answered and unanswered are the requests of the second service.
	answered, unanswered []string
}

func (p *pipeline) run(until time.Time) {
	for n := 0; time.Now().Before(until); {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		for reader := bufio.NewReader(c); time.Now().Before(until); n++ {
			// One request alone first, so that the connection is a kept one.
			if !p.exchange(c, reader, fmt.Sprintf("%s-%d-alone", p.name, n), nil) {
				break
			}
			var ids []string
			for k := range behind {
				ids = append(ids, fmt.Sprintf("%s-%d-behind-%d", p.name, n, k))
			}
			if !p.exchange(c, reader, fmt.Sprintf("%s-%d-first", p.name, n), ids) {
				break
			}
		}
		_ = c.Close()
	}
}

// exchange sends a request to the first service and, in the same write, those with the
// given IDs to the second one, and reads the answers. It returns false if the connection
// has ended.
func (p *pipeline) exchange(c net.Conn, reader *bufio.Reader, first string, ids []string) bool {
	_ = c.SetDeadline(time.Now().Add(timeLimit))
	const request = "GET /%s/page HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 5000\r\n\r\n"
	var text strings.Builder
	if ids == nil {
		fmt.Fprintf(&text, request, "two", first)
	} else {
		fmt.Fprintf(&text, request, "one", first)
	}
	for _, id := range ids {
		fmt.Fprintf(&text, request, "two", id)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		p.unanswered = append(p.unanswered, ids...)
		return false
	}
	if !readAnswer(reader) {
		p.unanswered = append(p.unanswered, ids...)
		return false
	}
	for k, id := range ids {
		if !readAnswer(reader) {
			p.unanswered = append(p.unanswered, ids[k:]...)
			return false
		}
		p.answered = append(p.answered, id)
	}
	return true
}

// readAnswer reads one whole answer.
func readAnswer(reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil && !response.Close
}

// playBroken lets clients pipeline requests to two services. One worker of the first
// service breaks off some of its long answers; the workers of the second one are sound.
func playBroken(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	if err := d.startAll(ctx); err != nil {
		return false, err
	}
	entry := d.addNode(0, "defects")
	var list []*worker
	for i, service := range []string{"archive", "archive", "footage", "footage"} {
		m := d.addNode(i+1, service)
		bytes, work := largeAnswer, longWork
		if service == "footage" {
			bytes, work = shortAnswer, shortWork
		}
		w, err := startWorker(m, soundSlots, soundQueue, bytes, work)
		if err != nil {
			return false, err
		}
		list = append(list, w)
	}
	for _, m := range d.machines[controls:] {
		if err := d.start(m, true); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, settle); err != nil {
		return false, err
	}
	if trouble {
		list[0].breakOff(brokenShare)
		d.record.printf("one of two workers of archive breaks off %g of its answers for %s", brokenShare, brokenFor)
	}
	var wait sync.WaitGroup
	clients := make([]*pipeline, pipelines)
	until := time.Now().Add(brokenFor)
	for i := range clients {
		p := &pipeline{name: fmt.Sprintf("client-%d", i), address: entry.at(portOutbound)}
		clients[i] = p
		wait.Go(func() { p.run(until) })
	}
	wait.Wait()
	list[0].breakOff(0)
	if err := sleep(ctx, time.Second); err != nil {
		return false, err
	}
	return d.checkBroken(list[2:], clients), nil
}

// checkBroken counts the requests that a sound worker got and that were not answered.
func (d *deployment) checkBroken(sound []*worker, clients []*pipeline) bool {
	answered, unanswered, lost := 0, 0, 0
	for _, p := range clients {
		answered += len(p.answered)
		unanswered += len(p.unanswered)
		for _, id := range p.unanswered {
			for _, w := range sound {
				w.mu.Lock()
				at, ok := w.arrived[id]
				w.mu.Unlock()
				if ok {
					lost++
					d.record.printf("%s: reached sound worker %s at %.3f s, run; its connection was closed without an answer", id, w.id, at.Sub(d.record.start).Seconds())
				}
			}
		}
	}
	d.record.printf("requests behind another: %d answered, %d not, of these %d had been passed on to a sound worker", answered, unanswered, lost)
	if lost > allowedLosts {
		d.record.printf("more than %d: broken", allowedLosts)
		return false
	}
	d.record.printf("at most %d: held", allowedLosts)
	return true
}

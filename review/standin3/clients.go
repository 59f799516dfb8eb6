package main

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the scenario in which clients leave. The workers have the slots and the queue
// of the service defects; their work takes seven times the mean of a footage-upload.
const (
	workers      = 3
	entries      = 4
	slots        = 12
	queue        = 36
	work         = 800 * time.Millisecond
	uploads      = 240
	leavingShare = 0.3
	// stay is how long a client that leaves stays after it has sent its request.
	stay = 200 * time.Millisecond
	// uploadBytes is more than a node buffers of a body.
	uploadBytes = 600 << 10
	busyBytes   = 1000
	timeLimit   = 6 * time.Second
	shortAnswer = 1000
	// late is how long after the client's close a request may still reach a worker, and few
	// the number of requests that may come later than that.
	late = 500 * time.Millisecond
	few  = 5
)

// upload is one request of a client.
type upload struct {
	id     string
	leaves bool
	// sent is when the last byte was written, closed when the client closed the connection
	// without an answer.
	sent, closed time.Time
	status       int
}

// send sends an upload on a connection of its own, and leaves or reads the answer.
func (u *upload) send(address string, size int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("POST /up/clip HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", u.id, timeLimit.Milliseconds(), size)
	_ = c.SetDeadline(time.Now().Add(timeLimit))
	if _, err := c.Write([]byte(head + strings.Repeat("x", size))); err != nil {
		return
	}
	u.sent = time.Now()
	if u.leaves {
		time.Sleep(stay)
		_ = c.Close()
		u.closed = time.Now()
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	u.status = response.StatusCode
}

// playLeft lets clients of several nodes upload to workers that are slow, so that requests
// wait. Some of the clients leave soon after they have sent their request.
func playLeft(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	if err := d.startAll(ctx); err != nil {
		return false, err
	}
	var targets []*worker
	var addresses []string
	for i := range workers + entries {
		service := "footage"
		if i >= workers {
			service = "archive"
		}
		m := d.addNode(i%len(zones), service)
		if err := d.start(m, true); err != nil {
			return false, err
		}
		if i >= workers {
			addresses = append(addresses, m.at(portOutbound))
			continue
		}
		w, err := startWorker(m, slots, queue, shortAnswer, work)
		if err != nil {
			return false, err
		}
		targets = append(targets, w)
	}
	if err := sleep(ctx, settle); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	for i := range workers * slots {
		u := &upload{id: fmt.Sprintf("busy-%d", i)}
		wait.Go(func() { u.send(addresses[i%entries], busyBytes) })
	}
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return false, err
	}
	list := make([]*upload, uploads)
	for i := range list {
		u := &upload{id: fmt.Sprintf("upload-%d", i), leaves: trouble && rand.Float64() < leavingShare}
		list[i] = u
		wait.Go(func() { u.send(addresses[i%entries], uploadBytes) })
	}
	wait.Wait()
	if err := sleep(ctx, timeLimit); err != nil {
		return false, err
	}
	return d.checkLeft(targets, list), nil
}

// checkLeft counts the requests that reached a worker too long after their client had
// left.
func (d *deployment) checkLeft(targets []*worker, list []*upload) bool {
	arrived, ran := map[string]time.Time{}, map[string]bool{}
	for _, w := range targets {
		w.mu.Lock()
		maps.Copy(arrived, w.arrived)
		maps.Copy(ran, w.ran)
		w.mu.Unlock()
	}
	left, reached, run := 0, 0, 0
	statuses := map[int]int{}
	for _, u := range list {
		at, ok := arrived[u.id]
		switch {
		case u.closed.IsZero():
			statuses[u.status]++
			continue
		case ok && at.Sub(u.closed) > late:
			reached++
			if ran[u.id] {
				run++
			}
			d.record.printf("%s: its client left %.3f s after the last byte; reached a worker %.3f s after that, run %t", u.id, u.closed.Sub(u.sent).Seconds(), at.Sub(u.closed).Seconds(), ran[u.id])
		}
		left++
	}
	d.record.printf("%d uploads, answers by status (0 for none): %v; %d clients left; %d of their requests reached a worker over %s later, %d were run", len(list), statuses, left, reached, late, run)
	if reached > few {
		d.record.printf("more than %d: broken", few)
		return false
	}
	d.record.printf("at most %d: held", few)
	return true
}

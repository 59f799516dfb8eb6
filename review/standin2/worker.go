package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	id, worker, service  string
	method, target, body string // body is a digest
	caller, timeout      string
	at                   time.Time
}

// runs collects what all workers ran.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// request is a request as the worker read it.
type request struct {
	*http.Request
	id     string
	body   []byte
	conn   net.Conn
	reader *bufio.Reader
	// closes is set by a handler that ends the connection.
	closes bool
}

// worker is an application worker beside a node.
type worker struct {
	machine *machine
	id      string
	runs    *runs
	work    time.Duration
	// healthPath is the path at which the worker answers health checks.
	healthPath string
	// answer replaces the usual answer to a request that ran, nil for the usual one.
	answer func(w *worker, r *request)
	// early is called with the head of a request, before its body is read. It returns
	// true if it has answered.
	early func(w *worker, r *request) bool

	mu       sync.Mutex
	born     int64
	sequence uint64
	state    string
	ill      bool
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
	wait     sync.WaitGroup
}

func newWorker(m *machine, id string, r *runs) *worker {
	return &worker{machine: m, id: id, runs: r, work: 30 * time.Millisecond, healthPath: "/health"}
}

// start begins a lifetime that was born at the given time of day.
func (w *worker) start(born time.Time) error {
	ln, err := net.Listen("tcp", w.machine.address(offApp))
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.sequence, w.state = born.UnixMilli(), 0, "ready"
	w.listener, w.conns, w.stop = ln, map[net.Conn]bool{}, make(chan struct{})
	stop := w.stop
	w.mu.Unlock()
	w.machine.lab.logf("worker %s of %s starts beside %s, born %d", w.id, w.machine.service, w.machine.name, born.UnixMilli())
	w.wait.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	})
	w.wait.Go(func() { w.reportOften(stop) })
	return nil
}

// crash ends the lifetime at once.
func (w *worker) crash() {
	w.machine.lab.logf("worker %s ends", w.id)
	w.mu.Lock()
	if w.listener == nil {
		w.mu.Unlock()
		return
	}
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	close(w.stop)
	w.listener = nil
	w.mu.Unlock()
	w.wait.Wait()
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		h, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		r := &request{Request: h, id: h.Header.Get("Request-Id"), conn: c, reader: reader}
		if !w.handle(r) || r.closes {
			return
		}
	}
}

// handle answers one request. It returns false if the connection must be closed.
func (w *worker) handle(r *request) bool {
	if r.URL.Path == w.healthPath {
		status := 200
		w.mu.Lock()
		if w.ill || w.state == "draining" {
			status = 503
		}
		w.mu.Unlock()
		return write(r.conn, status, map[string]string{"Instance-Id": w.id}, nil)
	}
	if r.id == "" {
		w.machine.lab.logf("worker %s refuses %s %s without an id", w.id, r.Method, r.RequestURI)
		return write(r.conn, 400, map[string]string{"Not-Executed": "1"}, nil)
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != w.id {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		w.machine.lab.logf("worker %s refuses %s: expected is %s", w.id, r.id, e)
		return write(r.conn, 421, map[string]string{"Request-Id": r.id, "Not-Executed": "1"}, nil)
	}
	if w.early != nil && w.early(w, r) {
		return !r.closes
	}
	var err error
	if r.body, err = io.ReadAll(r.Body); err != nil {
		w.machine.lab.logf("worker %s got a part of %s: %d bytes: %v", w.id, r.id, len(r.body), err)
		return false
	}
	w.runs.add(run{
		id: r.id, worker: w.id, service: w.machine.service, method: r.Method, target: r.RequestURI, body: digest(r.body),
		caller: r.Header.Get("Caller-Service"), timeout: r.Header.Get("Request-Timeout-Ms"), at: time.Now(),
	})
	w.machine.lab.logf("worker %s runs %s %s %s, body %d bytes", w.id, r.Method, r.RequestURI, r.id, len(r.body))
	if w.answer != nil {
		w.answer(w, r)
		return true
	}
	time.Sleep(w.work)
	return w.reply(r, 200, []byte(w.id+" "+r.id+"\n"))
}

// reply writes a whole answer to a request that ran.
func (w *worker) reply(r *request, status int, body []byte) bool {
	return write(r.conn, status, map[string]string{"Request-Id": r.id, "Response-Signature": signature(body)}, body)
}

func signature(body []byte) string { return fmt.Sprintf("3e1b.%d.%s", len(body), digest(body)) }

func digest(b []byte) string {
	h := sha256.Sum256(b)
	return fmt.Sprintf("%x", h[:8])
}

// write writes an answer with a length.
func write(c net.Conn, status int, fields map[string]string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body))
	for k, v := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// reportOften sends check-ins until the lifetime ends. One that isn't acknowledged is
// followed by the next one soon.
func (w *worker) reportOften(stop chan struct{}) {
	for {
		next := heartbeatInterval
		if status, err := w.report(); err != nil || status/100 != 2 {
			next = retryInterval
		}
		select {
		case <-stop:
			return
		case <-time.After(next):
		}
	}
}

// report sends one check-in and returns the status.
func (w *worker) report() (int, error) {
	w.mu.Lock()
	w.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": w.machine.service, "address": w.machine.address(offApp), "zone": w.machine.zone, "version": "v1", "slots": 64,
		"state": w.state, "cold_remaining_s": 0, "sequence": w.sequence, "born": w.born,
	})
	state, sequence := w.state, w.sequence
	w.mu.Unlock()
	status, err := w.say("/Instances.Heartbeat/"+w.id, b)
	w.machine.lab.logf("worker %s checks in: %s, sequence %d: %d %v", w.id, state, sequence, status, err)
	return status, err
}

func (w *worker) say(path string, body []byte) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+w.machine.address(offControl)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// drain reports that the worker leaves until that is confirmed, and returns when it was.
func (w *worker) drain() (time.Time, bool) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	for range 10 {
		if status, err := w.report(); err == nil && status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, false
}

func (w *worker) deregister() bool {
	w.mu.Lock()
	b, _ := json.Marshal(map[string]any{"service": w.machine.service, "address": w.machine.address(offApp), "sequence": w.sequence + 1, "born": w.born})
	w.mu.Unlock()
	status, err := w.say("/Instances.Deregister/"+w.id, b)
	w.machine.lab.logf("worker %s deregisters: %d %v", w.id, status, err)
	return err == nil && status/100 == 2
}

func firstLine(b []byte) string {
	s, _, _ := strings.Cut(string(b), "\n")
	return s
}

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	id, worker, method, path, digest string
	bytes                            int64
	complete                         bool
	at                               time.Time
}

// runs holds the runs of all workers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	r.list = append(r.list, x)
	r.mu.Unlock()
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// worker is a stand-in of one application worker, which behaves as the pages say.
type worker struct {
	d        *deployment
	machine  *machine
	id       string
	born     int64
	slots    int
	runs     *runs
	workTime time.Duration
	server   *http.Server
	sequence atomic.Uint64
	draining atomic.Bool
	silent   atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	// early, if set, may answer before the body is read. It reports whether it did.
	early func(w http.ResponseWriter, r *http.Request) bool
}

// newWorker starts a worker next to a node. Each start is a new lifetime.
func newWorker(d *deployment, m *machine, id string, r *runs, workTime time.Duration) (*worker, error) {
	w := &worker{d: d, machine: m, id: id, born: time.Now().UnixMilli(), slots: 64, runs: r, workTime: workTime, stop: make(chan struct{})}
	ln, err := net.Listen("tcp", m.at(portApp))
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(ln) }()
	d.record.printf("worker %s started at %s", id, m.at(portApp))
	return w, nil
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.id)
		if w.draining.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.early != nil && w.early(rw, r) {
		return
	}
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	digest := hex.EncodeToString(h.Sum(nil)[:8])
	if err != nil {
		w.d.record.printf("worker %s: request %s not run, its body broke off after %d bytes: %v", w.id, id, n, err)
		return
	}
	w.runs.add(run{id: id, worker: w.id, method: r.Method, path: r.RequestURI, digest: digest, bytes: n, complete: true, at: time.Now()})
	w.d.record.printf("worker %s: request %s runs: %s %s, %d bytes, digest %s", w.id, id, r.Method, r.RequestURI, n, digest)
	time.Sleep(w.workTime)
	rw.Header().Set("Response-Signature", digest)
	_, _ = fmt.Fprintf(rw, "worker %s ran %s: %d bytes, digest %s\n", w.id, id, n, digest)
}

// report sends one check-in and returns whether it was acknowledged.
func (w *worker) report(state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": w.machine.service, "address": w.machine.at(portApp), "zone": w.machine.zone, "version": "v1", "slots": w.slots,
		"state": state, "cold_remaining_s": 0, "sequence": w.sequence.Add(1), "born": w.born,
	})
	return post("http://"+w.machine.at(portControl)+"/Instances.Heartbeat/"+w.id, body)
}

// deregister sends the last call of a lifetime.
func (w *worker) deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	return post("http://"+w.machine.at(portControl)+"/Instances.Deregister/"+w.id, body)
}

// post sends a call and reports whether a 2xx response came within a second.
func post(url string, body []byte) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// beat sends check-ins until the worker stops.
func (w *worker) beat() {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		if !w.silent.Load() {
			state := "ready"
			if w.draining.Load() {
				state = "draining"
			}
			w.report(state)
		}
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
	}
}

// goDark ends the worker without a sign: connections to its port are not answered. The
// returned function ends that.
func (w *worker) goDark() (func(), error) {
	w.d.record.printf("worker %s crashes, and its port falls silent", w.id)
	w.close()
	address, err := netip.ParseAddrPort(w.machine.at(portApp))
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Port: portApp, Addr: address.Addr().As4()}),
		syscall.Listen(fd, 0),
	); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	// Once the queue of new connections is full, the kernel drops opening packets.
	var fill []net.Conn
	for range 4 {
		c, err := net.DialTimeout("tcp", address.String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	return func() {
		for _, c := range fill {
			_ = c.Close()
		}
		_ = syscall.Close(fd)
	}, nil
}

func (w *worker) close() {
	w.stopOnce.Do(func() { close(w.stop) })
	_ = w.server.Close()
}
